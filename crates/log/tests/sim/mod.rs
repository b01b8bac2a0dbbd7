//! A simulated cluster in virtual time, with random faults of network, disks and processes.

#![allow(dead_code, reason = "each test program uses a part")]
#![allow(unused_imports, reason = "each test program uses a part")]

mod checks;
mod disk;
mod host;
mod turnover;
mod world;

pub(crate) use turnover::Turnover;
pub(crate) use world::{Faults, World};
