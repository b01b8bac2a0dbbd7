//! The readiness check for the load balancer, and the metrics endpoint.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use clem_boot::Metrics;

use crate::front::Front;

/// How often readiness is updated, and the delay after a failed accept.
const INTERVAL: Duration = Duration::from_millis(100);

/// Reports the process as ready once it has rules and targets.
pub(crate) async fn update(front: Arc<Front>) {
    let mut changes = front.node.changes();
    loop {
        let ready = {
            let view = front.node.view();
            view.rules.is_some() && !view.targets.is_empty()
        };
        if ready && !front.is_stopping() && !front.readiness.get() {
            front.readiness.set(true);
            log::info!(rules = front.node.view().version().0; "ready");
        }
        metrics::gauge!("clem_front_held_bytes").set(front.relays.used_bytes() as f64);
        metrics::gauge!("clem_front_connections").set(front.connections.count() as f64);
        metrics::gauge!("clem_front_body_bytes").set(front.bodies.used_bytes() as f64);
        // Callers that come back after a loss of all processes are sent here only once it is ready.
        let _ = tokio::time::timeout(INTERVAL, changes.changed()).await;
    }
}

/// Serves the readiness check and the metrics.
pub(crate) async fn serve(front: Arc<Front>, metrics: Metrics, socket: TcpListener) {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(INTERVAL).await;
            continue;
        };
        let front = Arc::clone(&front);
        let metrics = metrics.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: http::Request<hyper::body::Incoming>| {
                let response = if request.uri().path() == "/metrics" {
                    Response::new(Full::new(Bytes::from(metrics.render())))
                } else {
                    readiness(front.readiness.get())
                };
                async move { Ok::<_, Infallible>(response) }
            });
            // The load balancer reconnects if this connection ends.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn readiness(ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
