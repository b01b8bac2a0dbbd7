//! MessagePack with named fields, so that processes of two releases understand each other:
//! a field that one side does not know is passed over, one that is missing takes its default.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};

/// The result of encoding or decoding one message.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Why a message can't be encoded or decoded; it never shows the message's content.
#[derive(Debug)]
pub enum CodecError {
    /// The value can't be written.
    Encode(rmp_serde::encode::Error),
    /// The bytes are not such a message.
    Decode(rmp_serde::decode::Error),
}

/// Encodes a message.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    rmp_serde::to_vec_named(value).map_err(CodecError::Encode)
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).map_err(CodecError::Decode)
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Encode(_) => f.write_str("the message can't be encoded"),
            Self::Decode(_) => f.write_str("the bytes are not a message of the wanted kind"),
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
