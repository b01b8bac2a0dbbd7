//! The plain service: counts its side effects.

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

/// Exit code of a process that a marked request ended.
const DIED: i32 = 86;

/// The flags of a service.
pub(crate) fn program() -> Program {
    Program::new("clem-fake service", "A stand-in for a plain service.")
        .flag(flag("delay-ms", "N", "0", "Time before the side effect."))
        .flag(Flag::new(
            "die-on",
            "TEXT",
            "A body or path with it ends the process first.",
        ))
        .flag(Flag::new(
            "die-after-effect",
            "TEXT",
            "The same, after the side effect.",
        ))
        .flag(Flag::new(
            "fail-on",
            "TEXT",
            "A body or path with it is answered 500.",
        ))
}

/// The faults that requests bring about by a text in body or path.
#[derive(Debug)]
struct Marks {
    die_on: Option<String>,
    die_after_effect: Option<String>,
    fail_on: Option<String>,
}

type Effects = Arc<Mutex<BTreeMap<String, u64>>>;

struct Service {
    delay: Duration,
    marks: Marks,
    log: RequestLog,
    effects: Effects,
}

#[derive(Debug, Serialize)]
struct Answer<'a> {
    n: u64,
    path: &'a str,
    echo: &'a str,
}

/// Serves until the process is ended.
pub(crate) async fn run(mut settings: Settings, common: Common) -> Result<()> {
    let service = Service {
        delay: take_millis(&mut settings, "delay-ms"),
        marks: Marks {
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
        let marked = |mark: &Option<String>| {
            mark.as_ref()
                .is_some_and(|mark| body.contains(mark) || path.contains(mark))
        };
        if marked(&self.marks.die_on) {
            record.close(Outcome::Died, None);
            std::process::exit(DIED);
        }
        if marked(&self.marks.fail_on) {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            let refusal = Refusal::new(status, "failed", "marked to fail");
            return http::refuse(res, &mut record, &refusal);
        }
        let key = match req.headers().get("idempotency-key") {
            Some(key) => String::from_utf8_lossy(key.as_bytes()).into_owned(),
            None => format!("{} {path}", req.method()),
        };
        let n = self.effect(key).await;
        if marked(&self.marks.die_after_effect) {
            record.close(Outcome::Died, None);
            std::process::exit(DIED);
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
    /// Counts a side effect after the delay, also when the caller goes away meanwhile.
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
