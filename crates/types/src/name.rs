//! Names that operators choose: short texts that are safe in logs, paths and metrics.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{ParseError, Result};

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The longest command id or holder id, in bytes.
const MAX_ID_BYTES: usize = 128;

fn check(text: &str, wanted: &'static str, longest: usize, extra: &str) -> Result<()> {
    if text.is_empty() {
        return Err(ParseError::new(wanted, "it is empty"));
    }
    if text.len() > longest {
        return Err(ParseError::new(wanted, "it is too long"));
    }
    for c in text.chars() {
        if c.is_ascii_alphanumeric() || c == '-' || extra.contains(c) {
            continue;
        }
        return Err(ParseError::new(
            wanted,
            "it has a character that is not allowed",
        ));
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $wanted:literal, $longest:expr, $extra:literal) => {
        $(#[$doc])*
        ///
        /// Cloning is cheap: the text is shared.
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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
                check(text, $wanted, $longest, $extra)?;
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
    /// A customer: the owner of keys, rates and batches.
    CustomerId, "customer id", MAX_NAME_BYTES, "_"
);
name!(
    /// A key's public name; never the key itself.
    KeyId, "key id", MAX_NAME_BYTES, "_"
);
name!(
    /// A route: what a caller asks for.
    RouteId, "route id", MAX_NAME_BYTES, "_"
);
name!(
    /// A target: one replica of a model engine or of a plain service.
    TargetId, "target id", MAX_NAME_BYTES, "_"
);
name!(
    /// A model, without its version.
    ModelId, "model id", MAX_NAME_BYTES, "_."
);
name!(
    /// An adapter that is loaded on top of a model.
    AdapterId, "adapter id", MAX_NAME_BYTES, "_."
);
name!(
    /// A plain service that stands beside the model engines.
    ServiceId, "service id", MAX_NAME_BYTES, "_"
);
name!(
    /// A placement rule: how many replicas of a model version stand in a data centre.
    PlacementId, "place id", MAX_NAME_BYTES, "_"
);
name!(
    /// A data centre.
    DataCentre, "data centre", MAX_NAME_BYTES, "_"
);
name!(
    /// An operator's command; the same id means the same command, sent again.
    CommandId, "command id", MAX_ID_BYTES, "_.:"
);
name!(
    /// A process that holds a lease on the rules, for example `entry-127.0.0.1:7000`.
    HolderId, "holder id", MAX_ID_BYTES, "_.:[]"
);
