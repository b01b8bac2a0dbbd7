//! Record keys, and reading and writing of MessagePack records.

use clem_store::Store;
use clem_wire::codec;
use serde::{Serialize, de::DeserializeOwned};

use crate::{Result, StateError};

/// Terminates a name within a key, so that names sort by their bytes; names contain no zero byte.
const END: u8 = 0;

/// A record key, composed of parts in an encoding that preserves their order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Key(Vec<u8>);

impl Key {
    /// Starts a key with the name of its table.
    pub(crate) fn new(table: &str) -> Self {
        Self(Vec::from(table)).end()
    }

    /// Appends a zero-terminated name.
    pub(crate) fn name(mut self, name: &str) -> Self {
        debug_assert!(!name.as_bytes().contains(&END), "names have no zero byte");
        self.0.extend_from_slice(name.as_bytes());
        self.end()
    }

    /// Appends a big-endian `u64`.
    pub(crate) fn u64(mut self, number: u64) -> Self {
        self.0.extend_from_slice(&number.to_be_bytes());
        self
    }

    /// Appends a big-endian `u32`.
    pub(crate) fn u32(mut self, number: u32) -> Self {
        self.0.extend_from_slice(&number.to_be_bytes());
        self
    }

    /// Appends a big-endian `u128`.
    pub(crate) fn u128(mut self, number: u128) -> Self {
        self.0.extend_from_slice(&number.to_be_bytes());
        self
    }

    /// Appends raw bytes; these must have a fixed length or be the last part of the key.
    pub(crate) fn bytes(mut self, bytes: &[u8]) -> Self {
        self.0.extend_from_slice(bytes);
        self
    }

    /// Wraps an encoded key, such as the record key at the end of an expiry key.
    pub(crate) fn from_bytes(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }

    fn end(mut self) -> Self {
        self.0.push(END);
        self
    }
}

impl AsRef<[u8]> for Key {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

/// Decodes the parts of a key, in the order in which they were appended.
pub(crate) struct KeyReader<'a> {
    key: &'a [u8],
    rest: &'a [u8],
}

impl<'a> KeyReader<'a> {
    /// Starts after `prefix`; if `key` doesn't start with it, every read fails.
    pub(crate) fn after(key: &'a [u8], prefix: &Key) -> Self {
        let rest = key.strip_prefix(prefix.as_ref()).unwrap_or_default();
        Self { key, rest }
    }

    pub(crate) fn name(&mut self) -> Result<&'a str> {
        let end = self.rest.iter().position(|byte| *byte == END);
        let end = end.ok_or_else(|| damaged(self.key))?;
        let name = std::str::from_utf8(&self.rest[..end]).map_err(|_| damaged(self.key))?;
        self.rest = &self.rest[end + 1..];
        Ok(name)
    }

    pub(crate) fn u64(&mut self) -> Result<u64> {
        self.array().map(u64::from_be_bytes)
    }

    pub(crate) fn u32(&mut self) -> Result<u32> {
        self.array().map(u32::from_be_bytes)
    }

    pub(crate) fn u128(&mut self) -> Result<u128> {
        self.array().map(u128::from_be_bytes)
    }

    /// The bytes after the last part that was read.
    pub(crate) fn rest(&self) -> &'a [u8] {
        self.rest
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        let Some((part, rest)) = self.rest.split_first_chunk() else {
            return Err(damaged(self.key));
        };
        self.rest = rest;
        Ok(*part)
    }
}

/// Reads the record at `key`, if there is one.
pub(crate) fn get<T: DeserializeOwned>(store: &dyn Store, key: &Key) -> Result<Option<T>> {
    let Some(bytes) = store.get(key.as_ref())? else {
        return Ok(None);
    };
    decode(key.as_ref(), &bytes).map(Some)
}

/// Writes the record at `key`.
pub(crate) fn put<T: Serialize>(store: &mut dyn Store, key: &Key, record: &T) -> Result<()> {
    let bytes = codec::encode(record).map_err(|_| damaged(key.as_ref()))?;
    store.put(key.as_ref(), &bytes)?;
    Ok(())
}

/// Removes the record at `key`.
pub(crate) fn delete(store: &mut dyn Store, key: &Key) -> Result<()> {
    store.delete(key.as_ref())?;
    Ok(())
}

/// Decodes a record; `key` only names it in the error.
pub(crate) fn decode<T: DeserializeOwned>(key: &[u8], bytes: &[u8]) -> Result<T> {
    codec::decode(bytes).map_err(|_| damaged(key))
}

/// The error for a key that can't be decoded, or a record that can't be encoded or decoded.
pub(crate) fn damaged(key: &[u8]) -> StateError {
    StateError::Damaged {
        key: key.escape_ascii().to_string(),
    }
}
