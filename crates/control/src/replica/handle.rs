//! The handle on this process's replica.

use std::{fs, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use bytes::Bytes;
use clem_boot::Clock;
use clem_log::{
    Change, MemberId, MemberKind, Refused,
    disk::{Folder, Identity},
};
use clem_state::Command;
use clem_store::{RedbStore, Store};
use clem_types::{Epoch, Time};
use clem_wire::{
    Client, ControlReply, FleetSecret,
    admin::{ChangeMembersReply, MemberChange, MemberRole, MemberView},
    codec,
};
use eyre::{Result, WrapErr};
use salvo::Router;
use tokio::sync::watch;

use super::{
    Proposed,
    calls::Hello,
    fatal, formation,
    install::{CACHE_BYTES, store_path},
    routes::routes,
    shared::{Parts, Shared},
};

/// How long a proposal is tried again while too many others wait.
const BUSY_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause between two tries.
const BUSY_PAUSE: Duration = Duration::from_millis(5);
/// How long handing over leadership may take before a planned stop.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a process that is to become a member is waited for.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// What a replica needs to start.
#[derive(Debug)]
pub struct ReplicaSettings {
    /// The folder of everything that must survive; none for a process without a disk, which only
    /// tells others where the group is.
    pub data_dir: Option<PathBuf>,
    /// This process's address.
    pub address: SocketAddr,
    /// The addresses of the first members.
    pub peers: Vec<SocketAddr>,
    /// What members show each other.
    pub secret: FleetSecret,
    /// The process's clock.
    pub clock: Clock,
    /// Whether a new group may be founded; else an empty disk only joins one.
    pub bootstrap: bool,
    /// Free bytes on the disk below which all proposals are refused.
    pub reserve_bytes: u64,
    /// Spans and sizes that steer the group.
    pub consensus: clem_log::Settings,
}

/// Free bytes on the disk below which all proposals are refused, unless a program says otherwise.
pub const RESERVE_BYTES: u64 = 64 * 1024 * 1024;

/// A handle on this process's replica; clones stand for the same one.
#[derive(Clone)]
pub struct Replica {
    shared: Arc<Shared>,
}

impl Replica {
    /// Opens the data folder and takes part in the group, now or as soon as the others answer.
    ///
    /// Must run inside the tokio runtime.
    ///
    /// # Errors
    /// The folder or what lies in it can't be used.
    pub fn open(settings: ReplicaSettings) -> Result<Self> {
        let ReplicaSettings {
            data_dir,
            address,
            peers,
            secret,
            clock,
            bootstrap,
            reserve_bytes,
            consensus,
        } = settings;
        let client = Client::new(secret);
        let Some(data_dir) = data_dir else {
            // It never takes a seat, so nothing is ever written.
            let store = RedbStore::in_memory().wrap_err("can't open a store in memory")?;
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
                reserve_bytes,
                consensus,
            }));
            tokio::spawn(formation::look(Arc::clone(&shared)));
            return Ok(Self { shared });
        };
        fs::create_dir_all(&data_dir)
            .wrap_err_with(|| format!("can't make the data folder {}", data_dir.display()))?;
        let fresh = Identity {
            member: MemberId(rand::random()),
            cluster: None,
        };
        let (folder, recovered) = Folder::open(&data_dir, fresh)?;
        if recovered.torn_bytes > 0 {
            log::warn!(bytes = recovered.torn_bytes; "the end of the log was torn and is cut off");
        }
        let path = store_path(&data_dir);
        let store = RedbStore::open(&path, CACHE_BYTES)
            .wrap_err_with(|| format!("can't open {}", path.display()))?;
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
            reserve_bytes,
            consensus,
        }));
        tokio::spawn(formation::run(Arc::clone(&shared), folder, recovered));
        Ok(Self { shared })
    }

    /// The paths at which members of the group reach each other.
    pub fn routes(&self) -> Vec<Router> {
        routes(&self.shared)
    }

    /// Puts a command into the log and waits until it is applied here.
    pub async fn propose(&self, command: Command) -> Proposed {
        let data: Bytes = match codec::encode(&command) {
            Ok(data) => data.into(),
            Err(error) => fatal::end("a command can't be encoded", &error),
        };
        let end = self.shared.clock.now() + BUSY_TIMEOUT;
        loop {
            let now = self.shared.clock.now();
            let tried = match self.shared.seat().as_mut() {
                Some(seat) => seat.propose(now, data.clone()),
                None => return Proposed::NotLeader,
            };
            match tried {
                Ok(answer) => {
                    self.shared.work.notify_one();
                    return answer.await.unwrap_or(Proposed::Unknown);
                }
                Err(Refused::Busy) if now < end => tokio::time::sleep(BUSY_PAUSE).await,
                Err(
                    Refused::Busy
                    | Refused::NotLeader { .. }
                    | Refused::DiskFull
                    | Refused::ChangeRefused,
                ) => return Proposed::NotLeader,
            }
        }
    }

    /// Waits until what was committed before this call can be read here; says whether this
    /// process leads, so that the read is not stale.
    pub async fn read_barrier(&self) -> bool {
        let now = self.shared.clock.now();
        let asked = match self.shared.seat().as_mut() {
            Some(seat) => seat.read(now),
            None => return false,
        };
        self.shared.work.notify_one();
        match asked {
            Ok(answer) => answer.await.unwrap_or(false),
            Err(_) => false,
        }
    }

    /// Reads the state as it is applied here.
    pub fn read<T>(&self, read: impl FnOnce(&dyn Store) -> clem_state::Result<T>) -> T {
        match read(&*self.shared.store()) {
            Ok(value) => value,
            Err(error) => fatal::end("the state can't be used", &error),
        }
    }

    /// The term in which this process leads by a lease that holds at `now`.
    pub fn leads(&self, now: Time) -> Option<Epoch> {
        self.shared.seat().as_ref()?.leads(now)
    }

    /// The term in which this process leads, also while its lease has run out for a moment.
    ///
    /// For work that a second leader does not harm for as long as a message takes; what must not be
    /// stale goes through [`barrier`](Self::barrier) or [`propose`](Self::propose).
    pub fn leading_epoch(&self, now: Time) -> Option<Epoch> {
        self.shared.seat().as_ref()?.leading_epoch(now)
    }

    /// Bytes that may still be written to the disk, as of the last write.
    pub fn free_bytes(&self) -> u64 {
        let seat = self.shared.seat();
        seat.as_ref()
            .map_or(u64::MAX, super::seat::Seat::free_bytes)
    }

    /// The leader's address, as far as known.
    pub fn leader(&self) -> Option<SocketAddr> {
        let seat = self.shared.seat();
        let node = seat.as_ref()?.node();
        let leader = node.members().get(node.leader()?)?;
        leader.address.parse().ok()
    }

    /// Tells of each change of leadership.
    pub fn watch(&self) -> watch::Receiver<Option<Epoch>> {
        self.shared.epoch.subscribe()
    }

    /// The addresses of the group's voters, without changes that are not committed.
    pub fn voters(&self) -> Vec<SocketAddr> {
        let seat = self.shared.seat();
        seat.as_ref()
            .map(super::seat::Seat::voters)
            .unwrap_or_default()
    }

    /// The members of the group.
    pub fn members(&self) -> Vec<MemberView> {
        let seat = self.shared.seat();
        let Some(seat) = seat.as_ref() else {
            return Vec::new();
        };
        let node = seat.node();
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

    /// Changes the members of the group.
    pub async fn change_members(&self, change: MemberChange) -> ControlReply<ChangeMembersReply> {
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
                Err(error) => return rejected(format!("{address} does not answer: {error}")),
            },
            MemberChange::Remove(identity) => match parse_member(&identity) {
                Some(id) => self.change(&Change::Remove(id)),
                None => return rejected(format!("{identity} is not an identity")),
            },
            MemberChange::Transfer(identity) => match parse_member(&identity) {
                Some(id) => self.transfer(Some(id)),
                None => return rejected(format!("{identity} is not an identity")),
            },
        };
        match tried {
            Ok(()) => ControlReply::Done(ChangeMembersReply::Accepted),
            Err(Refused::NotLeader { .. }) => ControlReply::NotLeader {
                leader: self.leader(),
            },
            Err(refused @ (Refused::Busy | Refused::DiskFull | Refused::ChangeRefused)) => {
                rejected(refused.to_string())
            }
        }
    }

    /// The addresses at which members are looked for.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.shared.peers()
    }

    /// Adds addresses at which members are looked for.
    pub fn add_peers(&self, found: impl IntoIterator<Item = SocketAddr>) {
        self.shared.add_peers(found);
    }

    /// Names the members that are to be replaced although they live.
    pub fn set_leaving(&self, leaving: &[SocketAddr]) {
        let addresses: Vec<String> = leaving.iter().map(ToString::to_string).collect();
        if let Some(seat) = self.shared.seat().as_mut() {
            seat.set_leaving(&addresses);
        }
    }

    /// Hands leadership to another member before a planned stop, if there is one.
    ///
    /// It waits until that member leads: a process that ended as soon as it had given up its place
    /// would take the order to campaign with it, and the group would wait for an election.
    pub async fn transfer_leadership(&self) {
        if self.transfer(None).is_err() {
            return;
        }
        let end = self.shared.clock.now() + HAND_OVER_TIMEOUT;
        while !self.is_led_by_another() {
            if self.shared.clock.now() >= end {
                log::warn!(waited_ms = HAND_OVER_TIMEOUT.as_millis() as u64; "no member took over");
                return;
            }
            tokio::time::sleep(BUSY_PAUSE).await;
            // Refused unless this member was elected again meanwhile.
            let _ = self.transfer(None);
        }
    }

    fn is_led_by_another(&self) -> bool {
        let seat = self.shared.seat();
        let leader = seat.as_ref().and_then(|seat| seat.node().leader());
        leader.is_some_and(|leader| leader != self.shared.member)
    }

    fn change(&self, change: &Change) -> std::result::Result<(), Refused> {
        let now = self.shared.clock.now();
        let changed = match self.shared.seat().as_mut() {
            Some(seat) => seat.change(now, change).map(drop),
            None => Err(Refused::NotLeader { leader: None }),
        };
        self.shared.work.notify_one();
        changed
    }

    fn transfer(&self, to: Option<MemberId>) -> std::result::Result<(), Refused> {
        let now = self.shared.clock.now();
        let begun = match self.shared.seat().as_mut() {
            Some(seat) => seat.transfer_leadership(now, to),
            None => Err(Refused::NotLeader { leader: None }),
        };
        self.shared.work.notify_one();
        begun
    }
}

fn rejected(reason: String) -> ControlReply<ChangeMembersReply> {
    ControlReply::Done(ChangeMembersReply::Rejected { reason })
}

fn parse_member(text: &str) -> Option<MemberId> {
    u64::from_str_radix(text, 16).ok().map(MemberId)
}
