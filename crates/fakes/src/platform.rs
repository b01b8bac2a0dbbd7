//! The fake platform, whose list of VMs can lag and can be empty for a time.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use clem_boot::{Program, Settings};
use eyre::Result;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::Method};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    Common, flag,
    http::{self, Refusal},
    request_log::{Outcome, RequestLog},
    take_millis,
};

/// The flags of the platform.
pub(crate) fn program() -> Program {
    Program::new(
        "clem-fake platform",
        "A fake of the platform's list of VMs.",
    )
    .flag(flag(
        "lag-ms",
        "N",
        "0",
        "Delay until a change of the list is visible, in milliseconds.",
    ))
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
    /// The lists with the times from which they are visible, oldest first.
    versions: VecDeque<(Instant, Vec<Vm>)>,
    /// The time until which the returned list is empty, set by `empty_ms`.
    empty_until: Option<Instant>,
}

struct Platform {
    log: RequestLog,
    lag: Duration,
    lists: Mutex<Lists>,
}

/// Serves until the process is stopped.
pub(crate) async fn run(mut settings: Settings, common: Common) -> Result<()> {
    let platform = Platform {
        lag: take_millis(&mut settings, "lag-ms"),
        log: common.log,
        lists: Mutex::default(),
    };
    settings.finish()?;
    http::serve("platform", common.listener, platform).await
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
    /// Returns the list that is visible at `now`.
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
        // The first list is visible at once, because there is no earlier one to return.
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
