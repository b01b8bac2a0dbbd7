//! The `clem-control` binary.

use std::process::ExitCode;

use clem_boot::Start;
use clem_control::{program, settings};

fn main() -> ExitCode {
    match settings::program().read_env() {
        Start::Print(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Start::Run(given) => clem_boot::run("clem-control", program::run(given)),
    }
}
