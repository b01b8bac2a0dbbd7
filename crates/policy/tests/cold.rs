//! Cold targets, through the dispatcher in virtual time: the targets of a data centre come back cold
//! while callers ask for more than the warm ones can run.

mod loads;

use std::{collections::BTreeMap, time::Duration};

use clem_policy::dispatch::{
    Budget, ColdTarget, ColdTargets, Dispatcher, GrantOutcome, ListedTarget, TargetSlots, Ticket,
    Verdict,
};
use clem_types::{Rate, Time};
use loads::{SERVICE, want};

/// Requests a second that a cold target takes.
const COLD_PER_S: u32 = 20;
/// How far the list lags behind.
const LAG: Duration = Duration::from_millis(800);
/// How often the list is read, in milliseconds.
const LIST_INTERVAL: u64 = 900;
const STEP: u64 = 10;
/// From a request to its answer, in milliseconds.
const SERVICE_TIME: u64 = 100;
/// Requests that one target may get in a second from processes in touch. The platform tolerates 1.5
/// times the rate and 5 more; what is above this is left to processes without a leader.
const SECOND_MAX: usize = COLD_PER_S as usize + 2;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Targets, the platform's list of them, and callers that ask for slots.
struct Fleet {
    dispatcher: Dispatcher,
    targets: Vec<String>,
    /// Until when each target is cold, by the platform.
    cold_until: BTreeMap<String, u64>,
    running: Vec<(Ticket, u64)>,
    reached: BTreeMap<String, Vec<u64>>,
    refused: usize,
    tickets: u64,
    /// How the requests end.
    ended: GrantOutcome,
}

impl Fleet {
    fn new(targets: usize) -> Self {
        let mut dispatcher = Dispatcher::default();
        dispatcher.set_list_lag(LAG);
        let rate = Rate::per_second(COLD_PER_S);
        dispatcher.set_cold_rates([(SERVICE.to_owned(), rate)].into());
        Self {
            dispatcher,
            targets: (0..targets).map(|n| format!("t{n}")).collect(),
            cold_until: BTreeMap::new(),
            running: Vec::new(),
            reached: BTreeMap::new(),
            refused: 0,
            tickets: 0,
            ended: GrantOutcome::Answered,
        }
    }

    /// Reads the list, which shows what held `LAG` before.
    fn read_list(&mut self, now: u64) {
        let lag = u64::try_from(LAG.as_millis()).expect("a short lag");
        let listed = self.targets.iter().map(|target| {
            let until = self.cold_until.get(target).copied().unwrap_or_default();
            let known = until > 0 && until.saturating_sub(3000) + lag <= now;
            let left = if known { until.saturating_sub(now) } else { 0 };
            ListedTarget {
                target,
                service: SERVICE,
                cold_left: Duration::from_millis(left),
            }
        });
        let listed: Vec<ListedTarget<'_>> = listed.collect();
        self.dispatcher.note_listing(at(now), at(now), listed);
        let slots: Vec<TargetSlots> = self
            .targets
            .iter()
            .map(|target| TargetSlots {
                target: target.clone(),
                data_centre: "a".to_owned(),
                slots: 8,
                version: None,
            })
            .collect();
        self.dispatcher.set_targets(at(now), SERVICE, &slots);
    }

    /// Plays a span with this many requests a second.
    fn play(&mut self, from: u64, to: u64, per_s: u64) {
        let mut owed = 0;
        for now in (from..to).step_by(STEP as usize) {
            if now.is_multiple_of(LIST_INTERVAL) {
                self.read_list(now);
            }
            let (done, running) = std::mem::take(&mut self.running)
                .into_iter()
                .partition(|(_, ends)| *ends <= now);
            self.running = running;
            let done: Vec<(Ticket, u64)> = done;
            for (ticket, _) in done {
                self.dispatcher.release(at(now), ticket, self.ended);
            }
            owed += per_s * STEP;
            while owed >= 1000 {
                owed -= 1000;
                self.tickets += 1;
                self.dispatcher.request_slot(at(now), want(self.tickets));
            }
            self.dispatcher.tick(at(now));
            self.dispatcher.pace_cold(at(now));
            for (ticket, verdict) in self.dispatcher.take_decided() {
                let Verdict::Granted { target, .. } = verdict else {
                    self.refused += 1;
                    continue;
                };
                self.running.push((ticket, now + SERVICE_TIME));
                self.reached.entry(target).or_default().push(now);
            }
        }
    }

    /// The most requests that a target got in any one second of a span.
    fn busiest_second(&self, target: &str, from: u64, to: u64) -> usize {
        let empty = Vec::new();
        let times = self.reached.get(target).unwrap_or(&empty);
        let in_span: Vec<u64> = times
            .iter()
            .copied()
            .filter(|t| (from..to).contains(t))
            .collect();
        let count = |start: &u64| {
            in_span
                .iter()
                .filter(|t| (*start..start + 1000).contains(*t))
                .count()
        };
        in_span.iter().map(count).max().unwrap_or_default()
    }
}

