//! The event loop of the simulation.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use clem_log::{
    LogIndex, Member, MemberId, MemberKind, Members, Message, ReadId, Ready, Settings,
    SnapshotMetadata, WriteNumber,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    checks::Checks,
    disk::{Disk, State},
    host::{Host, Process},
};

const HOSTS: usize = 3;
pub(super) const MILLI: u64 = 1000;
/// The interval of ticks, in microseconds like all times here.
pub(super) const TICK: u64 = 20 * MILLI;
const SLOW_SYNC: u64 = 1500 * MILLI;
/// The time that a cluster without faults may take until all hosts have the same state.
const HEAL_TIMEOUT: u64 = 60_000 * MILLI;

/// The probabilities of faults.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// Loss, and equally duplication and long delay, per 1000 messages.
    pub(crate) loss: u32,
    /// Crashes, freezes, partitions, slow disks and leadership transfers, per 1000 ticks.
    pub(crate) process: u32,
    /// Lost disks, per 1000 ticks.
    pub(crate) disk: u32,
}

enum Event {
    Tick,
    Deliver(usize, Message),
    Synced(usize, u64, WriteNumber),
    Snapshot {
        from: (usize, u64),
        to: (usize, MemberId),
        base: SnapshotMetadata,
        state: Arc<State>,
    },
    SnapshotDone((usize, u64), MemberId, Option<LogIndex>),
    Restart(usize),
    Unfreeze(usize),
    HealNetwork,
}

/// A simulated cluster.
pub(crate) struct World {
    pub(super) rng: ChaCha8Rng,
    pub(super) settings: Settings,
    faults: Faults,
    pub(super) now: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    pub(crate) hosts: Vec<Host>,
    /// Pairs of sender and receiver whose messages are dropped.
    pub(super) blocked: BTreeSet<(usize, usize)>,
    pub(crate) checks: Checks,
    last_id: u64,
    /// Whether clients send proposals and reads.
    pub(super) clients: bool,
    /// Events for a frozen host, which it handles when it continues.
    buffers: Vec<Vec<Event>>,
    /// The number of ticks between two requests of a host to join.
    join_ticks: u64,
}

pub(super) fn address(host: usize) -> String {
    format!("127.0.0.1:{}", 7000 + host)
}

