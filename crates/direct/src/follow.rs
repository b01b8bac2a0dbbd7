//! Following the hub: rules, targets and processes, as its leader knows them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clem_wire::fleet::{FOLLOW_MAX_HOLD, Follow, FollowReply};

use tokio::sync::watch;

use crate::Node;

/// How long one answer is waited for, over all members of the hub.
const TIMEOUT: Duration = Duration::from_millis(8000);
/// How long the answer may be held.
const WAIT: Duration = FOLLOW_MAX_HOLD;
/// The pause after no member of the hub answered.
const PAUSE: Duration = Duration::from_millis(100);

/// Follows the hub for as long as the process runs; `seeds` brings members that are named later, in
/// case all that were known are gone.
pub async fn follow(node: Arc<Node>, seeds: watch::Receiver<Vec<SocketAddr>>) {
    let mut lost = None;
    loop {
        let call = call(&node);
        match node.hub.call(&call, TIMEOUT).await {
            Ok(news) => {
                let now = node.now();
                node.note_leader();
                if let Some(since) = lost.take() {
                    let away = now.since(since).as_millis();
                    log::info!(away_ms = away as u64; "hub regained");
                }
                take_news(&node, news);
            }
            Err(error) => {
                if lost.is_none() {
                    lost = Some(node.now());
                    log::warn!(error:% = error, rules = node.view().version().0; "hub lost");
                }
                node.hub.add_addresses(&seeds.borrow());
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn call(node: &Node) -> Follow {
    let view = node.view();
    Follow {
        holder: node.holder.clone(),
        vm: node.vm.clone(),
        address: node.address,
        role: node.role,
        rules: view.version(),
        seen: view.seen,
        held: node.held(),
        members: view.members.clone(),
        wait_ms: WAIT.as_millis() as u32,
    }
}

fn take_news(node: &Node, news: FollowReply) {
    let now = node.now();
    let mut changed = false;
    node.view().heard = Some(now);
    node.note_recalls(news.recalls);
    if let Some(document) = news.rules {
        match node.dialect.read_rules(&document.document) {
            Ok(rules) => {
                let version = rules.version.0;
                if node.view().take_rules(rules) {
                    log::info!(version; "rules in force");
                    changed = true;
                }
            }
            Err(findings) => {
                log::error!(version = document.version.0, findings:% = findings; "rules unreadable");
            }
        }
    }
    if let Some(list) = news.fleet {
        node.hub.set_addresses(&list.hub);
        node.jobs.set_addresses(&list.batch);
        log::info!(
            epoch = list.seen.epoch.0, change = list.seen.change,
            targets = list.targets.as_ref().map_or(node.view().targets.len(), Vec::len),
            batch = list.batch.len();
            "fleet changed"
        );
        node.view().take_list(now, list);
        changed = true;
    }
    if changed {
        node.note_change();
    }
}
