//! The frame of a program's `main`.

use std::{future::Future, process::ExitCode};

use crate::Findings;

/// The exit code of a process that failed while it ran.
pub const EXIT_FAILURE: u8 = 1;
/// The exit code of a process whose settings have findings.
pub const EXIT_SETTINGS: u8 = 2;

/// Runs a program on one loop on one thread and turns its end into an exit code.
///
/// Findings in the settings are printed on standard error, all of them, and end in
/// [`EXIT_SETTINGS`]; any other error ends in [`EXIT_FAILURE`].
pub fn run<F>(name: &str, program: F) -> ExitCode
where
    F: Future<Output = eyre::Result<()>>,
{
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{name}: the runtime can't be started: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let Err(error) = runtime.block_on(program) else {
        return ExitCode::SUCCESS;
    };
    if let Some(findings) = error.downcast_ref::<Findings>() {
        eprint!("{findings}");
        return ExitCode::from(EXIT_SETTINGS);
    }
    eprintln!("{name}: {error:#}");
    ExitCode::from(EXIT_FAILURE)
}
