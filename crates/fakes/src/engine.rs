//! The fake model engine: the batching model driven by the clock, behind an HTTP API.

mod chat;
mod orders;
mod reports;
mod settings;
mod state;

use std::sync::Arc;

use eyre::Result;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::Method};
use serde::{Deserialize, Serialize};

pub(crate) use self::settings::program;
use self::state::{EngineState, ParkedExport};
use crate::{
    Common,
    http::{self, Refusal},
    request_log::Outcome,
};

/// Serves until the process is stopped.
pub(crate) async fn run(settings: clem_boot::Settings, common: Common) -> Result<()> {
    let settings = settings::read(settings)?;
    let state = Arc::new(EngineState::new(settings, common.log));
    tokio::spawn(state::drive(Arc::clone(&state)));
    http::serve("engine", common.listener, EngineHandler { state }).await
}

struct EngineHandler {
    state: Arc<EngineState>,
}

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        if *req.method() == Method::GET {
            if let Err(refusal) = self.report(req, res) {
                http::send_refusal(res, &refusal);
            }
            return;
        }
        let body = match http::body_text(req).await {
            Ok(body) => body,
            Err(report) => return http::send_refusal(res, &Refusal::from(report)),
        };
        let mut record = match http::begin(&self.state.log, req, &body) {
            Ok(record) => record,
            Err(report) => return http::send_refusal(res, &Refusal::from(report)),
        };
        if req.uri().path() == "/v1/chat/completions" {
            return chat::answer(&self.state, &body, record, res).await;
        }
        match self.command(req.uri().path(), &body, res) {
            Ok(()) => record.close(Outcome::Done, None),
            Err(refusal) => http::refuse(res, &mut record, &refusal),
        }
    }
}

#[derive(Debug, Deserialize)]
struct StreamName {
    id: String,
}

#[derive(Debug, Serialize)]
struct Cancelled<'a> {
    id: &'a str,
    cancelled: bool,
}

#[derive(Debug, Serialize)]
struct ParkAnswer<'a> {
    id: &'a str,
    parked: bool,
    tokens: u32,
}

impl EngineHandler {
    /// Answers the read-only calls.
    fn report(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal> {
        let state = &self.state;
        match req.uri().path() {
            "/engine/load" => http::send_json(res, &state.load_report()),
            "/engine/models" => http::send_json(res, &state.lock().models.list()),
            "/engine/cache" if req.query::<u32>("full") == Some(1) => {
                http::send_json(res, &state.cache_snapshot());
            }
            "/engine/cache" => {
                let after = req.query("after").unwrap_or(0);
                http::send_json(res, &state.cache_events(after));
            }
            "/engine/kv" => {
                let id: String = req.query("id").unwrap_or_default();
                let Some(export) = state.export(&id) else {
                    return Err(Refusal::not_found());
                };
                http::send_json(res, &export);
            }
            _ => return Err(Refusal::not_found()),
        }
        Ok(())
    }

    /// Executes the calls that change state, except for chat.
    fn command(&self, path: &str, body: &str, res: &mut Response) -> Result<(), Refusal> {
        let state = &self.state;
        match path {
            "/engine/cancel" => {
                let StreamName { id } = read(body)?;
                let cancelled = state.cancel(&id);
                http::send_json(res, &Cancelled { id: &id, cancelled });
            }
            "/engine/park" => {
                let StreamName { id } = read(body)?;
                let tokens = state.park(&id);
                let answer = ParkAnswer {
                    id: &id,
                    parked: tokens.is_some(),
                    tokens: tokens.unwrap_or(0),
                };
                http::send_json(res, &answer);
            }
            "/engine/kv" => {
                let export: ParkedExport = read(body)?;
                state.import(&export)?;
                http::send_json(res, &export);
            }
            "/engine/orders" => {
                let accepted = orders::execute(state, read(body)?)?;
                http::send_json(res, &accepted);
            }
            _ => return Err(Refusal::not_found()),
        }
        Ok(())
    }
}

fn read<'a, T: Deserialize<'a>>(body: &'a str) -> Result<T, Refusal> {
    serde_json::from_str(body).map_err(Refusal::bad_request)
}
