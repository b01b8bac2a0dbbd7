//! The fake weight store, whose readers share one bandwidth limit.

use std::{
    convert::Infallible,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use clem_boot::{Program, Settings};
use eyre::Result;
use futures_util::{Stream, stream};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use tokio::time::Instant;

use crate::{
    Common, flag,
    http::{self, Refusal},
    request_log::{Outcome, Record, RequestLog},
    take,
};

/// The size of the chunks in which weights are sent.
const CHUNK_BYTES: u64 = 16 * 1024;

/// The flags of the weight store.
pub(crate) fn program() -> Program {
    Program::new("clem-fake weights", "A fake weight store.").flag(flag(
        "bytes-per-s",
        "N",
        "10000000",
        "Bandwidth shared by all readers, in bytes per second.",
    ))
}

/// The bandwidth limit of all readers together.
#[derive(Debug)]
struct RateLimit {
    bytes_per_s: u64,
    /// The time at which the last reserved chunk has been sent.
    free_at: Mutex<Instant>,
}

impl RateLimit {
    /// Reserves bandwidth for `bytes` and returns when they may be sent.
    fn reserve(&self, now: Instant, bytes: u64) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let micros = bytes.saturating_mul(1_000_000) / self.bytes_per_s.max(1);
        *free_at = (*free_at).max(now) + Duration::from_micros(micros);
        *free_at
    }
}

struct Weights {
    log: RequestLog,
    limit: Arc<RateLimit>,
}

/// Serves until the process is stopped.
pub(crate) async fn run(mut settings: Settings, common: Common) -> Result<()> {
    let limit = RateLimit {
        bytes_per_s: take(&mut settings, "bytes-per-s"),
        free_at: Mutex::new(Instant::now()),
    };
    settings.finish()?;
    let weights = Weights {
        log: common.log,
        limit: Arc::new(limit),
    };
    http::serve("weights", common.listener, weights).await
}

#[async_trait]
impl Handler for Weights {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let bytes: Option<u64> = req.query("bytes");
        let (true, Some(bytes)) = (req.uri().path().starts_with("/weights/"), bytes) else {
            return http::send_refusal(res, &Refusal::not_found());
        };
        match http::begin(&self.log, req, "") {
            Ok(record) => res.stream(chunks(Arc::clone(&self.limit), record, bytes)),
            Err(report) => http::send_refusal(res, &Refusal::from(report)),
        }
    }
}

fn chunks(
    limit: Arc<RateLimit>,
    record: Record,
    bytes: u64,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold((record, bytes), move |(mut record, left)| {
        let limit = Arc::clone(&limit);
        async move {
            if left == 0 {
                record.close(Outcome::Done, None);
                return None;
            }
            let chunk = left.min(CHUNK_BYTES);
            tokio::time::sleep_until(limit.reserve(Instant::now(), chunk)).await;
            let zeros = Bytes::from(vec![0; usize::try_from(chunk).unwrap_or(0)]);
            Some((Ok(zeros), (record, left - chunk)))
        }
    })
}
