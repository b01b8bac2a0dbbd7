//! What the accepted items of a leader do, for its log and metrics.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use clem_direct::BusyCause;
use clem_policy::LogPace;
use clem_state::jobs::{Job, JobNumber};
use clem_types::{ItemIndex, Time, UnixMillis};

use crate::queue::ItemQueue;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// How long an item is at no target until it is logged.
const IDLE_LOGGED: Duration = Duration::from_secs(5);
/// Maximum number of items that one report names.
const NAMED_MAX: usize = 8;

/// What a taken item does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ItemState {
    /// It asks for a slot.
    Placing,
    /// It was refused a slot, because none is free.
    Busy,
    /// It was refused a slot, because no target is known that may run it.
    NoTarget,
    /// It was refused a slot, because the hub was heard too recently to place items without it.
    Leaderless,
    /// It was refused a slot, because no target has the version at which it began.
    Unresumable,
    /// Its run ended without a result, and it gets another one.
    RunEnded,
    /// It was refused a slot, because another request with a suspected part runs.
    Suspected,
    /// It was refused a slot, because it has parts that crash targets.
    Blocked,
    /// It is at a target.
    Running,
    /// It has a result that is not recorded yet.
    Ended,
}

impl ItemState {
    /// All states.
    pub const ALL: [Self; 10] = [
        Self::Placing,
        Self::Busy,
        Self::NoTarget,
        Self::Leaderless,
        Self::Unresumable,
        Self::RunEnded,
        Self::Suspected,
        Self::Blocked,
        Self::Running,
        Self::Ended,
    ];

    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Placing => "placing",
            Self::Busy => "busy",
            Self::NoTarget => "no_target",
            Self::Leaderless => "leaderless",
            Self::Unresumable => "unresumable",
            Self::RunEnded => "run_ended",
            Self::Suspected => "suspected",
            Self::Blocked => "blocked",
            Self::Running => "running",
            Self::Ended => "ended",
        }
    }

    fn is_at_target(self) -> bool {
        match self {
            Self::Running => true,
            Self::Placing
            | Self::Busy
            | Self::NoTarget
            | Self::Leaderless
            | Self::Unresumable
            | Self::RunEnded
            | Self::Suspected
            | Self::Blocked
            | Self::Ended => false,
        }
    }
}

impl From<BusyCause> for ItemState {
    fn from(cause: BusyCause) -> Self {
        match cause {
            BusyCause::Full => Self::Busy,
            BusyCause::Suspected => Self::Suspected,
            BusyCause::NoTarget => Self::NoTarget,
            BusyCause::Leaderless => Self::Leaderless,
        }
    }
}

/// How many accepted items have no recorded result.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemCounts {
    /// Items in the queue.
    pub queued: usize,
    /// Items in the queue that may not be taken yet.
    pub delayed: usize,
    /// Taken items by state.
    pub taken: BTreeMap<ItemState, usize>,
    /// Those of the items in the queue that were taken before, by state.
    pub held: BTreeMap<ItemState, usize>,
    /// Time since the oldest batch that has such items was accepted.
    pub oldest: Duration,
    /// Time since the first of the ended items ended.
    pub oldest_ended: Duration,
}

impl ItemCounts {
    /// Number of items in a state.
    pub fn of(&self, state: ItemState) -> usize {
        let count = |items: &BTreeMap<ItemState, usize>| items.get(&state).copied();
        count(&self.taken).unwrap_or_default() + count(&self.held).unwrap_or_default()
    }

    /// Number of all items.
    pub fn total(&self) -> usize {
        self.queued + self.delayed + self.taken.values().sum::<usize>()
    }
}

/// An item that has been at no target for long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdleItem {
    /// Its id.
    pub item: String,
    /// The id of its batch.
    pub batch: String,
    /// What it does; `None` for the first item of the queue.
    pub state: Option<ItemState>,
    /// For how long it has been at no target, or has been in the queue.
    pub idle: Duration,
}

/// An item that was taken.
#[derive(Debug)]
struct Taken {
    job: Arc<Job>,
    /// Whether it is in the queue again.
    in_queue: bool,
    state: ItemState,
    /// Since when it has been at no target, or at its present one.
    since: Time,
    pace: LogPace,
}

/// Follows what the items of a leader do.
#[derive(Debug)]
pub struct ItemWatch {
    taken: HashMap<(JobNumber, ItemIndex), Taken>,
    /// The first item of the queue when that was looked at last.
    first: Option<((JobNumber, ItemIndex), Time, LogPace)>,
    reported: Time,
}

impl ItemWatch {
    /// Follows no item yet.
    pub fn new(now: Time) -> Self {
        Self {
            taken: HashMap::new(),
            first: None,
            reported: now,
        }
    }

