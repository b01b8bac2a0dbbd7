//! The members of a cluster and changes to them.

use serde::{Deserialize, Serialize};

use crate::MemberId;

/// Whether a member votes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberKind {
    /// A member that votes and counts towards the quorum.
    Voter,
    /// A member that receives the log but doesn't vote until it is promoted.
    Learner,
}

/// A member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The id of the member's data folder; a member that lost its disk gets a new one.
    pub id: MemberId,
    /// The address it listens on, as `IP:PORT`.
    pub address: String,
    /// Whether it votes.
    #[serde(rename = "seat")]
    pub kind: MemberKind,
}

/// The members of a cluster (a Raft configuration), ordered by id.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Members {
    list: Vec<Member>,
}

impl Members {
    /// Creates the set from members in any order; of equal ids the first is kept.
    pub fn new(mut list: Vec<Member>) -> Self {
        list.sort_by_key(|member| member.id);
        list.dedup_by_key(|member| member.id);
        Self { list }
    }

    /// Iterates over the members, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.list.iter()
    }

    /// Returns the member with this id, if there is one.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.list.iter().find(|member| member.id == id)
    }

    /// Returns whether `id` is a voter.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|m| m.kind == MemberKind::Voter)
    }

    /// Iterates over the ids of the voters, in order.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.list
            .iter()
            .filter(|m| m.kind == MemberKind::Voter)
            .map(|m| m.id)
    }

    /// Returns the number of voters in a quorum: a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the largest value that a quorum of voters has reached, given each voter's value;
    /// `None` without voters.
    pub fn quorum_value<T: Ord + Copy>(&self, of: impl Fn(MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }

    /// Returns the members after a change.
    #[must_use]
    pub fn with(&self, change: &Change) -> Self {
        let mut list = self.list.clone();
        match change {
            Change::AddLearner { id, address } => list.push(Member {
                id: *id,
                address: address.clone(),
                kind: MemberKind::Learner,
            }),
            Change::Promote(id) => {
                for member in &mut list {
                    if member.id == *id {
                        member.kind = MemberKind::Voter;
                    }
                }
            }
            Change::Remove(id) => list.retain(|member| member.id != *id),
        }
        Self::new(list)
    }

    /// Returns the approximate size of the members in the log, in bytes.
    pub fn size(&self) -> usize {
        self.list.iter().map(|m| 16 + m.address.len()).sum()
    }
}

/// A membership change; only one may be uncommitted at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a member as a learner, so that it can catch up.
    AddLearner {
        /// The id of the new member.
        id: MemberId,
        /// The address it listens on, as `IP:PORT`.
        address: String,
    },
    /// Makes a learner that has caught up a voter.
    Promote(MemberId),
    /// Removes a voter or learner.
    Remove(MemberId),
}
