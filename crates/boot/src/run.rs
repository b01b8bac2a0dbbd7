//! Common `main` function of all programs.

use std::{future::Future, process::ExitCode};

use crate::Findings;

/// Exit code after a runtime error.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code after invalid settings.
pub const EXIT_SETTINGS: u8 = 2;

/// Runs a program on a single-threaded Tokio runtime and returns its exit code.
///
/// If the program returns [`Findings`], all of them are printed to standard error and the exit code
/// is [`EXIT_SETTINGS`]. For any other error it is [`EXIT_FAILURE`].
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
            eprintln!("{name}: failed to start the Tokio runtime: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let ended = runtime.block_on(program);
    let Err(error) = ended else {
        log::logger().flush();
        return ExitCode::SUCCESS;
    };
    let text = format!("{error:#}");
    log::error!(error = text.as_str(); "program failed; exiting");
    log::logger().flush();
    if let Some(findings) = error.downcast_ref::<Findings>() {
        eprint!("{findings}");
        return ExitCode::from(EXIT_SETTINGS);
    }
    eprintln!("{name}: {text}");
    ExitCode::from(EXIT_FAILURE)
}
