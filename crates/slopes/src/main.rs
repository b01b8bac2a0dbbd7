//! Measures how the resource usage of control grows with customers, targets, rate tokens and batch
//! items.
//!
//! Prints a Markdown table with one row per size. See `docs/CAPACITY.md`.

mod fleet;
mod holders;
mod process;
mod relay;
mod rules;
mod scenario;

use std::process::ExitCode;

use clem_boot::{CliAction, Flag, Program, run};
use scenario::Scenario;

type Result<T> = eyre::Result<T>;

const NAME: &str = "clem-slopes";

fn main() -> ExitCode {
    run(NAME, measure())
}

async fn measure() -> Result<()> {
    let program = Program::new(
        NAME,
        "Measures the resource usage of control at several sizes.",
    )
    .flag(
        Flag::new(
            "scenario",
            "NAME",
            "What to scale: targets, customers, tokens or items.",
        )
        .required(),
    )
    .flag(
        Flag::new("sizes", "N,...", "The sizes to measure.")
            .repeated()
            .default("10,100,1000"),
    );
    let mut settings = match program.read_env() {
        CliAction::Run(settings) => settings,
        CliAction::Print(text) => {
            print!("{text}");
            return Ok(());
        }
    };
    let scenario: Option<Scenario> = settings.take("scenario");
    let sizes: Vec<usize> = settings.take_all("sizes");
    settings.finish()?;
    let Some(scenario) = scenario else {
        return Ok(());
    };
    let control = fleet::control_program()?;
    println!("{}", scenario.header());
    for size in sizes {
        println!("{}", scenario.row(&control, size).await?);
    }
    Ok(())
}
