//! Carries out the commands.

mod members;
mod order;
mod rules;
mod status;

use std::{fmt, future::Future, time::Duration};

use clem_wire::{CallError, Client, ControlClient};

use crate::{Exit, args::Group, command::Command};

/// How long a call may take in all.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Why a command failed.
#[derive(Debug)]
enum Error {
    /// The control group wasn't reached, or refused.
    Call(CallError),
    /// Something on this machine.
    Local(String),
}

/// The result of a command.
type Result = std::result::Result<Exit, Error>;

impl From<CallError> for Error {
    fn from(error: CallError) -> Self {
        Self::Call(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) if error.is_not_run() => write!(f, "nothing was done: {error}"),
            Self::Call(error) => write!(
                f,
                "whether it was done is not known: {error}; ask again under the same --id"
            ),
            Self::Local(reason) => f.write_str(reason),
        }
    }
}

/// Carries out a command; the group is there unless the command is local.
pub(crate) fn run(command: Command, group: Option<Group>) -> Exit {
    let result = match command {
        Command::Check(file) => rules::check(&file),
        Command::KeyNew(key) => Ok(rules::new_key(&key)),
        Command::Apply(apply) => ask(group, |client| rules::apply(client, apply)),
        Command::Rules => ask(group, rules::print),
        Command::Status { json } => ask(group, move |client| status::print(client, json)),
        Command::Order(give) => ask(group, |client| order::give(client, give)),
        Command::Members => ask(group, members::print),
        Command::ChangeMembers { id, change } => {
            ask(group, |client| members::change(client, id, change))
        }
    };
    match result {
        Ok(exit) => exit,
        Err(error) => {
            eprintln!("clemctl: {error}");
            Exit::Failed
        }
    }
}

fn ask<F: Future<Output = Result>>(
    group: Option<Group>,
    work: impl FnOnce(ControlClient) -> F,
) -> Result {
    let Some(group) = group else {
        return Err(Error::Local("the control group is not known".to_owned()));
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Local(format!("the runtime can't be started: {error}")))?;
    runtime.block_on(async {
        let client = Client::new(group.secret);
        work(ControlClient::new(client, group.control)).await
    })
}
