//! HTTP handlers for the calls of entries.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use clem_wire::{
    Call, Guard,
    dispatch::{Dispatch, Fence},
};
use futures_util::{Stream, stream};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode};
use tokio::sync::mpsc;

use crate::{
    agent::Agent,
    online::{self, FrameSender},
};

/// Capacity of an answer's channel, in frames. A slow entry that lets it fill up blocks the relay.
const FRAME_BUFFER: usize = 64;

/// Internal routes; each requires the fleet secret.
pub(crate) fn routes(agent: &Arc<Agent>, guard: Guard) -> Router {
    let dispatch = Router::with_path(&Dispatch::PATH[1..]).post(DispatchHandler {
        agent: agent.clone(),
    });
    let fence = Router::with_path(&Fence::PATH[1..]).post(FenceHandler {
        agent: agent.clone(),
    });
    Router::new().hoop(guard).push(dispatch).push(fence)
}

struct DispatchHandler {
    agent: Arc<Agent>,
}

#[async_trait]
impl Handler for DispatchHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let length = clem_wire::message_bytes(req);
        let Some(permit) = self.agent.room.enter(length).await else {
            self.agent
                .room
                .note_refused(self.agent.now(), Dispatch::PATH, length);
            clem_wire::discard_body(req).await;
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            res.render("no room for the dispatch; it was not read");
            return;
        };
        // It is not a `Call`, as its reply is a stream of frames.
        let Some(call) = clem_wire::read_message::<Dispatch>(req, res).await else {
            return;
        };
        let (sender, receiver) = mpsc::channel(FRAME_BUFFER);
        let frames = FrameSender::new(sender, &call);
        let agent = self.agent.clone();
        match agent.admit(|core, now| core.dispatch(now, &call)) {
            Ok((id, commands)) => {
                tokio::spawn(async move {
                    online::run(agent, id, commands, call, frames).await;
                    drop(permit);
                });
            }
            Err(refusal) => {
                tokio::spawn(online::refuse(agent, frames, refusal));
            }
        }
        res.stream(frame_stream(receiver));
    }
}

/// The response body. It is dropped when the entry disconnects, which closes the channel.
fn frame_stream(
    receiver: mpsc::Receiver<Bytes>,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Send + 'static {
    stream::unfold(receiver, |mut receiver| async move {
        let frame = receiver.recv().await?;
        Some((Ok(frame), receiver))
    })
}

struct FenceHandler {
    agent: Arc<Agent>,
}

#[async_trait]
impl Handler for FenceHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Some(call) = clem_wire::read_call::<Fence>(req, res).await else {
            return;
        };
        match self.agent.change(|core, now| core.fence(now, &call)) {
            Some(reply) => clem_wire::answer(res, &reply),
            None => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                res.render("the attempt history is full; the fence was not recorded");
            }
        }
    }
}
