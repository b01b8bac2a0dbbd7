//! What one host's disk holds, and what a crash leaves of it.

use clem_log::{Base, Entry, HardState, LogIndex, MemberId, Payload, Start, Write};

/// The state machine: the commands in the order of their entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct State {
    pub(crate) applied: LogIndex,
    pub(crate) commands: Vec<(LogIndex, u64)>,
}

impl State {
    pub(crate) fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.index, self.applied.next(), "entries come in order");
        self.applied = entry.index;
        if let Payload::Data(data) = &entry.payload {
            let command = u64::from_be_bytes(data[..].try_into().expect("8 bytes"));
            self.commands.push((entry.index, command));
        }
    }
}

/// Synced content of a disk; writes on their way are lost by a crash.
#[derive(Debug, Clone)]
pub(crate) struct Disk {
    pub(crate) id: MemberId,
    pub(crate) hard: HardState,
    pub(crate) base: Base,
    pub(crate) entries: Vec<Entry>,
    /// The state machine as last made durable, and the members there.
    pub(crate) state: State,
    pub(crate) state_base: Base,
}

impl Disk {
    pub(crate) fn new(id: MemberId) -> Self {
        Self {
            id,
            hard: HardState::default(),
            base: Base::default(),
            entries: Vec::new(),
            state: State::default(),
            state_base: Base::default(),
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

    pub(crate) fn cut(&mut self, base: Base) {
        self.entries.retain(|entry| entry.index > base.index);
        self.base = base;
    }

    /// What a process that starts on this disk finds.
    pub(crate) fn start(&mut self, seed: u64) -> Start {
        let start = self.as_found(seed);
        if start.needs_reset(&self.state_base) {
            // The crash came after the copy of the state was durable, before the log was reset.
            self.base = self.state_base.clone();
            self.entries.clear();
            return self.as_found(seed);
        }
        start
    }

    fn as_found(&self, seed: u64) -> Start {
        Start {
            id: self.id,
            seed,
            hard: self.hard,
            base: self.base.clone(),
            entries: self.entries.clone(),
            applied: self.state.applied,
        }
    }
}