    /// Notes that an item was taken from the queue.
    pub fn take(&mut self, now: Time, job: &Arc<Job>, item: ItemIndex) {
        let taken = self.taken.entry((job.number, item));
        let taken = taken.or_insert_with(|| Taken {
            job: Arc::clone(job),
            in_queue: false,
            state: ItemState::Placing,
            since: now,
            pace: LogPace::new(now, IDLE_LOGGED),
        });
        taken.in_queue = false;
    }

    /// Notes that a taken item is in the queue again.
    pub fn put_back(&mut self, job: JobNumber, item: ItemIndex) {
        if let Some(taken) = self.taken.get_mut(&(job, item)) {
            taken.in_queue = true;
        }
    }

    /// Notes what a taken item does; does nothing for another one.
    pub fn set(&mut self, now: Time, job: JobNumber, item: ItemIndex, state: ItemState) {
        let Some(taken) = self.taken.get_mut(&(job, item)) else {
            return;
        };
        let before = std::mem::replace(&mut taken.state, state);
        if before.is_at_target() || state.is_at_target() || state == ItemState::Ended {
            taken.since = now;
            taken.pace = LogPace::new(now, IDLE_LOGGED);
        }
    }

    /// Notes that the run of an item has ended; does nothing if it was at no target.
    pub fn end_run(&mut self, now: Time, job: JobNumber, item: ItemIndex) {
        let known = self.taken.get(&(job, item));
        if known.is_some_and(|taken| taken.state.is_at_target()) {
            self.set(now, job, item, ItemState::RunEnded);
        }
    }

    /// Notes that an item has a recorded result, or is no longer needed.
    pub fn remove(&mut self, job: JobNumber, item: ItemIndex) {
        self.taken.remove(&(job, item));
    }

    /// Forgets the items of jobs that are not open any more.
    pub fn retain(&mut self, is_open: impl Fn(JobNumber) -> bool) {
        self.taken.retain(|(job, _), _| is_open(*job));
    }

    /// Forgets all items.
    pub fn clear(&mut self) {
        self.taken.clear();
        self.first = None;
    }

    /// Whether a report is due; the next one is due an interval later then.
    pub fn take_due(&mut self, now: Time) -> bool {
        let due = now.since(self.reported) >= REPORT_INTERVAL;
        if due {
            self.reported = now;
        }
        due
    }

    /// Counts the items without a recorded result.
    pub fn counts(&self, now: Time, wall: UnixMillis, queue: &ItemQueue) -> ItemCounts {
        let mut counts = ItemCounts {
            queued: queue.queued(),
            delayed: queue.delayed(),
            ..ItemCounts::default()
        };
        for taken in self.taken.values() {
            let items = if taken.in_queue {
                &mut counts.held
            } else {
                &mut counts.taken
            };
            *items.entry(taken.state).or_default() += 1;
            if taken.state == ItemState::Ended {
                counts.oldest_ended = counts.oldest_ended.max(now.since(taken.since));
            }
        }
        if let Some(accepted) = queue.oldest_accepted() {
            counts.oldest = Duration::from_millis(wall.0.saturating_sub(accepted.0));
        }
        counts
    }

    /// The items that are to be named: those that have been at no target for long, the longest first, and
    /// the first one of the queue if it has been there for long; each ever more rarely.
    pub fn take_idle(&mut self, now: Time, queue: &ItemQueue) -> Vec<IdleItem> {
        let is_due = |taken: &Taken| !taken.state.is_at_target() && taken.pace.is_due(now);
        let due = self.taken.iter_mut().filter(|(_, taken)| is_due(taken));
        let mut due: Vec<_> = due.collect();
        due.sort_unstable_by_key(|(key, taken)| (taken.since, **key));
        let named = due.into_iter().take(NAMED_MAX);
        let mut idle: Vec<IdleItem> = named
            .map(|((_, item), taken)| {
                taken.pace.take_due(now);
                IdleItem {
                    item: id(&taken.job, *item),
                    batch: taken.job.name.id.clone(),
                    state: Some(taken.state),
                    idle: now.since(taken.since),
                }
            })
            .collect();
        idle.extend(self.take_first(now, queue));
        idle
    }

    fn take_first(&mut self, now: Time, queue: &ItemQueue) -> Option<IdleItem> {
        let first = queue.first();
        let key = first.as_ref().map(|(job, item)| (job.number, *item));
        if self.first.as_ref().map(|(known, ..)| *known) != key {
            self.first = key.map(|key| (key, now, LogPace::new(now, IDLE_LOGGED)));
        }
        let (job, item) = first?;
        let (_, since, pace) = self.first.as_mut()?;
        pace.take_due(now).then(|| IdleItem {
            item: id(&job, item),
            batch: job.name.id.clone(),
            state: None,
            idle: now.since(*since),
        })
    }
}

fn id(job: &Job, item: ItemIndex) -> String {
    let index = usize::try_from(item.0).unwrap_or(usize::MAX);
    job.items.get(index).cloned().unwrap_or_default()
}
