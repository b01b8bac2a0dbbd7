//! Reads the platform's list of targets.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use clem_edge::{Dialect, ListPage, SkippedEntry, TargetVm};
use clem_policy::dispatch::ListedTarget;
use clem_types::Time;
use http::{Request, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::Node;

/// Timeout of one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The largest page that is accepted, in bytes.
const PAGE_BYTES: usize = 8 * 1024 * 1024;
/// The largest list that is accepted, in bytes.
const LIST_BYTES: usize = 32 * 1024 * 1024;
/// Pages above this size, in bytes, are parsed beside the runtime's only thread.
const INLINE_BYTES: usize = 64 * 1024;
/// Maximum number of skipped entries that a process logs.
const SKIPPED_MAX: usize = 256;
/// The most pages that are read; a longer list is assumed to be a pagination loop.
const PAGES_MAX: usize = 200;
/// How long the hub may send no update before a process reads the list itself.
const HUB_OVERDUE: Duration = Duration::from_millis(2000);
/// The shortest time that a newly started process waits for the hub before it reads the list
/// itself.
const FIRST_WAIT: Duration = Duration::from_millis(60);
/// How often a process checks whether the hub is overdue, and reads the list if it is.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// The shortest time from one reading of the versions to the next.
const READING_INTERVAL: Duration = Duration::from_millis(400);

/// A value read from the platform, or the reason why it could not be read.
type Result<T> = std::result::Result<T, String>;

/// Reads the list, and remembers what it has logged about it.
pub struct ListReader {
    dialect: Arc<dyn Dialect>,
    address: SocketAddr,
    /// The list that was last read, by id.
    known: BTreeMap<String, TargetVm>,
    /// The cold targets of that list, with how much longer.
    cold: BTreeMap<String, Duration>,
    logged: BTreeSet<SkippedEntry>,
}

impl ListReader {
    /// A reader of the list at this address.
    pub fn new(dialect: Arc<dyn Dialect>, address: SocketAddr) -> Self {
        Self {
            dialect,
            address,
            known: BTreeMap::new(),
            cold: BTreeMap::new(),
            logged: BTreeSet::new(),
        }
    }

    /// Reads all pages of the list. Of several entries with the same id one is kept, by preference one of
    /// the `services` that the rules name.
    ///
    /// # Errors
    /// A page could not be fetched or parsed, or the pages don't end. The pages read so far are discarded
    /// because they are not the complete list.
    pub async fn read(&mut self, services: &BTreeSet<String>) -> Result<Vec<TargetVm>> {
        let mut targets = BTreeMap::new();
        let mut cold = BTreeMap::new();
        let mut tokens = BTreeSet::new();
        let mut token: Option<String> = None;
        let (mut bytes, mut unreadable) = (0, 0);
        for _ in 0..PAGES_MAX {
            let path = self.dialect.list_path(token.as_deref());
            let body = tokio::time::timeout(PAGE_TIMEOUT, read_page(self.address, &path))
                .await
                .map_err(|_| "no response in time".to_owned())??;
            bytes += body.len();
            if bytes > LIST_BYTES {
                return Err("the list is too large".to_owned());
            }
            let page = self.parse(body).await?;
            unreadable += page.unreadable;
            for skipped in page.skipped {
                self.note_skipped(skipped);
            }
            cold.extend(page.cold);
            for target in page.targets {
                self.add(&mut targets, target, services);
            }
            let Some(next) = page.next else {
                metrics::gauge!("clem_list_entries_skipped").set(unreadable as f64);
                self.known = targets;
                self.cold = cold;
                return Ok(self.known.values().cloned().collect());
            };
            if !tokens.insert(next.clone()) {
                return Err("a page of the list names one that was read before".to_owned());
            }
            token = Some(next);
        }
        Err("the list has too many pages".to_owned())
    }

    /// How cold the targets of the last list are that was read.
    pub fn listed<'a>(&'a self) -> impl Iterator<Item = ListedTarget<'a>> + 'a {
        self.known.values().map(|target| ListedTarget {
            target: &target.id,
            service: &target.service,
            cold_left: self.cold.get(&target.id).copied().unwrap_or_default(),
        })
    }

    async fn parse(&self, body: Bytes) -> Result<ListPage> {
        let page = if body.len() <= INLINE_BYTES {
            self.dialect.read_list(&body)
        } else {
            let dialect = Arc::clone(&self.dialect);
            let parsed = tokio::task::spawn_blocking(move || dialect.read_list(&body));
            parsed.await.map_err(|error| error.to_string())?
        };
        page.map_err(|findings| findings.to_string())
    }

    fn add(
        &mut self,
        targets: &mut BTreeMap<String, TargetVm>,
        target: TargetVm,
        services: &BTreeSet<String>,
    ) {
        let Some(other) = targets.get(&target.id) else {
            targets.insert(target.id.clone(), target);
            return;
        };
        let known = self.known.get(&target.id);
        let rank = |target: &TargetVm| {
            let is_named = services.contains(&target.service);
            (is_named, known.is_some_and(|known| is_same(known, target)))
        };
        // Pages are read one after the other, so the later entry of an instance is newer.
        let mut replaces = true;
        if !is_same(other, &target) {
            replaces = rank(&target) > rank(other);
            self.note_skipped(SkippedEntry {
                entry: target.id.clone(),
                field: "id",
            });
        }
        if replaces {
            targets.insert(target.id.clone(), target);
        }
    }

    /// Logs an entry that names no target, once.
    fn note_skipped(&mut self, skipped: SkippedEntry) {
        if self.logged.len() >= SKIPPED_MAX || self.logged.contains(&skipped) {
            return;
        }
        log::warn!(
            entry = skipped.entry.as_str(), field = skipped.field;
            "target list entry skipped"
        );
        self.logged.insert(skipped);
    }
}

