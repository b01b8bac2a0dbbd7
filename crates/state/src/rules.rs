//! The rules file in force: compare-and-set on its version.

use clem_store::Store;
use clem_types::{CommandId, RulesVersion};
use clem_wire::admin::RulesFile;
use serde::{Deserialize, Serialize};

use crate::{
    Result,
    answers::{self, Recall},
    table::{self, Key},
};

/// Puts a checked rules file in force, if the version is still the expected one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRules {
    /// The operator's command.
    pub command: CommandId,
    /// The version that the file was made from.
    pub expect: RulesVersion,
    /// The whole file; the leader has checked it.
    pub text: String,
}

/// What became of a rules file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// It is accepted as this version.
    Accepted(RulesVersion),
    /// Another version won.
    Conflict {
        /// The version in force.
        current: RulesVersion,
    },
    /// The command's id was used for another command.
    Reused,
}

pub(crate) fn apply(store: &mut dyn Store, command: &ApplyRules) -> Result<ApplyOutcome> {
    let content = answers::content(command);
    match answers::recall(store, &command.command, content)? {
        Recall::First(answer) => return Ok(answer),
        Recall::Reused => return Ok(ApplyOutcome::Reused),
        Recall::New => {}
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
    answers::remember(store, &command.command, content, &outcome)?;
    Ok(outcome)
}

/// Whether a command has been answered, so that it gets the same answer again.
pub fn is_answered(store: &dyn Store, command: &CommandId) -> Result<bool> {
    answers::is_known(store, command)
}

/// The version of the rules in force.
pub fn version(store: &dyn Store) -> Result<RulesVersion> {
    Ok(table::get(store, &version_key())?.unwrap_or_default())
}

/// The rules file in force; empty before the first one.
pub fn file(store: &dyn Store) -> Result<RulesFile> {
    let file = table::get(store, &file_key())?;
    Ok(file.unwrap_or(RulesFile {
        version: RulesVersion(0),
        text: String::new(),
    }))
}

fn version_key() -> Key {
    Key::new("rules-version")
}

fn file_key() -> Key {
    Key::new("rules-file")
}
