//! Log lines on standard output.

use std::{
    io::Read,
    process::{Command, Stdio},
    thread,
    time::Duration,
};

use clem_boot::start_stdout_logs;
use log::LevelFilter;

/// Set in a process that is to log and to end.
const ENDS: &str = "CLEM_TEST_LOGS_AND_ENDS";
/// More lines than a pipe holds, and fewer than may wait to be written.
const LINES: usize = 1500;
const READER_PAUSE: Duration = Duration::from_millis(40);

#[test]
fn a_process_that_ends_has_written_its_last_line() {
    if std::env::var_os(ENDS).is_some() {
        start_stdout_logs(LevelFilter::Info).expect("no logger yet");
        for number in 0..LINES {
            log::info!(target: "clem", "line {number}");
        }
        log::logger().flush();
        std::process::exit(0);
    }
    let program = std::env::current_exe().expect("a path");
    let mut process = Command::new(program)
        .args(["--exact", "a_process_that_ends_has_written_its_last_line"])
        .arg("--nocapture")
        .env(ENDS, "1")
        .stdout(Stdio::piped())
        .spawn()
        .expect("it runs");
    // The pipe is full by then.
    thread::sleep(READER_PAUSE);
    let mut text = String::new();
    let mut stdout = process.stdout.take().expect("it is piped");
    stdout.read_to_string(&mut text).expect("text");
    assert!(process.wait().expect("it ends").success());
    assert_eq!(text.matches("\"event\":\"line ").count(), LINES);
}
