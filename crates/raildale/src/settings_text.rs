//! The text of the settings tree: TOML in, a checked [`Tree`] out.

use raildale_core::settings::Tree;
use toml::{Table, Value};

use crate::{
    config,
    error::{Error, ErrorKind},
};

/// The platform's limit on a value.
pub const MAX_BYTES: usize = 1 << 20;

const ORGANISATIONS: &str = "organisations";

/// Reads and checks the whole tree.
///
/// # Errors
///
/// [`ErrorKind::Settings`], with the line and, for an unknown name, the
/// nearest known one; or with everything that contradicts itself.
pub fn parse(text: &str) -> Result<Tree, Error> {
    let tree: Tree = config::parse(text)
        .map_err(|fault| Error::new(ErrorKind::Settings, fault))?;
    let faults = tree.validation_errors();
    if faults.is_empty() {
        return Ok(tree);
    }
    Err(Error::new(ErrorKind::Settings, faults.join("; ")))
}

/// The part of the text that belongs to one organisation.
pub fn part(text: &str, organisation: &str) -> String {
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

/// `text` with one organisation's part replaced by `part`.
///
/// # Errors
///
/// [`ErrorKind::Settings`] if `part` holds anything but that organisation,
/// or is no TOML.
pub fn with_part(
    text: &str,
    organisation: &str,
    part: &str,
) -> Result<String, Error> {
    let bad = |fault: String| Error::new(ErrorKind::Settings, fault);
    let mut table: Table =
        text.parse().map_err(|_| bad("no settings stand".into()))?;
    let mut part: Table = part
        .parse()
        .map_err(|error: toml::de::Error| bad(error.message().into()))?;
    let own = part
        .get_mut(ORGANISATIONS)
        .and_then(Value::as_table_mut)
        .and_then(|all| all.remove(organisation))
        .ok_or(bad(format!("no part for {organisation}")))?;
    let is_only = part.len() == 1
        && part[ORGANISATIONS].as_table().is_some_and(Table::is_empty);
    if !is_only {
        return Err(bad("the part reaches beyond the organisation".into()));
    }
    table
        .entry(ORGANISATIONS)
        .or_insert(Value::Table(Table::new()))
        .as_table_mut()
        .ok_or(bad("organisations is no table".into()))?
        .insert(organisation.to_string(), own);
    Ok(table.to_string())
}

/// The lines that `new` adds (`+`) and lacks (`-`) against `old`.
///
/// Enough for an operator to see what a change does; it does not detect
/// moved lines.
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
