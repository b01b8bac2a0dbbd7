//! Finds the part of requests that crashes targets, and keeps requests with it away from them.
//!
//! The expected load is a few requests a second that share one part, each of which crashes the target
//! that begins to answer it, among many sound requests that share their other parts; or one request
//! that comes again unchanged. Other targets crash at the same time for other reasons.
//!
//! - Each crash names the requests whose answers had not begun. Their parts are suspects; a part is
//!   cleared by a whole answer to a request that was sent after the crash.
//! - From [`SUSPECT_CRASHES`] on, requests with the part run one at a time, so that each further crash
//!   costs one request and tells one thing.
//! - From [`BLOCK_CRASHES`] on they are refused, if they have all parts that the requests of all these
//!   crashes had in common: a part that came with the bad one only is not held against others.
//! - A blocked request is tried again seldom, and a few times at most while such requests come. A batch item
//!   is tried for as long as it asks: it was accepted, so nobody sends it again.
//! - A whole request is told apart from others by its id alone, so fewer crashes suffice for it.
//!
//! See `docs/design/platform.md`, "Requests that crash targets".

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use clem_types::{PartId, Time};
use serde::{Deserialize, Serialize};

use super::{GrantOutcome, Ticket, Urgency};

/// Crashes from which on requests with a part run one at a time.
pub const SUSPECT_CRASHES: usize = 2;
/// Crashes from which on requests with a part are refused.
const BLOCK_CRASHES: usize = 4;
/// Crashes from which on a whole request runs once at a time.
const SUSPECT_CRASHES_WHOLE: usize = 1;
/// Crashes from which on a whole request is refused.
const BLOCK_CRASHES_WHOLE: usize = 3;
/// How long a crash counts.
const CRASH_KEEP: Duration = Duration::from_secs(600);
/// Reports within this time after the first one are of the same crash of a target.
const CRASH_SPAN: Duration = Duration::from_secs(1);
/// Maximum number of crashes that are remembered; beyond it the oldest is dropped.
const CRASHES_MAX: usize = 256;
/// Maximum number of requests that are remembered for a crash.
const REQUESTS_MAX: usize = 64;
/// Maximum number of crashed requests that a process tells another one of.
const REPORTS_MAX: usize = 32;
/// Maximum number of parts of sound requests that a process tells another one of.
const SOUND_MAX: usize = 64;
/// How long a cut counts as a possible crash of its target: longer than a list is out of date.
const CUT_KEEP: Duration = Duration::from_secs(10);
/// Maximum number of cuts that are remembered; beyond it the oldest is dropped.
const CUTS_MAX: usize = 256;
/// Maximum number of blocks; beyond it the one that was met longest ago is dropped.
const BLOCKS_MAX: usize = 64;
/// Maximum number of parts of a request that are looked at.
const PARTS_MAX: usize = 16;
/// Time from a block to its first trial; each later trial waits twice as long as the one before.
const TRIAL_DELAY: Duration = Duration::from_secs(30);
/// Time to each of the first [`ITEM_TRIALS`] trials of a batch item, which must run soon when targets have
/// crashed for another reason.
const ITEM_TRIAL_DELAY: Duration = Duration::from_secs(10);
/// Trials of an item after which it hardly is sound.
const ITEM_TRIALS: u32 = 3;
/// Time to each later trial of an item.
const ITEM_TRIAL_DELAY_LATE: Duration = Duration::from_secs(300);
/// Time from a trial that told nothing to the next one.
const TRIAL_RETRY: Duration = Duration::from_secs(5);
/// Trials that may crash targets while blocked online requests still come.
const TRIALS_MAX: u32 = 2;
/// The same for a whole request.
const TRIALS_MAX_WHOLE: u32 = 1;
/// Time without a blocked request after which its block is dropped.
const BLOCK_KEEP: Duration = Duration::from_secs(600);

/// Whether a request may be sent, as far as its parts tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Free,
    /// Another request with a suspected part runs; it may be sent later.
    Later,
    /// It has the parts that crash targets.
    Blocked,
}

