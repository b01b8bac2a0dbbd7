//! Members that are lost, stopped, retired and replaced, by the rules of the platform.

use std::{collections::BTreeSet, time::Duration};

use clem_log::{Departure, Settings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Faults, World,
    world::{MILLI, TICK, address},
};

/// How long the successor of a lost disk may take, in microseconds like all times here.
const CATCH_UP: u64 = 4500 * MILLI;
/// How long a group may be without a leader after all faults.
const RECOVERY: u64 = 12_000 * MILLI;
/// How long a process waits for permission to stop.
const GRACE: u64 = 5500 * MILLI;
/// Time between two requests to stop.
const DEPART_PAUSE: u64 = 100 * MILLI;
/// Time between the start of a successor and the stop signal of the planned replacement.
const HANDOVER: u64 = 2000 * MILLI;
/// The number of ticks between two requests to join: 500 ms.
const JOIN_TICKS: u64 = 25;

/// A stop signal that was sent, or will be.
#[derive(Debug, Clone, Copy)]
struct Stop {
    /// When it is sent.
    signal: u64,
    asked: u64,
    /// The machine that replaces it for good.
    successor: Option<usize>,
}

/// What happens to a host, beside what the host itself knows.
#[derive(Debug, Clone, Default)]
struct Machine {
    /// When its process starts, or continues if it is frozen.
    back: Option<u64>,
    stop: Option<Stop>,
    /// When its last stop signal was sent, until it is started again.
    signalled: Option<u64>,
    retiring: bool,
    /// The machine that it is to replace by plan.
    replaces: Option<usize>,
    gone: bool,
    /// Whether its disk has had the time to catch up.
    settled: bool,
    /// Whether the group has removed the machine that it replaces.
    joined: bool,
    /// Since when it has been able to catch up.
    since: Option<u64>,
}

/// A simulated group whose members change.
pub(crate) struct Turnover {
    world: World,
    rng: ChaCha8Rng,
    machines: Vec<Machine>,
    voters: usize,
    heal_at: u64,
    next_fault: u64,
    /// The longest pause between two faults, in milliseconds.
    pause: u64,
    /// The share of faults that keep all disks, in percent.
    unplanned: u32,
    log: bool,
    /// The last line on the leader.
    group: String,
}

fn settings(voters: usize) -> Settings {
    Settings {
        heartbeat: Duration::from_millis(150),
        election: Duration::from_millis(500),
        jitter: Duration::from_millis(250),
        lease: Duration::from_millis(380),
        voters,
        ..Settings::default()
    }
}

