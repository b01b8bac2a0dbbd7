//! Test harness shared by the tests of the state machine.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use clem_state::{Command, Outcome, apply, batch};
use clem_store::MemStore;
use clem_types::{
    Attempt, BatchId, BodyHash, CustomerId, HolderId, Incarnation, RouteId, UnixMillis,
};
use clem_wire::batch::{
    AttemptEnd, BatchBegin, BatchBeginReply, BatchCancel, BatchChunk, BatchChunkReply,
    BatchResults, BatchSeal, BatchSealReply, BatchStatus, BatchView, FinishItems, FinishedAttempt,
    Item, ItemResult, LeaseItemsReply, LeaseRef, LeasedItem, Recorded,
};

/// Lease duration in these tests, in milliseconds.
pub(crate) const LEASE_MS: u64 = 1000;
/// How long results are kept in these tests, in milliseconds.
pub(crate) const RETENTION_MS: u64 = 100_000;

/// A store with the current log index and a simulated clock.
#[derive(Debug, Default)]
pub(crate) struct Harness {
    pub(crate) store: MemStore,
    pub(crate) index: u64,
    /// The simulated clock, in milliseconds.
    pub(crate) now: u64,
    /// Sequence number of the last lease call.
    pub(crate) sequence: u64,
    /// Maximum total size of all batches, in bytes; no limit if none.
    pub(crate) room: Option<u64>,
}

pub(crate) fn customer(name: &str) -> CustomerId {
    name.parse().unwrap()
}

pub(crate) fn route(name: &str) -> RouteId {
    name.parse().unwrap()
}

pub(crate) fn holder(number: u64) -> HolderId {
    format!("agent-{number}").parse().unwrap()
}

pub(crate) fn item(number: u32) -> Item {
    Item {
        custom_id: format!("i{number}"),
        route: route("assistant"),
        body: format!("{{\"n\":{number}}}"),
        idempotent: true,
    }
}

pub(crate) fn items(count: u32) -> Vec<Item> {
    (0..count).map(item).collect()
}

/// The end of an attempt that succeeded with `text` as its body.
pub(crate) fn done(text: &str) -> AttemptEnd {
    AttemptEnd::Done {
        status: 200,
        body: text.to_owned(),
    }
}

impl Harness {
    pub(crate) fn apply(&mut self, command: &Command) -> Outcome {
        self.index += 1;
        apply(&mut self.store, self.index, command).unwrap()
    }

    pub(crate) fn time(&self) -> UnixMillis {
        UnixMillis(self.now)
    }

