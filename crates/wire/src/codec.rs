//! MessagePack with named fields, for compatibility between releases: an unknown field is ignored,
//! and a missing one takes its default if the type declares one.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};

/// The result of encoding or decoding one message.
pub type Result<T> = std::result::Result<T, CodecError>;

/// An encoding or decoding error; its text never contains the message's content.
#[derive(Debug)]
pub enum CodecError {
    /// The value can't be represented in MessagePack.
    Encode(rmp_serde::encode::Error),
    /// The bytes are not a valid message of the expected type.
    Decode(rmp_serde::decode::Error),
}

/// Encodes a message, with field names.
///
/// # Errors
/// The value can't be represented in MessagePack.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    rmp_serde::to_vec_named(value).map_err(CodecError::Encode)
}

/// Decodes a message.
///
/// # Errors
/// The bytes are not a valid message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).map_err(CodecError::Decode)
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Encode(_) => f.write_str("the message can't be encoded"),
            Self::Decode(_) => {
                f.write_str("the bytes are not a valid message of the expected type")
            }
        }
    }
}

impl std::error::Error for CodecError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Encode(error) => Some(error),
            Self::Decode(error) => Some(error),
        }
    }
}
