//! Streams that are resumed while targets of two software versions serve, in virtual time.

use std::time::Duration;

use clem_policy::dispatch::{
    Dispatcher, GrantOutcome, Origin, OriginReport, Resumes, SettledVersions, SlotRequest,
    StreamKey, StreamRequest, TargetSlots, Ticket, Urgency, Verdict,
};
use clem_types::{SoftwareVersion, Time};

const SERVICE: &str = "engines";

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

/// A dispatcher with one target of each version, with one slot each.
fn dispatcher(versions: &[Option<&str>]) -> Dispatcher {
    let mut targets = Vec::new();
    for (place, version) in versions.iter().enumerate() {
        targets.push(TargetSlots {
            target: format!("t{place}"),
            data_centre: "a".to_owned(),
            slots: 1,
            version: version.map(|version| version.parse().expect("a version")),
        });
    }
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_targets(Time::ZERO, SERVICE, &targets);
    dispatcher
}

fn want(ticket: u64, customer: &str, stream: StreamRequest) -> SlotRequest {
    SlotRequest {
        ticket: Ticket(ticket),
        holder: "front-1".to_owned(),
        service: SERVICE.to_owned(),
        customer: Some(customer.to_owned()),
        rank: 0,
        urgency: Urgency::Online,
        final_try: false,
        on_time: Duration::from_millis(1000),
        queue_timeout: Duration::from_millis(2000),
        data_centre: "a".to_owned(),
        avoid: Vec::new(),
        parts: Vec::new(),
        stream: Some(stream),
    }
}

fn begins(customer: &str, id: &str) -> StreamRequest {
    StreamRequest {
        key: Some(StreamKey::of(customer, id)),
        resumes: None,
    }
}

fn resumes(customer: &str, named: Option<&str>) -> StreamRequest {
    StreamRequest {
        key: Some(StreamKey::of(customer, "next")),
        resumes: Some(Resumes::Attempt {
            key: named.map(|id| StreamKey::of(customer, id)),
            services: vec![SERVICE.to_owned()],
            began: None,
            otherwise: None,
            span: SETTLED,
        }),
    }
}

/// Takes up an unnamed stream, of which the front knows that only `claimed` has run it.
fn claims(claimed: Option<&str>) -> StreamRequest {
    let otherwise = claimed.map(|claimed| Origin {
        service: SERVICE.to_owned(),
        version: version(claimed),
    });
    StreamRequest {
        key: Some(StreamKey::of("one", "next")),
        resumes: Some(Resumes::Attempt {
            key: None,
            services: vec![SERVICE.to_owned()],
            began: None,
            otherwise,
            span: SETTLED,
        }),
    }
}

/// The leader has read a list with one target of each version, with one slot each.
fn read_list(dispatcher: &mut Dispatcher, now: Time, versions: &[&str]) {
    let versions: Vec<_> = versions.iter().map(|text| version(text)).collect();
    dispatcher.note_versions(now, versions.iter().map(|version| (SERVICE, version)));
    let target = |(place, version): (usize, &Option<SoftwareVersion>)| TargetSlots {
        target: format!("t{place}"),
        data_centre: "a".to_owned(),
        slots: 1,
        version: version.clone(),
    };
    let targets: Vec<_> = versions.iter().enumerate().map(target).collect();
    dispatcher.set_targets(now, SERVICE, &targets);
}

/// Whether an unnamed stream goes on; its slot is given back.
fn goes_on(dispatcher: &mut Dispatcher, now: Time, claimed: Option<&str>) -> bool {
    let verdict = verdict(dispatcher, now, want(9, "one", claims(claimed)));
    dispatcher.withdraw(now, Ticket(9));
    match verdict {
        Some(Verdict::Granted { .. }) | None => true,
        Some(Verdict::Unresumable) => false,
        Some(other) => panic!("neither a slot nor a refusal of the stream: {other:?}"),
    }
}

fn verdict(dispatcher: &mut Dispatcher, now: Time, want: SlotRequest) -> Option<Verdict> {
    let ticket = want.ticket;
    dispatcher.request_slot(now, want);
    let decided = dispatcher.take_decided();
    let found = decided.into_iter().find(|(decided, _)| *decided == ticket);
    found.map(|(_, verdict)| verdict)
}

