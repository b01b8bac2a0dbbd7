//! Messages between members.

use serde::{Deserialize, Serialize};

use crate::{Entry, LogIndex, MemberId, Term};

/// One message between two members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it.
    pub from: MemberId,
    /// Whom it is for; another disk at the same address must not take it.
    pub to: MemberId,
    /// The sender's term; in a pre-vote the term that it would start.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether an election could be won, without starting one.
    PreVote(Ballot),
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote(Ballot),
    /// Answers a vote.
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries from the leader; without entries, a heartbeat.
    Append(Append),
    /// The state of a follower after an append.
    Appended {
        /// How far its log is synced and equal to the leader's.
        matched: LogIndex,
        /// The leader's time when it sent what this answers.
        sent: u64,
    },
    /// The follower lacks the entry before the appended ones.
    Rejected {
        /// Which entry that was.
        prev: LogIndex,
        /// The last entry that may be equal to the leader's.
        hint: LogIndex,
        /// The leader's time when it sent what this answers.
        sent: u64,
    },
    /// The leader gives up its place: the receiver shall campaign at once.
    Campaign,
}

/// How far a candidate's log reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// Its last entry.
    pub index: LogIndex,
    /// The term of its last entry.
    pub term: Term,
    /// Whether the leader itself asked for this election, giving up its lease.
    pub transfer: bool,
}

/// Entries that follow one that both sides are believed to have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The entry before the first of `entries`.
    pub prev: LogIndex,
    /// Its term.
    pub prev_term: Term,
    /// The entries, in order and without gaps.
    pub entries: Vec<Entry>,
    /// How far the leader has committed.
    pub commit: LogIndex,
    /// The leader's time in microseconds, which the answer returns.
    pub sent: u64,
}
