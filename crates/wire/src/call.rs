//! Calls between processes and their errors.

use std::{fmt, net::SocketAddr, time::Duration};

use http::StatusCode;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Asked, GroupBrief};

/// Maximum size of a message body, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// A request message with a single reply.
pub trait Call: Serialize + DeserializeOwned {
    /// The HTTP path that the message is posted to.
    const PATH: &'static str;
    /// How long the server may delay the reply (long polling); zero if it replies at once.
    const MAX_HOLD: Duration = Duration::ZERO;
    /// The type of the reply.
    type Reply: Serialize + DeserializeOwned;

    /// Whether a reply says that the call had no effect, which is true of the try that it answers only.
    fn is_refusal(_reply: &Self::Reply) -> bool {
        false
    }
}

/// What a member of a replicated group answers: the leader's reply, or which process leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderReply<T> {
    /// The leader's reply.
    Done(T),
    /// This process is not the leader; the call had no effect.
    NotLeader {
        /// The leader's address, if this process knows it.
        leader: Option<SocketAddr>,
        /// What this process knows of its group; `None` from one of an earlier release.
        #[serde(default)]
        brief: Option<GroupBrief>,
    },
    /// The process lost leadership while handling the call, which may or may not have taken effect.
    Unknown,
    /// The process is short of room for a while, on its disk or in its memory; the call had no effect.
    NoRoom,
}

/// Why a call failed.
#[derive(Debug)]
pub enum CallError {
    /// The call was not sent, for example because no connection could be established.
    NotSent(String),
    /// The call failed after it was sent; the server may have executed it.
    MayHaveArrived(String),
    /// Nothing arrived in time; the server may have executed the call.
    TimedOut(String),
    /// The server rejected the call without executing it.
    Refused {
        /// The HTTP status of the response.
        status: u16,
        /// The response's body as text; empty if it was too long to be read.
        message: String,
    },
    /// The caller has no room for the reply; the server has executed the call.
    NoRoom,
    /// The reply can't be decoded; the server may have executed the call.
    Malformed(String),
    /// No process of a group replied as its leader in time.
    NoLeader {
        /// Whether a process may have executed the call.
        arrived: bool,
        /// What the processes said.
        asked: Asked,
    },
}

impl CallError {
    /// Whether the server certainly did not execute the call.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Refused { .. } => true,
            Self::MayHaveArrived(_) | Self::TimedOut(_) | Self::Malformed(_) | Self::NoRoom => {
                false
            }
            Self::NoLeader { arrived, .. } => !arrived,
        }
    }

    /// Whether this is the refusal of a process that serves no such calls, or not those of this fleet:
    /// it says nothing of the call. One that serves a call refuses only what it can't read.
    pub(crate) fn is_from_outside(&self) -> bool {
        let Self::Refused { status, .. } = self else {
            return false;
        };
        !matches!(
            StatusCode::from_u16(*status),
            Ok(StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE)
        )
    }

    /// What the processes of a group said, if none replied as its leader.
    pub fn asked(&self) -> Option<&Asked> {
        match self {
            Self::NoLeader { asked, .. } => Some(asked),
            Self::NotSent(_)
            | Self::MayHaveArrived(_)
            | Self::TimedOut(_)
            | Self::Refused { .. }
            | Self::NoRoom
            | Self::Malformed(_) => None,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::MayHaveArrived(cause) | Self::TimedOut(cause) => {
                write!(f, "sent, but not answered: {cause}")
            }
            Self::Refused { status, message } => {
                write!(f, "refused with HTTP status {status}: {message}")
            }
            Self::NoRoom => f.write_str("answered, but there is no room for the reply"),
            Self::Malformed(cause) => write!(f, "the reply is malformed: {cause}"),
            Self::NoLeader { arrived: true, .. } => {
                f.write_str("sent, but not answered: no control process answered in time")
            }
            Self::NoLeader { arrived: false, .. } => {
                f.write_str("not sent: no control leader was reached in time")
            }
        }
    }
}

impl std::error::Error for CallError {}
