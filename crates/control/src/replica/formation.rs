//! Group formation: bootstraps a new group or joins an existing one.
//!
//! A process with an empty disk queries all other processes that it is told of: the initial members
//! of its settings, the live processes that its owner names, and whom those name in turn. If one of
//! them knows a group, this process joins it: as an initial member if it is one, otherwise, once the
//! group has a leader, as a learner that replaces the lost disk at its address. Only the initial
//! member with the lowest address bootstraps a group, and only when all initial members and all live processes have
//! answered and none knows a group. A process that has lost its disk therefore never bootstraps a
//! second group while a member of the first one answers or is thought to be alive.
//!
//! A founder may be lost before that. If a majority of the founders have disks that were empty before any
//! group of these founders could exist, the lowest of those bootstraps the group instead, even if others
//! have been silent for [`founding::MAJORITY_DELAY`]. Only such disks, and names that no disk has, are the
//! members of that group. As it has one member for each founder, the quorums of any two such groups have
//! a disk in common, and a disk never changes its group.
//!
//! A process without a disk answers these queries as well, but never becomes a member.
//!
//! See `docs/DESIGN.md`, "Agreement".

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use clem_log::{
    ClusterId, InitialState, LogIndex, MemberId, Members, Node, SnapshotMetadata, Write,
    disk::{DiskEvent, Folder, Identity, Recovered, Writer},
};
use futures_util::future;
use tokio::sync::mpsc::UnboundedReceiver;

use super::{
    calls::{Group, Hello, HelloReply, Join},
    core::{Core, log_members},
    event_loop, fatal,
    founding::{self, FounderDisk, Round},
    gauges, install_snapshot,
    joining::{Joining, Phase},
    shared::Shared,
};

/// Time between two rounds of queries.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// How often a process without a disk queries the others for the group's members.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one query.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a process that is not a member of its group asks to join it.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Resumes, joins or bootstraps this process's group, then runs its member until the process exits.
pub(super) async fn run(shared: Arc<Shared>, mut folder: Folder, recovered: Recovered) {
    let known = recovered.identity.cluster;
    let (cluster, start) = match known {
        Some(cluster) => (cluster, resume(&shared, &mut folder, recovered)),
        None => form(&shared, &mut folder).await,
    };
    let node = Node::new(shared.clock.now(), start, shared.consensus);
    let (writer, events) = match Writer::start(folder, Arc::clone(&shared.probe)) {
        Ok(started) => started,
        Err(error) => fatal::exit("failed to start the log writer thread", &error),
    };
    log::info!(member:% = shared.member, cluster:% = cluster; "member started");
    log_members(node.members(), node.last());
    let core = Core::new(
        cluster,
        node,
        writer,
        shared.reserve_bytes,
        &shared.consensus,
    );
    *shared.core() = Some(core);
    run_tasks(shared, events).await;
}

async fn run_tasks(shared: Arc<Shared>, events: UnboundedReceiver<DiskEvent>) {
    let asking = request_join(Arc::clone(&shared));
    let reporting = gauges::report(Arc::clone(&shared));
    tokio::join!(event_loop::run(shared, events), asking, reporting);
}

/// Restores the consensus node from the log and the store on disk.
fn resume(shared: &Shared, folder: &mut Folder, recovered: Recovered) -> InitialState {
    let applied = LogIndex(shared.store().applied());
    let mut start = InitialState {
        hard: recovered.hard,
        base: recovered.base,
        entries: recovered.entries,
        applied,
        ..InitialState::new(shared.member, seed())
    };
    let installed = install_snapshot::installed_base(&shared.data_dir);
    if let Some(installed) = installed.filter(|installed| start.needs_reset(installed)) {
        // The process exited after the snapshot replaced the store, but before the log was reset.
        write_base(folder, installed.clone());
        start.base = installed;
        start.entries = Vec::new();
    }
    let last = start.entries.last().map_or(start.base.index, |e| e.index);
    if applied > last {
        fatal::exit(
            "the store is ahead of the log",
            &"no installed snapshot explains it",
        );
    }
    if applied < start.base.index {
        fatal::exit(
            "the store is behind the log",
            &"its file was lost or replaced",
        );
    }
    start
}

fn write_base(folder: &mut Folder, base: SnapshotMetadata) {
    let write = Write {
        reset: Some(base),
        ..Write::default()
    };
    if let Err(error) = folder.write(vec![write]) {
        fatal::exit("failed to write the log", &error);
    }
}

fn seed() -> u64 {
    rand::random()
}

// ----------------------------------------------------------------------------

/// The answer of one process.
struct PeerReply {
    address: SocketAddr,
    reply: HelloReply,
}

