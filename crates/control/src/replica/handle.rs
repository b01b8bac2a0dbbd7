//! The public interface of this process's replica.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use clem_boot::{Clock, spawn_vital};
use clem_log::{
    Change, LogIndex, LogPosition, MemberId, MemberKind, NodeError,
    disk::{Folder, Identity, RoomProbe},
};
use clem_state::Command;
use clem_store::{RedbStore, Store};
use clem_types::{Epoch, Time};
use clem_wire::{
    Client, FleetSecret, GroupBrief, LeaderReply,
    admin::{ChangeMembersReply, MemberChange, MemberRole, MemberView},
    codec,
};
use eyre::{Result, WrapErr};
use salvo::Router;
use tokio::sync::watch;

use super::{
    ProposalResult,
    brief::Place,
    calls::Hello,
    core::Core,
    fatal, formation,
    install_snapshot::{CACHE_BYTES, store_path},
    routes::routes,
    shared::{Parts, Shared},
};

/// How long a proposal is retried while the proposal queue is full.
const BUSY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two retries.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// How long a planned stop waits for the transfer of leadership.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the query to a process that is to become a member.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// The settings of a replica.
#[derive(Debug)]
pub struct ReplicaSettings {
    /// The directory of the log and the store; `None` for a process without a disk, which only
    /// tells others the addresses of the members.
    pub data_dir: Option<PathBuf>,
    /// The address at which other members reach this process.
    pub address: SocketAddr,
    /// The addresses of the initial members.
    pub peers: Vec<SocketAddr>,
    /// The secret with which members authenticate to each other.
    pub secret: FleetSecret,
    /// The process's clock.
    pub clock: Clock,
    /// Whether a process with an empty disk may bootstrap a new group; if not, it can only join
    /// one.
    pub bootstrap: bool,
    /// Whether the disk is known to have been empty before any group of these initial members could
    /// be bootstrapped, and to have been in use by this process since then.
    pub predates_group: bool,
    /// Free disk space below which new work is refused, in bytes.
    pub reserve_bytes: u64,
    /// Tells the room on the disk.
    pub probe: Arc<dyn RoomProbe>,
    /// Timeouts and limits of the consensus protocol.
    pub consensus: clem_log::Settings,
}

/// Default of [`ReplicaSettings::reserve_bytes`].
pub const RESERVE_BYTES: u64 = 64 * 1024 * 1024;

/// A handle to this process's replica; clones refer to the same replica.
#[derive(Clone)]
pub struct Replica {
    pub(super) shared: Arc<Shared>,
}

impl Replica {
    /// Opens the data directory and starts taking part in the group in the background.
    ///
    /// Must be called within a Tokio runtime.
    ///
    /// # Errors
    /// The directory or its contents cannot be read or written.
    pub fn open(settings: ReplicaSettings) -> Result<Self> {
        let ReplicaSettings {
            data_dir,
            address,
            peers,
            secret,
            clock,
            bootstrap,
            predates_group,
            reserve_bytes,
            probe,
            consensus,
        } = settings;
        let client = Client::new(secret);
        let Some(data_dir) = data_dir else {
            // This process never becomes a member, so nothing is written to the store.
            let store = RedbStore::in_memory().wrap_err("failed to open an in-memory store")?;
            let shared = Arc::new(Shared::new(Parts {
                address,
                peers,
                data_dir: PathBuf::new(),
                clock,
                client,
                member: MemberId(rand::random()),
                votes: false,
                store,
                bootstrap: false,
                predates_group: false,
                reserve_bytes,
                probe,
                consensus,
            }));
            spawn_vital("discover", formation::discover(Arc::clone(&shared)));
            return Ok(Self { shared });
        };
        fs::create_dir_all(&data_dir).wrap_err_with(|| {
            format!("failed to create the data directory {}", data_dir.display())
        })?;
        let fresh = Identity {
            member: MemberId(rand::random()),
            cluster: None,
        };
        let (folder, recovered) = Folder::open(&data_dir, fresh)?;
        if recovered.torn_bytes > 0 {
            log::warn!(bytes = recovered.torn_bytes; "truncated torn write at the end of the log");
        }
        let store = open_store(&data_dir, recovered.identity.cluster.is_some())?;
        let shared = Arc::new(Shared::new(Parts {
            address,
            peers,
            data_dir,
            clock,
            client,
            member: recovered.identity.member,
            votes: true,
            store,
            bootstrap,
            predates_group,
            reserve_bytes,
            probe,
            consensus,
        }));
        spawn_vital(
            "member",
            formation::run(Arc::clone(&shared), folder, recovered),
        );
        Ok(Self { shared })
    }

    /// The HTTP routes for calls from other members.
    pub fn routes(&self) -> Vec<Router> {
        routes(&self.shared)
    }