    pub(crate) fn begin(&mut self, call: BatchBegin) -> BatchBeginReply {
        let command = Command::BatchBegin(batch::Begin {
            call,
            weight: 1,
            room: self.room.unwrap_or(u64::MAX),
            retention: RETENTION_MS,
            now: self.time(),
        });
        match self.apply(&command) {
            Outcome::BatchBegin(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn chunk(
        &mut self,
        batch: BatchId,
        chunk: u32,
        items: Vec<Item>,
    ) -> BatchChunkReply {
        let room = self.room.unwrap_or(u64::MAX);
        let call = BatchChunk {
            batch,
            upload: 1,
            chunk,
            items,
        };
        match self.apply(&Command::BatchChunk { call, room }) {
            Outcome::BatchChunk(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn seal(&mut self, batch: BatchId, chunks: u32, items: u32) -> BatchSealReply {
        let content = BodyHash::of(&batch.0.to_be_bytes());
        self.seal_with(batch, chunks, items, content)
    }

    pub(crate) fn seal_with(
        &mut self,
        batch: BatchId,
        chunks: u32,
        items: u32,
        content: BodyHash,
    ) -> BatchSealReply {
        let call = BatchSeal {
            batch,
            upload: 1,
            chunks,
            items,
            content,
        };
        let now = self.time();
        match self.apply(&Command::BatchSeal { call, now }) {
            Outcome::BatchSeal(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    /// Uploads and seals a batch in one chunk.
    pub(crate) fn submit(
        &mut self,
        number: u128,
        of: &str,
        due: Option<u64>,
        items: Vec<Item>,
    ) -> BatchId {
        let batch = BatchId(number);
        let count = u32::try_from(items.len()).unwrap();
        let reply = self.begin(begin(number, of, due, None));
        assert!(matches!(reply, BatchBeginReply::Send { .. }), "{reply:?}");
        assert_eq!(self.chunk(batch, 0, items), BatchChunkReply::Kept);
        let reply = self.seal(batch, 1, count);
        assert_eq!(reply, BatchSealReply::Accepted { batch });
        batch
    }

    pub(crate) fn lease_call(
        &mut self,
        agent: u64,
        room: u32,
        renew: Vec<LeaseRef>,
    ) -> batch::Lease {
        self.sequence += 1;
        batch::Lease {
            holder: holder(agent),
            incarnation: Incarnation(agent),
            sequence: self.sequence,
            routes: vec![route("assistant"), route("waitlist")],
            room,
            renew,
            until: UnixMillis(self.now + LEASE_MS),
            now: self.time(),
        }
    }

    pub(crate) fn send_lease(&mut self, call: &batch::Lease) -> LeaseItemsReply {
        match self.apply(&Command::Lease(call.clone())) {
            Outcome::Lease(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn lease(&mut self, agent: u64, room: u32) -> Vec<LeasedItem> {
        let call = self.lease_call(agent, room, Vec::new());
        self.send_lease(&call).items
    }

    pub(crate) fn finish(&mut self, agent: u64, lease: LeaseRef, end: AttemptEnd) -> Recorded {
        let call = FinishItems {
            holder: holder(agent),
            incarnation: Incarnation(agent),
            ends: vec![FinishedAttempt { lease, end }],
        };
        let now = self.time();
        match self.apply(&Command::Finish { call, now }) {
            Outcome::Finish(reply) => reply.recorded[0],
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn cancel(&mut self, batch: BatchId, of: &str) -> batch::CancelOutcome {
        let call = BatchCancel {
            batch,
            customer: customer(of),
        };
        let now = self.time();
        match self.apply(&Command::BatchCancel { call, now }) {
            Outcome::BatchCancel(outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }

    /// Advances the clock and applies expiry commands until nothing is due.
    pub(crate) fn wait(&mut self, millis: u64) {
        self.now += millis;
        while clem_state::has_expired(&self.store, self.time()).unwrap() {
            let now = self.time();
            self.apply(&Command::Expire { now });
        }
    }

    pub(crate) fn view(&self, batch: BatchId, of: &str) -> Option<BatchView> {
        let call = BatchStatus {
            batch,
            customer: customer(of),
        };
        batch::status(&self.store, &call, self.time()).unwrap()
    }

    /// The results of a batch from all pages.
    pub(crate) fn results(&self, batch: BatchId, of: &str) -> Vec<ItemResult> {
        let mut results = Vec::new();
        let mut from = clem_types::ItemIndex(0);
        loop {
            let call = BatchResults {
                batch,
                customer: customer(of),
                from,
            };
            let page = batch::results(&self.store, &call).unwrap().unwrap();
            results.extend(page.results);
            let Some(next) = page.next else {
                return results;
            };
            from = next;
        }
    }
}

pub(crate) fn begin(number: u128, of: &str, due: Option<u64>, key: Option<&str>) -> BatchBegin {
    BatchBegin {
        batch: BatchId(number),
        customer: customer(of),
        key: "k1".parse().unwrap(),
        idempotency: key.map(str::to_owned),
        due: due.map(UnixMillis),
        now: UnixMillis(0),
    }
}

/// A lease for an attempt that was never granted.
pub(crate) fn stale(lease: LeaseRef) -> LeaseRef {
    LeaseRef {
        attempt: Attempt(lease.attempt.0 + 1),
        ..lease
    }
}
