//! Fetches announced rules from any member of the hub, beside the polls of
//! [`follow`](crate::follow()): polls carry what can't wait, and large rules would delay it.
//!
//! See `docs/design/platform.md`, "Rules on their way".

use std::{net::SocketAddr, time::Duration};

use clem_types::Version;
use clem_wire::{
    LeaderReply,
    fleet::{FOLLOW_MAX_HOLD, FetchHeld, FetchRules, Held, RulesDocument},
};

use crate::{Node, follow::apply_rules};

/// How long a member may send nothing before another one is asked.
const STALL: Duration = Duration::from_millis(500);
/// Timeout of one transfer, however slow the link.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after all members have been asked; each later one is twice the one before.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after all members have been asked.
const ROUND_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Fetches each version that the hub announces, until the process exits.
pub(crate) async fn fetch_announced(node: &Node) {
    let mut announced = node.announced();
    let mut fetcher = Fetcher::default();
    // Rules that can't be put in force here are not fetched again.
    let mut unusable = Version(0);
    loop {
        let newer = |version: &Version| *version > node.view().version().max(unusable);
        let wanted = match announced.wait_for(newer).await {
            Ok(version) => *version,
            // The sender is part of the node, which outlives this call.
            Err(_) => return,
        };
        let sent = node.now();
        let rules = fetcher.fetch(node, wanted).await;
        if apply_rules(node, sent, &rules) {
            node.note_change();
            continue;
        }
        if node.view().version() < rules.version {
            unusable = rules.version;
        }
    }
}

/// How long the leader may send nothing before other members are asked for newer rules: a poll and
/// some slack.
const LEADER_QUIET: Duration = FOLLOW_MAX_HOLD.saturating_add(Duration::from_millis(300));
/// How often a member is asked meanwhile.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Asks the hub's members for newer rules, one after the other, while the leader sends no news, until
/// the process exits. What a member holds is committed, but may be old, so a process without rules
/// waits for the leader.
pub(crate) async fn ask_members(node: &Node) {
    loop {
        tokio::time::sleep(node.with_jitter(ASK_INTERVAL)).await;
        let heard = node.view().heard;
        if heard.is_none_or(|heard| node.now().since(heard) < LEADER_QUIET) {
            continue;
        }
        // The poll waits for the leader already.
        let mut members = node.hub.others();
        node.shuffle(&mut members);
        let Some(member) = members.first() else {
            continue;
        };
        let call = FetchRules {
            wanted: node.view().version().next(),
        };
        let sent = node.now();
        match node.hub.call_member(*member, &call, STALL, TIMEOUT).await {
            Ok(LeaderReply::Done(rules)) => {
                log::info!(member:% = member, version = rules.version.0; "newer rules at a member");
                if apply_rules(node, sent, &rules) {
                    node.note_change();
                }
            }
            Ok(LeaderReply::NotLeader { .. } | LeaderReply::Unknown | LeaderReply::NoRoom) => {}
            Err(error) => log::debug!(member:% = member, error:% = error; "member not asked"),
        }
    }
}

/// How long a process that has just started waits for the leader before it asks the members.
const START_WAIT: Duration = Duration::from_millis(80);
/// How often it asks them.
const START_INTERVAL: Duration = Duration::from_millis(40);
/// How long a member may take to answer it.
const START_TIMEOUT: Duration = Duration::from_millis(150);

/// Takes over the newest rules that a majority of the hub's voters hold, if a process that has just
/// started finds no leader. It answers the load after a loss of all processes, when all callers come
/// back while the members still elect a leader: callers are served better by the last rules than by a
/// refusal. What the members hold may be older than the newest rules, until the leader sends these.
pub(crate) async fn start_from_members(node: &Node) {
    tokio::time::sleep(START_WAIT).await;
    while node.view().rules.is_none() {
        let held = ask_held(node, &node.hub.addresses()).await;
        if node.view().rules.is_some() {
            return;
        }
        let sent = node.now();
        if let Some(latest) = latest_membership(&held) {
            // The settings may name processes only that are voters no more.
            node.hub.add_addresses(&latest.voters);
        }
        if let Some(newest) = newest_held(&held) {
            log::info!(
                version = newest.rules.version.0, members = held.len(), fronts = newest.fronts;
                "rules taken from members without a leader"
            );
            let fronts = held.iter().map(|(_, held)| held.fronts).max();
            node.view()
                .restore(newest.evacuated.clone(), fronts.unwrap_or_default());
            if apply_rules(node, sent, &newest.rules) {
                node.start_alone();
                node.note_change();
                return;
            }
        }
        tokio::time::sleep(node.with_jitter(START_INTERVAL)).await;
    }
}

