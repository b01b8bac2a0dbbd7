//! The shared secret with which the processes of a fleet authenticate to each other.

use std::{fmt, io, path::Path};

use subtle::ConstantTimeEq;

/// The header that carries the secret between processes; it is stripped from callers' requests.
pub const SECRET_HEADER: &str = "x-clem-secret";

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// The fleet's shared secret; its `Debug` output doesn't contain it.
#[derive(Clone)]
pub struct FleetSecret(String);

impl FleetSecret {
    /// Creates a secret from text, without surrounding white space.
    ///
    /// # Errors
    /// The secret is shorter than 16 bytes or not printable ASCII.
    pub fn new(text: &str) -> Result<Self, &'static str> {
        let text = text.trim();
        if text.len() < MIN_SECRET_BYTES {
            return Err("the fleet secret is shorter than 16 bytes");
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err("the fleet secret is not printable ASCII");
        }
        Ok(Self(text.to_owned()))
    }

    /// Reads the secret from a file.
    ///
    /// # Errors
    /// The file can't be read, or doesn't contain a valid secret.
    pub fn read(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        Self::new(&text).map_err(|reason| io::Error::new(io::ErrorKind::InvalidData, reason))
    }

    /// Compares `other` with the secret in constant time.
    pub fn matches(&self, other: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(other).into()
    }

    /// The secret itself, for the [`SECRET_HEADER`].
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(hidden)")
    }
}
