//! How members answer each other's requests for votes, for logs and metrics.

use std::collections::BTreeMap;

use super::Node;
use crate::MemberId;

/// A member's answer to another one that asks for its vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VoteAnswer {
    /// The vote is granted.
    Granted,
    /// Refused: this member leads, or has heard from a leader within an election timeout.
    Led,
    /// Refused: the election's term is not newer than this member's.
    OldTerm,
    /// Refused: this member's log is newer.
    OldLog,
    /// Refused: another member has this member's vote in that term.
    Given,
}

impl VoteAnswer {
    /// The name for log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Led => "led",
            Self::OldTerm => "old term",
            Self::OldLog => "old log",
            Self::Given => "given",
        }
    }
}

/// The last answers of this member and to it.
#[derive(Debug, Default)]
pub(super) struct Votes {
    /// What this member answered, by asker.
    pub(super) answered: BTreeMap<MemberId, VoteAnswer>,
    /// Whether a member granted its vote when this one last asked.
    pub(super) received: BTreeMap<MemberId, bool>,
}

impl Node {
    /// Notes the answer to a member that asks for this member's vote; returns whether it is granted.
    pub(super) fn note_answer(&mut self, from: MemberId, answer: VoteAnswer) -> bool {
        let (_, members) = &self.configs[self.configs.len() - 1];
        let answered = &mut self.votes.answered;
        answered.insert(from, answer);
        answered.retain(|id, _| *id == from || members.get(*id).is_some());
        answer == VoteAnswer::Granted
    }

    /// Notes what a member answered when this one asked for its vote.
    pub(super) fn note_received(&mut self, from: MemberId, granted: bool) {
        let (_, members) = &self.configs[self.configs.len() - 1];
        let received = &mut self.votes.received;
        received.insert(from, granted);
        received.retain(|id, _| members.get(*id).is_some());
    }
}
