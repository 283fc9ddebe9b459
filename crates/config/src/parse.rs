//! Parses text into typed values, with errors that name the file, the field and the reason.

use serde::de::DeserializeOwned;

/// Why a settings file or configuration document was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The text does not parse as the expected type.
    #[error("{file}: {message}")]
    Syntax {
        /// File or address that the text came from.
        file: String,
        /// The parser's message, with the position in the text.
        message: String,
    },
    /// A field holds an invalid value.
    #[error("{file}: field {field}: found {value}, expected {expected}")]
    Field {
        /// File or address that the text came from.
        file: String,
        /// Path of the field, such as `targets[2].weight`.
        field: String,
        /// The value that was found.
        value: String,
        /// Description of the accepted values.
        expected: String,
    },
    /// The file could not be read.
    #[error("{file}: cannot be read: {reason}")]
    Unreadable {
        /// The file's path.
        file: String,
        /// The operating system's error message.
        reason: String,
    },
}

impl ConfigError {
    /// Creates a [`ConfigError::Field`].
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

/// Reads a file as UTF-8 text.
///
/// # Errors
/// Returns [`ConfigError::Unreadable`] with the path and the reason.
pub fn read_file(path: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|error| ConfigError::Unreadable {
        file: path.to_owned(),
        reason: error.to_string(),
    })
}

/// Parses TOML text. Rejecting unknown fields is left to the type's serde attributes.
///
/// # Errors
/// Returns [`ConfigError::Syntax`] with the line and field.
pub fn from_toml<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, ConfigError> {
    toml::from_str(text).map_err(|error| ConfigError::Syntax {
        file: file.to_owned(),
        message: error.to_string().trim_end().to_owned(),
    })
}

/// Parses JSON bytes. Rejecting unknown fields is left to the type's serde attributes.
///
/// # Errors
/// Returns [`ConfigError::Syntax`] with the line and field.
pub fn from_json<T: DeserializeOwned>(file: &str, bytes: &[u8]) -> Result<T, ConfigError> {
    serde_json::from_slice(bytes)
        .map_err(|error| ConfigError::Syntax { file: file.to_owned(), message: error.to_string() })
}
