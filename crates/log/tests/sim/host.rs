//! One host: a process that may be down or frozen, with its disk and its own clock.

use std::collections::{BTreeMap, VecDeque};

use clem_log::{LogIndex, Node, Settings, Term, Write};
use clem_types::Time;

use super::disk::{Disk, State};

/// A process in one of its lives.
pub(crate) struct Process {
    pub(crate) node: Node,
    pub(crate) state: State,
    /// Writes that aren't synced yet, oldest first.
    pub(crate) writes: VecDeque<Write>,
    /// Proposals that wait for their commit, by index.
    pub(crate) proposed: BTreeMap<LogIndex, (Term, u64)>,
}

/// One host.
pub(crate) struct Host {
    pub(crate) disk: Disk,
    pub(crate) process: Option<Process>,
    pub(crate) life: u64,
    pub(crate) frozen: bool,
    /// How much faster its clock runs, in thousandths.
    pub(crate) drift: i64,
    pub(crate) skew: u64,
    pub(crate) slow_disk: bool,
    pub(crate) syncing: bool,
}

impl Host {
    pub(crate) fn new(disk: Disk, drift: i64, skew: u64) -> Self {
        Self {
            disk,
            process: None,
            life: 0,
            frozen: false,
            drift,
            skew,
            slow_disk: false,
            syncing: false,
        }
    }

    /// This host's clock when the world's shows `micros`.
    pub(crate) fn clock(&self, micros: u64) -> Time {
        let gained = i64::try_from(micros).expect("short runs") * self.drift / 1000;
        Time::from_micros(self.skew + micros.saturating_add_signed(gained))
    }

    pub(crate) fn start(&mut self, micros: u64, seed: u64, settings: Settings) {
        self.life += 1;
        self.frozen = false;
        let start = self.disk.start(seed);
        let now = self.clock(micros);
        self.process = Some(Process {
            node: Node::new(now, start, settings),
            state: self.disk.state.clone(),
            writes: VecDeque::new(),
            proposed: BTreeMap::new(),
        });
    }

    /// Ends the process; of the writes on their way a first part may have reached the disk.
    pub(crate) fn crash(&mut self, survivors: usize) {
        self.life += 1;
        self.frozen = false;
        self.syncing = false;
        let Some(process) = self.process.take() else {
            return;
        };
        for write in process.writes.into_iter().take(survivors) {
            self.disk.write(write);
        }
    }
}
