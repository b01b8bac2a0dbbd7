//! Ids that operators choose, limited to characters that are safe in logs, paths and metrics.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{ParseError, Result};

/// The longest id of a configured object, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The longest command id or holder id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Accepts ASCII letters, digits, `-` and the characters of `extra`, up to `longest` bytes.
fn check(text: &str, expected: &'static str, longest: usize, extra: &str) -> Result<()> {
    if text.is_empty() {
        return Err(ParseError::new(expected, "it is empty"));
    }
    if text.len() > longest {
        return Err(ParseError::new(expected, "it is too long"));
    }
    for c in text.chars() {
        if c.is_ascii_alphanumeric() || c == '-' || extra.contains(c) {
            continue;
        }
        return Err(ParseError::new(
            expected,
            "it has a character that is not allowed",
        ));
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $expected:literal, $longest:expr, $extra:literal) => {
        $(#[$doc])*
        ///
        /// Clones share the text, so cloning is cheap.
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self> {
                check(text, $expected, $longest, $extra)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name!(
    /// The id of a customer (tenant), who owns API keys, rate limits and batches.
    CustomerId, "customer id", MAX_NAME_BYTES, "_"
);
name!(
    /// The public id of an API key; it is not secret and doesn't contain the key.
    KeyId, "key id", MAX_NAME_BYTES, "_"
);
name!(
    /// The id of a route, which maps requests to the backends that serve them.
    RouteId, "route id", MAX_NAME_BYTES, "_"
);
name!(
    /// The id of a target: one replica of a model engine or of a service.
    TargetId, "target id", MAX_NAME_BYTES, "_"
);
name!(
    /// The id of a model; the version is a separate [`ModelVersion`](crate::ModelVersion).
    ModelId, "model id", MAX_NAME_BYTES, "_."
);
name!(
    /// The id of an adapter (for example LoRA weights) that is loaded on top of a model.
    AdapterId, "adapter id", MAX_NAME_BYTES, "_."
);
name!(
    /// The id of a service that is not a model engine.
    ServiceId, "service id", MAX_NAME_BYTES, "_"
);
name!(
    /// The id of a placement rule: how many replicas of a model version run in a data centre.
    PlacementId, "place id", MAX_NAME_BYTES, "_"
);
name!(
    /// The version of a target's software, as the platform lists it. Versions have no order: two are
    /// equal or not.
    SoftwareVersion, "software version", MAX_ID_BYTES, "_.:+~@/"
);
name!(
    /// The name of a data centre (zone), as operators assign it.
    DataCentre, "data centre", MAX_NAME_BYTES, "_"
);
name!(
    /// The id of an operator's command; a repeated id marks a retry of the same command.
    CommandId, "command id", MAX_ID_BYTES, "_.:"
);
name!(
    /// The id of a process that holds a lease on the rules, for example `entry-127.0.0.1:7000`.
    HolderId, "holder id", MAX_ID_BYTES, "_.:[]"
);