/// Returns the reply of the member that knows the latest change of the hub's voters.
fn latest_membership(held: &[(SocketAddr, Held)]) -> Option<&Held> {
    let known = held.iter().map(|(_, held)| held);
    // A member of an earlier release doesn't tell the voters.
    let known = known.filter(|held| !held.voters.is_empty());
    known.max_by_key(|held| held.changed)
}

/// Returns the newest rules that members hold, if these are a majority of the voters by the latest membership
/// that any of them knows.
///
/// Members that were removed while they were away may all know the same former voters. A change of the voters
/// that is committed is in the log of one of a majority of the former ones, so that this one would tell it.
/// What they hold may still be older than what their logs have, see `docs/design/restart.md`.
pub fn newest_held(held: &[(SocketAddr, Held)]) -> Option<&Held> {
    let voters = &latest_membership(held)?.voters;
    let votes = |address: &SocketAddr| voters.contains(address);
    let mut holding: Vec<&Held> = Vec::new();
    for (address, held) in held {
        let tells = !held.voters.is_empty() && held.rules.version.0 > 0;
        if tells && votes(address) {
            holding.push(held);
        }
    }
    let has_majority = holding.len() * 2 > voters.len();
    let newest = holding.into_iter().max_by_key(|held| held.rules.version);
    newest.filter(|_| has_majority)
}

/// What the members that answer in time hold, with their addresses.
async fn ask_held(node: &Node, members: &[SocketAddr]) -> Vec<(SocketAddr, Held)> {
    let ask = |member: SocketAddr| async move {
        let call = FetchHeld {
            vm: node.vm.clone(),
            role: node.role,
        };
        let asked = node
            .hub
            .call_member(member, &call, START_TIMEOUT, START_TIMEOUT);
        match asked.await {
            Ok(LeaderReply::Done(held)) => Some((member, held)),
            Ok(LeaderReply::NotLeader { .. } | LeaderReply::Unknown | LeaderReply::NoRoom) => None,
            Err(error) => {
                log::debug!(member:% = member, error:% = error; "member not asked");
                None
            }
        }
    };
    let asked = members.iter().map(|member| ask(*member));
    let held = futures_util::future::join_all(asked).await;
    held.into_iter().flatten().collect()
}

/// Asks the hub's members for rules.
#[derive(Debug, Default)]
struct Fetcher {
    /// Members that failed during the last fetch; they are asked last.
    failed: Vec<SocketAddr>,
}

impl Fetcher {
    /// Fetches rules that are at least as new as `wanted`, from members in a random order, so that
    /// no member's link has to carry them all.
    async fn fetch(&mut self, node: &Node, wanted: Version) -> RulesDocument {
        let call = FetchRules { wanted };
        let mut pause = ROUND_PAUSE;
        loop {
            let mut members = node.hub.addresses();
            node.shuffle(&mut members);
            members.sort_by_key(|member| self.failed.contains(member));
            self.failed.clear();
            for member in members {
                match node.hub.call_member(member, &call, STALL, TIMEOUT).await {
                    Ok(LeaderReply::Done(rules)) => return rules,
                    Ok(
                        LeaderReply::NotLeader { .. } | LeaderReply::Unknown | LeaderReply::NoRoom,
                    ) => {
                        log::debug!(member:% = member, wanted = wanted.0; "member lacks the rules");
                    }
                    Err(error) => {
                        log::info!(
                            member:% = member, wanted = wanted.0, error:% = error;
                            "rules not fetched from a member"
                        );
                        self.failed.push(member);
                    }
                }
            }
            tokio::time::sleep(node.with_jitter(pause)).await;
            pause = (pause * 2).min(ROUND_PAUSE_MAX);
        }
    }
}
