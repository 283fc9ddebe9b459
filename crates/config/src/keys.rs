//! The keys file: secrets shared by all processes of one deployment.

use std::fmt;

use serde::Deserialize;

use crate::parse::{self, ConfigError};

/// Length of the flow hash key, in bytes.
const HASH_KEY_BYTES: usize = 16;

/// Key of the flow hash. All balancers and agents must use the same key; a client that does not
/// know it cannot choose the bucket of its flows.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct HashKey(pub [u8; HASH_KEY_BYTES]);

/// Omits the key, so that logs and errors cannot leak it.
impl fmt::Debug for HashKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("HashKey(hidden)")
    }
}

/// Length of a control key, in bytes.
const CONTROL_KEY_BYTES: usize = 32;
/// Largest number of control keys: the one used for sending, and a second one that is accepted
/// during a key rotation.
const MAXIMUM_CONTROL_KEYS: usize = 2;

/// Keys that authenticate control frames between balancers. Frames are sent with the first key and
/// accepted with any of them.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct ControlKeys(pub Vec<[u8; CONTROL_KEY_BYTES]>);

/// Omits the keys, so that logs and errors cannot leak them.
impl fmt::Debug for ControlKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ControlKeys({} hidden)", self.0.len())
    }
}

/// The contents of a keys file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Key of the flow hash.
    pub flow_hash: HashKey,
    /// Keys of control frames; without any, control frames are not authenticated.
    pub control: ControlKeys,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeysFile {
    flow_hash: String,
    #[serde(default)]
    control: Vec<String>,
}

impl Keys {
    /// Reads and parses a keys file.
    ///
    /// # Errors
    /// Returns an error that names the file and the field, and never quotes a value.
    pub fn from_file(path: &str) -> Result<Self, ConfigError> {
        let text = parse::read_file(path)?;
        Self::from_toml(path, &text)
    }

    /// Parses the text of a keys file.
    ///
    /// # Errors
    /// Returns an error that names the file and the field, and never quotes a value.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, ConfigError> {
        // The parser's own message is dropped: it would quote the line that holds the secret.
        let keys: KeysFile = toml::from_str(text).map_err(|_| ConfigError::Syntax {
            file: file.to_owned(),
            message: "expected flow_hash = \"32 hexadecimal digits\" and, optionally, \
                      control = [\"64 hexadecimal digits\", ...]"
                .to_owned(),
        })?;
        let hidden_value_error = |field: &str, expected: &str| {
            ConfigError::field(file, field, "a hidden value", expected)
        };
        let flow_hash = decode_hexadecimal(&keys.flow_hash)
            .ok_or_else(|| hidden_value_error("flow_hash", "32 hexadecimal digits"))?;
        if keys.control.len() > MAXIMUM_CONTROL_KEYS {
            return Err(hidden_value_error("control", "at most two keys"));
        }
        let control = keys
            .control
            .iter()
            .map(|key| decode_hexadecimal(key))
            .collect::<Option<Vec<_>>>()
            .ok_or_else(|| hidden_value_error("control", "keys of 64 hexadecimal digits"))?;
        Ok(Self { flow_hash: HashKey(flow_hash), control: ControlKeys(control) })
    }
}

fn decode_hexadecimal<const LENGTH: usize>(text: &str) -> Option<[u8; LENGTH]> {
    let digits = text.as_bytes();
    if digits.len() != 2 * LENGTH {
        return None;
    }
    let mut bytes = [0; LENGTH];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = (high * 16 + low) as u8;
    }
    Some(bytes)
}