fn target(verdict: Option<Verdict>) -> String {
    let Some(Verdict::Granted { target, .. }) = verdict else {
        panic!("no slot: {verdict:?}");
    };
    target
}

#[test]
fn a_resumed_stream_waits_for_the_version_that_began_it() {
    let mut dispatcher = dispatcher(&[Some("v1"), Some("v2")]);
    let first = want(1, "one", begins("one", "first"));
    assert_eq!(target(verdict(&mut dispatcher, at(0), first)), "t0");
    let second = want(2, "one", resumes("one", Some("first")));
    assert_eq!(verdict(&mut dispatcher, at(10), second), None, "it waits");
    dispatcher.release(at(60), Ticket(1), GrantOutcome::Broken);
    let decided = dispatcher.take_decided();
    let (_, granted) = decided.into_iter().next().expect("a decision");
    assert_eq!(target(Some(granted)), "t0");
}

#[test]
fn the_attempt_of_another_customer_tells_nothing() {
    let mut dispatcher = dispatcher(&[Some("v1"), Some("v2")]);
    let first = want(1, "one", begins("one", "first"));
    target(verdict(&mut dispatcher, at(0), first));
    for (ticket, stream) in [
        (2, resumes("two", Some("first"))),
        (3, resumes("one", Some("other"))),
        (4, resumes("one", None)),
    ] {
        let refused = verdict(&mut dispatcher, at(10), want(ticket, "two", stream));
        assert_eq!(refused, Some(Verdict::Unresumable), "ticket {ticket}");
    }
}

#[test]
fn a_stream_whose_version_has_no_target_is_refused() {
    let mut dispatcher = dispatcher(&[Some("v1")]);
    let first = want(1, "one", begins("one", "first"));
    target(verdict(&mut dispatcher, at(0), first));
    let gone = [TargetSlots {
        target: "t9".to_owned(),
        data_centre: "a".to_owned(),
        slots: 1,
        version: Some("v2".parse().expect("a version")),
    }];
    dispatcher.set_targets(at(5), SERVICE, &gone);
    let second = want(2, "one", resumes("one", Some("first")));
    let refused = verdict(&mut dispatcher, at(10), second);
    assert_eq!(refused, Some(Verdict::Unresumable));
}

#[test]
fn versions_that_are_not_named_are_equal_only_if_none_is_named() {
    for (versions, goes_on) in [([None, None], true), ([None, Some("v2")], false)] {
        let mut dispatcher = dispatcher(&versions);
        let first = want(1, "one", begins("one", "first"));
        assert_eq!(target(verdict(&mut dispatcher, at(0), first)), "t0");
        let second = want(2, "one", resumes("one", Some("first")));
        let granted = verdict(&mut dispatcher, at(10), second);
        assert_eq!(granted != Some(Verdict::Unresumable), goes_on);
    }
}

#[test]
fn a_new_leader_learns_where_streams_began() {
    let mut dispatcher = dispatcher(&[Some("v1"), Some("v2")]);
    let report = OriginReport {
        key: StreamKey::of("one", "first"),
        customer: "one".to_owned(),
        origin: Origin {
            service: SERVICE.to_owned(),
            version: Some("v2".parse().expect("a version")),
        },
        age_ms: 0,
    };
    dispatcher.restore_streams(at(0), &[report]);
    let second = want(2, "one", resumes("one", Some("first")));
    assert_eq!(target(verdict(&mut dispatcher, at(10), second)), "t1");
    let forgotten = want(3, "one", resumes("one", Some("first")));
    dispatcher.tick(at(31_000));
    let refused = verdict(&mut dispatcher, at(31_000), forgotten);
    assert_eq!(refused, Some(Verdict::Unresumable));
}

#[test]
fn a_slot_that_was_not_used_tells_nothing() {
    let mut dispatcher = dispatcher(&[Some("v1"), Some("v2")]);
    let first = want(1, "one", begins("one", "first"));
    target(verdict(&mut dispatcher, at(0), first));
    dispatcher.release(at(200), Ticket(1), GrantOutcome::NotRun);
    let second = want(2, "one", resumes("one", Some("first")));
    let refused = verdict(&mut dispatcher, at(210), second);
    assert_eq!(refused, Some(Verdict::Unresumable));
}