    /// Proposes a command and waits until it is applied here.
    pub async fn propose(&self, command: Command) -> ProposalResult {
        let data: Bytes = match codec::encode(&command) {
            Ok(data) => data.into(),
            Err(error) => fatal::exit("failed to encode a command", &error),
        };
        let is_new = command.is_new();
        // Commands may be large, and wait for long.
        drop(command);
        let end = self.shared.clock.now() + BUSY_TIMEOUT;
        loop {
            let now = self.shared.clock.now();
            let tried = match self.shared.core().as_mut() {
                Some(core) => core.propose(now, data.clone(), is_new),
                None => return ProposalResult::NotLeader,
            };
            match tried {
                Ok(answer) => {
                    self.shared.work.notify_one();
                    return answer.await.unwrap_or(ProposalResult::Unknown);
                }
                Err(NodeError::Busy) if now < end => tokio::time::sleep(RETRY_PAUSE).await,
                Err(NodeError::DiskFull) => {
                    metrics::counter!("clem_control_proposals_without_room").increment(1);
                    return ProposalResult::NoRoom;
                }
                Err(NodeError::Busy | NodeError::NotLeader { .. } | NodeError::ChangeRefused) => {
                    return ProposalResult::NotLeader;
                }
            }
        }
    }

    /// Waits until everything committed before this call has been applied here. Returns false if
    /// this process is not the leader, in which case a read may be stale.
    pub async fn read_barrier(&self) -> bool {
        let now = self.shared.clock.now();
        let asked = match self.shared.core().as_mut() {
            Some(core) => core.read(now),
            None => return false,
        };
        self.shared.work.notify_one();
        match asked {
            Ok(answer) => answer.await.unwrap_or(false),
            Err(_) => false,
        }
    }

    /// Reads the state as applied here, which may be stale without
    /// [`read_barrier`](Self::read_barrier). Exits the process if the store cannot be read.
    pub fn read<T>(&self, read: impl FnOnce(&dyn Store) -> clem_state::Result<T>) -> T {
        match read(&*self.shared.store()) {
            Ok(value) => value,
            Err(error) => fatal::exit("failed to read the store", &error),
        }
    }

    /// The epoch (term) in which this process leads under a lease that is valid at `now`.
    pub fn leased_epoch(&self, now: Time) -> Option<Epoch> {
        self.shared.core().as_ref()?.leased_epoch(now)
    }

    /// The epoch (term) in which this process leads, also while its lease has briefly expired.
    ///
    /// Another member may already lead, for as long as a message takes to arrive. Use it only for
    /// work that tolerates two leaders for that long; everything else must go through
    /// [`read_barrier`](Self::read_barrier) or [`propose`](Self::propose).
    pub fn leading_epoch(&self, now: Time) -> Option<Epoch> {
        self.shared.core().as_ref()?.leading_epoch(now)
    }

    /// Free disk space as last read, in bytes; `u64::MAX` before that.
    pub fn free_bytes(&self) -> u64 {
        let core = self.shared.core();
        core.as_ref().map_or(u64::MAX, Core::free_bytes)
    }

    /// The leader's address, if this process or one that it has asked lately hears from it.
    pub fn leader(&self) -> Option<SocketAddr> {
        let own = self.shared.core().as_ref().and_then(Core::leader);
        let leader = own.or_else(|| self.shared.named_leader())?;
        (leader.address != self.shared.address || own.is_some()).then_some(leader.address)
    }

    /// What this process knows of its group, for callers that look for the leader.
    pub fn brief(&self) -> GroupBrief {
        let now = self.shared.clock.now();
        let core = self.shared.core();
        let place = match core.as_ref() {
            Some(core) => {
                let applied = LogIndex(self.shared.store().applied());
                Place::Inside(Box::new(core.group_state(now, applied)))
            }
            None if self.shared.votes => Place::Outside,
            None => Place::Diskless,
        };
        GroupBrief::from(place.to_string())
    }

    /// Subscribes to the epoch in which this process leads; `None` while it does not.
    pub fn watch_leadership(&self) -> watch::Receiver<Option<Epoch>> {
        self.shared.epoch.subscribe()
    }

    /// The addresses of the group's voters, ignoring uncommitted membership changes.
    pub fn voters(&self) -> Vec<SocketAddr> {
        let core = self.shared.core();
        core.as_ref().map(Core::voters).unwrap_or_default()
    }

    /// The addresses of the voters by the latest membership change in the log, committed or not, and the position
    /// of its entry; `None` if this process is no voter.
    pub fn membership(&self) -> Option<(LogPosition, Vec<SocketAddr>)> {
        let core = self.shared.core();
        let node = core.as_ref()?.node();
        let votes = node.kind() == Some(MemberKind::Voter);
        votes.then(|| (node.members_at(), super::core::voters(node.members())))
    }

    /// The members of the group, with their roles and replication progress.
    pub fn members(&self) -> Vec<MemberView> {
        let core = self.shared.core();
        let Some(core) = core.as_ref() else {
            return Vec::new();
        };
        let node = core.node();
        let mut views = Vec::new();
        for member in node.members().iter() {
            let Ok(address) = member.address.parse() else {
                continue;
            };
            let role = match member.kind {
                MemberKind::Learner => MemberRole::Learner,
                MemberKind::Voter if node.leader() == Some(member.id) => MemberRole::Leader,
                MemberKind::Voter => MemberRole::Follower,
            };
            let matched = node.matched(member.id).unwrap_or_default().0;
            views.push(MemberView {
                address,
                identity: member.id.to_string(),
                role,
                matched,
            });
        }
        views
    }

