//! Clients that read pages of batch results slowly.
mod common;

use common::*;
use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const FRONTS: usize = 2;
/// Times that each front gets the readers.
const ROUNDS: usize = 3;
const READERS: usize = 240;
const ITEMS: usize = 100;
/// Each item has a text of about 12 KB.
const EVENTS: usize = 206;
const EVENT_BYTES: usize = 60;
/// A slow reader takes this much ...
const CHUNK: usize = 2048;
/// ... in this time.
const CHUNK_TIME: Duration = Duration::from_millis(200);
/// How long the readers read.
const READ_TIME: Duration = Duration::from_secs(4);

fn serve() -> Arc<Serve> {
    Arc::new(|replica, head, reader, writer| {
        let id = head.get("x-request-id").unwrap_or_default().to_owned();
        read_body(reader, head)?;
        if !replica.begin(&id) {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Run", "1")];
            writer.write_all(&response("503 Service Unavailable", &headers, b""))?;
            return Ok(true);
        }
        let data = "w".repeat(EVENT_BYTES);
        let events: String = (1..=EVENTS).map(|n| format!("id: {n}\ndata: {data}\n\n")).collect();
        let stamp = format!("s.{id}");
        let headers = [("X-Request-Id", id.as_str()), ("X-Response-Stamp", &stamp), ("Content-Type", "text/event-stream")];
        writer.write_all(&response("200 OK", &headers, events.as_bytes()))?;
        replica.end(&id);
        Ok(true)
    })
}

fn main() {
    run_case(|record| {
        let deployment = Deployment::start(record, FRONTS, Limits::ANDINOS)?;
        for n in 1..=3 {
            deployment.add_replica(n, MODEL_SERVICE, 8, serve())?;
        }
        deployment.configure(&config(1))?;
        thread::sleep(Duration::from_secs(1));
        let (ids, body) = submission(ITEMS, 200);
        let lot = new_id();
        deployment.submit(1, "/letters/1", &lot, &body, Duration::from_secs(8))?;
        let end = Instant::now() + Duration::from_secs(30);
        while !deployment.results(1, &lot, ids.len() - 1).is_ok_and(|page| page.text().contains("completed")) {
            if Instant::now() > end {
                return Err("the batch isn't done".to_owned());
            }
            thread::sleep(Duration::from_millis(300));
        }
        let page = deployment.results(1, &lot, 0).map_err(|error| error.to_string())?;
        record.note(&format!("the batch is done; its first page has {} bytes", page.body.len()));
        let fronts: Vec<_> = (1..=FRONTS).map(|n| (format!("front-{n}"), deployment.front(n), deployment.ready(n))).collect();
        let watch = MemoryWatch::start(deployment);
        let key = bearer();
        let asked = request("GET", &format!("/lots/{lot}?after=0"), &[("Authorization", &key)], b"");
        for round in 1..=ROUNDS {
            for (name, front, ready) in &fronts {
                if !wait_ready_at(*ready, Duration::from_secs(10)) {
                    return Err(format!("{name} is not ready"));
                }
                let mut readers: Vec<TcpStream> = Vec::new();
                let mut whole = 0;
                for _ in 0..READERS {
                    // A front that was killed meanwhile refuses connections.
                    let Ok(mut reader) = connect_remote(*front, 32 * 1024) else { break };
                    if reader.write_all(&asked).is_err() {
                        break;
                    }
                    if with_trouble() {
                        readers.push(reader);
                        continue;
                    }
                    let mut reader = std::io::BufReader::new(reader);
                    let read = read_head(&mut reader).and_then(|head| read_body(&mut reader, &head));
                    whole += usize::from(read.is_ok());
                }
                record.note(&format!("round {round}: {name} has {} slow readers; {whole} pages were read at once", readers.len()));
                let end = Instant::now() + READ_TIME;
                while with_trouble() && Instant::now() < end {
                    for reader in &mut readers {
                        let _ = reader.set_read_timeout(Some(Duration::from_millis(1)));
                        let _ = reader.read(&mut [0; CHUNK]);
                    }
                    thread::sleep(CHUNK_TIME);
                }
            }
        }
        watch.judge(record)
    })
}
