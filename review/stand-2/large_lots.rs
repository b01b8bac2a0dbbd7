//! Many large batch submissions arrive at once. A process that exceeds its memory limit is killed and started
//! again, as on the platform.
mod common;

use common::*;
use std::{
    io::Write,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const FRONTS: usize = 7;
/// Submissions of one burst: three seconds at six times the 1.03 submissions a second of the sheet.
const LOTS: usize = 18;
const BURSTS: usize = 4;
/// Items of a submission: the site `botez-cluj` has 10 on average and 24 at most.
const ITEMS: usize = 14;
/// The largest item of the site, in bytes.
const ITEM_BYTES: usize = 200_000;
/// How long clients send a submission again.
const RESENT: Duration = Duration::from_secs(14);

fn serve() -> Arc<Serve> {
    Arc::new(|replica, head, reader, writer| {
        let id = head.get("x-request-id").unwrap_or_default().to_owned();
        read_body(reader, head)?;
        if !replica.begin(&id) {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Run", "1")];
            writer.write_all(&response("503 Service Unavailable", &headers, b""))?;
            return Ok(true);
        }
        thread::sleep(Duration::from_millis(300));
        let stamp = format!("s.{id}");
        let headers = [("X-Request-Id", id.as_str()), ("X-Response-Stamp", &stamp), ("Content-Type", "text/event-stream")];
        writer.write_all(&response("200 OK", &headers, b"id: 1\ndata: a\n\n"))?;
        replica.end(&id);
        Ok(true)
    })
}

fn main() {
    run_case(|record| {
        let deployment = Deployment::start(record, FRONTS, Limits::BOTEZ)?;
        for n in 1..=3 {
            deployment.add_replica(n, MODEL_SERVICE, 8, serve())?;
        }
        deployment.configure(&config(1))?;
        thread::sleep(Duration::from_secs(1));
        let (_, small) = submission(2, 100);
        let first = deployment.submit(1, "/letters/1", &new_id(), &small, Duration::from_secs(10))?;
        record.note(&format!("a small batch: {first:?}"));
        let fronts: Vec<_> = (1..=FRONTS).map(|n| deployment.front(n)).collect();
        let watch = MemoryWatch::start(deployment);
        for burst in 1..=BURSTS {
            record.note(&format!("burst {burst}: {LOTS} submissions of {ITEMS} items with {ITEM_BYTES} bytes each"));
            let lots: Vec<_> = (0..LOTS)
                .map(|n| {
                    let (record, to) = (Arc::clone(record), fronts.clone());
                    let lot = move || {
                        let (_, body) = submission(ITEMS, ITEM_BYTES);
                        let id = new_id();
                        let end = Instant::now() + RESENT;
                        let mut statuses = Vec::new();
                        let mut at = n;
                        while statuses.last() != Some(&202) && Instant::now() < end {
                            let key = bearer();
                            let headers = [("Authorization", key.as_str()), ("X-Request-Id", &id), ("Content-Type", "application/json"), ("X-Deadline-Ms", "4000")];
                            let sent = call(to[at % FRONTS], "POST", "/letters/1", &headers, &body, Duration::from_secs(5));
                            statuses.push(sent.map_or(0, |answer| answer.status()));
                            at += 1;
                            thread::sleep(Duration::from_millis(300));
                        }
                        record.note(&format!("batch {id}, {} bytes: {statuses:?}", body.len()));
                    };
                    // Without trouble the same submissions come one after the other.
                    if with_trouble() {
                        return Some(thread::spawn(lot));
                    }
                    lot();
                    None
                })
                .collect();
            for lot in lots.into_iter().flatten() {
                let _ = lot.join();
            }
            if record.elapsed() > Duration::from_secs(95) {
                break;
            }
        }
        watch.judge(record)
    })
}
