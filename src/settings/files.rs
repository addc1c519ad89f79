//! Reading and parsing of settings files.

use std::path::Path;

use serde::de::DeserializeOwned;

use super::SettingsError;

/// Reads and parses a JSON file.
///
/// # Errors
///
/// [`SettingsError::Read`] or [`SettingsError::Json`].
pub(super) fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = read(path)?;
    serde_json::from_str(&text).map_err(|source| SettingsError::Json {
        file: path.display().to_string(),
        source,
    })
}

/// Reads and parses a TOML file.
///
/// # Errors
///
/// [`SettingsError::Read`] or [`SettingsError::Toml`].
pub(super) fn read_toml<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = read(path)?;
    toml::from_str(&text).map_err(|source| SettingsError::Toml {
        file: path.display().to_string(),
        line: faulty_line(&text, &source),
        source: Box::new(source),
    })
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: path.display().to_string(),
        source,
    })
}

/// Formats the line that an error refers to, as the parser's message does not name the field.
fn faulty_line(text: &str, error: &toml::de::Error) -> String {
    let before = error.span().and_then(|span| text.get(..span.start));
    let Some(before) = before else {
        return String::new();
    };
    let index = before.matches('\n').count();
    let line = text.lines().nth(index).unwrap_or("").trim();
    format!("line {} (`{line}`): ", index + 1)
}
