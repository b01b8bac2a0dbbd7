//! The platform's list of VMs, which lags and may be empty for a moment.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    path::PathBuf,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use eyre::Result;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::Method};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    flags::Flags,
    http::{self, Refusal},
    request_log::{Outcome, RequestLog},
};

/// Everything that the platform is started with.
#[derive(Debug)]
pub(crate) struct Settings {
    listen: SocketAddr,
    log: Option<PathBuf>,
    lag: Duration,
}

impl Settings {
    pub(crate) fn read(flags: &mut Flags) -> Self {
        Self {
            listen: flags.listen(),
            log: flags.get("log"),
            lag: flags.millis("lag-ms", 0),
        }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Vm {
    vm: String,
    address: SocketAddr,
    data_centre: String,
    state: VmState,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum VmState {
    Live,
    Leaving,
}

#[derive(Debug, Default)]
struct Lists {
    /// The lists with the moments from which they hold, oldest first.
    versions: VecDeque<(Instant, Vec<Vm>)>,
    empty_until: Option<Instant>,
}

struct Platform {
    log: RequestLog,
    lag: Duration,
    lists: Mutex<Lists>,
}

/// Serves until the process is ended.
pub(crate) async fn run(settings: Settings) -> Result<()> {
    let platform = Platform {
        log: RequestLog::open(settings.log.as_deref())?,
        lag: settings.lag,
        lists: Mutex::default(),
    };
    http::serve("platform", settings.listen, platform).await
}

#[async_trait]
impl Handler for Platform {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        if req.uri().path() != "/vms" {
            return http::send_refusal(res, &Refusal::not_found());
        }
        if *req.method() == Method::GET {
            return http::send_json(res, &self.list(Instant::now()));
        }
        if let Err(refusal) = self.change(req).await {
            return http::send_refusal(res, &refusal);
        }
        http::send_json(res, &self.list(Instant::now()));
    }
}

impl Platform {
    /// The list as it was before the lag.
    fn list(&self, now: Instant) -> Vec<Vm> {
        let lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        if lists.empty_until.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let mut known = Vec::new();
        for (from, list) in &lists.versions {
            if *from > now {
                break;
            }
            known.clone_from(list);
        }
        known
    }

    async fn change(&self, req: &mut Request) -> Result<(), Refusal> {
        let body = http::body_text(req).await?;
        let mut record = http::begin(&self.log, req, &body)?;
        let now = Instant::now();
        let empty_ms: Option<u64> = req.query("empty_ms");
        if let Some(millis) = empty_ms {
            let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
            lists.empty_until = Some(now + Duration::from_millis(millis));
            record.close(Outcome::Done, None);
            return Ok(());
        }
        let list = match serde_json::from_str(&body) {
            Ok(list) => list,
            Err(error) => {
                record.close(Outcome::Refused, None);
                return Err(Refusal::bad_request(error));
            }
        };
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        // The first list is known at once: there was no other before.
        let lag = if lists.versions.is_empty() {
            Duration::ZERO
        } else {
            self.lag
        };
        lists.versions.push_back((now + lag, list));
        while lists.versions.len() > 1 && lists.versions[1].0 <= now {
            lists.versions.pop_front();
        }
        record.close(Outcome::Done, None);
        Ok(())
    }
}
