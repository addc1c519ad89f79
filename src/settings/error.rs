//! Errors of reading and validating settings.

use thiserror::Error;

/// An error in one of the settings files.
///
/// The message is one line that names the file or the invalid field.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("{file}: {source}")]
    Read {
        /// Path of the file.
        file: String,
        /// The I/O error; [`std::io::ErrorKind::InvalidData`] if the file is not UTF-8.
        source: std::io::Error,
    },
    /// The platform settings cannot be parsed.
    #[error("{file}: not valid JSON settings: {source}")]
    Json {
        /// Path of the file.
        file: String,
        /// A syntax error, or a field that is missing or has the wrong type.
        source: serde_json::Error,
    },
    /// The operator settings cannot be parsed.
    #[error("{file}: not valid operator settings: {line}{}", source.message())]
    Toml {
        /// Path of the file.
        file: String,
        /// Number and text of the faulty line, formatted as a prefix of the message; empty if
        /// the parser does not report a position.
        line: String,
        /// A syntax error, an unknown field or a value of the wrong type.
        source: Box<toml::de::Error>,
    },
    /// A field has an invalid value.
    #[error("{field}: {problem}")]
    Invalid {
        /// Path of the field, with dots between its parts.
        field: &'static str,
        /// The requirement that the value does not meet.
        problem: String,
    },
}

impl SettingsError {
    pub(super) fn invalid(field: &'static str, problem: impl Into<String>) -> SettingsError {
        SettingsError::Invalid {
            field,
            problem: problem.into(),
        }
    }
}
