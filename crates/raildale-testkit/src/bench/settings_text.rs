//! The settings that benchmarks apply.

use raildale_core::{Digest, Manifest};

/// The API key of the callers of the organisation `club`.
pub const CLUB_KEY: &str = "club-key";

/// The API key of the callers of the organisation `grid`.
pub const GRID_KEY: &str = "grid-key";

/// Returns the path of a version at the origin.
pub fn origin_path(version: &str) -> String {
    format!("commentary/{version}")
}

/// Returns settings with two organisations: `club` with the model `commentary`
/// on the pool `workers`, in `version`, and `grid` with the plain service
/// `tickets` on the pool `plain`. `extra` is added to the `[rules]` table.
pub fn settings(
    favour: &str,
    version: &str,
    versions: &[(&str, &Manifest)],
    extra: &str,
) -> String {
    let mut text = format!(
        "[rules]\nfavour = \"{favour}\"\nrequests_per_s = 100000\n\
         concurrency = 100000\n{extra}\n\
         [organisations.club]\nkey_hashes = [\"{}\"]\n\
         [organisations.club.models.commentary]\npool = \"workers\"\n\
         version = \"{version}\"\n",
        Digest::of(CLUB_KEY.as_bytes())
    );
    for (name, manifest) in versions {
        text.push_str(&format!(
            "[organisations.club.models.commentary.versions.{name}]\n\
             manifest = \"{}\"\norigin_path = \"{}\"\n",
            manifest.digest(),
            origin_path(name)
        ));
    }
    text.push_str(&format!(
        "[organisations.grid]\nkey_hashes = [\"{}\"]\n\
         [organisations.grid.models.tickets]\nkind = \"plain\"\n\
         pool = \"plain\"\n",
        Digest::of(GRID_KEY.as_bytes())
    ));
    text
}
