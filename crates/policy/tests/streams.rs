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
            otherwise: None,
        }),
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
    follow(&mut settled, 0, 20_000);
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
