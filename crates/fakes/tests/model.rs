//! Tests of the batching model in virtual time.

use std::time::Duration;

use clem_fake::{
    model::{CacheChange, Engine, Options, Output, Work},
    prefix::Prompt,
    tokens,
};
use clem_types::Time;

const MILLI: Duration = Duration::from_millis(1);

fn options() -> Options {
    Options {
        step: MILLI * 10,
        per_stream: MILLI,
        per_prompt_token: MILLI,
        prefill_chunk: None,
        slots: 2,
        cache_blocks: 64,
        slow_factor: 1,
    }
}

fn prompt(text: &str) -> Prompt {
    Prompt::new("", text)
}

fn token(id: &str, index: u32) -> Output {
    let id = id.into();
    Output::Token { id, index }
}

fn next(engine: &mut Engine) -> (Time, Vec<Output>) {
    let wake = engine.next_wake().expect("a step is in progress");
    (wake, engine.advance(wake))
}

#[test]
fn the_step_time_depends_on_streams_and_prompt_tokens() {
    let mut engine = Engine::new(options());
    // 8 bytes are 2 prompt tokens: 10 + 1 + 2 ms.
    engine
        .submit(Time::ZERO, Work::new("a", prompt("12345678"), 3))
        .unwrap();
    let (wake, outputs) = next(&mut engine);
    assert_eq!(wake, Time::from_millis(13));
    assert_eq!(outputs, [token("a", 0)]);
    // `b` joins only at the next step, whose prefill also delays `a`.
    engine
        .submit(Time::from_millis(14), Work::new("b", prompt("1234"), 1))
        .unwrap();
    assert_eq!(next(&mut engine).0, Time::from_millis(24));
    let (wake, outputs) = next(&mut engine);
    assert_eq!(wake, Time::from_millis(24 + 13));
    assert_eq!(outputs[..2], [token("a", 2), token("b", 0)]);
    assert_eq!(engine.next_wake(), None);
}

#[test]
fn admits_in_order_and_frees_the_slot_of_a_cancelled_stream() {
    let mut engine = Engine::new(options());
    for id in ["a", "b", "c"] {
        engine
            .submit(Time::ZERO, Work::new(id, prompt(""), 100))
            .unwrap();
    }
    next(&mut engine);
    assert_eq!((engine.load().running, engine.load().waiting), (2, 1));
    assert!(engine.cancel("a"));
    assert!(!engine.cancel("a"));
    next(&mut engine);
    let (_, outputs) = next(&mut engine);
    assert_eq!(outputs, [token("b", 1), token("c", 0)]);
}

#[test]
fn a_parked_stream_resumes_without_prefill() {
    let mut engine = Engine::new(options());
    let text = "x".repeat(400);
    let mut work = Work::new("a", prompt(&text), 10);
    engine.submit(Time::ZERO, work.clone()).unwrap();
    next(&mut engine);
    next(&mut engine);
    assert_eq!(engine.park("a"), Some(2));
    while engine.next_wake().is_some() {
        next(&mut engine);
    }
    work.id = "a2".into();
    work.first = 2;
    let now = Time::from_millis(1000);
    engine.submit(now, work).unwrap();
    let (wake, outputs) = next(&mut engine);
    assert_eq!(wake, now + MILLI * 11);
    assert_eq!(outputs, [token("a2", 2)]);
}

#[test]
fn a_shared_prefix_is_cached_until_evicted() {
    let mut engine = Engine::new(options());
    let shared = "x".repeat(64);
    engine
        .submit(Time::ZERO, Work::new("a", prompt(&shared), 1))
        .unwrap();
    assert_eq!(next(&mut engine).0, Time::from_millis(10 + 1 + 16));
    let stored = prompt(&shared).blocks;
    assert_eq!(engine.take_changes(), [CacheChange::Stored(stored.clone())]);

    let now = Time::from_millis(100);
    engine
        .submit(now, Work::new("b", prompt(&(shared.clone() + "1234")), 1))
        .unwrap();
    assert_eq!(next(&mut engine).0, now + MILLI * (10 + 1 + 1));

    // With another salt no block is shared.
    let now = Time::from_millis(200);
    engine
        .submit(now, Work::new("c", Prompt::new("other", &shared), 1))
        .unwrap();
    assert_eq!(next(&mut engine).0, now + MILLI * (10 + 1 + 16));

    // A stream that reserves all KV memory evicts every cached block.
    let now = Time::from_millis(300);
    engine
        .submit(now, Work::new("d", prompt(""), 64 * 16))
        .unwrap();
    assert!(engine.cached_blocks().is_empty());
}

#[test]
fn other_streams_continue_during_a_chunked_prefill() {
    let mut engine = Engine::new(Options {
        prefill_chunk: Some(4),
        ..options()
    });
    engine
        .submit(Time::ZERO, Work::new("a", prompt(""), 9))
        .unwrap();
    next(&mut engine);
    engine
        .submit(Time::ZERO, Work::new("b", prompt(&"x".repeat(32)), 1))
        .unwrap();
    next(&mut engine);
    let (_, outputs) = next(&mut engine);
    assert_eq!(outputs, [token("a", 2)]);
    let (_, outputs) = next(&mut engine);
    assert_eq!(outputs[..2], [token("a", 3), token("b", 0)]);
}

#[test]
fn tokens_are_derived_from_prompt_and_index() {
    let hash = tokens::prompt_hash(&tokens::prompt_text([("user", "hello")]));
    assert_eq!(tokens::answer(&hash, 1, 3), "1:3187c78b 2:dc9eb6e2 ");
}