/// Parts that crash targets when a request has all of them, as processes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedParts {
    /// The parts.
    pub parts: Vec<PartId>,
    /// Number of trials that crashed a target, or that it did not answer.
    pub trials: u32,
    /// The same for batch items, which are tried at times of their own.
    #[serde(default)]
    pub item_trials: u32,
    /// Time since the block began, or since the last of these trials, in milliseconds.
    #[serde(default)]
    pub age_ms: u32,
}

impl BlockedParts {
    /// The same when `passed` more time has passed.
    pub fn aged(&self, passed: Duration) -> Self {
        let passed = u32::try_from(passed.as_millis()).unwrap_or(u32::MAX);
        Self {
            age_ms: self.age_ms.saturating_add(passed),
            ..self.clone()
        }
    }

    /// Whether a request with these parts is blocked.
    pub fn blocks(&self, parts: &[PartId]) -> bool {
        !self.parts.is_empty() && self.parts.iter().all(|part| parts.contains(part))
    }

    /// Takes over what another process knows of the same parts. It may know of an earlier block, which must not
    /// make an item wait for longer.
    fn merge(&mut self, other: &Self) {
        self.trials = self.trials.max(other.trials);
        if other.item_wait() < self.item_wait() {
            self.item_trials = other.item_trials;
            self.age_ms = other.age_ms;
        }
    }

    /// Time to the next trial of an item.
    fn item_wait(&self) -> Duration {
        let delay = match self.item_trials {
            ..ITEM_TRIALS => ITEM_TRIAL_DELAY,
            ITEM_TRIALS.. => ITEM_TRIAL_DELAY_LATE,
        };
        delay.saturating_sub(self.age())
    }

    /// Time to the next trial of an online request.
    fn online_wait(&self) -> Duration {
        let delay = TRIAL_DELAY * 2_u32.pow(self.trials.min(TRIALS_MAX));
        delay.saturating_sub(self.age())
    }

    fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }

    /// Whether no online request may be a trial any more while such requests come.
    fn is_final(&self) -> bool {
        let whole = self.parts.iter().any(|part| part.is_whole());
        self.trials >= if whole { TRIALS_MAX_WHOLE } else { TRIALS_MAX }
    }
}

/// Crashes from which on requests with a part run one at a time.
fn suspect_crashes(part: PartId) -> usize {
    if part.is_whole() {
        SUSPECT_CRASHES_WHOLE
    } else {
        SUSPECT_CRASHES
    }
}

/// Crashes from which on requests with a part are refused.
fn block_crashes(part: PartId) -> usize {
    if part.is_whole() {
        BLOCK_CRASHES_WHOLE
    } else {
        BLOCK_CRASHES
    }
}

/// A target that crashed under a request, as processes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The slot of the request, by which a report that comes again is recognised.
    pub ticket: Ticket,
    /// The target.
    pub target: String,
    /// The parts of the request.
    pub parts: Vec<PartId>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
}

/// A part of a request that got a whole answer, as processes tell each other: crashes before that request
/// was sent say nothing of the part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundPart {
    /// The part.
    pub part: PartId,
    /// Time since the request was sent, in milliseconds.
    pub age_ms: u32,
}

/// A change of what is suspected, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartNews {
    /// A target crashed under a request.
    Crashed {
        /// The target.
        target: String,
        /// The slot of the request.
        ticket: Ticket,
        /// The parts of the request, and the number of crashes under each.
        parts: Vec<(PartId, usize)>,
    },
    /// A target crashed under a request whose slot is not known here; the crash is not counted.
    Uncounted {
        /// The slot of the request.
        ticket: Ticket,
    },
    /// Requests with this part run one at a time from here on.
    Suspected {
        /// The part.
        part: PartId,
        /// Number of crashes.
        crashes: usize,
    },
    /// Requests that have all of these parts are refused from here on, or still after a trial, or
    /// after another part was found to be sound.
    Blocked {
        /// The parts.
        parts: Vec<PartId>,
        /// Number of crashes.
        crashes: usize,
        /// Number of trials that crashed a target, or that it did not answer.
        trials: u32,
    },
    /// Requests with these parts are no longer refused: one was answered, or none came for long.
    Unblocked {
        /// The parts that were blocked.
        parts: Vec<PartId>,
    },
}

