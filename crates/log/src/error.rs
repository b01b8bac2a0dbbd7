//! Why a node refuses.

use std::fmt;

use crate::MemberId;

/// Why a node doesn't take a proposal or read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// Another member leads, or none that this one knows of.
    NotLeader {
        /// The leader, when this member knows it.
        leader: Option<MemberId>,
    },
    /// Too much waits for its commit; come back a little later.
    Busy,
    /// The disk is nearly full; what was accepted stays.
    DiskFull,
    /// A former change of members isn't committed yet, or this one makes no sense.
    ChangeRefused,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { leader: Some(id) } => write!(f, "not the leader; that is {id}"),
            Self::NotLeader { leader: None } => f.write_str("no leader is known"),
            Self::Busy => f.write_str("too many proposals wait for their commit"),
            Self::DiskFull => f.write_str("the disk is nearly full"),
            Self::ChangeRefused => f.write_str("this change of members isn't possible now"),
        }
    }
}

impl std::error::Error for Refused {}

/// The result of asking a node.
pub type Result<T> = std::result::Result<T, Refused>;
