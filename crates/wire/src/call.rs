//! What a call between two processes is, and how it can fail.

use std::{fmt, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The longest body of one message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// A message that one process sends to another and that has one reply.
pub trait Call: Serialize + DeserializeOwned {
    /// The path that the message is posted to.
    const PATH: &'static str;
    /// How long the other side may hold the call before it answers.
    const MAX_HOLD: Duration = Duration::ZERO;
    /// What comes back.
    type Reply: Serialize + DeserializeOwned;
}

/// What a control process answers: the reply, or where to ask.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlReply<T> {
    /// The leader's reply.
    Done(T),
    /// This process does not lead; nothing was done.
    NotLeader {
        /// The leader's address, where this process knows it.
        leader: Option<SocketAddr>,
    },
    /// The leader lost its place while it worked; whether the call took effect is not known.
    Unknown,
}

/// Why a call brought no reply.
#[derive(Debug)]
pub enum CallError {
    /// No connection came about: the other side never saw the call.
    NotSent(String),
    /// The call was on its way when it failed: the other side may have acted on it.
    MayHaveArrived(String),
    /// The other side refused the call before acting on it.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The other side's words.
        message: String,
    },
    /// The reply is not what the call promises.
    Malformed(String),
}

impl CallError {
    /// Whether it is certain that the other side did not act on the call.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Refused { .. } => true,
            Self::MayHaveArrived(_) | Self::Malformed(_) => false,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::MayHaveArrived(cause) => write!(f, "sent, but not answered: {cause}"),
            Self::Refused { status, message } => write!(f, "refused with {status}: {message}"),
            Self::Malformed(cause) => write!(f, "the reply is malformed: {cause}"),
        }
    }
}

impl std::error::Error for CallError {}
