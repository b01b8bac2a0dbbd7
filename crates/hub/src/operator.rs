//! The operator API. Any member accepts calls and forwards them to the leader.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use clem_edge::{Cause, OperatorCall, Refusal, RetireStart};
use clem_intake::{BodyError, BodyLimits, read_body};
use clem_policy::RefusalLog;
use clem_wire::fleet::{
    Evacuate, EvacuateReply, GetRules, MAX_RULES_BYTES, PutRules, Retire, RetireReply,
    RulesDocument,
};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::Semaphore};

use crate::Hub;

/// Timeout for the leader; operators try another member after one second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum length of an unknown name in logs and responses, in characters.
const NAME_SHOWN: usize = 64;
/// Timeout for a request head; also the idle timeout of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of operators' connections.
const CONNECTIONS_MAX: usize = 128;
/// Most bytes read from a connection at once, and the largest request head.
const READ_BYTES_MAX: usize = 16 * 1024;
/// How long an operator may send nothing of a document, and how long all of it may take.
const BODY_IDLE: Duration = Duration::from_secs(15);
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// How often a document may be in memory at once: as it was received, parsed, checked, and packed for the leader.
const DOCUMENT_COPIES: usize = 4;
/// Retry time of a document for which there was no room.
const ROOM_RETRY: Duration = Duration::from_millis(300);

/// Serves the operator API until the process exits.
pub(crate) async fn serve(hub: Arc<Hub>, socket: TcpListener) {
    let free = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut log = RefusalLog::default();
    loop {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "operator connection not accepted");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&free).try_acquire_owned() else {
            if let Some(refused) = log.count(hub.clock.now()) {
                log::warn!(refused, open = CONNECTIONS_MAX; "operator connections refused");
            }
            continue;
        };
        let hub = Arc::clone(&hub);
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let hub = Arc::clone(&hub);
                async move { Ok::<_, Infallible>(answer(&hub, request).await.map(Full::new)) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(READ_BYTES_MAX)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!(error:% = error; "operator connection failed");
            }
            drop(permit);
        });
    }
}

async fn answer(hub: &Hub, request: Request<Incoming>) -> Response<Bytes> {
    let (head, body) = request.into_parts();
    let Some(call) = hub.dialect.read_operator_call(&head) else {
        return hub.dialect.refusal(&Refusal::new(Cause::NotFound));
    };
    match call {
        OperatorCall::PutRules => {
            let limits = BodyLimits {
                bytes: MAX_RULES_BYTES,
                idle: BODY_IDLE,
                total: BODY_TIMEOUT,
                copies: DOCUMENT_COPIES,
            };
            let read = read_body(&hub.documents, body, "", limits, || hub.clock.now()).await;
            match read {
                Ok((document, _place)) => put_rules(hub, document).await,
                Err(error) => hub.dialect.refusal(&document_refusal(error)),
            }
        }
        OperatorCall::GetRules => get_rules(hub).await,
        OperatorCall::StartRetire { vm } => {
            let call = Retire { vm, begin: true };
            match hub.peers.call(&call, LEADER_TIMEOUT).await {
                Ok(RetireReply::Running | RetireReply::Completed) => {
                    hub.dialect.retire_started(RetireStart::Started)
                }
                Ok(RetireReply::Unknown) => hub.dialect.retire_started(RetireStart::Unknown),
                Ok(RetireReply::TooFew) => hub.dialect.retire_started(RetireStart::TooFew),
                Err(_) => hub.dialect.refusal(&Refusal::new(Cause::NotReady)),
            }
        }
        OperatorCall::StartEvacuation { data_centre } => evacuate(hub, data_centre, true).await,
        OperatorCall::EndEvacuation { data_centre } => evacuate(hub, data_centre, false).await,
        OperatorCall::GetRetire { vm } => {
            let call = Retire { vm, begin: false };
            match hub.peers.call(&call, LEADER_TIMEOUT).await {
                Ok(RetireReply::Completed) => hub.dialect.retire_state(Some(true)),
                Ok(RetireReply::Running | RetireReply::TooFew) => {
                    hub.dialect.retire_state(Some(false))
                }
                Ok(RetireReply::Unknown) => hub.dialect.retire_state(None),
                Err(_) => hub.dialect.refusal(&Refusal::new(Cause::NotReady)),
            }
        }
    }
}

/// The refusal of a document that is not taken.
fn document_refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLong => Refusal::new(Cause::TooLong),
        BodyError::Slow => Refusal::new(Cause::BodySlow),
        BodyError::NoRoom => Refusal::after(Cause::BodyRoom, ROOM_RETRY),
        BodyError::Broken => Refusal::new(Cause::Malformed),
    }
}

async fn evacuate(hub: &Hub, data_centre: String, begin: bool) -> Response<Bytes> {
    if !hub.knows_data_centre(&data_centre) {
        log::warn!(data_centre = shorten(&data_centre), begin; "evacuation of an unknown data centre");
        return hub.dialect.data_centre_unknown(shorten(&data_centre));
    }
    let call = Evacuate { data_centre, begin };
    match hub.peers.call(&call, LEADER_TIMEOUT).await {
        Ok(EvacuateReply::Stored) => hub.dialect.operator_done(),
        Ok(EvacuateReply::TooMany) => hub.dialect.refusal(&Refusal::new(Cause::Busy)),
        Err(error) => {
            log::warn!(
                data_centre = call.data_centre.as_str(), begin, error:% = error;
                "evacuation not stored, or outcome unknown"
            );
            hub.dialect.refusal(&Refusal::new(Cause::NotReady))
        }
    }
}

/// The beginning of a name that an operator gave, for logs and responses.
fn shorten(name: &str) -> &str {
    let end = name.char_indices().nth(NAME_SHOWN);
    end.map_or(name, |(end, _)| &name[..end])
}

async fn get_rules(hub: &Hub) -> Response<Bytes> {
    let not_ready = || hub.dialect.refusal(&Refusal::new(Cause::NotReady));
    let rules = match hub.peers.call(&GetRules {}, LEADER_TIMEOUT).await {
        Ok(rules) if rules.version.0 > 0 => rules,
        Ok(_) | Err(_) => return not_ready(),
    };
    match rules.text() {
        Ok(text) => hub.dialect.rules_document(text),
        Err(error) => {
            log::error!(version = rules.version.0, error:% = error; "rules damaged");
            not_ready()
        }
    }
}

async fn put_rules(hub: &Hub, document: Bytes) -> Response<Bytes> {
    let rules = match hub.dialect.read_rules(&document) {
        Ok(rules) => rules,
        Err(findings) => {
            log::warn!(findings:% = findings; "rules rejected");
            return hub.dialect.rules_rejected(&findings);
        }
    };
    let stored = hub.stored_rules();
    if rules.version <= stored {
        log::info!(version = rules.version.0, kept = stored.0; "rules already stored");
        return hub.dialect.operator_done();
    }
    let packed = match RulesDocument::new(rules.version, &document) {
        Ok(packed) => packed,
        Err(error) => {
            log::error!(version = rules.version.0, error:% = error; "rules not packed");
            return hub.dialect.refusal(&Refusal::new(Cause::NotReady));
        }
    };
    let call = PutRules { rules: packed };
    match hub.peers.call(&call, LEADER_TIMEOUT).await {
        Ok(_) => hub.dialect.operator_done(),
        Err(error) => {
            log::warn!(version = rules.version.0, error:% = error; "rules not stored, or outcome unknown");
            hub.dialect.refusal(&Refusal::new(Cause::NotReady))
        }
    }
}
