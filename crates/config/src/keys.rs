//! The keys file: secrets that all processes of one deployment share.

use std::fmt;

use serde::Deserialize;

use crate::parse::{self, ConfigError};

/// Length of the flow hash key, in bytes.
const HASH_KEY_BYTES: usize = 16;

/// Key of the flow hash. All balancers and agents must hold the same one; a
/// caller that does not know it cannot choose its bucket.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct HashKey(pub [u8; HASH_KEY_BYTES]);

/// Never prints the key itself, so that logs and errors cannot leak it.
impl fmt::Debug for HashKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("HashKey(hidden)")
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeysFile {
    flow_hash: String,
}

impl HashKey {
    /// Reads the key from a keys file.
    ///
    /// # Errors
    /// Names the file and the field; never quotes the value.
    pub fn from_file(path: &str) -> Result<Self, ConfigError> {
        let text = parse::read_file(path)?;
        Self::from_toml(path, &text)
    }

    /// Reads the key from the text of a keys file.
    ///
    /// # Errors
    /// Names the file and the field; never quotes the value.
    pub fn from_toml(file: &str, text: &str) -> Result<Self, ConfigError> {
        // The parser's own message would quote the line with the secret.
        let keys: KeysFile = toml::from_str(text).map_err(|_| ConfigError::Syntax {
            file: file.to_owned(),
            message: "expected one field, flow_hash = \"32 hexadecimal digits\"".to_owned(),
        })?;
        let bytes = decode_hexadecimal(&keys.flow_hash).ok_or_else(|| {
            ConfigError::field(file, "flow_hash", "a hidden value", "32 hexadecimal digits")
        })?;
        Ok(Self(bytes))
    }
}

fn decode_hexadecimal(text: &str) -> Option<[u8; HASH_KEY_BYTES]> {
    let value = u128::from_str_radix(text, 16).ok()?;
    let digits_only = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    (text.len() == 2 * HASH_KEY_BYTES && digits_only).then(|| value.to_be_bytes())
}
