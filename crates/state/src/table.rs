//! Keys and records in the store.

use clem_store::Store;
use clem_wire::codec;
use serde::{Serialize, de::DeserializeOwned};

use crate::{Result, StateError};

/// Ends a name within a key; names hold no such byte.
const END: u8 = 0;

/// A key that is put together from its parts, ordered like them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Key(Vec<u8>);

impl Key {
    /// A key that starts with the name of its table.
    pub(crate) fn new(table: &str) -> Self {
        Self(Vec::from(table)).end()
    }

    /// Adds a name; names are ordered by their bytes.
    pub(crate) fn name(mut self, name: &str) -> Self {
        debug_assert!(!name.as_bytes().contains(&END), "names have no zero byte");
        self.0.extend_from_slice(name.as_bytes());
        self.end()
    }

    /// Adds a number.
    pub(crate) fn number(mut self, number: u64) -> Self {
        self.0.extend_from_slice(&number.to_be_bytes());
        self
    }

    /// Adds a number of 32 bits.
    pub(crate) fn small(mut self, number: u32) -> Self {
        self.0.extend_from_slice(&number.to_be_bytes());
        self
    }

    /// Adds a number of 128 bits.
    pub(crate) fn wide(mut self, number: u128) -> Self {
        self.0.extend_from_slice(&number.to_be_bytes());
        self
    }

    /// Adds bytes of a fixed length, or bytes that end the key.
    pub(crate) fn bytes(mut self, bytes: &[u8]) -> Self {
        self.0.extend_from_slice(bytes);
        self
    }

    /// A key that stands whole inside another one.
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

/// The parts of a key, read in the order in which they were put.
pub(crate) struct KeyReader<'a> {
    key: &'a [u8],
    rest: &'a [u8],
}

impl<'a> KeyReader<'a> {
    /// Reads the parts after `prefix`.
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

    pub(crate) fn number(&mut self) -> Result<u64> {
        self.array().map(u64::from_be_bytes)
    }

    pub(crate) fn small(&mut self) -> Result<u32> {
        self.array().map(u32::from_be_bytes)
    }

    pub(crate) fn wide(&mut self) -> Result<u128> {
        self.array().map(u128::from_be_bytes)
    }

    /// The bytes that haven't been read.
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

/// Reads the record at `key`.
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

/// Reads a record that a scan found.
pub(crate) fn decode<T: DeserializeOwned>(key: &[u8], bytes: &[u8]) -> Result<T> {
    codec::decode(bytes).map_err(|_| damaged(key))
}

/// The error for a record that can't be read back.
pub(crate) fn damaged(key: &[u8]) -> StateError {
    StateError::Damaged {
        key: key.escape_ascii().to_string(),
    }
}
