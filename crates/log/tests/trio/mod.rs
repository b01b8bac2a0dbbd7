//! Three nodes whose messages are delivered immediately and in order.

#![allow(dead_code, reason = "each test program uses a part")]

use std::time::Duration;

use clem_log::{
    InitialState, LogIndex, Member, MemberId, MemberKind, Members, Node, ReadId, Settings,
    SnapshotMetadata,
};
use clem_types::Time;

pub(crate) fn base() -> SnapshotMetadata {
    let mut list = Vec::new();
    for id in 1..=3 {
        list.push(Member {
            id: MemberId(id),
            address: format!("127.0.0.1:700{id}"),
            kind: MemberKind::Voter,
        });
    }
    SnapshotMetadata {
        index: LogIndex(1),
        members: Members::new(list),
        ..SnapshotMetadata::default()
    }
}

pub(crate) fn start(id: u64) -> InitialState {
    InitialState {
        base: base(),
        applied: LogIndex(1),
        ..InitialState::new(MemberId(id), id)
    }
}

/// Three nodes, of which the first becomes the leader.
pub(crate) struct Trio {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Time,
    /// Whether writes with entries are synced; writes of only term and vote always are.
    pub(crate) sync_entries: bool,
    pub(crate) reads: Vec<ReadId>,
    /// The node that receives snapshots; without one they stay unfinished.
    pub(crate) receiver: Option<usize>,
    /// A node that sends and syncs nothing, as if it were down.
    lost: Option<usize>,
}

impl Trio {
    pub(crate) fn campaigning() -> Self {
        Self::with(Settings::default())
    }

    pub(crate) fn with(settings: Settings) -> Self {
        let nodes = (1..=3)
            .map(|id| Node::new(Time::ZERO, start(id), settings))
            .collect();
        let mut trio = Self {
            nodes,
            now: Time::from_millis(1),
            sync_entries: true,
            reads: Vec::new(),
            receiver: None,
            lost: None,
        };
        trio.campaign();
        trio
    }

    pub(crate) fn elected() -> Self {
        let mut trio = Self::campaigning();
        trio.deliver();
        trio.heartbeat();
        assert!(trio.nodes[0].is_leader());
        trio
    }

    /// Makes the first node start an election after the other nodes' election timeouts.
    pub(crate) fn campaign(&mut self) {
        self.now = self.now + Duration::from_secs(2);
        self.nodes[0].tick(self.now);
    }

    pub(crate) fn lose(&mut self, node: usize) {
        self.lost = Some(node);
    }

    /// Brings the lost node back.
    pub(crate) fn find(&mut self) {
        self.lost = None;
    }

    /// Replaces a lost node by a new one.
    pub(crate) fn replace(&mut self, node: usize, fresh: Node) {
        self.nodes[node] = fresh;
        self.lost = None;
    }

    /// Advances the time in steps of 100 ms, with ticks and messages.
    pub(crate) fn pass(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now = self.now + Duration::from_millis(100);
            for node in &mut self.nodes {
                node.tick(self.now);
            }
            self.deliver();
        }
    }

    /// Advances the time by more than a heartbeat interval and delivers the heartbeats and replies.
    pub(crate) fn heartbeat(&mut self) {
        self.now = self.now + Duration::from_millis(450);
        self.nodes[0].tick(self.now);
        self.deliver();
    }

    /// Delivers messages until there are none.
    pub(crate) fn deliver(&mut self) {
        loop {
            let mut messages = Vec::new();
            for node in 0..self.nodes.len() {
                if self.lost == Some(node) {
                    continue;
                }
                self.drain_ready(node, &mut messages);
            }
            if messages.is_empty() {
                return;
            }
            for message in messages {
                let to = self.nodes.iter_mut().find(|n| n.id() == message.to);
                if let Some(node) = to {
                    node.step(self.now, message);
                }
            }
        }
    }

    fn drain_ready(&mut self, node: usize, messages: &mut Vec<clem_log::Message>) {
        loop {
            let ready = self.nodes[node].ready(self.now);
            messages.extend(ready.messages);
            self.reads.extend(ready.reads.iter().map(|read| read.id));
            for id in ready.snapshots {
                self.send_snapshot(node, id);
            }
            let Some(write) = ready.write else {
                return;
            };
            if self.sync_entries || write.entries.is_empty() {
                self.nodes[node].synced(self.now, write.number);
            }
        }
    }

    fn send_snapshot(&mut self, from: usize, id: MemberId) {
        let commit = self.nodes[from].commit();
        let base = self.nodes[from].base_at(commit);
        let sent = match (base, self.receiver) {
            (Some(base), Some(to)) if self.nodes[to].id() == id => {
                self.nodes[to].install(self.now, base);
                Some(commit)
            }
            _ => None,
        };
        // Without a receiver the leader still waits for the result.
        if sent.is_some() {
            self.nodes[from].snapshot_sent(id, sent);
        }
    }
}
