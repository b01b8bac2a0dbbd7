//! A cluster in virtual time: seeded faults on the network, the disks and the processes.

mod checks;
mod disk;
mod host;
mod world;

pub(crate) use world::{Faults, World};
