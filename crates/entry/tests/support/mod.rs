//! Mock control and agents, and a real entry process between them.

#![allow(
    dead_code,
    unused_imports,
    unreachable_pub,
    reason = "each test file uses only some of these items"
)]

pub mod agent;
pub mod connection;
pub mod control;
pub mod process;

use std::{future::Future, time::Duration};

use clem_boot::bind;
use clem_boot::{CliAction, Flag, Program, acceptor};
use clem_wire::FleetSecret;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use salvo::{Router, Server};

pub use agent::{Agent, Behaviour};
pub use control::Control;
pub use process::EntryProcess;

pub const SECRET: &str = "a-secret-for-tests-only";
/// Timeout for a condition on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

pub fn secret() -> FleetSecret {
    FleetSecret::new(SECRET).expect("a secret")
}

/// Serves `routes` on a free port.
pub async fn serve(routes: Router) -> std::net::SocketAddr {
    let program = Program::new("mock", "").flag(Flag::new("listen", "IP:PORT", ""));
    let CliAction::Run(mut settings) = program.read(["--listen", "127.0.0.1:0"], |_| None) else {
        panic!("no help was asked for");
    };
    let address = settings.take("listen").expect("an address");
    let listener = bind(&mut settings, "listen", address).expect("a port");
    let address = listener.address();
    let server = Server::new(acceptor(listener).expect("an acceptor"));
    tokio::spawn(server.serve(routes));
    address
}

/// Waits until `check` holds; panics after [`TIMEOUT`].
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let wait = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(
        tokio::time::timeout(TIMEOUT, wait).await.is_ok(),
        "timed out waiting for {what}"
    );
}

/// An HTTP client for the entry.
#[derive(Clone)]
pub struct Caller {
    http: HttpClient<HttpConnector, Full<bytes::Bytes>>,
    base: String,
}

/// A complete HTTP answer.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: String,
}

impl Reply {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Status, code and `ran` of a refusal; checks that the header and the body agree on `ran`.
    pub fn refusal(&self) -> (u16, String, String) {
        let json = self.json();
        let text = |name: &str| json["error"][name].as_str().unwrap_or_default().to_owned();
        let ran = self
            .headers
            .get("x-clem-ran")
            .and_then(|value| value.to_str().ok());
        assert_eq!(
            ran.unwrap_or_default(),
            text("ran"),
            "header and body agree: {}",
            self.body
        );
        (self.status, text("code"), text("ran"))
    }
}

impl Caller {
    pub fn new(base: String) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self { http, base }
    }

    pub async fn open(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> http::Response<Incoming> {
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.to_owned().into()))
            .expect("a request");
        self.http.request(request).await.expect("a response")
    }

    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let response = self.open(method, path, headers, body).await;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = match response.into_body().collect().await {
            Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            Err(_) => "(cut)".to_owned(),
        };
        Reply {
            status,
            headers,
            body,
        }
    }

    pub async fn chat(&self, key: &str, body: &str) -> Reply {
        let key = format!("Bearer {key}");
        self.send(
            "POST",
            "/v1/chat/completions",
            &[("authorization", &key)],
            body,
        )
        .await
    }
}

/// The body of a chat request.
pub fn chat(stream: bool) -> String {
    format!(
        r#"{{"model":"assistant","stream":{stream},"messages":[{{"role":"user","content":"hi"}}]}}"#
    )
}
