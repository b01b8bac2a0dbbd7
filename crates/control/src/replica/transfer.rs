//! Sending a copy of the state to a member whose log is too far behind.

use std::{sync::Arc, time::Duration};

use clem_log::{Base, LogIndex, MemberId};
use clem_store::{Pair, Snapshot};

use super::{
    calls::{CopyPage, CopyPair, CopyReply},
    shared::Shared,
};

/// About how many bytes of pairs travel together.
const PAGE_BYTES: usize = 1024 * 1024;
/// How long a page may take; the last one is answered after a sync of the whole copy.
const PAGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a copy of the state as it is now and tells the node how that ended.
pub(super) async fn send_copy(shared: Arc<Shared>, member: MemberId) {
    let sent = match begin(&shared, member) {
        Some(copy) => send_pages(&shared, member, copy).await,
        None => None,
    };
    log::info!(member:% = member, index = sent.map(|index| index.0); "copy of the state sent");
    if let Some(seat) = shared.seat().as_mut() {
        seat.copy_sent(member, sent);
    }
    shared.work.notify_one();
}

/// A view of the state and where it goes.
struct Copy {
    cluster: clem_log::ClusterId,
    address: std::net::SocketAddr,
    base: Base,
    view: Snapshot,
}

fn begin(shared: &Shared, member: MemberId) -> Option<Copy> {
    let seat = shared.seat();
    let seat = seat.as_ref()?;
    let view = shared.store().snapshot().ok()?;
    let base = seat.node().base_at(LogIndex(view.applied()))?;
    let address = seat.node().members().get(member)?.address.parse().ok()?;
    Some(Copy {
        cluster: seat.cluster,
        address,
        base,
        view,
    })
}

async fn send_pages(shared: &Shared, member: MemberId, copy: Copy) -> Option<LogIndex> {
    let mut after: Option<Vec<u8>> = None;
    let mut page = 0;
    loop {
        let pairs = copy.view.page(after.as_deref(), PAGE_BYTES).ok()?;
        let last = pairs.is_empty();
        after = pairs.last().map(|pair| pair.key.to_vec());
        let call = CopyPage {
            cluster: copy.cluster,
            to: member,
            base: copy.base.clone(),
            page,
            pairs: pairs.iter().map(copy_pair).collect(),
            last,
        };
        match shared.client.call(copy.address, &call, PAGE_TIMEOUT).await {
            Ok(CopyReply::Taken) => {}
            Ok(CopyReply::Refused) => return None,
            Err(error) => {
                log::warn!(member:% = member, error:% = error; "copy of the state not sent");
                return None;
            }
        }
        if last {
            return Some(copy.base.index);
        }
        page += 1;
    }
}

fn copy_pair(pair: &Pair) -> CopyPair {
    CopyPair {
        key: pair.key.to_vec(),
        value: pair.value.to_vec(),
    }
}