impl Turnover {
    pub(crate) fn new(seed: u64, voters: usize) -> Self {
        let faults = Faults {
            loss: 2,
            process: 0,
            disk: 0,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        let founder = Machine {
            settled: true,
            ..Machine::default()
        };
        let pauses = [300, 1000, 2500, 5000];
        let shares = [0, 5, 20, 50];
        Self {
            world: World::with(seed, faults, (voters, settings(voters), JOIN_TICKS)),
            machines: vec![founder; voters],
            voters,
            heal_at: 0,
            next_fault: 3000 * MILLI,
            pause: pauses[rng.random_range(0..pauses.len())],
            unplanned: shares[rng.random_range(0..shares.len())],
            log: std::env::var_os("CLEM_SEED").is_some(),
            group: String::new(),
            rng,
        }
    }

    /// Runs with faults, then with the final fault; returns the number of acknowledged commands.
    pub(crate) fn run(&mut self, span: u64) -> usize {
        while self.world.now < span {
            self.step();
            if self.next_fault <= self.world.now {
                let pause = self.rng.random_range(20..self.pause) * MILLI;
                self.next_fault = self.world.now + pause;
                self.inject();
            }
        }
        self.end();
        self.world.checks.acknowledged()
    }

    fn note(&self, text: &str) {
        if self.log {
            println!("{:8} {text}", self.world.now / MILLI);
        }
    }

    /// Lets a tick pass, with all that is planned for it.
    fn step(&mut self) {
        self.world.run_for(TICK);
        if self.heal_at <= self.world.now {
            self.world.blocked.clear();
        }
        for host in 0..self.machines.len() {
            self.bring_back(host);
            self.stop(host);
        }
        self.retire();
        self.settle();
        self.note_group();
    }

    /// Notes a new leader, and members that it adds, promotes or removes.
    fn note_group(&mut self) {
        if !self.log {
            return;
        }
        let leader = self.world.leading();
        let process = leader.and_then(|host| self.world.hosts[host].process.as_ref());
        let mut group = String::from("no leader");
        if let Some(process) = process {
            let node = &process.node;
            group = format!("{} leads in term {}:", node.id().0, node.term());
            for member in node.members().iter() {
                group += &format!(" {} {:?}", member.id.0, member.kind);
            }
            let now = self.world.hosts[leader.unwrap_or(0)].clock(self.world.now);
            for learner in node.learners(now) {
                group += &format!(" ({} waits: {})", learner.id.0, learner.hold.as_str());
            }
        }
        if group != self.group {
            self.note(&group);
            self.group = group;
        }
    }

    fn is_running(&self, host: usize) -> bool {
        let process = self.world.hosts[host].process.is_some();
        process && !self.world.hosts[host].frozen
    }

    fn is_in_touch(&self, host: usize) -> bool {
        let mut blocked = self.world.blocked.iter();
        self.is_running(host) && !blocked.any(|(from, to)| *from == host || *to == host)
    }

    fn bring_back(&mut self, host: usize) {
        if self.machines[host]
            .back
            .is_none_or(|at| self.world.now < at)
        {
            return;
        }
        self.machines[host].back = None;
        if self.world.hosts[host].frozen {
            self.world.unfreeze(host);
            return;
        }
        self.machines[host].signalled = None;
        self.world.start(host);
        self.note(&format!(
            "start {host} as {}",
            self.world.hosts[host].disk.id.0
        ));
    }

    fn crash(&mut self, host: usize) {
        let survivors = self.rng.random_range(0..3);
        self.world.crash(host, survivors);
        self.machines[host].back = None;
        self.machines[host].signalled = None;
        // A replacement by plan begins again with the process.
        let begun = self.machines[host]
            .stop
            .filter(|stop| stop.successor.is_some());
        self.machines[host].stop = begun.map(|stop| Stop {
            signal: stop.signal.max(self.world.now + HANDOVER),
            ..stop
        });
    }

    // ------------------------------------------------------------------------

    /// Imitates `Replica::prepare_stop`.
    fn stop(&mut self, host: usize) {
        let Some(mut stop) = self.machines[host].stop else {
            return;
        };
        let now = self.world.now;
        if now < stop.signal || !self.is_running(host) {
            return;
        }
        if !self.world.hosts[host].stopping {
            self.world.hosts[host].stopping = true;
            self.machines[host].signalled = Some(now);
            stop.signal = now;
            self.note(&format!("signal {host}"));
        }
        let late = stop.signal + GRACE <= now;
        if !late && now < stop.asked + DEPART_PAUSE {
            return;
        }
        stop.asked = now;
        self.machines[host].stop = Some(stop);
        if !late && !self.may_stop(host) {
            return;
        }
        self.world.crash(host, usize::MAX);
        self.machines[host].stop = None;
        let down = self.rng.random_range(500..5000) * MILLI;
        // A machine is removed only if its successor has had its time, or if it is the only loss.
        let removed = stop.successor.is_some_and(|next| {
            self.machines[next].settled || self.losses(Some(next)) < self.tolerance()
        });
        if removed {
            self.machines[host].gone = true;
        } else {
            self.machines[host].back = Some(now + down);
        }
        self.note(&format!("end {host}, late: {late}, for good: {removed}"));
    }

    fn may_stop(&mut self, host: usize) -> bool {
        let now = self.world.hosts[host].clock(self.world.now);
        let Some(process) = &mut self.world.hosts[host].process else {
            return true;
        };
        let id = process.node.id();
        let _ = process.node.depart(now, id);
        let _ = process.node.transfer(now, None);
        self.world.pump(host);
        let Some(process) = &self.world.hosts[host].process else {
            return true;
        };
        let id = process.node.id();
        let votes = process.node.members().is_voter(id);
        let leader = process.node.leader();
        // All others are asked, the leader first: this member may have been removed without being told.
        let mut judges: Vec<usize> = (0..self.machines.len()).collect();
        judges.sort_by_key(|judge| Some(self.world.hosts[*judge].disk.id) != leader);
        for judge in judges {
            let blocked = &self.world.blocked;
            let cut = blocked.contains(&(host, judge)) || blocked.contains(&(judge, host));
            if judge != host && (cut || !self.is_running(judge)) {
                continue;
            }
            let now = self.world.hosts[judge].clock(self.world.now);
            let Some(process) = &mut self.world.hosts[judge].process else {
                continue;
            };
            let answer = process.node.depart(now, id);
            self.world.pump(judge);
            match answer {
                Ok(Departure::Go) => return true,
                Ok(Departure::Wait) => return false,
                Err(_) => {}
            }
        }
        !votes
    }

    /// Tells all members who is to be retired, and removes machines that are no voters any more.
    fn retire(&mut self) {
        let retiring = |host: &usize| self.machines[*host].retiring && !self.machines[*host].gone;
        let retiring: Vec<usize> = (0..self.machines.len()).filter(retiring).collect();
        let addresses: Vec<String> = retiring.iter().map(|host| address(*host)).collect();
        for host in 0..self.machines.len() {
            if !self.is_running(host) {
                continue;
            }
            if let Some(process) = &mut self.world.hosts[host].process {
                process.node.set_leaving(&addresses);
            }
        }
        let leader = self.world.leading();
        let Some(process) = leader.and_then(|host| self.world.hosts[host].process.as_ref()) else {
            return;
        };
        let node = &process.node;
        let Some(base) = node.base_at(node.commit()) else {
            return;
        };
        if base.members.voters().count() < self.voters {
            return;
        }
        for host in retiring {
            if base.members.is_voter(self.world.hosts[host].disk.id) {
                continue;
            }
            self.crash(host);
            self.machines[host].gone = true;
            for machine in &mut self.machines {
                machine.joined |= machine.replaces == Some(host);
            }
            self.note(&format!("retired {host}"));
        }
    }

    // ------------------------------------------------------------------------
    // What the platform allows ("Losses" and `fault_tolerance` in its description):
    // - A machine is lost while it is down, frozen or cut off, and for `catch_up_s` after it is back.
    // - More than the tolerance may be lost at once, as long as no more disks are; then the group may
    //   stand still until all are back. So a lost disk counts until its successor has run for
    //   `catch_up_s` in touch with as many others as the tolerance leaves. That span begins anew with
    //   each interruption.
    // - A planned stop is no loss: one that was signalled within that span doesn't interrupt it.

    fn tolerance(&self) -> usize {
        self.voters / 2
    }

    /// Advances the time that successors had to catch up.
    fn settle(&mut self) {
        for host in 0..self.machines.len() {
            if self.machines[host].settled || self.machines[host].gone {
                continue;
            }
            let since = self.machines[host].since.unwrap_or(self.world.now);
            let mut present = 0;
            for other in 0..self.machines.len() {
                let machine = &self.machines[other];
                let counts = machine.settled || machine.joined;
                if !counts || machine.gone || other == host {
                    continue;
                }
                let planned = machine.signalled.is_some_and(|at| since <= at)
                    && self.world.hosts[other].process.is_none();
                present += usize::from(planned || self.is_in_touch(other));
            }
            if !self.is_in_touch(host) || present < self.voters - self.tolerance() {
                self.machines[host].since = None;
                continue;
            }
            self.machines[host].since = Some(since);
            if since + CATCH_UP <= self.world.now {
                self.machines[host].settled = true;
                self.note(&format!("settled {host}"));
            }
        }
    }

    /// Returns how many disks are lost, by the successors that have not caught up.
    fn losses(&self, except: Option<usize>) -> usize {
        let mut lost = 0;
        for host in 0..self.machines.len() {
            let machine = &self.machines[host];
            // The machine that it replaces is still there.
            let spare = machine.replaces.is_some_and(|old| !self.machines[old].gone);
            if machine.settled || machine.gone || spare || except == Some(host) {
                continue;
            }
            lost += 1;
        }
        lost
    }

    /// Adds a machine that starts after `delay`.
    fn add(&mut self, delay: u64) -> usize {
        self.machines.push(Machine {
            back: Some(self.world.now + delay),
            ..Machine::default()
        });
        self.world.add_host()
    }

    // ------------------------------------------------------------------------

    fn inject(&mut self) {
        let running = |host: &usize| self.is_running(*host);
        let hosts: Vec<usize> = (0..self.machines.len()).filter(running).collect();
        if hosts.is_empty() {
            return;
        }
        let host = hosts[self.rng.random_range(0..hosts.len())];
        if self.rng.random_range(0..100) < self.unplanned {
            self.disturb(host, &hosts);
            return;
        }
        let calm = self.machines[host].settled
            && self.machines[host].stop.is_none()
            && !self.machines[host].retiring;
        if !calm {
            return;
        }
        let start = self.rng.random_range(200..2500) * MILLI;
        let replaced = self.machines.iter().any(|m| {
            let planned = m.stop.is_some_and(|stop| stop.successor.is_some());
            !m.gone && (planned || m.retiring)
        });
        match self.rng.random_range(0..6_u32) {
            0 | 1 if self.losses(None) < self.tolerance() => self.lose(host, start),
            2 if !replaced => {
                let successor = self.add(0);
                self.machines[successor].replaces = Some(host);
                self.machines[host].stop = Some(Stop {
                    signal: self.world.now + HANDOVER,
                    asked: 0,
                    successor: Some(successor),
                });
                self.note(&format!("replace {host} by {successor}"));
            }
            3 if !replaced => {
                let successor = self.add(start);
                self.machines[successor].replaces = Some(host);
                self.machines[host].retiring = true;
                self.note(&format!("retire {host}"));
            }
            4 | 5 => {
                self.machines[host].stop = Some(Stop {
                    signal: self.world.now,
                    asked: 0,
                    successor: None,
                });
            }
            _ => {}
        }
    }

    /// Loses a disk, or the machine with it; its successor starts after `delay`.
    fn lose(&mut self, host: usize, delay: u64) {
        self.crash(host);
        if self.rng.random_range(0..2) == 0 {
            self.machines[host].gone = true;
            let successor = self.add(delay);
            self.note(&format!("lose {host} for good, next {successor}"));
            return;
        }
        self.note(&format!("lose the disk of {host}"));
        self.world.replace_disk(host);
        self.machines[host] = Machine {
            back: Some(self.world.now + delay),
            ..Machine::default()
        };
    }

    /// Injects a fault that keeps all disks.
    fn disturb(&mut self, host: usize, running: &[usize]) {
        let span = self.rng.random_range(500..8000) * MILLI;
        let back = Some(self.world.now + span);
        let kind = self.rng.random_range(0..6);
        self.note(&format!("disturb {host}, kind {kind}, {} ms", span / MILLI));
        match kind {
            0 => {
                self.crash(host);
                self.machines[host].back = back;
            }
            1 => {
                self.world.hosts[host].frozen = true;
                self.machines[host].back = back;
            }
            2 => {
                let all = 0..self.machines.len();
                let pairs = all.flat_map(|other| [(host, other), (other, host)]);
                self.cut(pairs.collect(), span);
            }
            3 => {
                let other = self.rng.random_range(0..self.machines.len());
                self.cut(BTreeSet::from([(host, other)]), span);
            }
            4 => {
                let side: Vec<bool> = (self.machines.iter())
                    .map(|_| self.rng.random_range(0..2) == 0)
                    .collect();
                let all = 0..side.len();
                let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
                let pairs = pairs.filter(|(a, b)| side[*a] != side[*b]);
                self.cut(pairs.collect(), span);
            }
            _ => {
                for host in running {
                    self.crash(*host);
                    let span = self.rng.random_range(200..1000) * MILLI;
                    self.machines[*host].back = Some(self.world.now + span);
                }
            }
        }
    }

    fn cut(&mut self, mut pairs: BTreeSet<(usize, usize)>, span: u64) {
        pairs.retain(|(from, to)| from != to);
        self.world.blocked.extend(pairs);
        self.heal_at = self.world.now + span;
    }

    /// Injects the final fault, and checks that the group accepts commands in time.
    fn end(&mut self) {
        self.world.blocked.clear();
        let allowed = self.losses(None) < self.tolerance();
        let settled = |host: &usize| self.machines[*host].settled && !self.machines[*host].gone;
        let hosts: Vec<usize> = (0..self.machines.len()).filter(settled).collect();
        let lost =
            (allowed && !hosts.is_empty()).then(|| hosts[self.rng.random_range(0..hosts.len())]);
        for host in 0..self.machines.len() {
            if self.machines[host].gone {
                continue;
            }
            self.crash(host);
            self.machines[host].stop = None;
            if lost == Some(host) {
                self.note(&format!("lose the disk of {host} at the end"));
                self.world.replace_disk(host);
            }
            let span = self.rng.random_range(200..1000) * MILLI;
            self.machines[host].back = Some(self.world.now + span);
        }
        while self.machines.iter().any(|machine| machine.back.is_some()) {
            self.step();
        }
        let before = self.world.checks.acknowledged();
        let end = self.world.now + RECOVERY;
        while self.world.checks.acknowledged() == before {
            assert!(
                self.world.now < end,
                "no leader that commits:\n{}",
                self.world.describe()
            );
            self.step();
        }
        self.world.clients = false;
        let settled = self.world.now + RECOVERY;
        while self.world.now < settled {
            self.step();
        }
        let leader = self.world.leading().expect("it has just committed");
        let process = self.world.hosts[leader].process.as_ref().expect("it leads");
        self.world.checks.check_final(&process.state);
    }
}
