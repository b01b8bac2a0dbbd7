//! Decides who bootstraps a group, with which voters, and which group a process joins. No I/O.
//!
//! See `docs/incidents/never-founded.md`.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use clem_log::{Member, MemberId, MemberKind};

/// How long a process waits for answers of all founders before a majority may bootstrap a group.
pub const MAJORITY_DELAY: Duration = Duration::from_secs(5);

/// The disk of a founder that knows no group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FounderDisk {
    /// The id of the disk.
    pub member: MemberId,
    /// Whether the disk was empty before any group of the founders could be bootstrapped.
    pub predates_group: bool,
}

/// What a founder knows after a round of queries in which nobody named a group.
#[derive(Debug)]
pub struct Round<'a> {
    /// The address of the process that decides.
    pub own: SocketAddr,
    /// The addresses of all founders.
    pub founders: &'a [SocketAddr],
    /// The disks of the founders that answered, and that of the process itself.
    pub known: BTreeMap<SocketAddr, FounderDisk>,
    /// How long a process that had to answer has been silent; `None` if all have answered.
    pub silence: Option<Duration>,
}

/// Returns the voters of the group that this process is to bootstrap, if it is to bootstrap one.
///
/// A voter for a founder without a disk that counts gets an id from `new_id`, which no disk has.
pub fn voters(round: Round, new_id: impl Fn() -> MemberId) -> Option<Vec<Member>> {
    let Round {
        own,
        founders,
        mut known,
        silence,
    } = round;
    if silence.is_some_and(|silence| silence < MAJORITY_DELAY) {
        return None;
    }
    let mut original = known.clone();
    original.retain(|_, disk| disk.predates_group);
    let by_majority = original.len() > founders.len() / 2;
    if by_majority {
        known = original;
    } else if silence.is_some() {
        return None;
    }
    if known.keys().next() != Some(&own) {
        return None;
    }
    let mut voters: Vec<Member> = known
        .iter()
        .map(|(address, disk)| voter(disk.member, *address))
        .collect();
    if by_majority {
        // Without a voter for each founder, a smaller quorum would do, and that of another group
        // might have no disk in common with it.
        let lacking = founders.iter().filter(|a| !known.contains_key(*a));
        voters.extend(lacking.map(|address| voter(new_id(), *address)));
    }
    Some(voters)
}

fn voter(id: MemberId, address: SocketAddr) -> Member {
    Member {
        id,
        address: address.to_string(),
        kind: MemberKind::Voter,
    }
}

/// Returns whether a process may join a group of which it heard.
///
/// A founder that bootstrapped a group alone may come back after the others have founded another
/// one. Its group never has a leader, and who joined it could not leave it: only the voters that it
/// lacks may join it before it has one.
pub fn may_join(is_member: bool, has_leader: bool) -> bool {
    is_member || has_leader
}
