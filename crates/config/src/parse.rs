//! Turns text into typed values, with errors that name file, field and reason.

use serde::de::DeserializeOwned;

/// Why a settings file or configuration document was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The text is not of the expected shape.
    #[error("{file}: {message}")]
    Syntax {
        /// File or address that the text came from.
        file: String,
        /// What is wrong, with the line where the format has lines.
        message: String,
    },
    /// One field holds a value that cannot be used.
    #[error("{file}: field {field}: found {value}, expected {expected}")]
    Field {
        /// File or address that the text came from.
        file: String,
        /// Path of the field, such as `targets[2].weight`.
        field: String,
        /// The value found.
        value: String,
        /// What would have been accepted.
        expected: String,
    },
    /// The file could not be read.
    #[error("{file}: cannot be read: {reason}")]
    Unreadable {
        /// The file's path.
        file: String,
        /// The operating system's reason.
        reason: String,
    },
}

impl ConfigError {
    /// Shorthand for [`ConfigError::Field`].
    pub fn field(
        file: &str,
        field: impl Into<String>,
        value: impl ToString,
        expected: impl Into<String>,
    ) -> Self {
        ConfigError::Field {
            file: file.to_owned(),
            field: field.into(),
            value: value.to_string(),
            expected: expected.into(),
        }
    }
}

/// Reads a file as text.
///
/// # Errors
/// [`ConfigError::Unreadable`] with the path and the reason.
pub fn read_file(path: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|error| ConfigError::Unreadable {
        file: path.to_owned(),
        reason: error.to_string(),
    })
}

/// Parses TOML text; unknown fields are refused by the types themselves.
///
/// # Errors
/// [`ConfigError::Syntax`] with the line and field.
pub fn from_toml<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, ConfigError> {
    toml::from_str(text).map_err(|error| ConfigError::Syntax {
        file: file.to_owned(),
        message: error.to_string().trim_end().to_owned(),
    })
}

/// Parses JSON bytes; unknown fields are refused by the types themselves.
///
/// # Errors
/// [`ConfigError::Syntax`] with the line and field.
pub fn from_json<T: DeserializeOwned>(file: &str, bytes: &[u8]) -> Result<T, ConfigError> {
    serde_json::from_slice(bytes)
        .map_err(|error| ConfigError::Syntax { file: file.to_owned(), message: error.to_string() })
}
