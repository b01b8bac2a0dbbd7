//! The control program: the replicated state, leases, grants and orders.
//!
//! Each process takes part in the group; one leads and answers the calls of entries, agents and
//! operators. [`replica`] is this process's part in the group, [`lead`] the soft state of the
//! leader (pure, without I/O), [`serve`] the calls. See `docs/DESIGN.md`.

pub mod control;
pub mod endpoint;
pub mod lead;
pub mod placing;
pub mod platform;
pub mod program;
pub mod replica;
pub mod serve;
pub mod settings;
pub mod tick;
