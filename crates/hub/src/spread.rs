//! How far the newest rules have spread over the live processes.

use std::time::Duration;

use clem_types::{Time, Version};

/// How often processes without the newest rules are reported.
const LAG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of vms named in one report.
const NAMED_MAX: usize = 8;

/// Tracks when the newest rules are in force on all live processes.
#[derive(Debug, Default)]
pub struct RulesSpread {
    version: Version,
    since: Time,
    reported: Time,
    complete: bool,
}

/// A report on the newest rules.
#[derive(Debug, PartialEq, Eq)]
pub enum SpreadReport {
    /// The rules are in force on all live processes.
    Complete {
        /// Version of the rules.
        version: Version,
        /// Time since the leader installed them.
        took: Duration,
        /// Number of live processes.
        processes: usize,
    },
    /// Some live processes have not reported the rules yet.
    Lagging {
        /// Version of the rules.
        version: Version,
        /// Time since the leader installed them.
        took: Duration,
        /// Number of processes without them.
        missing: usize,
        /// The vms of the first of these processes.
        vms: Vec<String>,
    },
}

impl RulesSpread {
    /// Starts to track newer rules.
    pub fn start(&mut self, now: Time, version: Version) {
        *self = Self {
            version,
            since: now,
            reported: now,
            complete: false,
        };
    }

    /// Compares the rules of the live processes, each given with its vm, with the newest ones.
    pub fn check<'a>(
        &mut self,
        now: Time,
        processes: impl Iterator<Item = (&'a str, Version)>,
    ) -> Option<SpreadReport> {
        if self.complete || self.version == Version(0) {
            return None;
        }
        let (mut count, mut missing, mut vms) = (0, 0, Vec::new());
        for (vm, version) in processes {
            count += 1;
            if version >= self.version {
                continue;
            }
            missing += 1;
            if vms.len() < NAMED_MAX {
                vms.push(vm.to_owned());
            }
        }
        let (version, took) = (self.version, now.since(self.since));
        if missing == 0 && count > 0 {
            self.complete = true;
            return Some(SpreadReport::Complete {
                version,
                took,
                processes: count,
            });
        }
        if missing == 0 || now.since(self.reported) < LAG_INTERVAL {
            return None;
        }
        self.reported = now;
        Some(SpreadReport::Lagging {
            version,
            took,
            missing,
            vms,
        })
    }
}