impl World {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        Self::with(seed, faults, (HOSTS, Settings::default(), 1))
    }

    /// Creates a cluster with a number of founders, settings, and ticks between requests to join.
    pub(super) fn with(
        seed: u64,
        faults: Faults,
        (founders, settings, join_ticks): (usize, Settings, u64),
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut list = Vec::new();
        for host in 0..founders {
            list.push(Member {
                id: MemberId(host as u64 + 1),
                address: address(host),
                kind: MemberKind::Voter,
            });
        }
        let base = SnapshotMetadata {
            index: LogIndex(1),
            members: Members::new(list),
            ..SnapshotMetadata::default()
        };
        let mut hosts = Vec::new();
        for host in 0..founders {
            let mut disk = Disk::new(MemberId(host as u64 + 1));
            disk.base = base.clone();
            disk.state_base = base.clone();
            disk.state.applied = base.index;
            let drift = rng.random_range(-50..=50);
            hosts.push(Host::new(disk, drift, rng.random_range(1..1_000_000)));
        }
        let mut world = Self {
            rng,
            settings,
            faults,
            now: 0,
            events: BTreeMap::new(),
            sequence: 0,
            hosts,
            blocked: BTreeSet::new(),
            checks: Checks::default(),
            last_id: 100,
            clients: true,
            buffers: (0..founders).map(|_| Vec::new()).collect(),
            join_ticks,
        };
        for host in 0..founders {
            world.start(host);
        }
        world.at(TICK, Event::Tick);
        world
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1000) < thousandths
    }

    pub(super) fn start(&mut self, host: usize) {
        let seed = self.rng.random();
        self.hosts[host].start(self.now, seed, self.settings);
        self.pump(host);
    }

    /// Runs for `span` microseconds with faults, then without until the cluster has settled.
    pub(crate) fn run(&mut self, span: u64) {
        self.run_for(span);
        self.heal();
        self.settle();
    }

    pub(crate) fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            self.handle(event);
            if self.now >= end {
                return;
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.faults = Faults {
            loss: 0,
            process: 0,
            disk: 0,
        };
        self.blocked.clear();
        for host in 0..self.hosts.len() {
            self.hosts[host].slow_disk = false;
            if self.hosts[host].frozen {
                self.handle(Event::Unfreeze(host));
            }
            if self.hosts[host].process.is_none() {
                self.start(host);
            }
        }
    }

    /// Runs until each host is a voter with the same state, and checks that state.
    pub(crate) fn settle(&mut self) {
        let before = self.checks.acknowledged();
        self.run_until("accepted no proposal", |w| w.checks.acknowledged() > before);
        self.clients = false;
        self.run_until("did not converge", Self::is_settled);
        for host in &self.hosts {
            let process = host.process.as_ref().expect("healed");
            self.checks.check_final(&process.state);
        }
    }

    fn run_until(&mut self, otherwise: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now + HEAL_TIMEOUT;
        while !done(self) {
            assert!(
                self.now < end,
                "the cluster without faults {otherwise}:\n{}",
                self.describe()
            );
            self.run_for(100 * MILLI);
        }
    }

    pub(super) fn describe(&self) -> String {
        let mut text = String::new();
        for host in &self.hosts {
            match &host.process {
                Some(process) => text += &format!("{} {}\n", process.node, process.state.applied),
                None => text += "down\n",
            }
        }
        text
    }

    fn is_settled(&self) -> bool {
        let states: Vec<_> = (self.hosts.iter())
            .filter_map(|h| h.process.as_ref())
            .collect();
        let first = &states[0].state;
        let ids: BTreeSet<_> = self.hosts.iter().map(|h| h.disk.id).collect();
        states.iter().any(|p| p.node.is_leader())
            && states.iter().all(|p| {
                let voters: BTreeSet<_> = p.node.members().voters().collect();
                p.state == *first
                    && voters == ids
                    && p.node.members().iter().count() == self.hosts.len()
            })
    }

    // ------------------------------------------------------------------------

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.on_tick(),
            Event::Restart(host) if self.hosts[host].process.is_none() => self.start(host),
            Event::Restart(_) => {}
            Event::Unfreeze(host) => self.unfreeze(host),
            Event::HealNetwork => self.blocked.clear(),
            Event::Deliver(host, _)
            | Event::Synced(host, ..)
            | Event::Snapshot { to: (host, _), .. }
            | Event::SnapshotDone((host, _), ..)
                if self.hosts[host].frozen =>
            {
                self.buffers[host].push(event);
            }
            Event::Deliver(host, message) => {
                let now = self.hosts[host].clock(self.now);
                if let Some(process) = &mut self.hosts[host].process {
                    process.node.step(now, message);
                    self.pump(host);
                }
            }
            Event::Synced(host, incarnation, number) => self.on_synced(host, incarnation, number),
            Event::Snapshot {
                from,
                to: (host, id),
                base,
                state,
            } => self.on_snapshot(from, (host, id), base, &state),
            Event::SnapshotDone((host, incarnation), id, index) => {
                if self.hosts[host].incarnation != incarnation {
                    return;
                }
                if let Some(process) = &mut self.hosts[host].process {
                    process.node.snapshot_sent(id, index);
                    self.pump(host);
                }
            }
        }
        self.checks.check_leases(&self.hosts, self.now);
    }

    fn on_tick(&mut self) {
        self.at(TICK, Event::Tick);
        for host in 0..self.hosts.len() {
            if self.hosts[host].frozen {
                continue;
            }
            let now = self.hosts[host].clock(self.now);
            if let Some(process) = &mut self.hosts[host].process {
                process.node.tick(now);
                self.pump(host);
            }
            if self.clients {
                self.send_requests(host);
            }
            self.checkpoint(host);
        }
        self.request_joins();
        self.inject_fault();
    }

    /// Sends the proposals and a read of a client.
    fn send_requests(&mut self, host: usize) {
        let now = self.hosts[host].clock(self.now);
        let command = self.next_id();
        let writes = self.rng.random_range(0..4);
        let Some(process) = &mut self.hosts[host].process else {
            return;
        };
        for offset in 0..writes {
            let command = command * 10 + offset;
            let data = command.to_be_bytes().to_vec().into();
            if let Ok(index) = process.node.propose(now, data) {
                let term = process.node.term();
                process.proposed.insert(index, (term, command));
            }
        }
        let id = ReadId(command);
        self.checks.note_asked(id);
        let _ = process.node.read(now, id);
        self.pump(host);
    }

    /// Occasionally makes the state durable and compacts the log.
    fn checkpoint(&mut self, host: usize) {
        if !self.chance(20) {
            return;
        }
        let kept = self.rng.random_range(0..40);
        let host = &mut self.hosts[host];
        let Some(process) = &mut host.process else {
            return;
        };
        let Some(base) = process.node.base_at(process.state.applied) else {
            return;
        };
        host.disk.state = process.state.clone();
        host.disk.state_base = base.clone();
        let upto = LogIndex(base.index.0.saturating_sub(kept));
        if let Some(base) = process.node.compact(upto) {
            host.disk.compact(base);
        }
    }

    /// Lets new members ask all reachable hosts to join.
    fn request_joins(&mut self) {
        for host in 0..self.hosts.len() {
            let id = self.hosts[host].disk.id;
            let Some(process) = &self.hosts[host].process else {
                continue;
            };
            if self.hosts[host].frozen || self.hosts[host].stopping || !process.node.wants_join() {
                continue;
            }
            if !(self.now / TICK + host as u64).is_multiple_of(self.join_ticks) {
                continue;
            }
            for other in 0..self.hosts.len() {
                if self.blocked.contains(&(host, other)) || self.hosts[other].frozen {
                    continue;
                }
                let now = self.hosts[other].clock(self.now);
                if let Some(process) = &mut self.hosts[other].process {
                    let _ = process.node.join(now, id, &address(host));
                    self.pump(other);
                }
            }
        }
    }

    // ------------------------------------------------------------------------

    fn inject_fault(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let span = self.rng.random_range(10..4000) * MILLI;
        if self.chance(self.faults.disk) && self.may_lose_disk() {
            self.crash(host, 0);
            let id = MemberId(self.next_id());
            self.hosts[host].disk = Disk::new(id);
            self.at(span, Event::Restart(host));
            return;
        }
        if !self.chance(self.faults.process) {
            return;
        }
        match self.rng.random_range(0..6) {
            0 => {
                let survivors = self.rng.random_range(0..3);
                self.crash(host, survivors);
                self.at(span, Event::Restart(host));
            }
            1 => {
                self.hosts[host].frozen = true;
                self.at(span, Event::Unfreeze(host));
            }
            2 => {
                for other in 0..self.hosts.len() {
                    self.blocked.insert((host, other));
                    self.blocked.insert((other, host));
                }
                self.at(span, Event::HealNetwork);
            }
            3 => {
                self.blocked.insert((host, (host + 1) % self.hosts.len()));
                self.at(span, Event::HealNetwork);
            }
            4 => self.hosts[host].slow_disk = !self.hosts[host].slow_disk,
            _ => {
                let now = self.hosts[host].clock(self.now);
                let frozen = self.hosts[host].frozen;
                if let Some(process) = &mut self.hosts[host].process
                    && !frozen
                {
                    let _ = process.node.transfer(now, None);
                    self.pump(host);
                }
            }
        }
    }

    pub(super) fn crash(&mut self, host: usize, survivors: usize) {
        self.hosts[host].crash(survivors);
        for event in std::mem::take(&mut self.buffers[host]) {
            if let Event::Snapshot { from, to, .. } = event {
                // The connection is closed, so the sender sees a failure.
                self.at(MILLI, Event::SnapshotDone(from, to.1, None));
            }
        }
    }

    pub(super) fn unfreeze(&mut self, host: usize) {
        self.hosts[host].frozen = false;
        // Messages have waited in the socket buffers.
        for event in std::mem::take(&mut self.buffers[host]) {
            self.handle(event);
        }
    }

    /// Adds a host with an empty disk, which is down.
    pub(super) fn add_host(&mut self) -> usize {
        let id = MemberId(self.next_id());
        let drift = self.rng.random_range(-50..=50);
        let skew = self.rng.random_range(1..1_000_000);
        self.hosts.push(Host::new(Disk::new(id), drift, skew));
        self.buffers.push(Vec::new());
        self.hosts.len() - 1
    }

    pub(super) fn replace_disk(&mut self, host: usize) {
        let id = MemberId(self.next_id());
        self.hosts[host].disk = Disk::new(id);
    }

    /// Returns the leader of the highest term, of processes that aren't frozen.
    pub(super) fn leading(&self) -> Option<usize> {
        let leads = |host: &usize| {
            let host = &self.hosts[*host];
            !host.frozen && host.process.as_ref().is_some_and(|p| p.node.is_leader())
        };
        let term = |host: &usize| self.hosts[*host].process.as_ref().map(|p| p.node.term());
        (0..self.hosts.len()).filter(leads).max_by_key(term)
    }

    /// Returns whether a disk may be lost without losing the quorum: the committed voters are
    /// exactly the present disks.
    fn may_lose_disk(&self) -> bool {
        let ids: BTreeSet<_> = self.hosts.iter().map(|h| h.disk.id).collect();
        let leader = (self.hosts.iter())
            .filter_map(|h| h.process.as_ref())
            .filter(|p| p.node.is_leader())
            .max_by_key(|p| p.node.term());
        let Some(leader) = leader else {
            return false;
        };
        let committed = leader.node.base_at(leader.node.commit());
        committed.is_some_and(|base| base.members.voters().collect::<BTreeSet<_>>() == ids)
    }

    // ------------------------------------------------------------------------

    /// Takes and handles the output of a host's node until there is no more.
    pub(super) fn pump(&mut self, host: usize) {
        loop {
            let now = self.hosts[host].clock(self.now);
            let Some(process) = &mut self.hosts[host].process else {
                return;
            };
            let ready = process.node.ready(now);
            if process.node.is_leader() {
                let (term, id) = (process.node.term(), process.node.id());
                self.checks.note_leader(term, id);
            }
            let more = process.node.has_more();
            self.handle_ready(host, ready);
            if !more {
                return;
            }
        }
    }

    fn handle_ready(&mut self, host: usize, ready: Ready) {
        let process = self.hosts[host].process.as_mut().expect("it is running");
        for entry in &ready.committed {
            self.checks.note_committed(entry);
            process.state.apply(entry);
            let Some((term, command)) = process.proposed.remove(&entry.index) else {
                continue;
            };
            if term == entry.term {
                self.checks.note_acknowledged(entry.index, command);
            }
        }
        for read in ready.reads {
            // The index was fixed when the read was confirmed, so the read is recorded as answered
            // now.
            self.checks.note_answered(read.id, read.index);
        }
        if let Some(write) = ready.write {
            process.writes.push_back(write);
            self.plan_sync(host);
        }
        for message in ready.messages {
            self.send(host, &message);
        }
        for id in ready.snapshots {
            self.send_snapshot(host, id);
        }
    }

    /// Schedules one sync for all pending writes, unless one is running.
    fn plan_sync(&mut self, host: usize) {
        let target = &mut self.hosts[host];
        let Some(process) = &target.process else {
            return;
        };
        let Some(last) = process.writes.back().filter(|_| !target.syncing) else {
            return;
        };
        let number = last.number;
        target.syncing = true;
        let incarnation = target.incarnation;
        let span = if target.slow_disk {
            SLOW_SYNC
        } else {
            self.rng.random_range(0..5 * MILLI)
        };
        self.at(span, Event::Synced(host, incarnation, number));
    }

    fn on_synced(&mut self, host: usize, incarnation: u64, number: WriteNumber) {
        let now = self.hosts[host].clock(self.now);
        let target = &mut self.hosts[host];
        if target.incarnation != incarnation {
            return;
        }
        let process: &mut Process = target.process.as_mut().expect("it is running");
        while process.writes.front().is_some_and(|w| w.number <= number) {
            let write = process.writes.pop_front().expect("just seen");
            target.disk.write(write);
        }
        process.node.synced(now, number);
        target.syncing = false;
        self.plan_sync(host);
        self.pump(host);
    }

    fn host_of(&self, id: MemberId) -> Option<usize> {
        self.hosts.iter().position(|h| h.disk.id == id)
    }

    fn send(&mut self, from: usize, message: &Message) {
        let Some(to) = self.host_of(message.to) else {
            return;
        };
        let copies = match self.rng.random_range(0..1000) {
            n if n < self.faults.loss => 0,
            n if n < 2 * self.faults.loss => 2,
            _ => 1,
        };
        if self.blocked.contains(&(from, to)) {
            return;
        }
        for _ in 0..copies {
            let delay = self.delay();
            self.at(delay, Event::Deliver(to, message.clone()));
        }
    }

    fn delay(&mut self) -> u64 {
        if self.chance(self.faults.loss) {
            return self.rng.random_range(0..3000 * MILLI);
        }
        self.rng.random_range(200..20 * MILLI)
    }

    fn send_snapshot(&mut self, host: usize, id: MemberId) {
        let incarnation = self.hosts[host].incarnation;
        let process = self.hosts[host].process.as_ref().expect("it is running");
        let state = Arc::new(process.state.clone());
        let base = process.node.base_at(state.applied);
        let lost = self.chance(self.faults.loss);
        let to = self.host_of(id);
        let (Some(base), Some(to), false) = (base, to, lost) else {
            self.at(
                300 * MILLI,
                Event::SnapshotDone((host, incarnation), id, None),
            );
            return;
        };
        let delay = self.rng.random_range(0..400) * MILLI;
        let event = Event::Snapshot {
            from: (host, incarnation),
            to: (to, id),
            base,
            state,
        };
        self.at(delay, event);
    }

    fn on_snapshot(
        &mut self,
        from: (usize, u64),
        (host, id): (usize, MemberId),
        base: SnapshotMetadata,
        state: &State,
    ) {
        let now = self.hosts[host].clock(self.now);
        let target = &mut self.hosts[host];
        let mut result = None;
        if let Some(process) = &mut target.process
            && target.disk.id == id
        {
            result = Some(base.index);
            if process.node.install(now, base.clone()) {
                process.state = state.clone();
                target.disk.state = state.clone();
                target.disk.state_base = base;
            }
            self.pump(host);
        }
        self.at(10 * MILLI, Event::SnapshotDone(from, id, result));
    }
}
