//! `clemctl check`, `apply`, `rules` and `key new`.

use std::{fmt::Display, path::Path, time::Instant};

use clem_types::{Key, Version};
use clem_wire::{
    LeaderClient,
    admin::{Apply, ApplyReply, ReadRules},
};

use crate::{
    Exit,
    command::{ApplyFile, NewKey},
};

use super::{Error, Result, TIMEOUT};

/// Validates a rules file locally.
pub(super) fn check(file: &Path) -> Result {
    let text = read(file)?;
    let Err(findings) = clem_rules::parse(&text, Version(0)) else {
        println!("{}: no findings", file.display());
        return Ok(Exit::Done);
    };
    Ok(report(file, &findings))
}

fn read(file: &Path) -> std::result::Result<String, Error> {
    std::fs::read_to_string(file)
        .map_err(|error| Error::Local(format!("{} can't be read: {error}", file.display())))
}

fn report<T: Display>(file: &Path, findings: &[T]) -> Exit {
    for finding in findings {
        eprintln!("{}:{finding}", file.display());
    }
    eprintln!("clemctl: {} findings; nothing was applied", findings.len());
    Exit::Findings
}

/// Applies a rules file and waits until all holders apply it. Repeats the call under the same
/// command id, which changes nothing but returns whether the version is in force.
pub(super) async fn apply(client: LeaderClient, apply: ApplyFile) -> Result {
    let text = read(&apply.file)?;
    let call = Apply {
        command: apply.id.clone(),
        expect: apply.expect,
        text,
    };
    eprintln!("clemctl: command id {}", apply.id);
    let start = Instant::now();
    loop {
        match client.call(&call, TIMEOUT).await? {
            ApplyReply::Conflict { current } => {
                eprintln!("clemctl: conflict: version {current} is in force, nothing was applied");
                return Ok(Exit::Conflict);
            }
            ApplyReply::Rejected { findings } => {
                let lines: Vec<String> = findings
                    .iter()
                    .map(|found| format!("{}:{}: {}", found.line, found.column, found.message))
                    .collect();
                return Ok(report(&apply.file, &lines));
            }
            ApplyReply::Accepted {
                version,
                in_force: true,
                ..
            } => {
                let millis = start.elapsed().as_millis();
                println!("version {version} is in force after {millis} ms");
                return Ok(Exit::Done);
            }
            ApplyReply::Accepted {
                version, waiting, ..
            } => {
                if start.elapsed() < apply.timeout {
                    continue;
                }
                let names: Vec<String> = waiting.iter().map(ToString::to_string).collect();
                let reason = format!(
                    "version {version} is accepted, but not yet in force on: {}",
                    names.join(" ")
                );
                return Err(Error::Local(reason));
            }
        }
    }
}

/// Prints the rules file in force to standard output, and its version to standard error.
pub(super) async fn print(client: LeaderClient) -> Result {
    let file = client.call(&ReadRules {}, TIMEOUT).await?;
    eprintln!("clemctl: version {}", file.version);
    print!("{}", file.text);
    Ok(Exit::Done)
}

/// Prints a new key and its rule, which holds only the hash. The key is not stored anywhere.
pub(super) fn new_key(options: &NewKey) -> Exit {
    let key = Key::generate(&mut rand::rng());
    let customer = options
        .customer
        .as_ref()
        .map_or("CUSTOMER", |id| id.as_str());
    let id = match &options.id {
        Some(id) => id.to_string(),
        None => format!("{customer}-1"),
    };
    println!("{}", key.reveal());
    println!(
        "key.{id} = {{ customer = \"{customer}\", blake3 = \"{}\" }} # asked by WHO",
        key.hash()
    );
    Exit::Done
}
