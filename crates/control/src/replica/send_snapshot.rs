//! Sends a snapshot of the state to a member that needs entries the leader's log no longer has.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use clem_log::{LogIndex, MemberId, SnapshotMetadata};
use clem_store::{Pair, Snapshot};
use tokio::task::AbortHandle;

use super::{
    calls::{SnapshotPage, SnapshotPair, SnapshotReply},
    in_flight::InFlightGuard,
    shared::Shared,
};

/// Approximate size of one page.
const PAGE_BYTES: usize = 512 * 1024;
/// Timeout of one page, which is written to a file but not synced. A connection may go silent for good, and
/// the member takes no part until it has the snapshot; on slower links than this allows, a page never arrives.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the last page is sent again until the receiver has synced the whole snapshot.
const INSTALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a snapshot that was refused or not sent.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The snapshots that are being sent, one for each member: a member refuses the pages of one once another has
/// begun, and two that are each begun anew would never end.
pub(super) struct SnapshotSender {
    shared: Arc<Shared>,
    running: BTreeMap<MemberId, AbortHandle>,
}

impl SnapshotSender {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            running: BTreeMap::new(),
        }
    }

    /// Starts sending a snapshot to `member`, in place of one that this process has begun before.
    pub(super) fn start(&mut self, member: MemberId) {
        self.running.retain(|_, task| !task.is_finished());
        if let Some(older) = self.running.remove(&member) {
            log::info!(member:% = member; "snapshot begun anew");
            older.abort();
        }
        let now = self.shared.clock.now();
        let guard = self.shared.copies.restart(now, member);
        let attempt = Attempt {
            shared: Arc::clone(&self.shared),
            member,
            _guard: guard,
        };
        let task = tokio::spawn(attempt.run());
        self.running.insert(member, task.abort_handle());
    }
}

/// One attempt to send a snapshot of the current state.
struct Attempt {
    shared: Arc<Shared>,
    member: MemberId,
    /// Held while the snapshot is being sent.
    _guard: InFlightGuard<MemberId>,
}

impl Attempt {
    /// Sends the snapshot and reports the result to the consensus node.
    async fn run(self) {
        let (shared, member) = (&self.shared, self.member);
        let sent = match begin(shared, member) {
            Some(snapshot) => send_pages(shared, member, snapshot).await,
            None => None,
        };
        log::info!(member:% = member, index = sent.map(|index| index.0); "snapshot sent");
        if sent.is_none() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        self.report(sent);
    }

    fn report(&self, sent: Option<LogIndex>) {
        if let Some(core) = self.shared.core().as_mut() {
            core.snapshot_sent(self.member, sent);
        }
        self.shared.work.notify_one();
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        // Otherwise the node would wait for this attempt for good. One that was aborted has a successor.
        if std::thread::panicking() {
            self.report(None);
        }
    }
}

/// A snapshot and its receiver.
struct Outgoing {
    cluster: clem_log::ClusterId,
    address: SocketAddr,
    base: SnapshotMetadata,
    view: Snapshot,
}

fn begin(shared: &Shared, member: MemberId) -> Option<Outgoing> {
    let core = shared.core();
    let core = core.as_ref()?;
    let view = shared.store().snapshot().ok()?;
    let base = core.node().base_at(LogIndex(view.applied()))?;
    let address = core.node().members().get(member)?.address.parse().ok()?;
    Some(Outgoing {
        cluster: core.cluster,
        address,
        base,
        view,
    })
}

async fn send_pages(shared: &Shared, member: MemberId, snapshot: Outgoing) -> Option<LogIndex> {
    let mut after: Option<Vec<u8>> = None;
    let mut page = 0;
    loop {
        let pairs = snapshot.view.page(after.as_deref(), PAGE_BYTES).ok()?;
        let last = pairs.is_empty();
        after = pairs.last().map(|pair| pair.key.to_vec());
        let call = SnapshotPage {
            cluster: snapshot.cluster,
            to: member,
            base: snapshot.base.clone(),
            page,
            pairs: pairs.iter().map(to_pair).collect(),
            last,
        };
        if last {
            let held = send_last(shared, member, snapshot.address, &call).await;
            return held.then_some(snapshot.base.index);
        }
        let sent = shared.client.call(snapshot.address, &call, PAGE_TIMEOUT);
        match sent.await {
            Ok(SnapshotReply::Taken) => {}
            Ok(SnapshotReply::Refused | SnapshotReply::Installing) => return None,
            Ok(SnapshotReply::Held) => return Some(snapshot.base.index),
            Err(error) => {
                log::warn!(member:% = member, error:% = error; "snapshot not sent");
                return None;
            }
        }
        page += 1;
    }
}

/// Sends the last page until the receiver has the snapshot in place; returns whether it has.
///
/// The receiver may need longer for that than a connection that has gone silent should be waited for.
async fn send_last(
    shared: &Shared,
    member: MemberId,
    address: SocketAddr,
    call: &SnapshotPage,
) -> bool {
    let end = shared.clock.now() + INSTALL_TIMEOUT;
    loop {
        match shared.client.call(address, call, PAGE_TIMEOUT).await {
            Ok(SnapshotReply::Taken | SnapshotReply::Held) => return true,
            Ok(SnapshotReply::Refused) => return false,
            Ok(SnapshotReply::Installing) => {}
            Err(error) => {
                log::warn!(member:% = member, error:% = error; "last page not answered");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        if shared.clock.now() >= end {
            log::warn!(member:% = member; "snapshot not put in place in time");
            return false;
        }
    }
}

fn to_pair(pair: &Pair) -> SnapshotPair {
    SnapshotPair {
        key: pair.key.to_vec(),
        value: pair.value.to_vec(),
    }
}
