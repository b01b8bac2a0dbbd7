//! The `clem-agent` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    clem_boot::run("clem-agent", clem_agent::main_program())
}
