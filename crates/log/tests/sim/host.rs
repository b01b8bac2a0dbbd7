//! A simulated host: a disk, a clock, and a process that may be down or frozen.

use std::collections::{BTreeMap, VecDeque};

use clem_log::{LogIndex, Node, Settings, Term, Write};
use clem_types::Time;

use super::disk::{Disk, State};

/// A running process.
pub(crate) struct Process {
    pub(crate) node: Node,
    pub(crate) state: State,
    /// Writes that are not synced, oldest first.
    pub(crate) writes: VecDeque<Write>,
    /// Term and command of uncommitted proposals, by index.
    pub(crate) proposed: BTreeMap<LogIndex, (Term, u64)>,
}

/// A simulated host.
pub(crate) struct Host {
    pub(crate) disk: Disk,
    pub(crate) process: Option<Process>,
    /// Changes with each start and crash; events for an earlier value are dropped.
    pub(crate) incarnation: u64,
    pub(crate) frozen: bool,
    /// Whether its process got the stop signal.
    pub(crate) stopping: bool,
    /// How much faster than real time its clock runs, in thousandths; may be negative.
    pub(crate) drift: i64,
    /// The offset of its clock, in microseconds.
    pub(crate) skew: u64,
    pub(crate) slow_disk: bool,
    pub(crate) syncing: bool,
}

impl Host {
    pub(crate) fn new(disk: Disk, drift: i64, skew: u64) -> Self {
        Self {
            disk,
            process: None,
            incarnation: 0,
            frozen: false,
            stopping: false,
            drift,
            skew,
            slow_disk: false,
            syncing: false,
        }
    }

    /// Returns this host's time at the virtual time `micros`.
    pub(crate) fn clock(&self, micros: u64) -> Time {
        let gained = i64::try_from(micros).expect("short runs") * self.drift / 1000;
        Time::from_micros(self.skew + micros.saturating_add_signed(gained))
    }

    pub(crate) fn start(&mut self, micros: u64, seed: u64, settings: Settings) {
        self.incarnation += 1;
        self.frozen = false;
        self.stopping = false;
        let start = self.disk.start(seed);
        let now = self.clock(micros);
        self.process = Some(Process {
            node: Node::new(now, start, settings),
            state: self.disk.state.clone(),
            writes: VecDeque::new(),
            proposed: BTreeMap::new(),
        });
    }

    /// Stops the process; the first `survivors` of its unsynced writes reach the disk.
    pub(crate) fn crash(&mut self, survivors: usize) {
        self.incarnation += 1;
        self.frozen = false;
        self.stopping = false;
        self.syncing = false;
        let Some(process) = self.process.take() else {
            return;
        };
        for write in process.writes.into_iter().take(survivors) {
            self.disk.write(write);
        }
    }
}
