//! The fake plain service, which counts its side effects.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use clem_boot::{Flag, Program, Settings};
use eyre::Result;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{Method, StatusCode},
};
use serde::Serialize;

use crate::{
    Common, flag,
    http::{self, Refusal},
    request_log::{Outcome, RequestLog},
    take_millis,
};

/// The exit code when a request marked by `--die-on` or `--die-after-effect` ends the process.
const EXIT_DIED: i32 = 86;

/// The flags of a service.
pub(crate) fn program() -> Program {
    Program::new("clem-fake service", "A fake plain service.")
        .flag(flag("delay-ms", "N", "0", "Delay before the side effect, in milliseconds."))
        .flag(Flag::new(
            "die-on",
            "TEXT",
            "A request whose body or path contains this text ends the process before the side effect.",
        ))
        .flag(Flag::new(
            "die-after-effect",
            "TEXT",
            "A request whose body or path contains this text ends the process after the side effect.",
        ))
        .flag(Flag::new(
            "fail-on",
            "TEXT",
            "A request whose body or path contains this text is answered with 500.",
        ))
}

/// Faults that a request triggers when its body or path contains the text.
#[derive(Debug)]
struct Faults {
    die_on: Option<String>,
    die_after_effect: Option<String>,
    fail_on: Option<String>,
}

type Effects = Arc<Mutex<BTreeMap<String, u64>>>;

struct Service {
    delay: Duration,
    faults: Faults,
    log: RequestLog,
    effects: Effects,
}

#[derive(Debug, Serialize)]
struct Answer<'a> {
    n: u64,
    path: &'a str,
    echo: &'a str,
}

/// Serves until the process is stopped.
pub(crate) async fn run(mut settings: Settings, common: Common) -> Result<()> {
    let service = Service {
        delay: take_millis(&mut settings, "delay-ms"),
        faults: Faults {
            die_on: settings.take("die-on"),
            die_after_effect: settings.take("die-after-effect"),
            fail_on: settings.take("fail-on"),
        },
        log: common.log,
        effects: Effects::default(),
    };
    settings.finish()?;
    http::serve("service", common.listener, service).await
}

#[async_trait]
impl Handler for Service {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let path = req.uri().path().to_owned();
        if path == "/fake/effects" && *req.method() == Method::GET {
            let effects = self.effects.lock();
            return http::send_json(res, &*effects.unwrap_or_else(PoisonError::into_inner));
        }
        let body = match http::body_text(req).await {
            Ok(body) => body,
            Err(report) => return http::send_refusal(res, &Refusal::from(report)),
        };
        let mut record = match http::begin(&self.log, req, &body) {
            Ok(record) => record,
            Err(report) => return http::send_refusal(res, &Refusal::from(report)),
        };
        let marked = |text: &Option<String>| {
            text.as_ref()
                .is_some_and(|t| body.contains(t) || path.contains(t))
        };
        if marked(&self.faults.die_on) {
            record.close(Outcome::Died, None);
            std::process::exit(EXIT_DIED);
        }
        if marked(&self.faults.fail_on) {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            let refusal = Refusal::new(status, "failed", "the request matches --fail-on");
            return http::refuse(res, &mut record, &refusal);
        }
        let key = match req.headers().get("idempotency-key") {
            Some(key) => String::from_utf8_lossy(key.as_bytes()).into_owned(),
            None => format!("{} {path}", req.method()),
        };
        let n = self.effect(key).await;
        if marked(&self.faults.die_after_effect) {
            record.close(Outcome::Died, None);
            std::process::exit(EXIT_DIED);
        }
        http::send_json(
            res,
            &Answer {
                n,
                path: &path,
                echo: &body,
            },
        );
        record.close(Outcome::Done, None);
    }
}

impl Service {
    /// Counts a side effect after the delay, even when the caller disconnects in the meantime.
    async fn effect(&self, key: String) -> u64 {
        let effects = Arc::clone(&self.effects);
        let delay = self.delay;
        let task = tokio::spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            let mut effects = effects.lock().unwrap_or_else(PoisonError::into_inner);
            let count = effects.entry(key).or_default();
            *count += 1;
            *count
        });
        task.await.unwrap_or(0)
    }
}