/// The crashes that a part was in flight at.
#[derive(Debug, Default)]
struct Sightings {
    /// Number of requests with it.
    requests: usize,
    /// The latest crash.
    last: Time,
}

/// A target that ended while requests waited for their answers to begin.
#[derive(Debug)]
struct Crash {
    target: String,
    at: Time,
    requests: Vec<CrashedRequest>,
}

impl Crash {
    fn has_part(&self, part: PartId) -> bool {
        self.requests.iter().any(|r| r.parts.contains(&part))
    }
}

/// A request whose answer had not begun when its target ended.
#[derive(Debug)]
struct CrashedRequest {
    ticket: Ticket,
    parts: Vec<PartId>,
}

/// A request whose connection broke before its answer had begun, while its target seemed to run.
#[derive(Debug)]
struct Cut {
    ticket: Ticket,
    target: String,
    parts: Vec<PartId>,
    at: Time,
}

/// Parts that are blocked.
#[derive(Debug)]
struct Block {
    /// What was known at `since`.
    blocked: BlockedParts,
    /// When the last crash under them was reported.
    crashed: Time,
    /// When the last request with them came.
    seen: Time,
    /// When it began, when the last trial that counts failed, or when another process told of it.
    since: Time,
    /// When the last trial began.
    tried: Option<Time>,
    /// The trial that runs.
    trial: Option<Trial>,
}

impl Block {
    /// When the next trial may run.
    fn trial_at(&self, is_item: bool) -> Time {
        let wait = if is_item {
            self.blocked.item_wait()
        } else {
            self.blocked.online_wait()
        };
        let due = self.since + wait;
        self.tried.map_or(due, |tried| due.max(tried + TRIAL_RETRY))
    }
}

/// A blocked request that was let through.
#[derive(Debug, Clone, Copy)]
struct Trial {
    ticket: Ticket,
    is_item: bool,
}

/// Finds the parts of requests that crash targets.
#[derive(Debug, Default)]
pub struct CrashParts {
    crashes: VecDeque<Crash>,
    cuts: VecDeque<Cut>,
    /// The parts of the requests of `crashes`, so that a request without suspects costs no search.
    in_flight: HashMap<PartId, Sightings>,
    /// For parts that were in flight at a crash, the latest start of a request with a whole answer.
    cleared: HashMap<PartId, Time>,
    blocks: Vec<Block>,
    /// Requests with suspected parts that were admitted, with those parts.
    probes: BTreeMap<Ticket, Vec<PartId>>,
    news: Vec<PartNews>,
    /// Whether parts have been cleared since [`take_sound_news`](Self::take_sound_news) was called last.
    sound_news: bool,
}

impl CrashParts {
    /// Decides on a request before it is queued. A request that is admitted must be reported with
    /// [`end`](Self::end).
    pub fn admit(
        &mut self,
        now: Time,
        ticket: Ticket,
        urgency: Urgency,
        parts: &[PartId],
    ) -> Admission {
        if self.crashes.is_empty() && self.blocks.is_empty() || self.probes.contains_key(&ticket) {
            return Admission::Free;
        }
        self.forget(now);
        let probes = &self.probes;
        let is_probed = |part: &PartId| probes.values().any(|probed| probed.contains(part));
        if let Some(block) = self.blocks.iter_mut().find(|b| b.blocked.blocks(parts)) {
            block.seen = now;
            let probed = block.blocked.parts.iter().any(is_probed);
            let is_item = matches!(urgency, Urgency::Batch { .. });
            let is_over = block.blocked.is_final() && !is_item;
            if probed || now < block.trial_at(is_item) || is_over {
                return Admission::Blocked;
            }
            block.tried = Some(now);
            block.trial = Some(Trial { ticket, is_item });
            self.probes.insert(ticket, block.blocked.parts.clone());
            return Admission::Free;
        }
        let suspects: Vec<PartId> = parts
            .iter()
            .take(PARTS_MAX)
            .filter(|part| self.count(**part) >= suspect_crashes(**part))
            .copied()
            .collect();
        if suspects.iter().any(is_probed) {
            return Admission::Later;
        }
        if !suspects.is_empty() {
            self.probes.insert(ticket, suspects);
        }
        Admission::Free
    }

