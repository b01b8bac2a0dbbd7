//! The messages that the system's processes exchange, with their codec, client and server side.
//!
//! Every call between two processes is an HTTP POST with a MessagePack body. A message that
//! implements [`Call`] defines its path and reply type, so that client and server can't disagree.
//! Calls to the leader of a replicated group go through [`LeaderClient`], which finds the leader.
//! A dispatch to an agent is answered by a stream of [`AgentMessage`] frames, see [`dispatch`].
//!
//! Calls are delivered at least once: the ids in the messages make each of them idempotent.
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
pub mod pack;
pub mod sync;
pub mod targets;

mod asked;
mod call;
mod client;
mod group_brief;
mod leader;
mod leader_client;
mod pools;
mod secret;
mod server;
mod upload;

pub use asked::{Answer, Asked};
pub use call::{Call, CallError, LeaderReply, MAX_MESSAGE_BYTES};
pub use client::{Client, ReplyRoom};
pub use dispatch::AgentMessage;
pub use group_brief::GroupBrief;
pub use leader::LeaderTracker;
pub use leader_client::LeaderClient;
pub use secret::{FleetSecret, SECRET_HEADER};
pub use server::{Guard, answer, discard_body, message_bytes, read_call, read_message};