/// Load: four targets for 240 requests a second, of which three come back cold at once. Guards against
/// full slots at targets that crash well above their rate, and against callers that wait for cold
/// targets while a warm one has room.
#[test]
fn targets_that_come_back_cold_are_paced_and_the_warm_one_keeps_its_load() {
    let mut fleet = Fleet::new(4);
    fleet.targets.truncate(1);
    fleet.play(0, 1800, 60);
    fleet.targets = (0..4).map(|n| format!("t{n}")).collect();
    for n in 1..4 {
        fleet.cold_until.insert(format!("t{n}"), 1800 + 3000);
    }
    fleet.play(1800, 7200, 240);
    for n in 1..4 {
        let target = format!("t{n}");
        let busiest = fleet.busiest_second(&target, 1800, 4800);
        assert!(
            busiest <= SECOND_MAX,
            "{busiest} requests in a second at {target}"
        );
        let warm = fleet.busiest_second(&target, 5400, 7200);
        assert!(
            warm > SECOND_MAX,
            "only {warm} a second at {target} once it is warm"
        );
    }
    let kept = fleet.busiest_second("t0", 1800, 4800);
    assert!(kept >= 60, "the warm target got only {kept} a second");
}

/// Guards against the time in which the list doesn't know yet that a target has started.
#[test]
fn a_target_that_appears_is_cold_until_the_list_can_know_better() {
    let mut fleet = Fleet::new(1);
    fleet.play(0, 900, 60);
    fleet.targets.push("new".to_owned());
    // The list says that it is warm all the time.
    fleet.play(900, 3600, 200);
    let first = fleet.busiest_second("new", 900, 900 + 800);
    assert!(first <= SECOND_MAX, "{first} requests in its first second");
    assert!(fleet.busiest_second("new", 2700, 3600) > SECOND_MAX);
}

/// Guards against a full load on a target that answers again after a failure: it may have restarted, and
/// the list learns of that later.
#[test]
fn a_target_that_answers_again_after_a_failure_is_presumed_cold() {
    let mut fleet = Fleet::new(2);
    fleet.ended = GrantOutcome::Unreachable;
    fleet.play(0, 600, 100);
    fleet.ended = GrantOutcome::Answered;
    fleet.play(600, 7200, 100);
    let mut first = fleet.reached["t0"].iter().copied().filter(|t| *t >= 600);
    let back = first.next().expect("it is tried again");
    let busiest = fleet.busiest_second("t0", back, back + 1000);
    assert!(
        busiest <= SECOND_MAX,
        "{busiest} requests in the second after it was back"
    );
    assert!(fleet.busiest_second("t0", 5400, 7200) > SECOND_MAX);
}

/// Guards against a fleet that starts with all its targets presumed cold.
#[test]
fn the_first_list_is_believed() {
    let mut fleet = Fleet::new(2);
    fleet.play(0, 1000, 100);
    assert!(fleet.busiest_second("t0", 0, 1000) > SECOND_MAX);
    assert_eq!(fleet.refused, 0);
}

/// What processes may send without a leader, each counting alone, must fit into what the leader leaves
/// of the platform's bound, in any second.
#[test]
fn parts_without_a_leader_fit_beside_the_leader() {
    const FRONTS: u32 = 12;
    let rate = Rate::per_second(COLD_PER_S);
    let mut budgets: Vec<Budget> = Vec::new();
    for _ in 0..FRONTS {
        budgets.push(Budget::part_of_cold(at(0), rate, 0.25 / f64::from(FRONTS)));
    }
    let mut sent = Vec::new();
    for now in (0..20_000).step_by(STEP as usize) {
        for budget in &mut budgets {
            while budget.available(at(now)) > 0 {
                budget.take(at(now));
                sent.push(now);
            }
        }
    }
    let count = |start: &u64| {
        sent.iter()
            .filter(|t| (*start..start + 1000).contains(*t))
            .count()
    };
    let busiest = sent.iter().map(count).max().unwrap_or_default();
    let bound = COLD_PER_S as usize * 3 / 2 + 5;
    assert!(
        SECOND_MAX + busiest <= bound,
        "{busiest} beside the leader's"
    );
    assert!(
        !sent.is_empty(),
        "callers are served if all targets are cold"
    );
}

/// Guards against a process without a leader that takes a target for warm which it knows only from its
/// own reading of the list, or which the leader named as cold.
#[test]
fn a_process_without_a_leader_knows_which_targets_are_warm() {
    let mut cold = ColdTargets::default();
    cold.set_lag(LAG);
    cold.set_rates([(SERVICE.to_owned(), Rate::per_second(COLD_PER_S))].into());
    cold.note_targets([("old", SERVICE), ("cold", SERVICE)]);
    let published = ColdTarget {
        target: "cold".to_owned(),
        left_ms: 2000,
    };
    cold.note_published(at(0), &[published]);
    assert!(cold.is_warm(at(10), "old", SERVICE));
    assert!(!cold.is_warm(at(10), "cold", SERVICE));
    assert!(cold.is_warm(at(2100), "cold", SERVICE));
    assert!(!cold.is_warm(at(10), "never-listed", SERVICE));
    assert!(cold.is_warm(at(10), "page", "a service without cold targets"));
}

/// Guards against absurd figures of the list.
#[test]
fn a_target_that_says_it_is_cold_for_years_is_cold_for_an_hour_at_most() {
    let mut cold = ColdTargets::default();
    cold.set_rates([(SERVICE.to_owned(), Rate::per_second(COLD_PER_S))].into());
    let listed = ListedTarget {
        target: "t",
        service: SERVICE,
        cold_left: Duration::MAX,
    };
    cold.note_listing(at(0), at(0), [listed]);
    assert!(cold.rate(at(1000), "t").is_some());
    assert!(cold.rate(at(3_600_001), "t").is_none());
}
