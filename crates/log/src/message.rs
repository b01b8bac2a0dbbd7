//! Raft messages.

use serde::{Deserialize, Serialize};

use crate::{Entry, LogIndex, MemberId, Term};

/// A message from one member to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// The receiver; a different member at the same address must ignore the message.
    pub to: MemberId,
    /// The sender's term. In a pre-vote and its acceptance: the term that the election would start.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender, without starting an election.
    PreVote(Ballot),
    /// The reply to [`Body::PreVote`].
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote(Ballot),
    /// The reply to [`Body::Vote`].
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader, or a heartbeat if there are none.
    Append(Append),
    /// A successful reply to [`Body::Append`], also sent when further entries are synced.
    Appended {
        /// The index up to which the follower's log is synced and matches the leader's.
        matched: LogIndex,
        /// [`Append::sent`] of the message that this replies to, or 0 if it replies to none.
        sent: u64,
    },
    /// A rejection of [`Body::Append`]: the term is old, or the log doesn't match at `prev`.
    Rejected {
        /// [`Append::prev`] of the rejected message.
        prev: LogIndex,
        /// The last index at which the follower's log may match the leader's.
        hint: LogIndex,
        /// [`Append::sent`] of the rejected message.
        sent: u64,
    },
    /// Tells the receiver to start an election at once, as the leader transfers leadership to it.
    Campaign,
}

/// A candidate's claim to leadership: how up to date its log is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// The index of its last entry.
    pub index: LogIndex,
    /// The term of its last entry.
    pub term: Term,
    /// Whether the leader requested this election by a transfer, which ends its lease.
    pub transfer: bool,
}

/// Entries to append after one that the follower is believed to have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The index of the entry before `entries`.
    pub prev: LogIndex,
    /// The term of the entry at `prev`.
    pub prev_term: Term,
    /// Consecutive entries, or none in a heartbeat.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: LogIndex,
    /// The send time on the leader's clock in microseconds; the reply echoes it, so that the leader
    /// can extend its lease from then.
    pub sent: u64,
    /// The members that the leader has not heard from for an election timeout or more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<Silence>,
    /// The members that said that they are about to stop.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departing: Vec<Departing>,
}

/// How long a member has been silent, so that the next leader need not wait that long again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    /// The member.
    pub id: MemberId,
    /// The time since its last reply to a leader, in milliseconds.
    pub ms: u64,
}

/// When a member last said that it is about to stop, so that the next leader knows it as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departing {
    /// The member.
    pub id: MemberId,
    /// The time since then, in milliseconds.
    pub ms: u64,
}