    /// The admitted requests with suspected parts, which others with these parts wait for.
    pub fn running(&self) -> impl Iterator<Item = (Ticket, &[PartId])> {
        self.probes
            .iter()
            .map(|(ticket, parts)| (*ticket, parts.as_slice()))
    }

    /// Ends a request that was admitted, whatever became of it.
    pub fn end(&mut self, ticket: Ticket) {
        if self.probes.remove(&ticket).is_none() {
            return;
        }
        for block in &mut self.blocks {
            block.trial.take_if(|trial| trial.ticket == ticket);
        }
    }

    /// Ends a request that was admitted and got no slot; its trial, if it was one, is still due.
    pub fn refuse(&mut self, ticket: Ticket) {
        for block in &mut self.blocks {
            if block.trial.is_some_and(|trial| trial.ticket == ticket) {
                block.tried = None;
            }
        }
        self.end(ticket);
    }

    /// Records that a target crashed before the answer to a request had begun. Of a report that came before,
    /// only the parts are kept that both have: the others were cleared at one of the processes.
    pub fn note_crash(&mut self, now: Time, report: &CrashReport) {
        let ticket = report.ticket;
        if self.is_known(ticket) {
            self.narrow(ticket, &report.parts);
            return;
        }
        self.fail_trial(now, ticket, GrantOutcome::Crashed);
        let at = now - Duration::from_millis(report.age_ms.into());
        let parts: Vec<PartId> = report.parts.iter().take(PARTS_MAX).copied().collect();
        let request = CrashedRequest {
            ticket,
            parts: parts.clone(),
        };
        let known = self.crashes.iter_mut().rev().find(|crash| {
            let apart = crash.at.since(at).max(at.since(crash.at));
            crash.target == report.target && apart < CRASH_SPAN
        });
        let news = match known {
            Some(crash) if crash.requests.len() >= REQUESTS_MAX => return,
            Some(crash) => {
                let mut news = parts.clone();
                news.retain(|part| !crash.has_part(*part));
                crash.requests.push(request);
                news
            }
            None => {
                if self.crashes.len() >= CRASHES_MAX {
                    self.drop_oldest();
                }
                self.crashes.push_back(Crash {
                    target: report.target.clone(),
                    at,
                    requests: vec![request],
                });
                parts.clone()
            }
        };
        for part in &parts {
            let sightings = self.in_flight.entry(*part).or_default();
            sightings.requests += 1;
            sightings.last = sightings.last.max(at);
        }
        let counts = parts.iter().map(|part| (*part, self.count(*part)));
        self.news.push(PartNews::Crashed {
            target: report.target.clone(),
            ticket,
            parts: counts.collect(),
        });
        self.judge(now, &news);
    }

    /// Records that the connection of a request broke before its answer had begun, while its target
    /// still accepted connections. Whether the target crashed, and was back at once, shows later.
    pub fn note_cut(&mut self, now: Time, ticket: Ticket, target: &str, parts: &[PartId]) {
        if self.cuts.len() >= CUTS_MAX {
            self.cuts.pop_front();
        }
        self.cuts.push_back(Cut {
            ticket,
            target: target.to_owned(),
            parts: parts.iter().take(PARTS_MAX).copied().collect(),
            at: now,
        });
    }

