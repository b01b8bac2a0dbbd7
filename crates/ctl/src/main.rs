//! The command line for operators, with the commands `check`, `apply`, `rules`, `status`, `key`,
//! `drain`, `resume`, `order` and `members`.
//!
//! Exit codes: 0 success, 1 failure or unknown outcome, 2 invalid settings, 3 conflict with another
//! operator, 4 findings in the rules file or a rejected order. See `docs/OPERATING.md`.

mod args;
mod command;
mod help;
mod run;

use std::process::ExitCode;

use args::Args;
use command::Command;

/// The outcome of a command, from which the exit code follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed, or its outcome is unknown.
    Failed,
    /// The command line or environment is invalid; nothing was run.
    Settings,
    /// The version or order that the operator expected is no longer the latest.
    Conflict,
    /// The rules file has findings, or the control group rejected the order or change.
    Findings,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Failed => clem_boot::EXIT_FAILURE,
            Exit::Settings => clem_boot::EXIT_SETTINGS,
            Exit::Conflict => 3,
            Exit::Findings => 4,
        })
    }
}

fn main() -> ExitCode {
    let mut args = Args::read(std::env::args_os().skip(1), |name| std::env::var_os(name));
    if let Some(text) = args.take_print() {
        print!("{text}");
        return Exit::Done.into();
    }
    let command = Command::take(&mut args);
    let group = command.as_ref().and_then(|command| {
        if command.is_local() {
            return None;
        }
        args.take_group()
    });
    let findings = args.finish();
    let Some(command) = command.filter(|_| findings.is_empty()) else {
        for finding in findings {
            eprintln!("clemctl: {finding}");
        }
        return Exit::Settings.into();
    };
    run::run(command, group).into()
}
