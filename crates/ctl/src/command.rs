//! The commands.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clem_types::{CommandId, CustomerId, FenceNumber, KeyId, RulesVersion, TargetId};
use clem_wire::{admin::MemberChange, sync::Action};

use crate::args::Args;

/// How long `apply` waits for the version to be in force, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 15;

/// What the operator wants.
#[derive(Debug)]
pub(crate) enum Command {
    /// Check a file.
    Check(PathBuf),
    /// Put a file in force.
    Apply(ApplyFile),
    /// Print the rules in force.
    Rules,
    /// Print the state of the system.
    Status {
        /// Whether as JSON.
        json: bool,
    },
    /// Draw a new key.
    KeyNew(NewKey),
    /// Give an order to a target.
    Order(OrderTarget),
    /// Print the members.
    Members,
    /// Change the members.
    ChangeMembers {
        /// The command id.
        id: CommandId,
        /// The change.
        change: MemberChange,
    },
}

/// A rules file to put in force.
#[derive(Debug)]
pub(crate) struct ApplyFile {
    pub(crate) file: PathBuf,
    pub(crate) expect: RulesVersion,
    pub(crate) id: CommandId,
    pub(crate) timeout: Duration,
}

/// A new key.
#[derive(Debug)]
pub(crate) struct NewKey {
    pub(crate) customer: Option<CustomerId>,
    pub(crate) id: Option<KeyId>,
}

/// An order to a target.
#[derive(Debug)]
pub(crate) struct OrderTarget {
    pub(crate) target: TargetId,
    pub(crate) action: Action,
    pub(crate) expect: Option<FenceNumber>,
    pub(crate) force: bool,
    pub(crate) id: CommandId,
}

impl Command {
    /// Reads the command; none when something is wrong, which is then found.
    pub(crate) fn take(args: &mut Args) -> Option<Self> {
        let Some(word) = args.word() else {
            args.find("command", "it is missing; --help lists all");
            return None;
        };
        match word.as_str() {
            "check" => args.value("FILE").map(Self::Check),
            "apply" => take_apply(args),
            "rules" => Some(Self::Rules),
            "status" => Some(Self::Status {
                json: args.switch("json"),
            }),
            "key" => take_key(args),
            "drain" => take_target(args, |_| Some(Action::Drain)),
            "resume" => take_target(args, |_| Some(Action::Resume)),
            "order" => take_order(args),
            "members" => take_members(args),
            _ => {
                args.find(word, "there is no such command; --help lists all");
                None
            }
        }
    }

    /// Whether the command needs no control group.
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
    let file = args.value("FILE");
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
    let word: String = args.value("new")?;
    if word != "new" {
        args.find(word, "there is no such command; it is key new");
        return None;
    }
    Some(Command::KeyNew(NewKey {
        customer: args.take("customer"),
        id: args.take("key-id"),
    }))
}

fn take_order(args: &mut Args) -> Option<Command> {
    let word: String = args.value("load, unload or adapter")?;
    match word.as_str() {
        "load" => take_target(args, |args| {
            Some(Action::Load {
                model: args.value("MODEL")?,
                version: args.value("VERSION")?,
            })
        }),
        "unload" => take_target(args, |args| {
            Some(Action::Unload {
                model: args.value("MODEL")?,
                version: args.value("VERSION")?,
            })
        }),
        "adapter" => take_target(args, |args| {
            Some(Action::Adapter {
                model: args.value("MODEL")?,
                version: args.value("VERSION")?,
                adapter: args.value("ADAPTER")?,
            })
        }),
        _ => {
            args.find(word, "an order is load, unload or adapter");
            None
        }
    }
}

fn take_target(
    args: &mut Args,
    action: impl FnOnce(&mut Args) -> Option<Action>,
) -> Option<Command> {
    let target = args.value("TARGET");
    let action = action(args);
    let expect = args.take("expect");
    let force = args.switch("force");
    let id = take_id(args);
    Some(Command::Order(OrderTarget {
        target: target?,
        action: action?,
        expect,
        force,
        id,
    }))
}

fn take_members(args: &mut Args) -> Option<Command> {
    let Some(word) = args.word() else {
        return Some(Command::Members);
    };
    let change = match word.as_str() {
        "add" => args.value::<SocketAddr>("IP:PORT").map(MemberChange::Add),
        "remove" => args.value("IDENTITY").map(MemberChange::Remove),
        "transfer" => args.value("IDENTITY").map(MemberChange::Transfer),
        _ => {
            args.find(word, "a change of members is add, remove or transfer");
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
    text.parse().expect("hexadecimal digits make an id")
}
