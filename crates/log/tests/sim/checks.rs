//! Invariants that must hold in every schedule.

use std::collections::BTreeMap;

use clem_log::{Entry, LogIndex, MemberId, Payload, ReadId, Term};

use super::{disk::State, host::Host};

/// The history of the whole cluster, recorded outside the hosts.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    leaders: BTreeMap<Term, MemberId>,
    committed: BTreeMap<LogIndex, (Term, Payload)>,
    acknowledged: BTreeMap<LogIndex, u64>,
    /// The latest entry whose effect a client has observed.
    seen: LogIndex,
    /// Pending reads with the value of `seen` when they were requested.
    reads: BTreeMap<ReadId, LogIndex>,
    /// The number of answered reads.
    pub(crate) answered: usize,
}

impl Checks {
    pub(crate) fn note_leader(&mut self, term: Term, id: MemberId) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
    }

    pub(crate) fn note_committed(&mut self, entry: &Entry) {
        let found = (entry.term, entry.payload.clone());
        let first = self.committed.entry(entry.index).or_insert(found.clone());
        assert_eq!(*first, found, "committed entry {} has changed", entry.index);
    }

    pub(crate) fn note_acknowledged(&mut self, index: LogIndex, command: u64) {
        self.acknowledged.insert(index, command);
        self.seen = self.seen.max(index);
    }

    pub(crate) fn note_asked(&mut self, id: ReadId) {
        self.reads.insert(id, self.seen);
    }

    pub(crate) fn note_answered(&mut self, id: ReadId, index: LogIndex) {
        let Some(floor) = self.reads.remove(&id) else {
            panic!("a read was answered twice");
        };
        assert!(
            index >= floor,
            "stale read: index {index} returned after {floor} was observed"
        );
        self.seen = self.seen.max(index);
        self.answered += 1;
    }

    pub(crate) fn check_leases(&self, hosts: &[Host], micros: u64) {
        let mut holders = Vec::new();
        for host in hosts {
            let Some(process) = &host.process else {
                continue;
            };
            // A frozen process can't use its lease; its clock runs on meanwhile.
            if !host.frozen && process.node.holds_lease(host.clock(micros)) {
                holders.push(process.node.id());
            }
        }
        assert!(holders.len() <= 1, "two members hold a lease: {holders:?}");
    }

    pub(crate) fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Checks that each acknowledged command is at the index at which it was acknowledged.
    pub(crate) fn check_final(&self, state: &State) {
        let commands: BTreeMap<_, _> = state.commands.iter().copied().collect();
        for (index, command) in &self.acknowledged {
            assert_eq!(
                commands.get(index),
                Some(command),
                "acknowledged entry {index} was lost"
            );
        }
    }
}
