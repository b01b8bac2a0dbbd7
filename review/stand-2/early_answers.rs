//! Replicas that answer long uploads before they have read them, keep the connection and read on later.
mod common;

use common::*;
use std::{
    io::{Read, Write},
    sync::Arc,
    thread,
    time::Duration,
};

const FRONTS: usize = 2;
/// Times that each front gets the uploads.
const ROUNDS: usize = 3;
/// Uploads of one round, one after the other.
const UPLOADS: usize = 48;
/// Pause between two uploads: 20 a second.
const PAUSE: Duration = Duration::from_millis(50);
/// Below `max_body_bytes`, which is 4,194,304.
const UPLOAD_BYTES: usize = 4_000_000;
/// What a replica reads of an upload before it answers.
const READ_BYTES: usize = 16 * 1024;
/// How much later it reads the rest.
const LATER: Duration = Duration::from_secs(5);

fn serve() -> Arc<Serve> {
    Arc::new(|replica, head, reader, writer| {
        let id = head.get("x-request-id").unwrap_or_default().to_owned();
        if !replica.begin(&id) {
            read_body(reader, head)?;
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Run", "1")];
            writer.write_all(&response("503 Service Unavailable", &headers, b""))?;
            return Ok(true);
        }
        let stamp = format!("s.{id}");
        let answer = response("200 OK", &[("X-Request-Id", &id), ("X-Response-Stamp", &stamp)], b"found");
        if !with_trouble() {
            read_body(reader, head)?;
            writer.write_all(&answer)?;
            replica.end(&id);
            return Ok(true);
        }
        let length = head.length().unwrap_or(0);
        let mut first = vec![0; length.min(READ_BYTES)];
        reader.read_exact(&mut first)?;
        writer.write_all(&answer)?;
        replica.end(&id);
        if length > first.len() {
            thread::sleep(LATER);
            let mut rest = vec![0; length - first.len()];
            reader.read_exact(&mut rest)?;
        }
        Ok(true)
    })
}

fn main() {
    run_case(|record| {
        let deployment = Deployment::start(record, FRONTS, Limits::BOTEZ)?;
        for n in 1..=3 {
            deployment.add_replica(n, PLAIN_SERVICE, 6, serve())?;
        }
        deployment.configure(&config(1))?;
        thread::sleep(Duration::from_secs(1));
        let fronts: Vec<_> = (1..=FRONTS).map(|n| (format!("front-{n}"), deployment.front(n), deployment.ready(n))).collect();
        let watch = MemoryWatch::start(deployment);
        let body = vec![b'u'; UPLOAD_BYTES];
        let key = bearer();
        for round in 1..=ROUNDS {
            for (name, front, ready) in &fronts {
                if !wait_ready_at(*ready, Duration::from_secs(10)) {
                    return Err(format!("{name} is not ready"));
                }
                let before = watch.count(name);
                let mut statuses = Vec::new();
                for _ in 0..UPLOADS {
                    let id = new_id();
                    let headers = [("Authorization", key.as_str()), ("X-Request-Id", &id), ("X-Deadline-Ms", "4000")];
                    let sent = call(*front, "POST", "/lookup/1", &headers, &body, Duration::from_secs(5));
                    statuses.push(sent.map_or(0, |answer| answer.status()));
                    if watch.count(name) > before {
                        break;
                    }
                    thread::sleep(PAUSE);
                }
                record.note(&format!("round {round}: {name} got {} uploads of {UPLOAD_BYTES} bytes: {statuses:?}", statuses.len()));
            }
        }
        watch.judge(record)
    })
}
