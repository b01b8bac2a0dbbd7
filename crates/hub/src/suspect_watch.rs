//! Since when the requests run on which others with the same suspected part wait.

use std::{collections::BTreeMap, time::Duration};

use clem_policy::{
    LogPace,
    dispatch::{RunningSuspect, Ticket},
};
use clem_types::Time;

/// How long a request with a suspected part counts as running until it is logged.
const LOGGED: Duration = Duration::from_secs(5);

/// A request with a suspected part that has counted as running for long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OldSuspect {
    /// The request.
    pub suspect: RunningSuspect,
    /// For how long it has counted as running.
    pub age: Duration,
}

/// Follows the requests with suspected parts that count as running.
#[derive(Debug, Default)]
pub struct SuspectWatch {
    seen: BTreeMap<Ticket, (Time, LogPace)>,
}

impl SuspectWatch {
    /// Those of the `running` requests that are to be logged, each ever more rarely.
    pub fn take_old(&mut self, now: Time, running: Vec<RunningSuspect>) -> Vec<OldSuspect> {
        self.seen
            .retain(|ticket, _| running.iter().any(|suspect| suspect.ticket == *ticket));
        let mut old = Vec::new();
        for suspect in running {
            let (since, pace) = self
                .seen
                .entry(suspect.ticket)
                .or_insert_with(|| (now, LogPace::new(now, LOGGED)));
            if pace.take_due(now) {
                let age = now.since(*since);
                old.push(OldSuspect { suspect, age });
            }
        }
        old
    }

    /// Forgets all requests.
    pub fn clear(&mut self) {
        self.seen.clear();
    }
}
