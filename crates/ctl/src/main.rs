//! The operators' command line: check, apply, status, keys, drain, orders and members.
//!
//! Exit codes: 0 done, 1 failed, 2 bad settings, 3 conflict with another operator, 4 findings in
//! the rules file or a refused order. See `docs/OPERATING.md`.

mod args;
mod command;
mod help;
mod run;

use std::process::ExitCode;

use args::Args;
use command::Command;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exit {
    /// It is done.
    Done,
    /// It failed, or its outcome isn't known.
    Failed,
    /// The settings have findings; nothing was started.
    Settings,
    /// Another operator came first.
    Conflict,
    /// The rules file has findings, or the order makes no sense.
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
