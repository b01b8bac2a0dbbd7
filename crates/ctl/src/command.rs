//! The commands of `clemctl` and their arguments.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clem_types::{CommandId, CustomerId, FenceNumber, KeyId, TargetId, Version};
use clem_wire::{admin::MemberChange, sync::Action};

use crate::args::Args;

/// How long `apply` waits by default for all holders to apply the version.
const DEFAULT_TIMEOUT_S: u64 = 15;

/// A parsed command.
#[derive(Debug)]
pub(crate) enum Command {
    /// Validate a rules file locally.
    Check(PathBuf),
    /// Apply a rules file and wait until it is in force.
    Apply(ApplyFile),
    /// Print the rules file in force.
    Rules,
    /// Print the state of the control group and the fleet.
    Status {
        /// Print JSON instead of text.
        json: bool,
    },
    /// Generate a new key.
    KeyNew(NewKey),
    /// Send an order to a target.
    Order(TargetOrder),
    /// Print the members of the control group.
    Members,
    /// Add or remove a member, or transfer leadership.
    ChangeMembers {
        /// Makes a repeated command take effect once.
        id: CommandId,
        /// The change to make.
        change: MemberChange,
    },
}

/// The arguments of `apply`.
#[derive(Debug)]
pub(crate) struct ApplyFile {
    pub(crate) file: PathBuf,
    pub(crate) expect: Version,
    pub(crate) id: CommandId,
    pub(crate) timeout: Duration,
}

/// The arguments of `key new`.
#[derive(Debug)]
pub(crate) struct NewKey {
    pub(crate) customer: Option<CustomerId>,
    pub(crate) id: Option<KeyId>,
}

/// The arguments of `drain`, `resume` and `order`.
#[derive(Debug)]
pub(crate) struct TargetOrder {
    pub(crate) target: TargetId,
    pub(crate) action: Action,
    pub(crate) expect: Option<FenceNumber>,
    pub(crate) force: bool,
    pub(crate) id: CommandId,
}

impl Command {
    /// Parses the command; `None` if it is invalid, with findings in `args`.
    pub(crate) fn take(args: &mut Args) -> Option<Self> {
        let Some(word) = args.next_word() else {
            args.add_finding("command", "missing; --help lists all commands");
            return None;
        };
        match word.as_str() {
            "check" => args.next_value("FILE").map(Self::Check),
            "apply" => take_apply(args),
            "rules" => Some(Self::Rules),
            "status" => Some(Self::Status {
                json: args.take_switch("json"),
            }),
            "key" => take_key(args),
            "drain" => take_target(args, |_| Some(Action::Drain)),
            "resume" => take_target(args, |_| Some(Action::Resume)),
            "order" => take_order(args),
            "members" => take_members(args),
            _ => {
                args.add_finding(word, "unknown command; --help lists all commands");
                None
            }
        }
    }

    /// Whether the command runs without the control group.
    pub(crate) fn is_local(&self) -> bool {
        match self {
            Self::Check(_) | Self::KeyNew(_) => true,
            Self::Apply(_)
            | Self::Rules
            | Self::Status { .. }
            | Self::Order(_)
            | Self::Members
            | Self::ChangeMembers { .. } => false,
        }
    }
}

fn take_apply(args: &mut Args) -> Option<Command> {
    let file = args.next_value("FILE");
    let expect = args.require("expect");
    let id = take_id(args);
    let seconds = args.take("timeout").unwrap_or(DEFAULT_TIMEOUT_S);
    Some(Command::Apply(ApplyFile {
        file: file?,
        expect: expect?,
        id,
        timeout: Duration::from_secs(seconds),
    }))
}

fn take_key(args: &mut Args) -> Option<Command> {
    let word: String = args.next_value("new")?;
    if word != "new" {
        args.add_finding(word, "unknown command; the only one is key new");
        return None;
    }
    Some(Command::KeyNew(NewKey {
        customer: args.take("customer"),
        id: args.take("key-id"),
    }))
}

fn take_order(args: &mut Args) -> Option<Command> {
    let word: String = args.next_value("load, unload or adapter")?;
    match word.as_str() {
        "load" => take_target(args, |args| {
            Some(Action::Load {
                model: args.next_value("MODEL")?,
                version: args.next_value("VERSION")?,
            })
        }),
        "unload" => take_target(args, |args| {
            Some(Action::Unload {
                model: args.next_value("MODEL")?,
                version: args.next_value("VERSION")?,
            })
        }),
        "adapter" => take_target(args, |args| {
            Some(Action::Adapter {
                model: args.next_value("MODEL")?,
                version: args.next_value("VERSION")?,
                adapter: args.next_value("ADAPTER")?,
            })
        }),
        _ => {
            args.add_finding(word, "it is not load, unload or adapter");
            None
        }
    }
}

fn take_target(
    args: &mut Args,
    action: impl FnOnce(&mut Args) -> Option<Action>,
) -> Option<Command> {
    let target = args.next_value("TARGET");
    let action = action(args);
    let expect = args.take("expect");
    let force = args.take_switch("force");
    let id = take_id(args);
    Some(Command::Order(TargetOrder {
        target: target?,
        action: action?,
        expect,
        force,
        id,
    }))
}

fn take_members(args: &mut Args) -> Option<Command> {
    let Some(word) = args.next_word() else {
        return Some(Command::Members);
    };
    let change = match word.as_str() {
        "add" => args
            .next_value::<SocketAddr>("IP:PORT")
            .map(MemberChange::Add),
        "remove" => args.next_value("IDENTITY").map(MemberChange::Remove),
        "transfer" => args.next_value("IDENTITY").map(MemberChange::Transfer),
        _ => {
            args.add_finding(word, "it is not add, remove or transfer");
            None
        }
    };
    let id = take_id(args);
    Some(Command::ChangeMembers {
        id,
        change: change?,
    })
}

/// The id given with `--id`, or a random one.
fn take_id(args: &mut Args) -> CommandId {
    if let Some(id) = args.take("id") {
        return id;
    }
    let text = format!("ctl-{:032x}", rand::random::<u128>());
    text.parse().expect("hexadecimal digits are a valid id")
}
