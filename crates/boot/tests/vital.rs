//! What a process does when a task panics that it can't do without.

use std::{process::Command, time::Duration};

use clem_boot::{EXIT_FAILURE, run, spawn_vital, start_stdout_logs};
use log::LevelFilter;

/// Set in a process whose task panics.
const PANICS: &str = "CLEM_TEST_TASK_PANICS";
/// How long that process goes on if nothing ends it.
const GOES_ON: Duration = Duration::from_secs(5);

#[test]
fn a_process_exits_with_a_line_when_a_vital_task_panics() {
    if std::env::var_os(PANICS).is_some() {
        let code = run("test", async {
            start_stdout_logs(LevelFilter::Info)?;
            spawn_vital("ends", async {});
            spawn_vital("loop", async { panic!("broken at {}", 7) });
            tokio::time::sleep(GOES_ON).await;
            Ok(())
        });
        assert_eq!(code, std::process::ExitCode::SUCCESS);
        return;
    }
    let program = std::env::current_exe().expect("a path");
    let ended = Command::new(program)
        .args([
            "--exact",
            "a_process_exits_with_a_line_when_a_vital_task_panics",
        ])
        .arg("--nocapture")
        .env(PANICS, "1")
        .output()
        .expect("it runs");
    let lines = String::from_utf8_lossy(&ended.stdout).into_owned();
    assert_eq!(
        ended.status.code(),
        Some(i32::from(EXIT_FAILURE)),
        "{lines}"
    );
    let named = |text: &&str| text.contains("task panicked; exiting");
    let line = lines.lines().find(named).unwrap_or_default();
    assert!(line.contains("\"task\":\"loop\""), "{lines}");
    assert!(line.contains("\"message\":\"broken at 7\""), "{lines}");
}
