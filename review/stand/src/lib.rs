//! Stand-ins for the review's scripts, without any dependency: a small deployment of the project's programs on
//! loopback addresses, the platform's list, servers, clients and the operator.

mod fleet;
mod http;
mod replica;

use std::{
    fs::File,
    io::Write as _,
    path::Path,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

pub use fleet::{Fleet, HOST, KEY, ListBody, Process, entry, list_document, program};
pub use http::{Answer, Call, serve};
pub use replica::{Arrival, Kind, Replica};

/// The result of a case as its exit status.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case couldn't run.
pub const NOT_RUN: i32 = 2;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens the record in the folder of the case, which is the first argument of the program.
pub fn open_record() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let path = Path::new(&folder).join("record.txt");
    let file = File::create(&path).unwrap_or_else(|error| {
        eprintln!("{}: {error}", path.display());
        std::process::exit(NOT_RUN);
    });
    RECORD.get_or_init(|| (Mutex::new(file), Instant::now()));
}

/// Seconds since the record was opened.
pub fn seconds() -> f64 {
    RECORD
        .get()
        .map_or(0.0, |(_, start)| start.elapsed().as_secs_f64())
}

/// Writes a line to the record.
pub fn record(line: &str) {
    let Some((file, start)) = RECORD.get() else {
        return;
    };
    let at = start.elapsed().as_secs_f64();
    let mut file = file.lock().expect("not poisoned");
    let _ = writeln!(file, "{at:9.3} s  {line}");
}

/// Writes a line to the record and to standard output.
pub fn report(line: &str) {
    record(line);
    println!("{line}");
}

/// Whether the disruption is to be made.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits.
pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Sends the config until it is acknowledged, then waits until all fronts are ready.
pub fn begin(fleet: &mut Fleet, config: &str) {
    let controls: Vec<_> = (1..=3).map(|place| fleet.control(place)).collect();
    until(fleet, "the config is acknowledged", 30, || {
        controls.iter().any(|control| {
            let call = Call::new("POST", "/Config.Put").body(config);
            call.send(*control, Duration::from_secs(1))
                .is_ok_and(|answer| answer.status == 200)
        })
    });
    record(&format!("operator: config acknowledged: {config}"));
    let fronts: Vec<_> = (1..=3).map(|place| fleet.ready(place)).collect();
    until(fleet, "the fronts are ready", 30, || {
        fronts.iter().all(|ready| {
            let call = Call::new("GET", "/ready").header("host", "ready");
            let answer = call.send(*ready, Duration::from_millis(900));
            answer.is_ok_and(|answer| answer.status == 200)
        })
    });
}

/// Waits until a condition holds; ends the case as not run if that takes too long.
pub fn until(fleet: &mut Fleet, what: &str, limit_s: u64, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > Duration::from_secs(limit_s) {
            report(&format!("not run: waited too long for: {what}"));
            fleet.end();
            std::process::exit(NOT_RUN);
        }
        pause(50);
    }
}
