//! Reads the platform's list of targets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use clem_edge::{Dialect, TargetVm};
use clem_types::Time;
use http::{Request, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::Node;

/// Timeout of one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The largest page that is accepted, in bytes.
const PAGE_BYTES: usize = 4 * 1024 * 1024;
/// The most pages that are read; a longer list is assumed to be a pagination loop.
const PAGES_MAX: usize = 200;
/// How long the hub may send no update before a process reads the list itself.
const HUB_OVERDUE: Duration = Duration::from_millis(2000);
/// The shortest time that a newly started process waits for the hub before it reads the list
/// itself.
const FIRST_WAIT: Duration = Duration::from_millis(300);
/// How often a process checks whether the hub is overdue, and reads the list if it is.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// The shortest time from one reading of the versions to the next.
const READING_INTERVAL: Duration = Duration::from_millis(400);

/// A value read from the platform, or the reason why it could not be read.
type Result<T> = std::result::Result<T, String>;

/// Reads all pages of the list.
///
/// # Errors
/// A page could not be fetched or parsed. The pages read so far are discarded because they are not
/// the complete list.
pub async fn read_targets(dialect: &dyn Dialect, address: SocketAddr) -> Result<Vec<TargetVm>> {
    let mut targets = Vec::new();
    let mut page = None;
    for _ in 0..PAGES_MAX {
        let path = dialect.list_path(page.as_deref());
        let body = tokio::time::timeout(PAGE_TIMEOUT, read_page(address, &path))
            .await
            .map_err(|_| "no response in time".to_owned())??;
        let read = dialect
            .read_list(&body)
            .map_err(|findings| findings.to_string())?;
        if read.unreadable > 0 {
            log::warn!(entries = read.unreadable; "invalid entries in the target list");
        }
        targets.extend(read.targets);
        match read.next {
            Some(next) => page = Some(next),
            None => return Ok(targets),
        }
    }
    Err("the list has too many pages".to_owned())
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

/// A reading of the list to learn which versions serve.
#[derive(Debug, Default)]
pub(crate) struct Reading {
    /// When it began; `None` before the first one.
    began: Option<Time>,
    failed: bool,
}

impl Node {
    /// Reads which versions are listed, and returns when the reading began, which is after the call. Calls
    /// share readings. `None` if the list can't be read.
    pub(crate) async fn read_versions(&self) -> Option<Time> {
        let called = self.now();
        let mut last = self.last_reading().lock().await;
        if last.began.is_none_or(|began| began < called) {
            if let Some(began) = last.began {
                let pause = READING_INTERVAL.saturating_sub(self.now().since(began));
                tokio::time::sleep(pause).await;
            }
            let began = self.now();
            let read = read_targets(&*self.dialect, self.list).await;
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
        match read_targets(&*node.dialect, node.list).await {
            Ok(targets) => {
                log::info!(targets = targets.len(); "target list read without the hub");
                let mut view = node.view();
                view.note_read(now, &targets);
                view.set_targets(node.now(), targets);
                drop(view);
                node.note_change();
            }
            Err(error) => log::warn!(error; "target list not read"),
        }
    }
}
