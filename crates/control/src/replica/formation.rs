//! Founding a group, or joining one.
//!
//! A process whose disk is new asks all the others that its settings name. If one of them knows a
//! group, this process joins it: as a founding member if it is one, else as a learner in the
//! place of the lost disk at its address. A group is founded only by the process with the lowest
//! address, and only when every named process has answered and none knows a group. So a lost disk
//! never founds a second group while one member of the first still answers.
//!
//! A process without a disk answers these questions too, but is never a member.
//!
//! See `docs/DESIGN.md`, "Agreement".

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clem_log::{
    Base, ClusterId, LogIndex, Member, MemberId, MemberKind, Members, Node, Start, Write,
    disk::{DiskEvent, Folder, Identity, Recovered, Writer},
};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{
    calls::{Group, Hello, HelloReply, Join},
    drive::drive,
    fatal, gauges, install,
    seat::{Seat, note_members},
    shared::Shared,
};

/// The pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// How often a process without a disk looks for the members.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// How long one process is waited for.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a member without a place in its group asks for one.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Finds this process's group, takes its seat and drives it.
pub(super) async fn run(shared: Arc<Shared>, mut folder: Folder, recovered: Recovered) {
    let known = recovered.identity.cluster;
    let (cluster, start) = match known {
        Some(cluster) => (cluster, resume(&shared, &mut folder, recovered)),
        None => form(&shared, &mut folder).await,
    };
    let node = Node::new(shared.clock.now(), start, shared.consensus);
    let (writer, events) = match Writer::start(folder) {
        Ok(started) => started,
        Err(error) => fatal::end("the log's thread can't be started", &error),
    };
    log::info!(member:% = shared.member, cluster:% = cluster; "takes its seat");
    note_members(node.members(), node.last());
    *shared.seat() = Some(Seat::new(cluster, node, writer, shared.reserve_bytes));
    go_on(shared, events).await;
}

async fn go_on(shared: Arc<Shared>, events: UnboundedReceiver<DiskEvent>) {
    let asking = ask_for_place(Arc::clone(&shared));
    let reporting = gauges::report(Arc::clone(&shared));
    tokio::join!(drive(shared, events), asking, reporting);
}

/// Goes on from what the disk holds.
fn resume(shared: &Shared, folder: &mut Folder, recovered: Recovered) -> Start {
    let applied = LogIndex(shared.store().applied());
    let mut start = Start {
        hard: recovered.hard,
        base: recovered.base,
        entries: recovered.entries,
        applied,
        ..Start::new(shared.member, seed())
    };
    let copied = install::last_base(&shared.data_dir);
    if let Some(copied) = copied.filter(|copied| start.needs_reset(copied)) {
        // It had taken the store's place, but the log was not started anew yet.
        write_base(folder, copied.clone());
        start.base = copied;
        start.entries = Vec::new();
    }
    let last = start.entries.last().map_or(start.base.index, |e| e.index);
    if applied > last {
        fatal::end(
            "the store is ahead of the log",
            &"no copy of the state explains it",
        );
    }
    if applied < start.base.index {
        fatal::end(
            "the store is behind the log",
            &"its file was lost or replaced",
        );
    }
    start
}

fn write_base(folder: &mut Folder, base: Base) {
    let write = Write {
        reset: Some(base),
        ..Write::default()
    };
    if let Err(error) = folder.write(vec![write]) {
        fatal::end("the log can't be written", &error);
    }
}

fn seed() -> u64 {
    rand::random()
}

// ----------------------------------------------------------------------------

/// A process that answered.
struct Answer {
    address: SocketAddr,
    reply: HelloReply,
}

/// Founds a group or finds one.
async fn form(shared: &Shared, folder: &mut Folder) -> (ClusterId, Start) {
    loop {
        let answers = ask_all(shared).await;
        let found = answers.iter().find_map(|answer| answer.reply.group.clone());
        let group = found.or_else(|| found_group(shared, &answers));
        let Some(group) = group else {
            tokio::time::sleep(ROUND_PAUSE).await;
            continue;
        };
        return (group.cluster, adopt(shared, folder, group));
    }
}

/// Looks for the members of the group, for a process without a disk.
pub(super) async fn look(shared: Arc<Shared>) {
    loop {
        ask_all(&shared).await;
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

async fn ask_all(shared: &Shared) -> Vec<Answer> {
    let mut answers = Vec::new();
    for address in others(shared) {
        let asked = shared.client.call(address, &Hello {}, HELLO_TIMEOUT).await;
        let Ok(reply) = asked else { continue };
        if let Some(group) = &reply.group {
            let known = group.members.iter().filter_map(|m| m.address.parse().ok());
            shared.add_peers(known);
        }
        answers.push(Answer { address, reply });
    }
    answers
}

fn others(shared: &Shared) -> Vec<SocketAddr> {
    shared
        .peers()
        .into_iter()
        .filter(|address| *address != shared.address)
        .collect()
}

/// The new group, if it is for this process to found it and nobody is missing.
fn found_group(shared: &Shared, answers: &[Answer]) -> Option<Group> {
    if !shared.bootstrap {
        return None;
    }
    let others = others(shared);
    let named = others.len() < shared.peers().len();
    let voting: Vec<&Answer> = answers.iter().filter(|a| a.reply.votes).collect();
    let lowest = voting.iter().all(|answer| shared.address < answer.address);
    if !named || !lowest || answers.len() < others.len() {
        return None;
    }
    let mut members = vec![voter(shared.member, shared.address)];
    for answer in voting {
        members.push(voter(answer.reply.member, answer.address));
    }
    let group = Group {
        cluster: ClusterId(rand::random()),
        members: Members::new(members),
    };
    log::info!(cluster:% = group.cluster, members = group.members.iter().count(); "founds a group");
    Some(group)
}

fn voter(id: MemberId, address: SocketAddr) -> Member {
    Member {
        id,
        address: address.to_string(),
        kind: MemberKind::Voter,
    }
}

/// Makes the group this disk's own: as a founding member with its first members, else with none,
/// as its leader will send them.
fn adopt(shared: &Shared, folder: &mut Folder, group: Group) -> Start {
    let mut base = Base::default();
    if group.members.get(shared.member).is_some() {
        base.members = group.members;
    }
    write_base(folder, base.clone());
    let identity = Identity {
        member: shared.member,
        cluster: Some(group.cluster),
    };
    if let Err(error) = folder.set_identity(identity) {
        fatal::end("the identity can't be written", &error);
    }
    Start {
        base,
        ..Start::new(shared.member, seed())
    }
}

// ----------------------------------------------------------------------------

/// Asks for a place for as long as no leader counts this member as one of its group.
async fn ask_for_place(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        let join = {
            let seat = shared.seat();
            let Some(seat) = seat.as_ref() else { continue };
            if !seat.node().wants_join() {
                continue;
            }
            let known = seat.node().members().iter();
            shared.add_peers(known.filter_map(|m| m.address.parse().ok()));
            let address = shared.address.to_string();
            Join {
                cluster: seat.cluster,
                member: shared.member,
                address,
            }
        };
        for address in others(&shared) {
            // Whoever leads hears it; the others refuse.
            let _ = shared.client.call(address, &join, HELLO_TIMEOUT).await;
        }
    }
}
