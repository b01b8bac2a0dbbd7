//! The secret that the processes of one fleet show each other.

use std::{fmt, io, path::Path};

use subtle::ConstantTimeEq;

/// The header that carries the secret between processes; stripped from callers' requests.
pub const SECRET_HEADER: &str = "x-clem-secret";

/// The fewest bytes of a secret.
const MIN_SECRET_BYTES: usize = 16;

/// The fleet's secret; its `Debug` shows nothing.
#[derive(Clone)]
pub struct FleetSecret(String);

impl FleetSecret {
    /// Takes a secret from text; white space around it is dropped.
    ///
    /// # Errors
    /// Says so when it is shorter than 16 bytes or is not printable ASCII.
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
    /// The file can't be read, or holds no usable secret.
    pub fn read(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        Self::new(&text).map_err(|reason| io::Error::new(io::ErrorKind::InvalidData, reason))
    }

    /// Whether `shown` is the secret, in constant time.
    pub fn admits(&self, shown: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(shown).into()
    }

    /// The secret as a header value.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(hidden)")
    }
}
