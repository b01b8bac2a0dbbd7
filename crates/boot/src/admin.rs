//! The page for the platform and for operators: health, readiness and metrics.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use eyre::WrapErr;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode};

type Result<T> = eyre::Result<T>;

/// Whether the balancer should send requests to this process.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    ready: Arc<AtomicBool>,
}

impl Readiness {
    /// Says whether the process is ready.
    pub fn set(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether the process is ready.
    pub fn get(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

/// The process's metrics.
#[derive(Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
}

impl Metrics {
    /// Starts collecting metrics in this process.
    ///
    /// # Errors
    /// Metrics have been started before.
    pub fn start() -> Result<Self> {
        let handle = PrometheusBuilder::new()
            .install_recorder()
            .wrap_err("the metrics recorder can't be started")?;
        Ok(Self { handle })
    }

    /// All metrics, as text.
    pub fn render(&self) -> String {
        self.handle.render()
    }
}

/// `GET /healthz`, `/readyz` and `/metrics`.
pub fn admin_routes(readiness: Readiness, metrics: Metrics) -> Vec<Router> {
    vec![
        Router::with_path("healthz").get(Health),
        Router::with_path("readyz").get(Ready { readiness }),
        Router::with_path("metrics").get(Page { metrics }),
    ]
}

struct Health;

#[async_trait]
impl Handler for Health {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render("ok\n");
    }
}

struct Ready {
    readiness: Readiness,
}

#[async_trait]
impl Handler for Ready {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        if self.readiness.get() {
            res.render("ready\n");
            return;
        }
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        res.render("not ready\n");
    }
}

struct Page {
    metrics: Metrics,
}

#[async_trait]
impl Handler for Page {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render(self.metrics.render());
    }
}
