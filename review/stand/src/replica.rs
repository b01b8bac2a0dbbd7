//! A server of the platform: it runs plain requests and items of batches, and notes what reaches it.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{Answer, Call, pause, record, serve};

/// What a server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Plain requests.
    Plain,
    /// Event streams.
    Engine,
}

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// Its id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Whether the server ran it.
    pub ran: bool,
}

/// A server.
#[derive(Debug)]
pub struct Replica {
    /// The id of this incarnation.
    pub id: String,
    /// Its service, as the list names it.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is leaving: it goes on to serve, and says `Connection: close`.
    pub leaves: AtomicBool,
    kind: Kind,
    work: Duration,
    /// How many requests it runs at once.
    pub slots: usize,
    running: AtomicUsize,
    arrivals: Mutex<Vec<Arrival>>,
}

impl Replica {
    /// Starts a server on a free port of this address.
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        kind: Kind,
        work_ms: u64,
        slots: usize,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("a bound port"),
            leaves: AtomicBool::new(false),
            kind,
            work: Duration::from_millis(work_ms),
            slots,
            running: AtomicUsize::new(0),
            arrivals: Mutex::default(),
        });
        let served = Arc::clone(&replica);
        serve(listener, move |call| served.answer(&call));
        replica
    }

    /// What has reached it so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("not poisoned").clone()
    }

    /// The paths of the requests that it has run.
    pub fn paths(&self) -> Vec<String> {
        self.arrivals()
            .into_iter()
            .filter(|a| a.ran)
            .map(|a| a.path)
            .collect()
    }

    fn answer(&self, call: &Call) -> Answer {
        let id = call.get("x-request-id").unwrap_or_default().to_owned();
        let expected = call
            .get("x-expect-instance")
            .is_none_or(|expected| expected == self.id);
        let admitted = expected && self.running.fetch_add(1, Ordering::SeqCst) < self.slots;
        self.arrivals.lock().expect("not poisoned").push(Arrival {
            at: Instant::now(),
            id: id.clone(),
            path: call.path.clone(),
            ran: admitted,
        });
        let mut reply = if !expected {
            Answer::new(421, "").header("x-not-run", "1")
        } else if !admitted {
            self.running.fetch_sub(1, Ordering::SeqCst);
            Answer::new(503, "").header("x-not-run", "1")
        } else {
            pause(self.work.as_millis() as u64);
            self.running.fetch_sub(1, Ordering::SeqCst);
            let stamp = format!("stamp.{}.{id}", self.id);
            let (kind, body) = match self.kind {
                Kind::Plain => ("text/plain", format!("page for {id}")),
                Kind::Engine => ("text/event-stream", events(call)),
            };
            Answer::new(200, body)
                .header("content-type", kind)
                .header("x-response-stamp", &stamp)
        };
        record(&format!(
            "server {} ({}) gets {id} {}: {}",
            self.id, self.service, call.path, reply.status
        ));
        reply = reply.header("x-request-id", &id);
        if self.leaves.load(Ordering::SeqCst) {
            reply = reply.header("connection", "close");
        }
        reply
    }
}

/// A stream of four events, or what follows the last one that the sender has.
fn events(call: &Call) -> String {
    let after = call
        .get("last-event-id")
        .and_then(|text| text.parse::<u64>().ok());
    let first = after.map_or(0, |after| after + 1);
    (first..4)
        .map(|n| format!("id: {n}\ndata: token-{n}\n\n"))
        .collect()
}