#[test]
fn the_latest_slot_of_an_attempt_tells_where_it_began() {
    for (age_ms, expected) in [(200, "t1"), (700, "t0")] {
        let mut dispatcher = dispatcher(&[Some("v1"), Some("v2")]);
        let first = want(1, "one", begins("one", "first"));
        assert_eq!(target(verdict(&mut dispatcher, at(0), first)), "t0");
        let report = OriginReport {
            key: StreamKey::of("one", "first"),
            customer: "one".to_owned(),
            origin: Origin {
                service: SERVICE.to_owned(),
                version: Some("v2".parse().expect("a version")),
            },
            age_ms,
        };
        dispatcher.restore_streams(at(600), &[report]);
        dispatcher.release(at(600), Ticket(1), GrantOutcome::Broken);
        let second = want(2, "one", resumes("one", Some("first")));
        assert_eq!(target(verdict(&mut dispatcher, at(610), second)), expected);
    }
}

/// How long one version must have served before a stream of unknown origin goes on there.
const SETTLED: Duration = Duration::from_secs(10);

fn version(text: &str) -> Option<SoftwareVersion> {
    Some(text.parse().expect("a version"))
}

/// Hears from the hub every 400 ms until `until`.
fn follow(settled: &mut SettledVersions, from: u64, until: u64) {
    for ms in (from..=until).step_by(400) {
        settled.note_heard(at(ms));
    }
}

#[test]
fn a_version_settles_once_it_has_served_alone_for_long_enough() {
    let mut settled = SettledVersions::default();
    let (v1, v2) = (version("v1"), version("v2"));
    follow(&mut settled, 0, 22_000);
    settled.note(at(400), [(SERVICE, &v1), (SERVICE, &v1)]);
    assert_eq!(settled.version(at(9000), SERVICE, SETTLED), None);
    assert_eq!(
        settled.version(at(10_400), SERVICE, SETTLED),
        Some(v1.clone())
    );
    settled.note(at(11_000), [(SERVICE, &v1), (SERVICE, &v2)]);
    assert_eq!(settled.version(at(30_000), SERVICE, SETTLED), None);
    settled.note(at(12_000), [(SERVICE, &v2)]);
    assert_eq!(settled.version(at(21_000), SERVICE, SETTLED), None);
    assert_eq!(settled.version(at(22_000), SERVICE, SETTLED), Some(v2));
}

/// A release that was begun and taken back while the process was frozen, or while the hub had no leader.
#[test]
fn what_came_and_went_while_the_hub_was_silent_does_not_count_as_settled() {
    let mut settled = SettledVersions::default();
    let v1 = version("v1");
    settled.note(at(0), [(SERVICE, &v1)]);
    follow(&mut settled, 0, 12_000);
    assert_eq!(
        settled.version(at(12_000), SERVICE, SETTLED),
        Some(v1.clone())
    );
    settled.note_heard(at(19_000));
    settled.note(at(19_000), [(SERVICE, &v1)]);
    assert_eq!(settled.version(at(19_100), SERVICE, SETTLED), None);
    follow(&mut settled, 19_400, 29_400);
    assert_eq!(settled.version(at(29_400), SERVICE, SETTLED), Some(v1));
}

#[test]
fn a_process_that_hears_nothing_from_the_hub_does_not_take_its_list_for_the_present_one() {
    let mut settled = SettledVersions::default();
    let v1 = version("v1");
    settled.note(at(0), [(SERVICE, &v1)]);
    follow(&mut settled, 0, 12_000);
    assert_eq!(
        settled.version(at(13_900), SERVICE, SETTLED),
        Some(v1.clone())
    );
    assert_eq!(settled.version(at(14_000), SERVICE, SETTLED), None);
    assert_eq!(settled.version(at(60_000), SERVICE, SETTLED), None);
}

