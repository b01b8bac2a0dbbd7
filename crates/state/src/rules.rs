//! The active rules file, replaced by compare-and-set on its version.

use clem_store::Store;
use clem_types::{CommandId, Version};
use clem_wire::admin::RulesFile;
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    answers::{self, Lookup},
    table::{self, Key},
};

/// Activates a validated rules file, if the current version is still the expected one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRules {
    /// The operator's command id; a resent command gets its first answer.
    pub command: CommandId,
    /// The version that the operator edited.
    pub expect: Version,
    /// The complete file, already validated by the leader.
    pub text: String,
}

/// Whether a rules file was activated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// The file is active as this version.
    Accepted(Version),
    /// The active version is not the expected one; nothing was changed.
    Conflict {
        /// The active version.
        current: Version,
    },
    /// The command id was already used for a different command; nothing was changed.
    Reused,
}

pub(crate) fn apply(store: &mut dyn Store, command: &ApplyRules) -> Result<ApplyOutcome> {
    let content = answers::content(command);
    match answers::lookup(store, &command.command, content)? {
        Lookup::Answered(answer) => return Ok(answer),
        Lookup::Reused => return Ok(ApplyOutcome::Reused),
        Lookup::New => {}
    }
    let current = version(store)?;
    let outcome = if current == command.expect {
        let next = current.next();
        let file = RulesFile {
            version: next,
            text: command.text.clone(),
        };
        table::put(store, &version_key(), &next)?;
        table::put(store, &file_key(), &file)?;
        ApplyOutcome::Accepted(next)
    } else {
        ApplyOutcome::Conflict { current }
    };
    answers::record(store, &command.command, content, &outcome)?;
    Ok(outcome)
}

/// Whether a command has a stored answer. A resent command gets this answer, without another check
/// of its file against the fleet.
pub fn is_answered(store: &dyn Store, command: &CommandId) -> Result<bool> {
    answers::is_known(store, command)
}

/// The version of the active rules file; 0 if there is none.
pub fn version(store: &dyn Store) -> Result<Version> {
    Ok(table::get(store, &version_key())?.unwrap_or_default())
}

/// The active rules file; empty with version 0 if there is none.
pub fn file(store: &dyn Store) -> Result<RulesFile> {
    let file = table::get(store, &file_key())?;
    Ok(file.unwrap_or(RulesFile {
        version: Version(0),
        text: String::new(),
    }))
}

fn version_key() -> Key {
    Key::new("rules-version")
}

fn file_key() -> Key {
    Key::new("rules-file")
}
