//! The runs of items that a process has begun.

use std::{collections::HashMap, future::Future};

use clem_boot::panic_message;
use clem_state::jobs::JobNumber;
use clem_types::ItemIndex;
use tokio::task::{Id, JoinError, JoinSet};

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun<T> {
    /// The job of its item.
    pub job: JobNumber,
    /// Index of its item in the job.
    pub item: ItemIndex,
    /// What it returned; the message if it panicked.
    pub result: Result<T, String>,
}

/// Runs of items, each a task.
#[derive(Debug)]
pub struct RunSet<T> {
    runs: JoinSet<T>,
    items: HashMap<Id, (JobNumber, ItemIndex)>,
}

impl<T> Default for RunSet<T> {
    fn default() -> Self {
        Self {
            runs: JoinSet::new(),
            items: HashMap::new(),
        }
    }
}

impl<T: Send + 'static> RunSet<T> {
    /// Begins a run.
    pub fn spawn(
        &mut self,
        job: JobNumber,
        item: ItemIndex,
        run: impl Future<Output = T> + Send + 'static,
    ) {
        let id = self.runs.spawn(run).id();
        self.items.insert(id, (job, item));
    }

    /// Removes and returns the runs that have ended; those that were stopped are left out.
    pub fn take_ended(&mut self) -> Vec<EndedRun<T>> {
        let mut runs = Vec::new();
        while let Some(ended) = self.runs.try_join_next_with_id() {
            runs.extend(self.ended(ended));
        }
        runs
    }

    /// Stops all runs.
    pub fn abort_all(&mut self) {
        self.runs.abort_all();
    }

    fn ended(&mut self, ended: Result<(Id, T), JoinError>) -> Option<EndedRun<T>> {
        let id = match &ended {
            Ok((id, _)) => *id,
            Err(error) => error.id(),
        };
        let (job, item) = self.items.remove(&id)?;
        let result = match ended {
            Ok((_, returned)) => Ok(returned),
            Err(error) => Err(panic_message(error.try_into_panic().ok()?.as_ref())),
        };
        Some(EndedRun { job, item, result })
    }
}
