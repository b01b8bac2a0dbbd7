//! The operator API. Any member accepts calls and forwards them to the leader.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use clem_edge::{Cause, OperatorCall, Refusal, RetireStart};
use clem_wire::fleet::{
    Evacuate, EvacuateReply, GetRules, MAX_RULES_BYTES, PutRules, Retire, RetireReply,
    RulesDocument,
};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::Hub;

/// Timeout for the leader; operators try another member after one second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum length of an unknown name in logs and responses, in characters.
const NAME_SHOWN: usize = 64;
/// Timeout for a request head; also the idle timeout of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the operator API until the process exits.
pub(crate) async fn serve(hub: Arc<Hub>, socket: TcpListener) {
    loop {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "operator connection not accepted");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
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
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!(error:% = error; "operator connection failed");
            }
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
            let body = Limited::new(body, MAX_RULES_BYTES);
            let Ok(body) = body.collect().await else {
                return hub.dialect.refusal(&Refusal::new(Cause::TooLong));
            };
            put_rules(hub, body.to_bytes()).await
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
