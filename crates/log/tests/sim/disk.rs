//! The simulated disk of a host.

use clem_log::{
    Entry, HardState, InitialState, LogIndex, MemberId, Payload, SnapshotMetadata, Write,
};

/// The state machine: the list of applied commands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct State {
    pub(crate) applied: LogIndex,
    pub(crate) commands: Vec<(LogIndex, u64)>,
}

impl State {
    pub(crate) fn apply(&mut self, entry: &Entry) {
        assert_eq!(
            entry.index,
            self.applied.next(),
            "entries are applied in order"
        );
        self.applied = entry.index;
        if let Payload::Data(data) = &entry.payload {
            let command = u64::from_be_bytes(data[..].try_into().expect("8 bytes"));
            self.commands.push((entry.index, command));
        }
    }
}

/// The synced content of a disk; a crash loses all other writes.
#[derive(Debug, Clone)]
pub(crate) struct Disk {
    pub(crate) id: MemberId,
    pub(crate) hard: HardState,
    pub(crate) base: SnapshotMetadata,
    pub(crate) entries: Vec<Entry>,
    /// The last durable state of the state machine.
    pub(crate) state: State,
    /// The base of `state`, as for a snapshot.
    pub(crate) state_base: SnapshotMetadata,
}

impl Disk {
    pub(crate) fn new(id: MemberId) -> Self {
        Self {
            id,
            hard: HardState::default(),
            base: SnapshotMetadata::default(),
            entries: Vec::new(),
            state: State::default(),
            state_base: SnapshotMetadata::default(),
        }
    }

    pub(crate) fn write(&mut self, write: Write) {
        if let Some(hard) = write.hard {
            self.hard = hard;
        }
        if let Some(base) = write.reset {
            self.base = base;
            self.entries.clear();
        }
        if let Some(first) = write.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
        }
        self.entries.extend(write.entries);
    }

    pub(crate) fn compact(&mut self, base: SnapshotMetadata) {
        self.entries.retain(|entry| entry.index > base.index);
        self.base = base;
    }

    /// Returns the initial state of a process on this disk, after a reset of the log if needed.
    pub(crate) fn start(&mut self, seed: u64) -> InitialState {
        let start = self.read_start(seed);
        if start.needs_reset(&self.state_base) {
            // The process crashed after the snapshot was durable and before the log was reset.
            self.base = self.state_base.clone();
            self.entries.clear();
            return self.read_start(seed);
        }
        start
    }

    fn read_start(&self, seed: u64) -> InitialState {
        InitialState {
            id: self.id,
            seed,
            hard: self.hard,
            base: self.base.clone(),
            entries: self.entries.clone(),
            applied: self.state.applied,
        }
    }
}
