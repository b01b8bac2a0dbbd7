//! Messages between the processes of the system, their codec and their client.
//!
//! Every call between two processes is an HTTP POST with a MessagePack body. A message that
//! implements [`Call`] names its path and its reply, so that client and server can't disagree.
//! Calls to the control leader go through [`ControlClient`], which finds the leader by itself.
//! A dispatch to an agent is answered by a stream of [`AgentMessage`] frames, see
//! [`dispatch`].
//!
//! Every call may arrive twice: the ids in the messages make each of them idempotent.
//!
//! ```
//! use clem_wire::{codec, dispatch::Fence};
//! use clem_types::{Attempt, RequestId};
//!
//! let fence = Fence { request: RequestId(7), attempt: Attempt(1) };
//! let bytes = codec::encode(&fence)?;
//! assert_eq!(codec::decode::<Fence>(&bytes)?, fence);
//! # Ok::<(), clem_wire::codec::CodecError>(())
//! ```

pub mod admin;
pub mod batch;
pub mod codec;
pub mod dispatch;
pub mod fleet;
pub mod jobs;
pub mod online;
pub mod sync;

mod call;
mod client;
mod control;
mod leader;
mod secret;
mod server;

pub use call::{Call, CallError, ControlReply, MAX_MESSAGE_BYTES};
pub use client::Client;
pub use control::ControlClient;
pub use dispatch::AgentMessage;
pub use leader::LeaderView;
pub use secret::{FleetSecret, SECRET_HEADER};
pub use server::{Guard, answer, read_call};
