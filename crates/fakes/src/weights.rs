//! The weight store: all readers share one rate.

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

/// Bytes sent in one piece.
const PIECE_BYTES: u64 = 16 * 1024;

/// The flags of the weight store.
pub(crate) fn program() -> Program {
    Program::new("clem-fake weights", "A stand-in for the weight store.").flag(flag(
        "bytes-per-s",
        "N",
        "10000000",
        "What all readers share.",
    ))
}

/// The moment from which the next piece may be sent, whoever reads it.
#[derive(Debug)]
struct Pace {
    bytes_per_s: u64,
    free_at: Mutex<Instant>,
}

impl Pace {
    /// Books `bytes`, and returns when they may be sent.
    fn book(&self, now: Instant, bytes: u64) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let micros = bytes.saturating_mul(1_000_000) / self.bytes_per_s.max(1);
        *free_at = (*free_at).max(now) + Duration::from_micros(micros);
        *free_at
    }
}

struct Weights {
    log: RequestLog,
    pace: Arc<Pace>,
}

/// Serves until the process is ended.
pub(crate) async fn run(mut settings: Settings, common: Common) -> Result<()> {
    let pace = Pace {
        bytes_per_s: take(&mut settings, "bytes-per-s"),
        free_at: Mutex::new(Instant::now()),
    };
    settings.finish()?;
    let weights = Weights {
        log: common.log,
        pace: Arc::new(pace),
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
            Ok(record) => res.stream(pieces(Arc::clone(&self.pace), record, bytes)),
            Err(report) => http::send_refusal(res, &Refusal::from(report)),
        }
    }
}

fn pieces(
    pace: Arc<Pace>,
    record: Record,
    bytes: u64,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold((record, bytes), move |(mut record, left)| {
        let pace = Arc::clone(&pace);
        async move {
            if left == 0 {
                record.close(Outcome::Done, None);
                return None;
            }
            let piece = left.min(PIECE_BYTES);
            tokio::time::sleep_until(pace.book(Instant::now(), piece)).await;
            let zeros = Bytes::from(vec![0; usize::try_from(piece).unwrap_or(0)]);
            Some((Ok(zeros), (record, left - piece)))
        }
    })
}
