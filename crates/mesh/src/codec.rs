//! Encoding of messages, with a bound on what is read.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// Largest message in bytes.
pub const MAX_MESSAGE: usize = 4 << 20;

/// Encodes a message.
///
/// # Errors
/// [`Error::TooLarge`] where it exceeds [`MAX_MESSAGE`].
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>> {
    let bytes =
        postcard::to_stdvec(message).map_err(|cause| Error::Malformed(cause.to_string()))?;
    if bytes.len() > MAX_MESSAGE {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message; bytes left over are an error.
///
/// # Errors
/// [`Error::Malformed`] or [`Error::TooLarge`]; never a panic.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M> {
    if bytes.len() > MAX_MESSAGE {
        return Err(Error::TooLarge(bytes.len()));
    }
    let (message, rest) =
        postcard::take_from_bytes(bytes).map_err(|cause| Error::Malformed(cause.to_string()))?;
    if !rest.is_empty() {
        return Err(Error::Malformed(format!("{} bytes left over", rest.len())));
    }
    Ok(message)
}
