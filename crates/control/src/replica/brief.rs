//! What this process knows of its group, in short for the log lines of its callers.

use std::{
    fmt::{self, Write as _},
    time::Duration,
};

use clem_log::{GroupStatus, LogIndex, MemberKind, Term, VoteAnswer};

/// Number of votes that are told.
const VOTES_MAX: usize = 4;
/// Bytes in a mebibyte.
const MIB: u64 = 1024 * 1024;

/// What a process is to its group; displayed as the code that `docs/OPERATIONS.md` describes under
/// "Who was asked".
#[derive(Debug)]
pub enum Place {
    /// It has no disk and never becomes a member.
    Diskless,
    /// It is in no group.
    Outside,
    /// It is in a group, if only as one that waits for its place.
    Inside(Box<GroupState>),
}

/// The state of a process that is in a group.
#[derive(Debug)]
pub struct GroupState {
    /// What it knows of the group's voters.
    pub status: GroupStatus,
    /// Its term.
    pub term: Term,
    /// The last entry of its log.
    pub last: LogIndex,
    /// The last entry that it knows to be committed.
    pub commit: LogIndex,
    /// The last entry that its store has applied.
    pub applied: LogIndex,
    /// How long its timers have not run.
    pub timer_wait: Option<Duration>,
    /// How long its log has finished no write although there is one.
    pub disk_wait: Option<Duration>,
    /// How long its store has been syncing.
    pub store_wait: Option<Duration>,
    /// The free room on its disk in bytes, if it is too little for new work.
    pub short_bytes: Option<u64>,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Diskless => f.write_str("Q"),
            Self::Outside => f.write_str("-"),
            Self::Inside(state) => state.write(f),
        }
    }
}

impl GroupState {
    /// Writes the facts that decide first, as the text may be cut off.
    fn write(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let status = &self.status;
        let kind = match status.own {
            Some(MemberKind::Voter) => 'V',
            Some(MemberKind::Learner) => 'L',
            None => 'N',
        };
        let own = usize::from(status.own == Some(MemberKind::Voter));
        let voters = own + status.voters.len();
        write!(f, "{kind}{}/{}/{voters}", status.reachable, status.quorum)?;
        if let Some(leaderless) = status.leaderless {
            write!(f, "Z{}", leaderless.as_secs())?;
        }
        for (letter, wait) in [
            ('K', self.timer_wait),
            ('D', self.disk_wait),
            ('S', self.store_wait),
        ] {
            if let Some(wait) = wait.filter(|wait| wait.as_secs() > 0) {
                write!(f, "{letter}{}", wait.as_secs())?;
            }
        }
        if !status.answers.is_empty() {
            f.write_str("A")?;
        }
        for (_, answer) in status.answers.iter().take(VOTES_MAX) {
            f.write_char(match answer {
                VoteAnswer::Granted => 'g',
                VoteAnswer::Led => 'l',
                VoteAnswer::OldTerm => 't',
                VoteAnswer::OldLog => 'o',
                VoteAnswer::Given => 'v',
            })?;
        }
        if status.voters.iter().any(|voter| voter.granted.is_some()) {
            f.write_str("E")?;
            for voter in status.voters.iter().take(VOTES_MAX) {
                f.write_char(match voter.granted {
                    Some(true) => 'g',
                    Some(false) => 'r',
                    None => 'n',
                })?;
            }
        }
        write!(f, "T{}P{}", self.term.0, self.last.0)?;
        for (letter, index) in [('c', self.commit), ('a', self.applied)] {
            let behind = self.last.0.saturating_sub(index.0);
            if behind > 0 {
                write!(f, "{letter}{behind}")?;
            }
        }
        if let Some(free_bytes) = self.short_bytes {
            write!(f, "F{}", free_bytes / MIB)?;
        }
        Ok(())
    }
}
