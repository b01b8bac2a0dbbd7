//! Measures what each role costs for each customer, target and item.
//!
//! Prints a table with one row for each size. See `docs/CAPACITY.md`.

mod fleet;
mod holders;
mod meter;
mod process;
mod rules;
mod scenario;

use std::process::ExitCode;

use clem_boot::{Flag, Program, Start, run};
use scenario::Scenario;

type Result<T> = eyre::Result<T>;

const NAME: &str = "clem-slopes";

fn main() -> ExitCode {
    run(NAME, measure())
}

async fn measure() -> Result<()> {
    let program = Program::new(NAME, "Measures what each role costs at several sizes.")
        .flag(Flag::new("scenario", "NAME", "targets, customers, tokens or items.").required())
        .flag(
            Flag::new("sizes", "N,...", "The sizes to measure.")
                .repeated()
                .default("10,100,1000"),
        );
    let mut settings = match program.read_env() {
        Start::Run(settings) => settings,
        Start::Print(text) => {
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
    println!("{}", scenario.head());
    for size in sizes {
        println!("{}", scenario.row(&control, size).await?);
    }
    Ok(())
}
