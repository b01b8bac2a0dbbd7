//! Dispatches commands to the modules that implement them, and expires old records.

use clem_store::Store;
use clem_types::UnixMillis;

use crate::{
    Command, Outcome, Result, batch, batch_group, document, jobs, once, orders, poison, rules,
};

/// Records that each kind of expiry may drop in one command, so that a command stays short.
const EXPIRE_STEP: usize = 500;

/// Applies the command of the log entry at `index` and returns its outcome.
///
/// Deterministic: the same commands in the same order give the same store on every replica.
///
/// # Errors
/// The store failed or holds a damaged record; the process must exit.
pub fn apply(store: &mut dyn Store, index: u64, command: &Command) -> Result<Outcome> {
    match command {
        Command::Nothing => Ok(Outcome::Done),
        Command::Apply(command) => rules::apply(store, command).map(Outcome::Apply),
        Command::Order(command) => orders::give(store, index, command).map(Outcome::Order),
        Command::EndOrders(command) => orders::end(store, command).map(|()| Outcome::Done),
        Command::OnceBegin { call, now } => once::begin(store, call, *now).map(Outcome::OnceBegin),
        Command::OnceFinish(call) => once::finish(store, call).map(|()| Outcome::Done),
        Command::Crash { report, now } => poison::report(store, report, *now).map(Outcome::Crash),
        Command::BatchBegin(command) => batch::begin(store, command).map(Outcome::BatchBegin),
        Command::BatchChunk { call, room } => {
            batch::chunk(store, call, *room).map(Outcome::BatchChunk)
        }
        Command::BatchSeal { call, now } => batch::seal(store, call, *now).map(Outcome::BatchSeal),
        Command::BatchCancel { call, now } => {
            batch::cancel(store, call, *now).map(Outcome::BatchCancel)
        }
        Command::Lease(command) => batch::lease(store, command).map(Outcome::Lease),
        Command::Finish { call, now } => batch::finish(store, call, *now).map(Outcome::Finish),
        Command::Expire { now } => expire(store, *now).map(Outcome::Expired),
        Command::Document(rules) => document::put(store, rules).map(Outcome::Document),
        Command::BatchGroup(change) => batch_group::change(store, change).map(|()| Outcome::Done),
        Command::Job(command) => jobs::apply(store, index, command).map(Outcome::Job),
    }
}

fn expire(store: &mut dyn Store, now: UnixMillis) -> Result<usize> {
    let mut dropped = batch::expire_leases(store, now, EXPIRE_STEP)?;
    dropped += batch::expire(store, now, EXPIRE_STEP)?;
    dropped += once::expire(store, now, EXPIRE_STEP)?;
    dropped += poison::expire(store, now, EXPIRE_STEP)?;
    Ok(dropped)
}

/// Whether anything has expired at `now`; the leader proposes [`Command::Expire`] only then.
pub fn has_expired(store: &dyn Store, now: UnixMillis) -> Result<bool> {
    Ok(batch::has_expired_lease(store, now)?
        || batch::has_expired(store, now)?
        || once::has_expired(store, now)?
        || poison::has_expired(store, now)?)
}
