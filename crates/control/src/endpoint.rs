//! What all programs around a replicated group do alike: proposing, and answering calls as the
//! leader.

use std::{future::Future, marker::PhantomData, sync::Arc};

use clem_state::{Command, Outcome};
use clem_wire::{Call, ControlReply, answer, read_call};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use crate::replica::{Proposed, Replica};

/// Why a call isn't answered by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServeError {
    /// This process does not lead; nothing was done.
    NotLeader,
    /// Whether the call took effect isn't known.
    Unknown,
}

/// The result of a call.
pub type Result<T> = std::result::Result<T, ServeError>;

/// What handlers share in a program around a replicated group.
pub trait Replicated: Send + Sync + 'static {
    /// This process's part in the group.
    fn replica(&self) -> &Replica;

    /// Waits until reads here are not stale.
    ///
    /// # Errors
    /// This process does not lead.
    fn barrier(&self) -> impl Future<Output = Result<()>> + Send {
        async {
            if self.replica().read_barrier().await {
                return Ok(());
            }
            Err(ServeError::NotLeader)
        }
    }

    /// Proposes a command and waits for its outcome.
    ///
    /// # Errors
    /// This process does not lead, or lost its place meanwhile.
    fn propose(&self, command: Command) -> impl Future<Output = Result<Outcome>> + Send {
        async {
            match self.replica().propose(command).await {
                Proposed::Done(outcome) => Ok(outcome),
                Proposed::NotLeader => Err(ServeError::NotLeader),
                Proposed::Unknown => Err(ServeError::Unknown),
            }
        }
    }
}

/// A call that the leader of a group answers; `S` is what its handlers share.
pub trait Serve<S>: Call + Send + 'static {
    /// Whether the call is carried through although whoever sent it goes away: a change that is
    /// committed must reach the leader's soft state as well.
    const DETACHED: bool = false;

    /// Answers the call.
    fn serve(self, shared: Arc<S>) -> impl Future<Output = Result<Self::Reply>> + Send;
}

/// The path of one call.
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

/// Reads a call, has it answered, and writes the reply.
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
        let Some(call) = read_call::<C>(req, res).await else {
            return;
        };
        let serving = call.serve(Arc::clone(&self.shared));
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

/// The reply to send for a result.
fn reply<T>(replica: &Replica, result: Result<T>) -> ControlReply<T> {
    match result {
        Ok(reply) => ControlReply::Done(reply),
        Err(ServeError::NotLeader) => ControlReply::NotLeader {
            leader: replica.leader(),
        },
        Err(ServeError::Unknown) => ControlReply::Unknown,
    }
}