/// Whether two entries are of the same instance.
fn is_same(one: &TargetVm, other: &TargetVm) -> bool {
    let place = |target: &TargetVm| (target.address, target.started);
    place(one) == place(other) && one.service == other.service
}

async fn read_page(address: SocketAddr, path: &str) -> Result<Bytes> {
    let text = |error: &dyn std::fmt::Display| error.to_string();
    let stream = TcpStream::connect(address).await.map_err(|e| text(&e))?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io)
        .await
        .map_err(|e| text(&e))?;
    tokio::spawn(connection);
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close")
        .body(Empty::<Bytes>::new())
        .map_err(|e| text(&e))?;
    let response = sender.send_request(request).await.map_err(|e| text(&e))?;
    if !response.status().is_success() {
        return Err(format!("answered with {}", response.status()));
    }
    let body = Limited::new(response.into_body(), PAGE_BYTES);
    let body = body.collect().await.map_err(|e| text(&e))?;
    Ok(body.to_bytes())
}

/// Readings of the list by a process that follows the hub.
pub(crate) struct Readings {
    reader: ListReader,
    /// When the last one began that was to learn which versions serve; `None` before the first one.
    began: Option<Time>,
    failed: bool,
}

impl Readings {
    /// No reading yet.
    pub(crate) fn new(reader: ListReader) -> Self {
        Self {
            reader,
            began: None,
            failed: false,
        }
    }
}

impl Node {
    /// Reads which versions are listed, and returns when the reading began, which is after the call. Calls
    /// share readings. `None` if the list can't be read.
    pub(crate) async fn read_versions(&self) -> Option<Time> {
        let called = self.now();
        let mut last = self.readings().lock().await;
        if last.began.is_none_or(|began| began < called) {
            if let Some(began) = last.began {
                let pause = READING_INTERVAL.saturating_sub(self.now().since(began));
                tokio::time::sleep(pause).await;
            }
            let began = self.now();
            let services = self.view().services();
            let read = last.reader.read(&services).await;
            last.began = Some(began);
            last.failed = read.is_err();
            match read {
                Ok(targets) => self.view().note_read(began, &targets),
                Err(error) => log::warn!(error; "target list not read"),
            }
        }
        last.began.filter(|_| !last.failed)
    }
}

/// Reads the list directly while the hub is silent: draining targets must get no new work even if
/// the hub has no leader.
pub async fn poll_without_hub(node: Arc<Node>) {
    // Random delay, so that not all processes read the list at the same time.
    tokio::time::sleep(FIRST_WAIT.mul_f64(1.0 + node.random())).await;
    let mut first = true;
    loop {
        if !std::mem::take(&mut first) {
            tokio::time::sleep(node.with_jitter(CHECK_INTERVAL)).await;
        }
        let now = node.now();
        let heard = node.view().heard;
        if heard.is_some_and(|at| now.since(at) < HUB_OVERDUE) {
            continue;
        }
        let services = node.view().services();
        let mut readings = node.readings().lock().await;
        let read = readings.reader.read(&services).await;
        match read {
            Ok(targets) => {
                log::info!(targets = targets.len(); "target list read without the hub");
                let read = node.now();
                let listed = readings.reader.listed();
                node.cold().note_listing(read, now, listed);
                {
                    let mut view = node.view();
                    view.note_read(now, &targets);
                    view.set_targets(read, targets);
                }
                node.note_change();
            }
            Err(error) => log::warn!(error; "target list not read"),
        }
    }
}
