//! Digests of team keys.

use std::fmt::{Debug, Display, Formatter};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::error::{Error, Result};

/// Prefix of a digest in settings.
const SCHEME: &str = "sha256:";
/// Number of digest bytes shown, for example in logs: enough to distinguish a team's keys.
const SHOWN_BYTES: usize = 4;

/// The digest of a key. Only digests are compared, sent to other entries and written in
/// settings, never keys.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses a digest in the format of settings.
    ///
    /// # Errors
    /// If the text is not a digest.
    pub fn parse(text: &str) -> Result<Self> {
        let digits = text.strip_prefix(SCHEME).ok_or(Error::Scheme)?;
        let mut bytes = [0; 32];
        let is_hex = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
        if digits.len() != 2 * bytes.len() || !is_hex {
            return Err(Error::Digits);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &digits[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| Error::Digits)?;
        }
        Ok(Self(bytes))
    }

    /// Formats the digest for settings.
    pub fn to_text(self) -> String {
        format!("{SCHEME}{}", hex(&self.0))
    }
}

/// Shows the first bytes of the digest, enough to distinguish a team's keys.
impl Display for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&hex(&self.0[..SHOWN_BYTES]))
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
