//! The thread that writes the log, which keeps blocking syncs out of the process's event loop.

use std::{
    io,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    thread,
    time::Duration,
};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::{DiskError, Folder, Identity, Result, RoomProbe};
use crate::{SnapshotMetadata, Write, WriteNumber};

/// The maximum number of writes in one group commit.
const MAX_GROUP: usize = 4096;
/// How long nothing is written before the free room is read without a write.
const ROOM_INTERVAL: Duration = Duration::from_millis(500);

/// An event reported by the writer thread.
#[derive(Debug)]
pub enum DiskEvent {
    /// All writes up to a number are synced.
    Synced {
        /// The number of the last write.
        number: WriteNumber,
        /// The bytes available on the file system.
        free_bytes: u64,
    },
    /// Nothing was written for a while.
    Idle {
        /// The bytes available on the file system.
        free_bytes: u64,
    },
    /// The identity is written and synced.
    Identified(Identity),
    /// An operation failed; the thread has stopped and the process must exit.
    Failed(DiskError),
}

/// A job for the writer thread.
#[derive(Debug)]
enum Job {
    Write(Write),
    Compact(SnapshotMetadata),
    Identify(Identity),
}

/// The handle of a folder's writer thread; dropping it stops the thread.
#[derive(Debug)]
pub struct Writer {
    jobs: Sender<Job>,
}

impl Writer {
    /// Starts the thread, which reports through the returned channel.
    ///
    /// # Errors
    /// The thread can't be created.
    pub fn start(
        folder: Folder,
        probe: Arc<dyn RoomProbe>,
    ) -> io::Result<(Self, UnboundedReceiver<DiskEvent>)> {
        let (jobs, incoming) = channel();
        let (outgoing, events) = unbounded_channel();
        let mut thread = Thread {
            folder,
            probe,
            events: outgoing,
        };
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || thread.run(&incoming))?;
        Ok((Self { jobs }, events))
    }

    /// Queues a write; [`DiskEvent::Synced`] reports that it is synced.
    pub fn write(&self, write: Write) {
        self.send(Job::Write(write));
    }

    /// Queues a compaction up to `base`; see [`Folder::compact`].
    pub fn compact(&self, base: SnapshotMetadata) {
        self.send(Job::Compact(base));
    }

    /// Queues a new identity; [`DiskEvent::Identified`] reports that it is synced.
    pub fn identify(&self, identity: Identity) {
        self.send(Job::Identify(identity));
    }

    fn send(&self, job: Job) {
        // The thread ends early only after it has sent `DiskEvent::Failed`.
        let _ = self.jobs.send(job);
    }
}

/// What the thread works with.
struct Thread {
    folder: Folder,
    probe: Arc<dyn RoomProbe>,
    events: UnboundedSender<DiskEvent>,
}

impl Thread {
    fn run(&mut self, jobs: &Receiver<Job>) {
        // A new thread may have nothing to write for long.
        self.read_room();
        loop {
            match jobs.recv_timeout(ROOM_INTERVAL) {
                Ok(first) => {
                    if let Err(error) = self.run_batch(first, jobs) {
                        self.report(DiskEvent::Failed(error));
                        return;
                    }
                }
                // Whoever is short of room writes nothing, and must learn that there is some again.
                Err(RecvTimeoutError::Timeout) => self.read_room(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn read_room(&self) {
        match self.folder.free_bytes(&*self.probe) {
            Ok(free_bytes) => self.report(DiskEvent::Idle { free_bytes }),
            // The next write fails for the same reason, and ends the process.
            Err(error) => log::warn!(error:% = error; "free room not read"),
        }
    }

    /// Runs `first` and all jobs already queued behind it; consecutive writes share one sync.
    fn run_batch(&mut self, first: Job, jobs: &Receiver<Job>) -> Result<()> {
        let mut group = Vec::new();
        let mut next = Some(first);
        while let Some(job) = next {
            match job {
                Job::Write(write) => group.push(write),
                Job::Compact(base) => {
                    self.commit(&mut group)?;
                    self.folder.compact(base)?;
                }
                Job::Identify(identity) => {
                    self.commit(&mut group)?;
                    self.folder.set_identity(identity)?;
                    self.report(DiskEvent::Identified(identity));
                }
            }
            if group.len() >= MAX_GROUP {
                break;
            }
            next = jobs.try_recv().ok();
        }
        self.commit(&mut group)
    }

    fn commit(&mut self, group: &mut Vec<Write>) -> Result<()> {
        let Some(last) = group.last() else {
            return Ok(());
        };
        let number = last.number;
        self.folder.write(std::mem::take(group))?;
        let free_bytes = self.folder.free_bytes(&*self.probe)?;
        self.report(DiskEvent::Synced { number, free_bytes });
        Ok(())
    }

    fn report(&self, event: DiskEvent) {
        // Nobody listens once the process ends.
        let _ = self.events.send(event);
    }
}
