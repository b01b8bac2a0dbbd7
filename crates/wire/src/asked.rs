//! What the processes of a group said to one call, in short for log lines.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
};

use crate::GroupBrief;

/// Number of processes that are kept; those asked later are only counted.
const PROCESSES_MAX: usize = 8;
/// Number of parts of an IPv4 address.
const IPV4_PARTS: usize = 4;

/// What a process said to one try of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It replied as the leader.
    Leads,
    /// It doesn't lead and names no leader.
    NoLeader,
    /// It doesn't lead and names another process.
    Names(SocketAddr),
    /// It doesn't serve the call and names itself: it leads, and isn't ready to serve.
    NotReady,
    /// It lost leadership while it handled the call.
    Unknown,
    /// It leads, and its disk is short of room.
    NoRoom,
    /// It refused the connection at once.
    RefusedConnection,
    /// No connection could be established, which took longer than a refusal.
    Unreachable,
    /// The connection ended, or the process failed, before the whole reply arrived.
    Broken,
    /// Nothing arrived in time.
    Silent,
    /// It rejected the call, which it can't read.
    Rejected,
    /// Its reply can't be decoded.
    Malformed,
    /// It is no process of the group: it answered with an error status that these don't give.
    Outside,
}

impl Answer {
    /// Number of kinds of answers.
    const KINDS: usize = 13;
    /// The letters of the kinds, see `docs/OPERATIONS.md`, "Who was asked".
    const LETTERS: [char; Self::KINDS] = [
        'a', 'n', 'o', 'i', 'u', 'f', 'x', 'c', 'r', 's', 'e', 'm', 'w',
    ];

    fn kind(self) -> usize {
        match self {
            Self::Leads => 0,
            Self::NoLeader => 1,
            Self::Names(_) => 2,
            Self::NotReady => 3,
            Self::Unknown => 4,
            Self::NoRoom => 5,
            Self::RefusedConnection => 6,
            Self::Unreachable => 7,
            Self::Broken => 8,
            Self::Silent => 9,
            Self::Rejected => 10,
            Self::Malformed => 11,
            Self::Outside => 12,
        }
    }

    fn named(self) -> Option<SocketAddr> {
        match self {
            Self::Names(named) => Some(named),
            Self::Leads
            | Self::NoLeader
            | Self::NotReady
            | Self::Unknown
            | Self::NoRoom
            | Self::RefusedConnection
            | Self::Unreachable
            | Self::Broken
            | Self::Silent
            | Self::Rejected
            | Self::Malformed
            | Self::Outside => None,
        }
    }
}

/// The processes that one call has asked, and what they said; displayed as the code that
/// `docs/OPERATIONS.md` describes under "Who was asked".
///
/// Nothing is allocated before the first answer is noted.
#[derive(Debug, Default)]
pub struct Asked {
    processes: Vec<AskedProcess>,
    /// Number of answers of processes that are not kept.
    others: u32,
}

#[derive(Debug)]
struct AskedProcess {
    address: SocketAddr,
    last: Answer,
    /// Number of answers of each kind.
    counts: [u32; Answer::KINDS],
    /// What it knew of its group when it last told.
    brief: Option<GroupBrief>,
}

impl Asked {
    /// Notes an answer of a process.
    pub fn note(&mut self, address: SocketAddr, answer: Answer) {
        let known = self.processes.iter().position(|p| p.address == address);
        let process = match known {
            Some(index) => &mut self.processes[index],
            None if self.processes.len() >= PROCESSES_MAX => {
                self.others += 1;
                return;
            }
            None => self.processes.push_mut(AskedProcess {
                address,
                last: answer,
                counts: [0; Answer::KINDS],
                brief: None,
            }),
        };
        process.last = answer;
        process.counts[answer.kind()] += 1;
    }

    /// Notes that a process doesn't serve the call, which process it named, and what it told of its
    /// group.
    pub fn note_follower(
        &mut self,
        address: SocketAddr,
        named: Option<SocketAddr>,
        brief: Option<GroupBrief>,
    ) {
        let answer = match named {
            Some(named) if named == address => Answer::NotReady,
            Some(named) => Answer::Names(named),
            None => Answer::NoLeader,
        };
        self.note(address, answer);
        let mut processes = self.processes.iter_mut();
        let Some(process) = processes.find(|process| process.address == address) else {
            return;
        };
        if brief.is_some() {
            process.brief = brief;
        }
    }

    /// Notes what a process said when the time of the call was over. Silence says nothing then of a
    /// process that has answered before.
    pub fn note_last(&mut self, address: SocketAddr, answer: Answer) {
        let known = self.processes.iter().any(|p| p.address == address);
        if !known || answer != Answer::Silent {
            self.note(address, answer);
        }
    }
}

impl fmt::Display for Asked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.processes.is_empty() {
            return f.write_str("none");
        }
        let parts = name_parts(&self.processes);
        for (index, process) in self.processes.iter().enumerate() {
            if index > 0 {
                f.write_str(" ")?;
            }
            process.write(f, parts)?;
        }
        if self.others > 0 {
            write!(f, " +{}", self.others)?;
        }
        Ok(())
    }
}

impl AskedProcess {
    fn write(&self, f: &mut fmt::Formatter<'_>, parts: usize) -> fmt::Result {
        write_name(f, self.address, parts)?;
        let last = self.last.kind();
        write!(f, "={}{}", Answer::LETTERS[last], self.counts[last])?;
        if let Some(named) = self.last.named() {
            f.write_str(">")?;
            write_name(f, named, parts)?;
        }
        for (kind, count) in self.counts.iter().enumerate() {
            if kind != last && *count > 0 {
                write!(f, "{}{count}", Answer::LETTERS[kind])?;
            }
        }
        match &self.brief {
            Some(brief) => f.write_str(brief.as_str()),
            None => Ok(()),
        }
    }
}

/// How many of the last parts of their IPv4 addresses tell the processes apart, with those that they
/// name; more than there are if only whole addresses do.
fn name_parts(processes: &[AskedProcess]) -> usize {
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for process in processes {
        for address in [Some(process.address), process.last.named()] {
            addresses.extend(address.filter(|address| !addresses.contains(address)));
        }
    }
    let differ = |parts: &usize| {
        let tails = addresses.iter().map(|address| tail(*address, *parts));
        let tails: Vec<Option<u32>> = tails.collect();
        let mut places = tails.iter().enumerate();
        places.all(|(place, tail)| tail.is_some() && !tails[..place].contains(tail))
    };
    (1..=IPV4_PARTS).find(differ).unwrap_or(IPV4_PARTS + 1)
}

/// The last parts of an IPv4 address, as a number.
fn tail(address: SocketAddr, parts: usize) -> Option<u32> {
    match address.ip() {
        IpAddr::V4(ip) => Some(u32::from(ip) << (8 * (IPV4_PARTS - parts))),
        IpAddr::V6(_) => None,
    }
}

fn write_name(f: &mut fmt::Formatter<'_>, address: SocketAddr, parts: usize) -> fmt::Result {
    let ip = match address.ip() {
        IpAddr::V4(ip) if parts <= IPV4_PARTS => ip,
        IpAddr::V4(_) | IpAddr::V6(_) => return write!(f, "{address}"),
    };
    let octets = ip.octets();
    for (index, octet) in octets[IPV4_PARTS - parts..].iter().enumerate() {
        let dot = if index > 0 { "." } else { "" };
        write!(f, "{dot}{octet}")?;
    }
    Ok(())
}