    /// Starts a membership change or a transfer of leadership. The reply does not wait for its
    /// completion.
    pub async fn change_members(&self, change: MemberChange) -> LeaderReply<ChangeMembersReply> {
        let tried = match change {
            MemberChange::Add(address) => match self
                .shared
                .client
                .call(address, &Hello {}, HELLO_TIMEOUT)
                .await
            {
                Ok(reply) => self.change(&Change::AddLearner {
                    id: reply.member,
                    address: address.to_string(),
                }),
                Err(error) => return rejected(format!("{address} did not answer: {error}")),
            },
            MemberChange::Remove(identity) => match parse_member(&identity) {
                Some(id) => self.change(&Change::Remove(id)),
                None => return rejected(format!("{identity} is not a valid identity")),
            },
            MemberChange::Transfer(identity) => match parse_member(&identity) {
                Some(id) => self.transfer(Some(id)),
                None => return rejected(format!("{identity} is not a valid identity")),
            },
        };
        match tried {
            Ok(()) => LeaderReply::Done(ChangeMembersReply::Accepted),
            Err(NodeError::NotLeader { .. }) => LeaderReply::NotLeader {
                leader: self.leader(),
                brief: Some(self.brief()),
            },
            Err(refused @ (NodeError::Busy | NodeError::DiskFull | NodeError::ChangeRefused)) => {
                rejected(refused.to_string())
            }
        }
    }

    /// The known addresses at which members may be reached.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.shared.peers()
    }

    /// Adds addresses at which members may be reached.
    pub fn add_peers(&self, found: impl IntoIterator<Item = SocketAddr>) {
        self.shared.add_peers(found);
    }

    /// Sets the addresses of the processes that are thought to be alive, in place of those set
    /// before. Any of them may know the group, and none is bootstrapped while one of them is silent.
    pub fn set_live(&self, live: &[SocketAddr]) {
        self.shared.set_live(live);
    }

    /// Sets the addresses of members that are to be replaced although they are alive.
    pub fn set_leaving(&self, leaving: &[SocketAddr]) {
        let addresses: Vec<String> = leaving.iter().map(ToString::to_string).collect();
        if let Some(core) = self.shared.core().as_mut() {
            core.set_leaving(&addresses);
        }
    }

    /// Transfers leadership to another member before a planned stop, if this process leads and
    /// there is one.
    ///
    /// Waits until the other member leads. If the process exited right after giving up leadership,
    /// the request to campaign could be lost, and the group would wait for an election timeout.
    pub async fn transfer_leadership(&self) {
        if self.transfer(None).is_err() {
            return;
        }
        let end = self.shared.clock.now() + TRANSFER_TIMEOUT;
        while !self.other_leads() {
            if self.shared.clock.now() >= end {
                log::warn!(waited_ms = TRANSFER_TIMEOUT.as_millis() as u64; "no other member became leader");
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            // Has an effect only if this member has been elected again.
            let _ = self.transfer(None);
        }
    }

    fn other_leads(&self) -> bool {
        let core = self.shared.core();
        let leader = core.as_ref().and_then(|core| core.node().leader());
        leader.is_some_and(|leader| leader != self.shared.member)
    }

    fn change(&self, change: &Change) -> std::result::Result<(), NodeError> {
        let now = self.shared.clock.now();
        let changed = match self.shared.core().as_mut() {
            Some(core) => core.change(now, change).map(drop),
            None => Err(NodeError::NotLeader { leader: None }),
        };
        self.shared.work.notify_one();
        changed
    }

    fn transfer(&self, to: Option<MemberId>) -> std::result::Result<(), NodeError> {
        let now = self.shared.clock.now();
        let begun = match self.shared.core().as_mut() {
            Some(core) => core.transfer_leadership(now, to),
            None => Err(NodeError::NotLeader { leader: None }),
        };
        self.shared.work.notify_one();
        begun
    }
}

/// Opens the store in a data directory, or creates it.
///
/// A store that a loss of power has cut short while it was created can't be opened. It is created anew on
/// a disk that belongs to no group, which has no data yet: its store is complete before it joins one.
fn open_store(data_dir: &Path, has_group: bool) -> Result<RedbStore> {
    let path = store_path(data_dir);
    let failed = || format!("failed to open {}", path.display());
    let error = match RedbStore::open(&path, CACHE_BYTES) {
        Ok(store) => return Ok(store),
        Err(error) if has_group => return Err(error).wrap_err_with(failed),
        Err(error) => error,
    };
    log::warn!(error:% = error; "store of a disk without a group created anew");
    fs::remove_file(&path).wrap_err_with(failed)?;
    RedbStore::open(&path, CACHE_BYTES).wrap_err_with(failed)
}

fn rejected(reason: String) -> LeaderReply<ChangeMembersReply> {
    LeaderReply::Done(ChangeMembersReply::Rejected { reason })
}

fn parse_member(text: &str) -> Option<MemberId> {
    u64::from_str_radix(text, 16).ok().map(MemberId)
}
