//! Parses the text of the settings tree, TOML, into a validated [`Tree`].

use raildale_core::settings::Tree;
use toml::{Table, Value};

use crate::{
    config,
    error::{Error, ErrorKind},
};

/// The maximum size of the text in bytes: the platform's limit on a value.
pub const MAX_BYTES: usize = 1 << 20;

const ORGANISATIONS: &str = "organisations";

/// Parses and validates the whole tree.
///
/// # Errors
///
/// [`ErrorKind::Settings`], with the line and, for an unknown name, the most
/// similar known name; or with all contradictions between settings.
pub fn parse(text: &str) -> Result<Tree, Error> {
    let tree: Tree = config::parse(text)
        .map_err(|detail| Error::new(ErrorKind::Settings, detail))?;
    let errors = tree.validation_errors();
    if errors.is_empty() {
        return Ok(tree);
    }
    Err(Error::new(ErrorKind::Settings, errors.join("; ")))
}

/// Returns the part of the text that belongs to one organisation, as TOML with
/// only that organisation. Empty if `text` is not TOML.
pub fn organisation_part(text: &str, organisation: &str) -> String {
    let Ok(table) = text.parse::<Table>() else { return String::new() };
    let own = table
        .get(ORGANISATIONS)
        .and_then(|all| all.get(organisation))
        .cloned()
        .unwrap_or(Value::Table(Table::new()));
    let mut only = Table::new();
    only.insert(organisation.to_string(), own);
    let mut out = Table::new();
    out.insert(ORGANISATIONS.to_string(), Value::Table(only));
    out.to_string()
}

/// Returns `text` with one organisation's part replaced by `part`.
///
/// # Errors
///
/// [`ErrorKind::Settings`] if `part` contains anything but that organisation
/// or is not TOML, or if `text` is not TOML.
pub fn replace_organisation_part(
    text: &str,
    organisation: &str,
    part: &str,
) -> Result<String, Error> {
    let invalid = |detail: String| Error::new(ErrorKind::Settings, detail);
    let mut table: Table = text
        .parse()
        .map_err(|_| invalid("the settings in force are not TOML".into()))?;
    let mut part: Table = part
        .parse()
        .map_err(|error: toml::de::Error| invalid(error.message().into()))?;
    let own = part
        .get_mut(ORGANISATIONS)
        .and_then(Value::as_table_mut)
        .and_then(|all| all.remove(organisation))
        .ok_or(invalid(format!(
            "the text has no settings of organisation {organisation}"
        )))?;
    let is_only = part.len() == 1
        && part[ORGANISATIONS].as_table().is_some_and(Table::is_empty);
    if !is_only {
        return Err(invalid(
            "the text has settings outside the organisation".into(),
        ));
    }
    table
        .entry(ORGANISATIONS)
        .or_insert(Value::Table(Table::new()))
        .as_table_mut()
        .ok_or(invalid("organisations is not a table".into()))?
        .insert(organisation.to_string(), own);
    Ok(table.to_string())
}

/// Returns the lines that `new` lacks (`-`) and adds (`+`) compared with
/// `old`.
///
/// Moved lines are not detected.
pub fn difference(old: &str, new: &str) -> String {
    let before: Vec<&str> = old.lines().collect();
    let after: Vec<&str> = new.lines().collect();
    let mut out = String::new();
    for line in before.iter().filter(|line| !after.contains(line)) {
        out.push_str(&format!("- {line}\n"));
    }
    for line in after.iter().filter(|line| !before.contains(line)) {
        out.push_str(&format!("+ {line}\n"));
    }
    out
}
