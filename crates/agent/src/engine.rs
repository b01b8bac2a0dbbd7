//! HTTP client of the target.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use clem_edge::Framing;
use clem_types::{AdapterId, FenceNumber, ModelId, ModelVersion};
use clem_wire::{
    dispatch::TargetCall,
    sync::{LoadedModel, ModelState},
};
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Value, json};

/// Timeout for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a control call to the engine.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of an answer that is buffered whole.
pub(crate) const MAX_ANSWER_BYTES: usize = 7 * 1024 * 1024;
/// The header with the ID by which a stream is cancelled or parked at the engine.
const REQUEST_ID: &str = "x-request-id";

/// Why the target did not answer.
#[derive(Debug)]
pub(crate) enum TargetError {
    /// The connection could not be opened: the target never received the call.
    NotSent(String),
    /// The call failed after it may have reached the target.
    Broken(String),
}

type Result<T> = std::result::Result<T, TargetError>;

/// Sends calls to the target, an inference engine or a plain service.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    http: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

/// The part of the reply to `GET /engine/load` that the agent uses.
#[derive(Debug, Deserialize)]
pub(crate) struct EngineLoad {
    /// Identifies this run of the engine process.
    pub(crate) incarnation: Value,
}

#[derive(Debug, Deserialize)]
struct EngineModel {
    model: ModelId,
    version: ModelVersion,
    #[serde(default)]
    adapters: Vec<AdapterId>,
    state: EngineState,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EngineState {
    Loading,
    Ready,
    Failed,
}

/// Reply of the engine to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EngineReply {
    /// The engine is executing the order.
    Accepted,
    /// The engine has accepted a newer order.
    Stale,
    /// The engine can't execute the order, with the status and body of its reply.
    Refused(String),
}

impl Engine {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { http, address }
    }

    /// Address of the target.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards a caller's request, with `id` as its stream ID. A response that names another ID is a
    /// late copy that belongs to a former request on the connection.
    pub(crate) async fn send(
        &self,
        call: &TargetCall,
        id: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>> {
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(format!("http://{}{}", self.address, call.path));
        if let Some(headers) = request.headers_mut() {
            for header in &call.headers {
                let name = HeaderName::from_bytes(header.name.as_bytes());
                let value = HeaderValue::from_bytes(&header.value);
                let (Ok(name), Ok(value)) = (name, value) else {
                    continue;
                };
                if is_reserved(&name) {
                    continue;
                }
                headers.append(name, value);
            }
            if let Ok(id) = HeaderValue::from_str(id) {
                headers.insert(REQUEST_ID, id);
            }
        }
        let request = request.body(Full::new(body));
        let request = request.map_err(|error| TargetError::NotSent(error.to_string()))?;
        let response = self.send_request(request).await?;
        let named = response.headers().get(REQUEST_ID);
        if named.is_some_and(|named| named.as_bytes() != id.as_bytes()) {
            log::warn!(id; "response of another request");
            let reason = "the response belongs to another request";
            return Err(TargetError::Broken(reason.to_owned()));
        }
        Ok(response)
    }

    /// Sends a chat request, with `id` as its stream ID.
    pub(crate) async fn chat(&self, id: &str, body: Bytes) -> Result<Response<Incoming>> {
        let call = TargetCall {
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            headers: vec![clem_wire::dispatch::Header {
                name: CONTENT_TYPE.as_str().to_owned(),
                value: b"application/json".to_vec(),
            }],
            body: Bytes::new(),
            stream: true,
        };
        self.send(&call, id, body).await
    }

    /// Cancels a stream at the engine. Errors are ignored.
    pub(crate) async fn cancel(&self, id: &str) {
        let _: Result<Value> = self.post("/engine/cancel", &json!({ "id": id })).await;
    }

    /// Parks a stream: the engine stops it and keeps its KV cache. Errors are ignored.
    pub(crate) async fn park(&self, id: &str) {
        let _: Result<Value> = self.post("/engine/park", &json!({ "id": id })).await;
    }

    /// Reads the load report of the engine.
    pub(crate) async fn load(&self) -> Result<EngineLoad> {
        self.get("/engine/load").await
    }

    /// Reads the models that the engine has loaded or is loading.
    pub(crate) async fn models(&self) -> Result<Vec<LoadedModel>> {
        let models: Vec<EngineModel> = self.get("/engine/models").await?;
        let models = models.into_iter().map(|model| LoadedModel {
            model: model.model,
            version: model.version,
            adapters: model.adapters,
            state: match model.state {
                EngineState::Loading => ModelState::Loading,
                EngineState::Ready => ModelState::Ready,
                EngineState::Failed => ModelState::Failed,
            },
        });
        Ok(models.collect())
    }

    /// Sends an order to the engine with its fence number.
    pub(crate) async fn order(&self, fence: FenceNumber, order: &Value) -> Result<EngineReply> {
        let body = json!({ "fence": fence.0, "order": order });
        let response = self
            .with_timeout(self.send_post("/engine/orders", &body))
            .await?;
        let status = response.status();
        if status.is_success() {
            return Ok(EngineReply::Accepted);
        }
        let text = Limited::new(response.into_body(), 4096).collect().await;
        let text = text.map(|body| body.to_bytes()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        if status == StatusCode::CONFLICT && text.contains("stale_fence") {
            return Ok(EngineReply::Stale);
        }
        Ok(EngineReply::Refused(format!("{status}: {text}")))
    }

    /// Whether a response that was read without an error is complete. One without length and chunks
    /// ends with its connection, which a target that crashes closes as well.
    pub(crate) async fn is_complete(&self, framing: Framing) -> bool {
        match framing {
            Framing::Length | Framing::Chunked => true,
            Framing::Close => self.accepts_connections().await,
        }
    }

    /// Whether the target accepts TCP connections.
    pub(crate) async fn accepts_connections(&self) -> bool {
        let connect = tokio::net::TcpStream::connect(self.address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        matches!(connected, Ok(Ok(_)))
    }

    // ------------------------------------------------------------------------

    async fn post<T: DeserializeOwned>(&self, path: &str, body: &Value) -> Result<T> {
        let response = self.with_timeout(self.send_post(path, body)).await?;
        self.with_timeout(read_json(response)).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(Bytes::new()))
            .map_err(|error| TargetError::NotSent(error.to_string()))?;
        let response = self.with_timeout(self.send_request(request)).await?;
        self.with_timeout(read_json(response)).await
    }

    async fn send_post(&self, path: &str, body: &Value) -> Result<Response<Incoming>> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| TargetError::NotSent(error.to_string()))?;
        self.send_request(request).await
    }

    async fn send_request(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        match self.http.request(request).await {
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(TargetError::NotSent(error.to_string())),
            Err(error) => Err(TargetError::Broken(error.to_string())),
        }
    }

    async fn with_timeout<T>(&self, work: impl Future<Output = Result<T>>) -> Result<T> {
        match tokio::time::timeout(CONTROL_TIMEOUT, work).await {
            Ok(result) => result,
            Err(_) => Err(TargetError::Broken("timed out".to_owned())),
        }
    }
}

async fn read_json<T: DeserializeOwned>(response: Response<Incoming>) -> Result<T> {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| TargetError::Broken(error.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| TargetError::Broken(error.to_string()))
}

/// Whether a caller's header is not forwarded: hop-by-hop headers and those that the agent sets.
fn is_reserved(name: &HeaderName) -> bool {
    const RESERVED: [&str; 9] = [
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        REQUEST_ID,
    ];
    let name = name.as_str();
    RESERVED.contains(&name) || name == clem_wire::SECRET_HEADER
}