    /// Records that a target is gone, or that another one has its address: what was cut off there
    /// shortly before was cut off by a crash.
    pub fn note_gone(&mut self, now: Time, target: &str) {
        self.cuts.retain(|cut| now.since(cut.at) < CUT_KEEP);
        let (gone, kept): (VecDeque<Cut>, VecDeque<Cut>) = std::mem::take(&mut self.cuts)
            .into_iter()
            .partition(|cut| cut.target == target);
        self.cuts = kept;
        for cut in gone {
            let age = now.since(cut.at).as_millis();
            let report = CrashReport {
                ticket: cut.ticket,
                target: cut.target,
                parts: cut.parts,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            };
            self.note_crash(now, &report);
        }
    }

    fn is_known(&self, ticket: Ticket) -> bool {
        let mut requests = self.crashes.iter().flat_map(|crash| &crash.requests);
        requests.any(|request| request.ticket == ticket)
    }

    /// Clears a request's parts but `kept` of its crash and of those before.
    fn narrow(&mut self, ticket: Ticket, kept: &[PartId]) {
        let mut cleared = Vec::new();
        for crash in &self.crashes {
            let request = crash.requests.iter().find(|r| r.ticket == ticket);
            for part in request.iter().flat_map(|request| &request.parts) {
                if !kept.contains(part) && !self.is_cleared(*part, crash.at) {
                    cleared.push((*part, crash.at));
                }
            }
        }
        for (part, at) in cleared {
            self.note_sound(at, &[part]);
            self.drop_refuted(part);
        }
    }

    /// Takes a part that no crash counts for any more out of the blocks.
    fn drop_refuted(&mut self, part: PartId) {
        if self.count(part) > 0 {
            return;
        }
        for mut block in std::mem::take(&mut self.blocks) {
            let before = block.blocked.parts.clone();
            block.blocked.parts.retain(|other| *other != part);
            self.keep_block(block, before);
        }
    }

    /// Keeps a block that had the parts `before`, if it still has any.
    fn keep_block(&mut self, block: Block, before: Vec<PartId>) {
        if block.blocked.parts.is_empty() {
            self.news.push(PartNews::Unblocked { parts: before });
            return;
        }
        if block.blocked.parts != before {
            self.tell_block(&block.blocked);
        }
        self.blocks.push(block);
    }

    /// The crashes under requests with a part that has `least` or more of them, the newest first, for
    /// other processes.
    pub fn reports(&self, now: Time, least: usize) -> Vec<CrashReport> {
        let counts = self.counts();
        let mut reports = Vec::new();
        for crash in self.crashes.iter().rev() {
            let age = now.since(crash.at);
            if age >= CRASH_KEEP {
                continue;
            }
            for request in &crash.requests {
                let mut counted = request.parts.iter().filter_map(|part| counts.get(part));
                if !counted.any(|count| *count >= least) {
                    continue;
                }
                if reports.len() >= REPORTS_MAX {
                    return reports;
                }
                let mut parts = request.parts.clone();
                parts.retain(|part| !self.is_cleared(*part, crash.at));
                reports.push(CrashReport {
                    ticket: request.ticket,
                    target: crash.target.clone(),
                    parts,
                    age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                });
            }
        }
        reports
    }

    /// The parts that were cleared of crashes, the newest first, for other processes.
    pub fn sound_parts(&self, now: Time) -> Vec<SoundPart> {
        let mut cleared: Vec<(PartId, Time)> =
            self.cleared.iter().map(|(p, at)| (*p, *at)).collect();
        cleared.sort_unstable_by_key(|(part, at)| (std::cmp::Reverse(*at), *part));
        cleared.truncate(SOUND_MAX);
        let age = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let parts = cleared.into_iter();
        parts
            .map(|(part, at)| SoundPart {
                part,
                age_ms: age(at),
            })
            .collect()
    }

    /// Takes over what another process knows to be sound.
    pub fn note_sound_parts(&mut self, now: Time, parts: &[SoundPart]) {
        for sound in parts {
            let age = Duration::from_millis(sound.age_ms.into());
            // What was before this process started can't be told apart.
            if age >= now.since(Time::ZERO) {
                continue;
            }
            self.note_sound(now - age, &[sound.part]);
        }
    }

    /// Whether parts have been cleared of all their crashes since the last call.
    pub fn take_sound_news(&mut self) -> bool {
        std::mem::take(&mut self.sound_news)
    }

