//! `clem-entry`: accepts callers' requests; see [`clem_entry`].

use std::process::ExitCode;

fn main() -> ExitCode {
    clem_boot::run("clem-entry", clem_entry::program())
}
