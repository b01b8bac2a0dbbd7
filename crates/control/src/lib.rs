//! The control plane server: replicated state, leases, rate token grants and orders.
//!
//! Every process is a replica of one consensus group. The leader answers the requests of entries,
//! agents and operators. [`replica`] is the consensus member, [`leader`] holds the leader's soft
//! state (no I/O), and [`serve`] has the request handlers. See `docs/DESIGN.md`.

pub mod control;
pub mod endpoint;
pub mod leader;
pub mod maintenance;
pub mod placement;
pub mod platform;
pub mod program;
pub mod replica;
pub mod serve;
pub mod settings;
