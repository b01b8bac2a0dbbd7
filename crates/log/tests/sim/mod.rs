//! A simulated cluster in virtual time, with random faults of network, disks and processes.

mod checks;
mod disk;
mod host;
mod world;

pub(crate) use world::{Faults, World};
