//! The runs of items that a process has begun.

use std::{collections::HashMap, future::Future};

use clem_boot::panic_message;
use clem_state::jobs::JobNumber;
use clem_types::ItemIndex;
use tokio::task::{Id, JoinError, JoinSet};

/// A run that panicked, so that its item has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PanickedRun {
    /// The job of its item.
    pub job: JobNumber,
    /// Index of its item in the job.
    pub item: ItemIndex,
    /// The message of the panic.
    pub message: String,
}

/// Runs of items, each a task.
#[derive(Debug, Default)]
pub struct RunSet {
    runs: JoinSet<()>,
    items: HashMap<Id, (JobNumber, ItemIndex)>,
}

impl RunSet {
    /// Begins a run.
    pub fn spawn(
        &mut self,
        job: JobNumber,
        item: ItemIndex,
        run: impl Future<Output = ()> + Send + 'static,
    ) {
        let id = self.runs.spawn(run).id();
        self.items.insert(id, (job, item));
    }

    /// Removes the runs that have ended, and returns those that panicked.
    pub fn take_panicked(&mut self) -> Vec<PanickedRun> {
        let mut panicked = Vec::new();
        while let Some(ended) = self.runs.try_join_next_with_id() {
            panicked.extend(self.panicked(ended));
        }
        panicked
    }

    /// Stops all runs.
    pub fn abort_all(&mut self) {
        self.runs.abort_all();
    }

    fn panicked(&mut self, ended: Result<(Id, ()), JoinError>) -> Option<PanickedRun> {
        let id = match &ended {
            Ok((id, ())) => *id,
            Err(error) => error.id(),
        };
        let (job, item) = self.items.remove(&id)?;
        // A run that was stopped is no error.
        let payload = ended.err()?.try_into_panic().ok()?;
        Some(PanickedRun {
            job,
            item,
            message: panic_message(payload.as_ref()),
        })
    }
}
