//! The event loop of the simulated cluster.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use clem_log::{
    Base, LogIndex, Member, MemberId, MemberKind, Members, Message, ReadId, Ready, Settings,
    WriteNumber,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    checks::Checks,
    disk::{Disk, State},
    host::{Host, Process},
};

const HOSTS: usize = 3;
const MILLI: u64 = 1000;
const TICK: u64 = 20 * MILLI;
const SLOW_SYNC: u64 = 1500 * MILLI;
/// How long a healed cluster may take until all have everything.
const HEAL: u64 = 60_000 * MILLI;

/// Which faults a schedule brings about.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// Loss and duplication, out of 1000 messages.
    pub(crate) loss: u32,
    /// Crashes, freezes, partitions, slow disks and transfers, out of 1000 ticks.
    pub(crate) process: u32,
    /// Lost disks, out of 1000 ticks.
    pub(crate) disk: u32,
}

enum Event {
    Tick,
    Deliver(usize, Message),
    Synced(usize, u64, WriteNumber),
    Snapshot {
        from: (usize, u64),
        to: (usize, MemberId),
        base: Base,
        state: Arc<State>,
    },
    SnapshotDone((usize, u64), MemberId, Option<LogIndex>),
    Restart(usize),
    Thaw(usize),
    Heal,
}

/// A simulated cluster of three hosts.
pub(crate) struct World {
    rng: ChaCha8Rng,
    settings: Settings,
    faults: Faults,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    pub(crate) hosts: Vec<Host>,
    cut: BTreeSet<(usize, usize)>,
    pub(crate) checks: Checks,
    drawn: u64,
    /// Whether callers propose and read.
    asking: bool,
    /// Messages that reached a frozen host, which reads them when it wakes.
    buffers: Vec<Vec<Event>>,
}

fn address(host: usize) -> String {
    format!("127.0.0.1:{}", 7000 + host)
}