/// Queries the other processes until there is a group to join or to bootstrap.
async fn form(shared: &Shared, folder: &mut Folder) -> (ClusterId, InitialState) {
    let mut joining = Joining::default();
    let mut silent_since = None;
    loop {
        let began = shared.clock.now();
        let asked = shared.others();
        let answers = query(shared, &asked).await;
        let now = shared.clock.now();
        if let Some((address, group)) = find_group(shared.member, &answers) {
            log::info!(
                cluster:% = group.cluster, address:% = address,
                waited_ms = joining.finish(now).as_millis() as u64;
                "group found"
            );
            return (group.cluster, adopt(shared, folder, group));
        }
        // A founder that has just bootstrapped a group may be silent for a round or two.
        silent_since = is_incomplete(shared, &answers).then(|| silent_since.unwrap_or(began));
        let silence = silent_since.map(|since| now.since(since));
        if let Some(group) = bootstrap_group(shared, &answers, silence) {
            joining.finish(now);
            return (group.cluster, adopt(shared, folder, group));
        }
        joining.note(now, Phase::Search, &asked, answers.len());
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

/// Returns a group that this process may join; of several ones, one with a leader.
fn find_group(own: MemberId, answers: &[PeerReply]) -> Option<(SocketAddr, Group)> {
    let found = answers.iter().filter_map(|answer| {
        let group = answer.reply.group.as_ref()?;
        Some((answer, group))
    });
    let joinable = found.filter(|(answer, group)| {
        let is_member = group.members.get(own).is_some();
        founding::may_join(is_member, !answer.reply.leaderless)
    });
    let (answer, group) = joinable.min_by_key(|(answer, _)| answer.reply.leaderless)?;
    Some((answer.address, group.clone()))
}

/// Keeps the addresses of the group's members up to date in a process without a disk.
pub(super) async fn discover(shared: Arc<Shared>) {
    loop {
        query(&shared, &shared.others()).await;
        tokio::time::sleep(DISCOVERY_INTERVAL).await;
    }
}

/// Queries these processes at once, so that a round takes no longer for those that are gone.
async fn query(shared: &Shared, asked: &[SocketAddr]) -> Vec<PeerReply> {
    let calls = asked.iter().map(async |address| {
        let asked = shared.client.call(*address, &Hello {}, HELLO_TIMEOUT).await;
        asked.ok().map(|reply| PeerReply {
            address: *address,
            reply,
        })
    });
    let answers = future::join_all(calls).await;
    let answers: Vec<PeerReply> = answers.into_iter().flatten().collect();
    let replies: Vec<&HelloReply> = answers.iter().map(|answer| &answer.reply).collect();
    shared.note_replies(&replies);
    for PeerReply { reply, .. } in &answers {
        if let Some(group) = &reply.group {
            let known = group.members.iter().filter_map(|m| m.address.parse().ok());
            shared.add_peers(known);
        }
        shared.add_peers(reply.known.iter().copied());
    }
    answers
}

/// Returns whether a process that must have answered before a group is bootstrapped has not.
fn is_incomplete(shared: &Shared, answers: &[PeerReply]) -> bool {
    let answered = |address: SocketAddr| answers.iter().any(|a| a.address == address);
    shared.expected().any(|address| !answered(address))
}

/// Creates a new group, if this process is the one to bootstrap it and enough others have answered.
fn bootstrap_group(
    shared: &Shared,
    answers: &[PeerReply],
    silence: Option<Duration>,
) -> Option<Group> {
    let named = shared.founders.contains(&shared.address);
    let found = answers.iter().any(|answer| answer.reply.group.is_some());
    if !shared.bootstrap || !named || found {
        return None;
    }
    let own = FounderDisk {
        member: shared.member,
        predates_group: shared.predates_group,
    };
    let mut known = BTreeMap::from([(shared.address, own)]);
    for PeerReply { address, reply } in answers {
        if reply.votes && shared.founders.contains(address) {
            let disk = FounderDisk {
                member: reply.member,
                predates_group: reply.predates_group,
            };
            known.insert(*address, disk);
        }
    }
    let answered = known.len();
    let round = Round {
        own: shared.address,
        founders: &shared.founders,
        known,
        silence,
    };
    let voters = founding::voters(round, || MemberId(rand::random()))?;
    let group = Group {
        cluster: ClusterId(rand::random()),
        members: Members::new(voters),
    };
    log::info!(
        cluster:% = group.cluster, members = group.members.iter().count(), answered;
        "bootstrapping new group"
    );
    Some(group)
}

/// Writes the group to the disk of this process. An initial member starts with the initial members;
/// any other one starts with none and gets them from the leader.
fn adopt(shared: &Shared, folder: &mut Folder, group: Group) -> InitialState {
    let mut base = SnapshotMetadata::default();
    if group.members.get(shared.member).is_some() {
        base.members = group.members;
    }
    write_base(folder, base.clone());
    let identity = Identity {
        member: shared.member,
        cluster: Some(group.cluster),
    };
    if let Err(error) = folder.set_identity(identity) {
        fatal::exit("failed to write the identity file", &error);
    }
    InitialState {
        base,
        ..InitialState::new(shared.member, seed())
    }
}

// ----------------------------------------------------------------------------

/// Asks the others to let this process join, whenever no leader has it as a member.
async fn request_join(shared: Arc<Shared>) {
    let mut joining = Joining::default();
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        if shared.stopping.load(Ordering::Relaxed) {
            return;
        }
        let now = shared.clock.now();
        let (join, is_member, waits) = {
            let core = shared.core();
            let Some(core) = core.as_ref() else { continue };
            // A member that lags may hear from a leader whose address it doesn't know yet.
            if core.leader().is_some() {
                joining.finish(now);
                continue;
            }
            let members = core.node().members();
            shared.add_peers(members.iter().filter_map(|m| m.address.parse().ok()));
            let join = Join {
                cluster: core.cluster,
                member: shared.member,
                address: shared.address.to_string(),
            };
            let is_member = core.node().kind().is_some();
            (join, is_member, core.node().wants_join())
        };
        let asked = shared.others();
        if !waits {
            joining.finish(now);
            query(&shared, &asked).await;
            continue;
        }
        // Only the leader accepts the call.
        let calls = asked
            .iter()
            .map(|address| shared.client.call(*address, &join, HELLO_TIMEOUT));
        // Those that the process knows may not lead any more, but they know who does.
        let (replies, _) = tokio::join!(future::join_all(calls), query(&shared, &asked));
        let replies = replies.iter().filter(|reply| reply.is_ok()).count();
        // A member without a leader has its place already.
        if is_member {
            joining.finish(now);
        } else {
            joining.note(now, Phase::Admission, &asked, replies);
        }
    }
}
