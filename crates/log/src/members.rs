//! Who takes part in the cluster.

use serde::{Deserialize, Serialize};

use crate::MemberId;

/// What a member does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberKind {
    /// Votes, and counts towards the quorum.
    Voter,
    /// Gets the log but doesn't count before it is promoted.
    Learner,
}

/// One member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its disk.
    pub id: MemberId,
    /// Where it listens, as `IP:PORT`.
    pub address: String,
    /// What it does.
    #[serde(rename = "seat")]
    pub kind: MemberKind,
}

/// The members of a cluster, in order of their ids.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Members {
    list: Vec<Member>,
}

impl Members {
    /// A set of members, whatever their order.
    pub fn new(mut list: Vec<Member>) -> Self {
        list.sort_by_key(|member| member.id);
        list.dedup_by_key(|member| member.id);
        Self { list }
    }

    /// The members in order.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.list.iter()
    }

    /// The member with this id.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.list.iter().find(|member| member.id == id)
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|m| m.kind == MemberKind::Voter)
    }

    /// The ids of the voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.list
            .iter()
            .filter(|m| m.kind == MemberKind::Voter)
            .map(|m| m.id)
    }

    /// How many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The largest value that a quorum of voters reaches, by each voter's own value.
    pub fn quorum_value<T: Ord + Copy>(&self, of: impl Fn(MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }

    /// The same members after one change.
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

    /// About how many bytes they take.
    pub fn size(&self) -> usize {
        self.list.iter().map(|m| 16 + m.address.len()).sum()
    }
}

/// One change of the members; the next one waits until it is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Lets a new disk catch up.
    AddLearner {
        /// The new disk.
        id: MemberId,
        /// Where its process listens.
        address: String,
    },
    /// Makes a learner that has caught up a voter.
    Promote(MemberId),
    /// Takes a member out.
    Remove(MemberId),
}
