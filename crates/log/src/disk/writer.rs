//! The thread that writes the log, so that syncs never hold up the process's loop.

use std::{
    io,
    sync::mpsc::{Receiver, Sender, channel},
    thread,
};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::{DiskError, Folder, Identity, Result};
use crate::{Base, Write, WriteNumber};

/// The most writes that one group commit takes together.
const MAX_GROUP: usize = 4096;

/// What the thread says.
#[derive(Debug)]
pub enum DiskEvent {
    /// All writes up to this number are synced.
    Synced {
        /// The number of the last write.
        number: WriteNumber,
        /// Bytes that may still be written to the file system.
        free_bytes: u64,
    },
    /// The folder remembers its cluster.
    Identified(Identity),
    /// The disk failed; nothing is written any more, and the process must end.
    Failed(DiskError),
}

/// What the thread is asked to do.
#[derive(Debug)]
enum Job {
    Write(Write),
    Compact(Base),
    Identify(Identity),
}

/// The writing thread of one folder; it ends when this value is dropped.
#[derive(Debug)]
pub struct Writer {
    jobs: Sender<Job>,
}

impl Writer {
    /// Starts the thread.
    ///
    /// # Errors
    /// The system gives no thread.
    pub fn start(folder: Folder) -> io::Result<(Self, UnboundedReceiver<DiskEvent>)> {
        let (jobs, incoming) = channel();
        let (outgoing, events) = unbounded_channel();
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || work(folder, &incoming, &outgoing))?;
        Ok((Self { jobs }, events))
    }

    /// Asks for a write; [`DiskEvent::Synced`] follows.
    pub fn write(&self, write: Write) {
        self.send(Job::Write(write));
    }

    /// Asks to forget the log up to `base`, which is synced elsewhere.
    pub fn compact(&self, base: Base) {
        self.send(Job::Compact(base));
    }

    /// Asks to remember the cluster; [`DiskEvent::Identified`] follows.
    pub fn identify(&self, identity: Identity) {
        self.send(Job::Identify(identity));
    }

    fn send(&self, job: Job) {
        // The thread is gone only after it said that it failed.
        let _ = self.jobs.send(job);
    }
}

fn work(mut folder: Folder, jobs: &Receiver<Job>, events: &UnboundedSender<DiskEvent>) {
    while let Ok(first) = jobs.recv() {
        if let Err(error) = round(&mut folder, first, jobs, events) {
            let _ = events.send(DiskEvent::Failed(error));
            return;
        }
    }
}

/// Takes all jobs that wait, and syncs the writes among them together.
fn round(
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
