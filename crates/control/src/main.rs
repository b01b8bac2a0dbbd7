//! The `clem-control` binary.

use std::process::ExitCode;

use clem_boot::CliAction;
use clem_control::{program, settings};

fn main() -> ExitCode {
    match settings::program().read_env() {
        CliAction::Print(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        CliAction::Run(given) => clem_boot::run("clem-control", program::run(given)),
    }
}
