//! The bytes of a relayed response that this process holds.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use clem_direct::{ByteBudget, ByteShare, READ_BYTES_MAX};
use tokio::sync::Notify;

use crate::front::RunningGuard;

/// The part of an event that a response may hold whatever others hold, in bytes.
const PART_BYTES_ASSURED: usize = 2 * READ_BYTES_MAX;

/// The bytes that one response holds, counted from when they are read from a target until they are written
/// to the caller.
pub(crate) struct Held {
    counts: Mutex<Counts>,
    written: Notify,
    /// The request counts as running until its caller has read the response, or many callers that read late could
    /// hold more than their number allows.
    _running: Arc<RunningGuard>,
}

struct Counts {
    share: ByteShare,
    /// Bytes of chunks that are not written to the caller yet.
    unwritten: usize,
    /// Bytes that a partial event takes.
    part: usize,
}

impl Counts {
    /// Counts what is held, whether there is room or not.
    fn update(&mut self) {
        self.share.set(self.unwritten + self.part);
    }
}

impl Held {
    pub(crate) fn new(budget: Arc<ByteBudget>, running: Arc<RunningGuard>) -> Arc<Self> {
        Arc::new(Self {
            counts: Mutex::new(Counts {
                share: ByteShare::new(budget),
                unwritten: 0,
                part: 0,
            }),
            written: Notify::new(),
            _running: running,
        })
    }

    /// Copies bytes to a chunk that counts as held until it is dropped. What the bytes were a part of, such
    /// as a buffer that many of them share, is not kept.
    pub(crate) fn chunk(self: &Arc<Self>, bytes: &[u8]) -> Bytes {
        let mut counts = self.counts();
        counts.unwritten += bytes.len();
        counts.update();
        drop(counts);
        Bytes::from_owner(Chunk {
            bytes: bytes.into(),
            held: Arc::clone(self),
        })
    }

    /// Waits until more may be read from the target. A response of which all is written may always go on,
    /// so that each makes progress however much others hold.
    pub(crate) async fn room(&self) {
        while !self.has_room() {
            self.written.notified().await;
        }
    }

    fn has_room(&self) -> bool {
        let counts = self.counts();
        let held = counts.unwritten + counts.part;
        counts.unwritten == 0 || counts.share.fits(held + READ_BYTES_MAX)
    }

    /// Sets how many bytes a partial event takes; returns false if there is no room for them.
    #[must_use]
    pub(crate) fn set_part(&self, bytes: usize) -> bool {
        let mut counts = self.counts();
        let grows = bytes > counts.part;
        if grows && bytes > PART_BYTES_ASSURED && !counts.share.fits(counts.unwritten + bytes) {
            return false;
        }
        counts.part = bytes;
        counts.update();
        true
    }

    /// Counts no partial event any longer.
    pub(crate) fn clear_part(&self) {
        let mut counts = self.counts();
        counts.part = 0;
        counts.update();
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes on their way to the caller.
struct Chunk {
    bytes: Box<[u8]>,
    held: Arc<Held>,
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Chunk {
    fn drop(&mut self) {
        let mut counts = self.held.counts();
        counts.unwritten -= self.bytes.len();
        counts.update();
        drop(counts);
        self.held.written.notify_one();
    }
}
