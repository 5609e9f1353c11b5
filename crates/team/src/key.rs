//! Keys, as digests.

use std::fmt::{Debug, Display, Formatter};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::error::{Error, Result};

/// How a digest begins in settings.
const SCHEME: &str = "sha256:";
/// Bytes of a digest that are shown, as in logs: enough to tell a team's keys apart.
const SHOWN_BYTES: usize = 4;

/// The digest of a key. What is compared, told to other entries and written in settings is
/// this, never the key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key in the clear.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Reads a digest as settings write it.
    ///
    /// # Errors
    /// Where the text is no digest.
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

    /// The digest as settings write it.
    pub fn to_text(self) -> String {
        format!("{SCHEME}{}", hex(&self.0))
    }
}

/// The beginning of the digest, which tells a team's keys apart.
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