#[test]
fn the_leader_does_not_believe_a_list_that_is_older_than_its_own() {
    let mut dispatcher = Dispatcher::default();
    for ms in (0..20_000).step_by(900) {
        read_list(&mut dispatcher, at(ms), &["v1"]);
    }
    assert!(goes_on(&mut dispatcher, at(20_000), Some("v1")));
    read_list(&mut dispatcher, at(20_100), &["v1", "v2"]);
    for ms in (20_100..32_000).step_by(900) {
        for claimed in [None, Some("v1"), Some("v2")] {
            let goes_on = goes_on(&mut dispatcher, at(ms), claimed);
            assert!(!goes_on, "at {ms} ms with {claimed:?}");
        }
    }
    // The newer version has left again, and streams that it began may still be taken up.
    read_list(&mut dispatcher, at(32_000), &["v1"]);
    assert!(!goes_on(&mut dispatcher, at(41_900), Some("v1")));
    assert!(goes_on(&mut dispatcher, at(42_000), Some("v1")));
}

#[test]
fn the_leader_lets_streams_go_on_that_a_front_out_of_step_can_not_judge() {
    let mut dispatcher = Dispatcher::default();
    read_list(&mut dispatcher, at(0), &["v1"]);
    assert!(!goes_on(&mut dispatcher, at(9900), None));
    read_list(&mut dispatcher, at(9900), &["v1"]);
    for claimed in [None, Some("v1"), Some("v0")] {
        assert!(goes_on(&mut dispatcher, at(10_000), claimed));
    }
}

#[test]
fn a_new_leader_goes_by_what_fronts_know_unless_its_own_lists_say_otherwise() {
    let mut dispatcher = Dispatcher::default();
    let unread = verdict(&mut dispatcher, at(0), want(1, "one", claims(Some("v1"))));
    assert_eq!(unread, Some(Verdict::NoTarget), "it has read no list");
    read_list(&mut dispatcher, at(10), &["v1"]);
    assert!(goes_on(&mut dispatcher, at(20), Some("v1")));
    assert!(!goes_on(&mut dispatcher, at(20), None));
    assert!(!goes_on(&mut dispatcher, at(20), Some("v0")));

    let mut dispatcher = Dispatcher::default();
    read_list(&mut dispatcher, at(10), &["v1", "v2"]);
    read_list(&mut dispatcher, at(900), &["v1"]);
    assert!(!goes_on(&mut dispatcher, at(910), Some("v1")));
}

#[test]
fn streams_that_began_without_the_leader_tell_it_of_another_version() {
    let mut dispatcher = Dispatcher::default();
    read_list(&mut dispatcher, at(0), &["v1"]);
    let report = OriginReport {
        key: StreamKey::of("one", "first"),
        customer: "one".to_owned(),
        origin: Origin {
            service: SERVICE.to_owned(),
            version: version("v2"),
        },
        age_ms: 300,
    };
    dispatcher.restore_streams(at(20_300), &[report]);
    assert!(!goes_on(&mut dispatcher, at(20_400), Some("v1")));
    assert!(goes_on(&mut dispatcher, at(30_000), None));
}

#[test]
fn streams_told_to_a_new_leader_before_its_first_list_count() {
    for (began, confirmed) in [("v1", true), ("v2", false)] {
        let mut dispatcher = Dispatcher::default();
        let report = OriginReport {
            key: StreamKey::of("one", "first"),
            customer: "one".to_owned(),
            origin: Origin {
                service: SERVICE.to_owned(),
                version: version(began),
            },
            age_ms: 300,
        };
        dispatcher.restore_streams(at(400), &[report]);
        read_list(&mut dispatcher, at(500), &["v1"]);
        assert_eq!(goes_on(&mut dispatcher, at(510), Some("v1")), confirmed);
    }
}

#[test]
fn what_a_front_remembers_counts_while_versions_mix() {
    for (began, expected) in [("v1", "t0"), ("v2", "t1")] {
        let mut dispatcher = Dispatcher::default();
        read_list(&mut dispatcher, at(0), &["v1", "v2"]);
        let origin = Origin {
            service: SERVICE.to_owned(),
            version: version(began),
        };
        let stream = StreamRequest {
            key: Some(StreamKey::of("one", "next")),
            resumes: Some(Resumes::Attempt {
                key: Some(StreamKey::of("one", "first")),
                services: vec![SERVICE.to_owned()],
                began: Some(origin.clone()),
                otherwise: Some(origin),
                span: SETTLED,
            }),
        };
        let granted = verdict(&mut dispatcher, at(10), want(1, "one", stream));
        assert_eq!(target(granted), expected);
    }
}
