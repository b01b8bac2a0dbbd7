//! Runs the commands.

mod members;
mod order;
mod rules;
mod status;

use std::{fmt, future::Future, time::Duration};

use clem_wire::{CallError, Client, LeaderClient};

use crate::{Exit, args::ControlGroup, command::Command};

/// How long a call to the control group may take, including retries.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Why a command failed, apart from conflicts and rejections.
#[derive(Debug)]
enum Error {
    /// The control group was unreachable or returned an error.
    Call(CallError),
    /// An error on this machine, such as an unreadable file.
    Local(String),
}

/// The result of running a command.
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
                "the outcome is unknown: {error}; repeat the command with the same --id"
            ),
            Self::Local(reason) => f.write_str(reason),
        }
    }
}

/// Runs a command; `group` is `None` only for local commands.
pub(crate) fn run(command: Command, group: Option<ControlGroup>) -> Exit {
    let result = match command {
        Command::Check(file) => rules::check(&file),
        Command::KeyNew(key) => Ok(rules::new_key(&key)),
        Command::Apply(apply) => with_client(group, |client| rules::apply(client, apply)),
        Command::Rules => with_client(group, rules::print),
        Command::Status { json } => with_client(group, move |client| status::print(client, json)),
        Command::Order(give) => with_client(group, |client| order::give(client, give)),
        Command::Members => with_client(group, members::print),
        Command::ChangeMembers { id, change } => {
            with_client(group, |client| members::change(client, id, change))
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

fn with_client<F: Future<Output = Result>>(
    group: Option<ControlGroup>,
    work: impl FnOnce(LeaderClient) -> F,
) -> Result {
    let Some(group) = group else {
        return Err(Error::Local(
            "the address of the control group is missing".to_owned(),
        ));
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Local(format!("the runtime can't be started: {error}")))?;
    runtime.block_on(async {
        let client = Client::new(group.secret);
        work(LeaderClient::new(client, group.control)).await
    })
}
