//! HTTP endpoints for the platform and for operators: health, readiness and metrics.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use eyre::WrapErr;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode};

type Result<T> = eyre::Result<T>;

/// How often recorded samples are summed up; until then each one takes memory.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Whether the load balancer should send requests to this process. Clones share the state, which is
/// initially not ready.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    ready: Arc<AtomicBool>,
}

impl Readiness {
    /// Sets the response of `/readyz`.
    pub fn set(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether `/readyz` reports the process as ready.
    pub fn get(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

/// The process's metrics recorder.
#[derive(Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
}

impl Metrics {
    /// Installs the recorder of the [`metrics`] macros for this process; later calls return the same one.
    ///
    /// # Errors
    /// Another recorder is already installed.
    pub fn start() -> Result<Self> {
        static STARTED: Mutex<Option<Metrics>> = Mutex::new(None);
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(metrics) = started.as_ref() {
            return Ok(metrics.clone());
        }
        let handle = PrometheusBuilder::new()
            .install_recorder()
            .wrap_err("failed to install the metrics recorder")?;
        Ok(started.insert(Self { handle }).clone())
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Sums up recorded samples until the process exits, so that they take no memory without a reader.
    pub async fn keep_up(self) {
        loop {
            tokio::time::sleep(UPKEEP_INTERVAL).await;
            self.handle.run_upkeep();
        }
    }
}

/// The routes `GET /healthz`, `/readyz` and `/metrics`.
pub fn admin_routes(readiness: Readiness, metrics: Metrics) -> Vec<Router> {
    vec![
        Router::with_path("healthz").get(Health),
        Router::with_path("readyz").get(Ready { readiness }),
        metrics_route(metrics),
    ]
}

/// The route `GET /metrics`.
pub fn metrics_route(metrics: Metrics) -> Router {
    Router::with_path("metrics").get(MetricsPage { metrics })
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

struct MetricsPage {
    metrics: Metrics,
}

#[async_trait]
impl Handler for MetricsPage {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render(self.metrics.render());
    }
}
