//! Log indexes, terms and the ids of members and clusters.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The index of a log entry, from 1; 0 means before the first entry.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the next index.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the previous index; for 0 it is 0.
    #[must_use]
    pub fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A Raft term: a period with at most one leader.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the next term.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

random_id!(
    /// The id of a member, chosen at random when its data folder is created.
    ///
    /// A process that lost its disk gets a new id: with the old one it could vote twice in a term.
    MemberId
);
random_id!(
    /// The id of a cluster, chosen at random by the member that founds it.
    ClusterId
);

/// The position of an entry in the logs of a cluster. Of two entries that were committed, or may still be, the
/// later one has the higher position, though an entry that never was may have a higher index.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its index.
    pub index: LogIndex,
}