    /// Records that a target crashed under a request whose slot is not known.
    pub fn note_uncounted(&mut self, ticket: Ticket) {
        self.news.push(PartNews::Uncounted { ticket });
    }

    /// Records the whole answer to a request that was sent at `since`.
    pub fn note_sound(&mut self, since: Time, parts: &[PartId]) {
        if self.crashes.is_empty() && self.blocks.is_empty() {
            return;
        }
        let parts = &parts[..parts.len().min(PARTS_MAX)];
        for part in parts {
            let Some(sightings) = self.in_flight.get(part) else {
                continue;
            };
            let before = self.cleared.get(part).copied();
            if before.is_none_or(|at| at < sightings.last) && since >= sightings.last {
                self.sound_news = true;
            }
            self.cleared
                .insert(*part, before.map_or(since, |at| at.max(since)));
        }
        for mut block in std::mem::take(&mut self.blocks) {
            let before = block.blocked.parts.clone();
            if since > block.crashed {
                block.blocked.parts.retain(|part| !parts.contains(part));
            }
            self.keep_block(block, before);
        }
    }

    /// The blocked parts, for other processes.
    pub fn blocked(&self, now: Time) -> Vec<BlockedParts> {
        let blocks = self.blocks.iter();
        blocks.map(|b| b.blocked.aged(now.since(b.since))).collect()
    }

    /// Takes over what another process knows to be blocked, after a change of leader. A process that was away
    /// may know of blocks that sound answers have lifted since.
    pub fn restore(&mut self, now: Time, known: &[BlockedParts]) {
        for blocked in known.iter().take(BLOCKS_MAX) {
            let is_refuted =
                |part: &PartId| self.cleared.contains_key(part) && self.count(*part) == 0;
            if !blocked.parts.iter().any(is_refuted) {
                self.block(now, blocked.clone());
            }
        }
    }

    /// Removes and returns the changes since the last call.
    pub fn take_news(&mut self) -> Vec<PartNews> {
        std::mem::take(&mut self.news)
    }

    /// Suspects or blocks parts that were in flight at one more crash.
    fn judge(&mut self, now: Time, parts: &[PartId]) {
        for part in parts {
            let crashes = self.count(*part);
            if crashes == SUSPECT_CRASHES {
                let part = *part;
                self.news.push(PartNews::Suspected { part, crashes });
            }
            if crashes < block_crashes(*part) {
                continue;
            }
            let group = self.common(*part);
            let known = self.blocks.iter_mut().find(|b| b.blocked.parts == group);
            let Some(block) = known else {
                let blocked = BlockedParts {
                    parts: group,
                    trials: 0,
                    item_trials: 0,
                    age_ms: 0,
                };
                self.block(now, blocked);
                continue;
            };
            block.crashed = now;
        }
    }

    /// Counts a trial that its target did not answer. A silent target says too little to keep an item waiting
    /// for longer.
    pub fn fail_trial(&mut self, now: Time, ticket: Ticket, ended: GrantOutcome) {
        let is_trial = |block: &&mut Block| block.trial.is_some_and(|t| t.ticket == ticket);
        let Some(block) = self.blocks.iter_mut().find(is_trial) else {
            return;
        };
        let is_item = block.trial.is_some_and(|trial| trial.is_item);
        if is_item && ended == GrantOutcome::Silent {
            return;
        }
        let trials = if is_item {
            &mut block.blocked.item_trials
        } else {
            &mut block.blocked.trials
        };
        *trials = trials.saturating_add(1);
        block.blocked.age_ms = 0;
        block.since = now;
        let blocked = block.blocked.clone();
        self.tell_block(&blocked);
    }

    fn tell_block(&mut self, blocked: &BlockedParts) {
        let counts = blocked.parts.iter().map(|part| self.count(*part));
        self.news.push(PartNews::Blocked {
            crashes: counts.max().unwrap_or_default(),
            parts: blocked.parts.clone(),
            trials: blocked.trials,
        });
    }

