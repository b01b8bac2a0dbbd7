//! Request handling shared by all services that are backed by a replicated group: proposing
//! commands, and answering calls on the leader.

use std::{future::Future, marker::PhantomData, sync::Arc};

use clem_intake::CallRoom;
use clem_state::{Command, Outcome};
use clem_types::Time;
use clem_wire::{Call, LeaderReply, answer, discard_body, message_bytes, read_call};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use crate::replica::{ProposalResult, Replica};

/// Why this process could not answer a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServeError {
    /// This process is not the leader; the call had no effect.
    NotLeader,
    /// This process is short of room on its disk or in its memory; the call had no effect.
    NoRoom,
    /// It is unknown whether the call takes effect, for example because leadership was lost while
    /// it was in progress.
    Unknown,
}

/// The result of handling a call.
pub type Result<T> = std::result::Result<T, ServeError>;

/// A service that is backed by a replicated group.
pub trait Replicated: Send + Sync + 'static {
    /// This process's member of the group.
    fn replica(&self) -> &Replica;

    /// The memory for large calls; `None` if it is not bounded.
    fn call_room(&self) -> Option<&CallRoom> {
        None
    }

    /// The present time.
    fn now(&self) -> Time;

    /// Waits until local reads reflect everything that was committed before this call.
    ///
    /// # Errors
    /// This process is not the leader.
    fn barrier(&self) -> impl Future<Output = Result<()>> + Send {
        async {
            if self.replica().read_barrier().await {
                return Ok(());
            }
            Err(ServeError::NotLeader)
        }
    }

    /// Proposes a command and waits until it is applied here.
    ///
    /// # Errors
    /// This process is not the leader, has no room, or lost leadership before the command was applied.
    fn propose(&self, command: Command) -> impl Future<Output = Result<Outcome>> + Send {
        async {
            match self.replica().propose(command).await {
                ProposalResult::Done(outcome) => Ok(outcome),
                ProposalResult::NotLeader => Err(ServeError::NotLeader),
                ProposalResult::NoRoom => Err(ServeError::NoRoom),
                ProposalResult::Unknown => Err(ServeError::Unknown),
            }
        }
    }
}

/// A call that is answered by the leader of a group; `S` is the state shared by its handlers.
pub trait Serve<S>: Call + Send + 'static {
    /// Whether the handler runs to completion even when the client disconnects. Needed where a
    /// committed change must also reach the leader's soft state.
    const DETACHED: bool = false;
    /// Whether calls may be large, so that they wait for [room](Replicated::call_room) before they are read.
    const LARGE: bool = false;

    /// Handles the call.
    fn serve(self, shared: Arc<S>) -> impl Future<Output = Result<Self::Reply>> + Send;
}

/// The route of call `C`, at the path [`Call::PATH`].
pub fn route<C, S>(shared: &Arc<S>) -> Router
where
    C: Serve<S>,
    C::Reply: Send,
    S: Replicated,
{
    let path = C::PATH.trim_start_matches('/');
    Router::with_path(path).post(Endpoint::<C, S> {
        shared: Arc::clone(shared),
        call: PhantomData,
    })
}

/// Decodes a call, runs its handler and encodes the reply.
struct Endpoint<C, S> {
    shared: Arc<S>,
    call: PhantomData<fn() -> C>,
}

#[async_trait]
impl<C, S> Handler for Endpoint<C, S>
where
    C: Serve<S>,
    C::Reply: Send,
    S: Replicated,
{
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let room = self.shared.call_room().filter(|_| C::LARGE);
        let mut permit = None;
        if let Some(room) = room {
            let length = message_bytes(req);
            permit = room.enter(length).await;
            if permit.is_none() {
                room.note_refused(self.shared.now(), C::PATH, length);
                // Closing the connection before the message is read could lose the reply.
                discard_body(req).await;
                answer(res, &LeaderReply::<C::Reply>::NoRoom);
                return;
            }
        }
        let Some(call) = read_call::<C>(req, res).await else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        let serving = async move {
            let result = call.serve(shared).await;
            drop(permit);
            result
        };
        let result = if C::DETACHED {
            match tokio::spawn(serving).await {
                Ok(result) => result,
                Err(_) => Err(ServeError::Unknown),
            }
        } else {
            serving.await
        };
        answer(res, &reply(self.shared.replica(), result));
    }
}

/// Turns the result of a handler into the reply on the wire.
fn reply<T>(replica: &Replica, result: Result<T>) -> LeaderReply<T> {
    match result {
        Ok(reply) => LeaderReply::Done(reply),
        Err(ServeError::NotLeader) => LeaderReply::NotLeader {
            leader: replica.leader(),
            brief: Some(replica.brief()),
        },
        Err(ServeError::NoRoom) => LeaderReply::NoRoom,
        Err(ServeError::Unknown) => LeaderReply::Unknown,
    }
}
