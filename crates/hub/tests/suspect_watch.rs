//! Which suspected requests are logged because others wait for them.

use clem_hub::SuspectWatch;
use clem_policy::dispatch::{RunningSuspect, Ticket};
use clem_types::{PartId, Time};

fn suspect(ticket: u64) -> RunningSuspect {
    RunningSuspect {
        ticket: Ticket(ticket),
        holder: None,
        target: None,
        parts: Vec::<PartId>::new(),
    }
}

#[test]
fn a_request_is_logged_once_it_has_counted_as_running_for_long() {
    let mut watch = SuspectWatch::default();
    let mut logged = Vec::new();
    for second in 0..40 {
        let mut running = vec![suspect(1)];
        // Others come and go.
        running.push(suspect(100 + second / 4));
        for old in watch.take_old(Time::from_millis(second * 1000), running) {
            logged.push((old.suspect.ticket.0, old.age.as_secs()));
        }
    }
    assert_eq!(logged, [(1, 5), (1, 15), (1, 35)]);
    watch.clear();
    let old = watch.take_old(Time::from_millis(41_000), vec![suspect(1)]);
    assert_eq!(old, [], "another leader counts anew");
}