    fn block(&mut self, now: Time, blocked: BlockedParts) {
        let same = |block: &&mut Block| block.blocked.parts == blocked.parts;
        if let Some(block) = self.blocks.iter_mut().find(same) {
            block.blocked = block.blocked.aged(now.since(block.since));
            block.blocked.merge(&blocked);
            block.since = now;
            return;
        }
        let covered = self
            .blocks
            .iter()
            .any(|block| block.blocked.blocks(&blocked.parts));
        if covered || blocked.parts.is_empty() {
            return;
        }
        // Fewer parts block more requests.
        self.blocks
            .retain(|block| !blocked.blocks(&block.blocked.parts));
        if self.blocks.len() >= BLOCKS_MAX {
            let oldest = self.blocks.iter().enumerate().min_by_key(|(_, b)| b.seen);
            if let Some(index) = oldest.map(|(index, _)| index) {
                self.blocks.remove(index);
            }
        }
        self.tell_block(&blocked);
        self.blocks.push(Block {
            blocked,
            crashed: now,
            seen: now,
            since: now,
            tried: None,
            trial: None,
        });
    }

    /// Number of crashes with a part in flight that was not cleared since.
    fn count(&self, part: PartId) -> usize {
        if !self.in_flight.contains_key(&part) {
            return 0;
        }
        self.counted(part).count()
    }

    /// Number of crashes with each part in flight that was not cleared since.
    fn counts(&self) -> HashMap<PartId, usize> {
        let mut counts = HashMap::new();
        for crash in &self.crashes {
            let parts: BTreeSet<PartId> = crash
                .requests
                .iter()
                .flat_map(|request| request.parts.iter().copied())
                .collect();
            for part in parts {
                if self.is_cleared(part, crash.at) {
                    continue;
                }
                *counts.entry(part).or_default() += 1;
            }
        }
        counts
    }

    fn counted(&self, part: PartId) -> impl Iterator<Item = &Crash> {
        let crashes = self.crashes.iter();
        crashes.filter(move |crash| !self.is_cleared(part, crash.at) && crash.has_part(part))
    }

    /// Whether a sound request has cleared a part of a crash at `at`.
    fn is_cleared(&self, part: PartId, at: Time) -> bool {
        self.cleared
            .get(&part)
            .is_some_and(|cleared| at <= *cleared)
    }

    /// The parts that all requests had that had `part` in flight at a crash, without cleared ones.
    fn common(&self, part: PartId) -> Vec<PartId> {
        let mut common: Option<Vec<PartId>> = None;
        for crash in self.counted(part) {
            for request in &crash.requests {
                if !request.parts.contains(&part) {
                    continue;
                }
                match &mut common {
                    Some(common) => common.retain(|other| request.parts.contains(other)),
                    None => common = Some(request.parts.clone()),
                }
            }
        }
        let crashes = self.count(part);
        let mut common = common.unwrap_or_default();
        common.retain(|other| self.count(*other) >= crashes);
        common.sort_unstable();
        common.dedup();
        common
    }

    /// Drops what is too old to count.
    fn forget(&mut self, now: Time) {
        let is_old = |crash: &Crash| now.since(crash.at) >= CRASH_KEEP;
        while self.crashes.front().is_some_and(is_old) {
            self.drop_oldest();
        }
        let is_unmet = |block: &mut Block| now.since(block.seen) >= BLOCK_KEEP;
        for block in self.blocks.extract_if(.., is_unmet) {
            let parts = block.blocked.parts;
            self.news.push(PartNews::Unblocked { parts });
        }
    }

    /// Drops the oldest crash, and what is known of parts that are in no other one.
    fn drop_oldest(&mut self) {
        let Some(oldest) = self.crashes.pop_front() else {
            return;
        };
        for part in oldest.requests.into_iter().flat_map(|r| r.parts) {
            let Some(sightings) = self.in_flight.get_mut(&part) else {
                continue;
            };
            sightings.requests -= 1;
            if sightings.requests == 0 {
                self.in_flight.remove(&part);
                self.cleared.remove(&part);
            }
        }
    }
}
