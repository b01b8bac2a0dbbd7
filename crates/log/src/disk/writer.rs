//! The thread that writes the log, which keeps blocking syncs out of the process's event loop.

use std::{
    io,
    sync::mpsc::{Receiver, Sender, channel},
    thread,
};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::{DiskError, Folder, Identity, Result};
use crate::{SnapshotMetadata, Write, WriteNumber};

/// The maximum number of writes in one group commit.
const MAX_GROUP: usize = 4096;

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
    pub fn start(folder: Folder) -> io::Result<(Self, UnboundedReceiver<DiskEvent>)> {
        let (jobs, incoming) = channel();
        let (outgoing, events) = unbounded_channel();
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || run_jobs(folder, &incoming, &outgoing))?;
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

fn run_jobs(mut folder: Folder, jobs: &Receiver<Job>, events: &UnboundedSender<DiskEvent>) {
    while let Ok(first) = jobs.recv() {
        if let Err(error) = run_batch(&mut folder, first, jobs, events) {
            let _ = events.send(DiskEvent::Failed(error));
            return;
        }
    }
}

/// Runs `first` and all jobs already queued behind it; consecutive writes share one sync.
fn run_batch(
    folder: &mut Folder,
    first: Job,
    jobs: &Receiver<Job>,
    events: &UnboundedSender<DiskEvent>,
) -> Result<()> {
    let mut group = Vec::new();
    let mut next = Some(first);
    while let Some(job) = next {
        match job {
            Job::Write(write) => group.push(write),
            Job::Compact(base) => {
                commit(folder, &mut group, events)?;
                folder.compact(base)?;
            }
            Job::Identify(identity) => {
                commit(folder, &mut group, events)?;
                folder.set_identity(identity)?;
                let _ = events.send(DiskEvent::Identified(identity));
            }
        }
        if group.len() >= MAX_GROUP {
            break;
        }
        next = jobs.try_recv().ok();
    }
    commit(folder, &mut group, events)
}

fn commit(
    folder: &mut Folder,
    group: &mut Vec<Write>,
    events: &UnboundedSender<DiskEvent>,
) -> Result<()> {
    let Some(last) = group.last() else {
        return Ok(());
    };
    let number = last.number;
    folder.write(std::mem::take(group))?;
    let free_bytes = folder.free_bytes()?;
    let _ = events.send(DiskEvent::Synced { number, free_bytes });
    Ok(())
}
