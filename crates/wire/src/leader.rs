//! Which process of a group is taken for its leader.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How long a process that was silent is not taken for the leader, also on another one's word:
/// the others may not have noticed yet that it is frozen or cut off.
const SILENT_SPAN: Duration = Duration::from_millis(1500);

/// Which process of a group is taken for its leader; shared by all calls that are under way.
///
/// Several calls may fail at the same process at once. Only the first of them moves on: the
/// others say nothing of the process that is asked by then.
#[derive(Debug, Default)]
pub struct LeaderView {
    known: Vec<SocketAddr>,
    asked: Option<SocketAddr>,
    silent: Vec<(SocketAddr, Instant)>,
}

impl LeaderView {
    /// A view of the processes at `known`, of which the first is asked first.
    pub fn new(known: Vec<SocketAddr>) -> Self {
        Self {
            asked: known.first().copied(),
            known,
            silent: Vec::new(),
        }
    }

    /// Replaces the processes, as members come and go; an empty list changes nothing.
    pub fn set_known(&mut self, known: &[SocketAddr]) {
        if known.is_empty() || self.known == known {
            return;
        }
        self.known = known.to_vec();
        if self.asked.is_none_or(|asked| !known.contains(&asked)) {
            self.asked = known.first().copied();
        }
    }

    /// Adds processes to those that are known.
    pub fn add_known(&mut self, more: &[SocketAddr]) {
        for address in more {
            if !self.known.contains(address) {
                self.known.push(*address);
            }
        }
        self.asked = self.asked.or_else(|| self.known.first().copied());
    }

    /// The process to ask; none as long as none is known.
    pub fn target(&self) -> Option<SocketAddr> {
        self.asked
    }

    /// How many processes are known.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// A process answered as the leader does.
    pub fn note_leads(&mut self, address: SocketAddr) {
        self.silent.retain(|(silent, _)| *silent != address);
    }

    /// A process said that it does not lead, and maybe who does.
    pub fn note_follows(&mut self, now: Instant, address: SocketAddr, named: Option<SocketAddr>) {
        self.silent.retain(|(silent, _)| *silent != address);
        if self.asked != Some(address) {
            return;
        }
        let named = named.filter(|named| *named != address && !self.is_silent(now, *named));
        self.asked = named.or_else(|| self.after(now, address));
    }

    /// A process failed at once, as one does that is just starting: it may lead in a moment.
    pub fn note_failed(&mut self, now: Instant, address: SocketAddr) {
        if self.asked == Some(address) {
            self.asked = self.after(now, address);
        }
    }

    /// A process did not answer.
    pub fn note_silent(&mut self, now: Instant, address: SocketAddr) {
        self.silent
            .retain(|(silent, until)| *silent != address && now < *until);
        self.silent.push((address, now + SILENT_SPAN));
        if self.asked == Some(address) {
            self.asked = self.after(now, address);
        }
    }

    fn is_silent(&self, now: Instant, address: SocketAddr) -> bool {
        let mut silent = self.silent.iter();
        silent.any(|(silent, until)| *silent == address && now < *until)
    }

    /// The known process that follows, rather one that was not silent.
    fn after(&self, now: Instant, address: SocketAddr) -> Option<SocketAddr> {
        let place = self.known.iter().position(|known| *known == address);
        let start = place.map_or(0, |place| place + 1);
        let turn = self.known.iter().cycle().skip(start).take(self.known.len());
        let mut others = turn.clone().filter(|other| !self.is_silent(now, **other));
        others.next().or_else(|| turn.clone().next()).copied()
    }
}
