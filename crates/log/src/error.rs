//! Errors of requests to a node.

use std::fmt;

use crate::MemberId;

/// The reason why a node rejected a proposal, a read or a membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeError {
    /// This member isn't the leader, or is transferring its leadership.
    NotLeader {
        /// The leader, if it is known and is another member.
        leader: Option<MemberId>,
    },
    /// Too many bytes of proposals are uncommitted; the caller may retry shortly.
    Busy,
    /// The disk is nearly full; accepted proposals are unaffected.
    DiskFull,
    /// The change doesn't apply to the current members, or can't be made now: another change is
    /// uncommitted or a leadership transfer is running.
    ChangeRefused,
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { leader: Some(id) } => write!(f, "not the leader; the leader is {id}"),
            Self::NotLeader { leader: None } => f.write_str("no leader is known"),
            Self::Busy => f.write_str("too many uncommitted proposals"),
            Self::DiskFull => f.write_str("the disk is nearly full"),
            Self::ChangeRefused => f.write_str("this membership change is not possible now"),
        }
    }
}

impl std::error::Error for NodeError {}

/// The result of a request to a node.
pub type Result<T> = std::result::Result<T, NodeError>;
