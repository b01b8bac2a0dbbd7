//! Prepares a planned stop: this process's group must be able to do without it.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use clem_wire::CallError;

use super::{
    calls::{Depart, DepartReply},
    handle::Replica,
    shared::Shared,
};

/// Time between two requests to stop.
const PAUSE: Duration = Duration::from_millis(100);
/// Timeout of one request.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Whom to ask whether this process may stop.
enum Judge {
    /// The leader, at this address.
    Leader(SocketAddr),
    /// This process, as it leads.
    Own,
    /// Nobody: no leader is known.
    Unknown,
    /// This process is no voter, so nobody needs to be asked.
    None,
}

impl Replica {
    /// Prepares a planned stop: transfers leadership, and waits for at most `limit` until the leader
    /// says that the group can do without this member.
    ///
    /// A member that stops while another one is lost takes the quorum with it. One that stops for
    /// good leaves the group unable to bear a lost disk until it is replaced, which is done
    /// before it stops if a process asks to join.
    pub async fn prepare_stop(&self, limit: Duration) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        if tokio::time::timeout(limit, self.depart()).await.is_err() {
            log::warn!(waited_ms = limit.as_millis() as u64; "stopping while the group needs this member");
        }
    }

    async fn depart(&self) {
        loop {
            // Again in each turn, as this member may have been elected once more.
            self.transfer_leadership().await;
            if self.may_stop().await {
                return;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn may_stop(&self) -> bool {
        let shared = &self.shared;
        let (judge, depart) = {
            let core = shared.core();
            let Some(core) = core.as_ref() else {
                return true;
            };
            let depart = Depart {
                cluster: core.cluster,
                member: shared.member,
            };
            (judge(shared, core.node()), depart)
        };
        let reply = match judge {
            Judge::None => return true,
            Judge::Unknown => return false,
            Judge::Own => {
                let now = shared.clock.now();
                let mut core = shared.core();
                core.as_mut().map(|core| core.depart(now, shared.member))
            }
            Judge::Leader(address) => match shared.client.call(address, &depart, TIMEOUT).await {
                Ok(reply) => Some(reply),
                // A leader of an earlier release doesn't know the call.
                Err(CallError::Refused { .. }) => return true,
                Err(error) => {
                    log::debug!(address:% = address, error:% = error; "failed to reach the leader");
                    None
                }
            },
        };
        shared.work.notify_one();
        match reply {
            Some(DepartReply::Go) => true,
            Some(DepartReply::Wait | DepartReply::NotLeader) | None => false,
        }
    }
}

fn judge(shared: &Shared, node: &clem_log::Node) -> Judge {
    let members = node.members();
    if !members.is_voter(shared.member) {
        return Judge::None;
    }
    if node.is_leader() {
        return Judge::Own;
    }
    let leader = node.leader().and_then(|id| members.get(id));
    let address = leader.and_then(|leader| leader.address.parse().ok());
    address.map_or(Judge::Unknown, Judge::Leader)
}