impl World {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut list = Vec::new();
        for host in 0..HOSTS {
            list.push(Member {
                id: MemberId(host as u64 + 1),
                address: address(host),
                kind: MemberKind::Voter,
            });
        }
        let base = Base {
            index: LogIndex(1),
            members: Members::new(list),
            ..Base::default()
        };
        let mut hosts = Vec::new();
        for host in 0..HOSTS {
            let mut disk = Disk::new(MemberId(host as u64 + 1));
            disk.base = base.clone();
            disk.state_base = base.clone();
            disk.state.applied = base.index;
            let drift = rng.random_range(-50..=50);
            hosts.push(Host::new(disk, drift, rng.random_range(1..1_000_000)));
        }
        let mut world = Self {
            rng,
            settings: Settings::default(),
            faults,
            now: 0,
            events: BTreeMap::new(),
            sequence: 0,
            hosts,
            cut: BTreeSet::new(),
            checks: Checks::default(),
            drawn: 100,
            asking: true,
            buffers: (0..HOSTS).map(|_| Vec::new()).collect(),
        };
        for host in 0..HOSTS {
            world.start(host);
        }
        world.at(TICK, Event::Tick);
        world
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn draw(&mut self) -> u64 {
        self.drawn += 1;
        self.drawn
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1000) < thousandths
    }

    fn start(&mut self, host: usize) {
        let seed = self.rng.random();
        self.hosts[host].start(self.now, seed, self.settings);
        self.pump(host);
    }

    /// Runs for `span` microseconds with faults, then heals all and checks the end.
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
        self.cut.clear();
        for host in 0..HOSTS {
            self.hosts[host].slow_disk = false;
            if self.hosts[host].frozen {
                self.handle(Event::Thaw(host));
            }
            if self.hosts[host].process.is_none() {
                self.start(host);
            }
        }
    }

    /// Waits until every host is a voter with all that was committed.
    pub(crate) fn settle(&mut self) {
        let before = self.checks.acknowledged();
        self.run_until("it takes no proposal", |w| w.checks.acknowledged() > before);
        self.asking = false;
        self.run_until("its members differ", Self::is_settled);
        for host in &self.hosts {
            let process = host.process.as_ref().expect("healed");
            self.checks.check_final(&process.state);
        }
    }

    fn run_until(&mut self, otherwise: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now + HEAL;
        while !done(self) {
            assert!(
                self.now < end,
                "a cluster was healed and {otherwise}:\n{}",
                self.describe()
            );
            self.run_for(100 * MILLI);
        }
    }

    fn describe(&self) -> String {
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
                p.state == *first && voters == ids && p.node.members().iter().count() == HOSTS
            })
    }

    // ------------------------------------------------------------------------

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.on_tick(),
            Event::Restart(host) if self.hosts[host].process.is_none() => self.start(host),
            Event::Restart(_) => {}
            Event::Thaw(host) => {
                self.hosts[host].frozen = false;
                // What had come in lies in the buffers of its sockets.
                for event in std::mem::take(&mut self.buffers[host]) {
                    self.handle(event);
                }
            }
            Event::Heal => self.cut.clear(),
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
            Event::Synced(host, life, number) => self.on_synced(host, life, number),
            Event::Snapshot {
                from,
                to: (host, id),
                base,
                state,
            } => self.on_snapshot(from, (host, id), base, &state),
            Event::SnapshotDone((host, life), id, index) => {
                if self.hosts[host].life != life {
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
        for host in 0..HOSTS {
            if self.hosts[host].frozen {
                continue;
            }
            let now = self.hosts[host].clock(self.now);
            if let Some(process) = &mut self.hosts[host].process {
                process.node.tick(now);
                self.pump(host);
            }
            if self.asking {
                self.ask(host);
            }
            self.keep_store(host);
        }
        self.join_lost();
        self.break_something();
    }

    /// A caller's proposal or read.
    fn ask(&mut self, host: usize) {
        let now = self.hosts[host].clock(self.now);
        let command = self.draw();
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

    /// Makes the state durable now and then, and cuts the log.
    fn keep_store(&mut self, host: usize) {
        if !self.chance(20) {
            return;
        }
        let spare = self.rng.random_range(0..40);
        let host = &mut self.hosts[host];
        let Some(process) = &mut host.process else {
            return;
        };
        let Some(base) = process.node.base_at(process.state.applied) else {
            return;
        };
        host.disk.state = process.state.clone();
        host.disk.state_base = base.clone();
        let upto = LogIndex(base.index.0.saturating_sub(spare));
        if let Some(base) = process.node.compact(upto) {
            host.disk.cut(base);
        }
    }

    /// New disks ask for the place of the lost ones.
    fn join_lost(&mut self) {
        for host in 0..HOSTS {
            let id = self.hosts[host].disk.id;
            let Some(process) = &self.hosts[host].process else {
                continue;
            };
            if self.hosts[host].frozen || !process.node.wants_join() {
                continue;
            }
            for other in 0..HOSTS {
                if self.cut.contains(&(host, other)) || self.hosts[other].frozen {
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

    fn break_something(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        let span = self.rng.random_range(10..4000) * MILLI;
        if self.chance(self.faults.disk) && self.may_lose_disk() {
            self.crash(host, 0);
            let id = MemberId(self.draw());
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
                self.at(span, Event::Thaw(host));
            }
            2 => {
                for other in 0..HOSTS {
                    self.cut.insert((host, other));
                    self.cut.insert((other, host));
                }
                self.at(span, Event::Heal);
            }
            3 => {
                self.cut.insert((host, (host + 1) % HOSTS));
                self.at(span, Event::Heal);
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

    fn crash(&mut self, host: usize, survivors: usize) {
        self.hosts[host].crash(survivors);
        for event in std::mem::take(&mut self.buffers[host]) {
            if let Event::Snapshot { from, to, .. } = event {
                // The sender sees its connection end.
                self.at(MILLI, Event::SnapshotDone(from, to.1, None));
            }
        }
    }

    /// A quorum must outlive the loss: all present disks are voters in what is committed.
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

    fn pump(&mut self, host: usize) {
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
            self.carry_out(host, ready);
            if !more {
                return;
            }
        }
    }

    fn carry_out(&mut self, host: usize, ready: Ready) {
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
            // Answered once applied; what is acknowledged meanwhile doesn't matter to it.
            self.checks.note_answered(read.id, read.index);
        }
        if let Some(write) = ready.write {
            process.writes.push_back(write);
            self.plan_sync(host);
        }
        for message in ready.messages {
            self.post(host, &message);
        }
        for id in ready.snapshots {
            self.send_snapshot(host, id);
        }
    }

    /// Starts one sync for all writes that wait, unless one is running.
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
        let life = target.life;
        let span = if target.slow_disk {
            SLOW_SYNC
        } else {
            self.rng.random_range(0..5 * MILLI)
        };
        self.at(span, Event::Synced(host, life, number));
    }

    fn on_synced(&mut self, host: usize, life: u64, number: WriteNumber) {
        let now = self.hosts[host].clock(self.now);
        let target = &mut self.hosts[host];
        if target.life != life {
            return;
        }
        let process: &mut Process = target.process.as_mut().expect("same life");
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

    fn post(&mut self, from: usize, message: &Message) {
        let Some(to) = self.host_of(message.to) else {
            return;
        };
        let copies = match self.rng.random_range(0..1000) {
            n if n < self.faults.loss => 0,
            n if n < 2 * self.faults.loss => 2,
            _ => 1,
        };
        if self.cut.contains(&(from, to)) {
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
        let life = self.hosts[host].life;
        let process = self.hosts[host].process.as_ref().expect("it is running");
        let state = Arc::new(process.state.clone());
        let base = process.node.base_at(state.applied);
        let lost = self.chance(self.faults.loss);
        let to = self.host_of(id);
        let (Some(base), Some(to), false) = (base, to, lost) else {
            self.at(300 * MILLI, Event::SnapshotDone((host, life), id, None));
            return;
        };
        let delay = self.rng.random_range(0..400) * MILLI;
        let event = Event::Snapshot {
            from: (host, life),
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
        base: Base,
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
