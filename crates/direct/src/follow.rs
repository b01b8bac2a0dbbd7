//! Follows the hub's leader: receives new rules, targets and processes by long polling.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clem_types::Time;
use clem_wire::{
    fleet::{FOLLOW_MAX_HOLD, Follow, FollowReply, RulesDocument},
    targets::TargetUpdate,
};

use tokio::sync::watch;

use crate::{
    Node,
    fetch::{ask_members, fetch_announced, start_from_members},
};

/// Timeout of one poll, across all members of the hub.
const TIMEOUT: Duration = Duration::from_millis(8000);
/// How long the leader may hold a poll open.
const WAIT: Duration = FOLLOW_MAX_HOLD;
/// Delay before the next poll when no member of the hub responded.
const PAUSE: Duration = Duration::from_millis(100);

/// Follows the hub until the process exits. `seeds` delivers hub members added to the settings
/// later, in case all known members are gone.
pub async fn follow(node: Arc<Node>, seeds: watch::Receiver<Vec<SocketAddr>>) {
    tokio::join!(
        poll(&node, seeds),
        fetch_announced(&node),
        ask_members(&node),
        start_from_members(&node)
    );
}

async fn poll(node: &Node, seeds: watch::Receiver<Vec<SocketAddr>>) {
    let mut lost = None;
    loop {
        let call = call(node);
        let sent = node.now();
        match node.hub.call(&call, TIMEOUT).await {
            Ok(reply) => {
                let now = node.now();
                node.note_leader();
                let crashes = &call.crashes;
                if let Some(since) = lost.take() {
                    let away = now.since(since).as_millis();
                    log::info!(away_ms = away as u64; "hub reachable again");
                }
                let readable = apply_reply(node, sent, reply);
                let epoch = node.view().seen.epoch;
                node.crashes().note_told(now, epoch, crashes);
                node.streams()
                    .note_told(now, call.seen.epoch, epoch, &call.streams);
                if !readable {
                    // The leader sends the same at once.
                    tokio::time::sleep(PAUSE).await;
                }
            }
            Err(error) => {
                if lost.is_none() {
                    lost = Some(node.now());
                    log::warn!(error:% = error, rules = node.view().version().0; "hub unreachable");
                }
                node.hub.add_addresses(&seeds.borrow());
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Puts received rules in force and returns whether they are newer; they were asked for at `sent`.
pub(crate) fn apply_rules(node: &Node, sent: Time, rules: &RulesDocument) -> bool {
    let received = node.now();
    let version = rules.version.0;
    let text = match rules.text() {
        Ok(text) => text,
        Err(error) => {
            log::error!(version, error:% = error; "rules damaged");
            return false;
        }
    };
    let read = match node.dialect.read_rules(&text) {
        Ok(read) => read,
        Err(findings) => {
            log::error!(version, findings:% = findings; "rules unreadable");
            return false;
        }
    };
    let cold = read.services.values();
    let cold = cold.filter_map(|service| Some((service.name.clone(), service.cold_rate?)));
    let cold = cold.collect();
    let previous = node.view().version().0;
    if !node.view().install_rules(received, read) {
        return false;
    }
    node.cold().set_rates(cold);
    log::info!(
        version, previous, bytes = rules.document.len(), text_bytes = text.len(),
        reply_ms = received.since(sent).as_millis() as u64,
        read_ms = node.now().since(received).as_millis() as u64;
        "rules in force"
    );
    true
}

fn call(node: &Node) -> Follow {
    let now = node.now();
    let spent = node.fallback().spent(now);
    let view = node.view();
    let crashes = node.crashes().untold(now, view.seen.epoch);
    let streams = node.streams().untold(now, view.seen.epoch);
    Follow {
        holder: node.holder.clone(),
        vm: node.vm.clone(),
        address: node.address,
        role: node.role,
        rules: view.version(),
        announced: Some(node.newest_announced()),
        seen: view.seen,
        targets: Some(view.digest),
        leaving: node.leaving(),
        blocked: view.blocked_parts(now),
        crashes,
        limits: node.limits().limits(),
        streams,
        held: node.held(),
        spent,
        fronts: view.fronts,
        members: view.members.clone(),
        wait_ms: WAIT.as_millis() as u32,
    }
}

/// How targets were sent, for the log.
fn kind_of(update: &TargetUpdate) -> &'static str {
    match update {
        TargetUpdate::Whole(_) => "whole",
        TargetUpdate::Changes(_) => "changes",
    }
}

/// Applies the reply to a poll that was sent at `sent`; returns false if a part of it can't be read.
fn apply_reply(node: &Node, sent: Time, reply: FollowReply) -> bool {
    let now = node.now();
    let mut changed = false;
    let mut readable = true;
    node.view().note_heard(now);
    node.note_recalls(reply.recalls);
    node.note_announced(reply.newest);
    if let Some(document) = reply.rules {
        node.note_announced(document.version);
        changed = apply_rules(node, sent, &document);
    }
    if let Some(list) = reply.fleet {
        node.hub.set_addresses(&list.hub);
        node.jobs.set_addresses(&list.batch);
        let (epoch, change, batch) = (list.seen.epoch.0, list.seen.change, list.batch.len());
        let update = list.update.as_ref().map(kind_of);
        node.crashes()
            .note_reports(now, list.seen.epoch, &list.crashes, &list.sound);
        let mut view = node.view();
        node.limits().note_published(&view.limits, &list.limits);
        let cold = list.cold.clone();
        readable = view.set_list(now, list);
        let targets = view.targets.values();
        node.cold()
            .note_targets(targets.map(|t| (t.id.as_str(), t.service.as_str())));
        node.cold().note_published(now, &cold);
        node.limits()
            .retain(now, |id| view.targets.contains_key(id));
        log::info!(
            epoch, change, targets = view.targets.len(), update, batch;
            "fleet changed"
        );
        changed = true;
    }
    if readable {
        node.view().note_confirmed(now);
    }
    if changed {
        node.note_change();
    }
    readable
}
