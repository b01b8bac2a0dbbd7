//! Generates rules files of a given size.

use std::fmt::Write;

use clem_types::KeyHash;

/// The first port of the targets in the file. Nothing listens on these ports.
const FIRST_PORT: usize = 20_000;
/// The number of targets per loopback address.
const PORTS_PER_ADDRESS: usize = 10_000;
/// The number of data centres that the targets are spread over.
const DATA_CENTRES: usize = 5;

/// Generates a file with `customers` customers, each with one key, and `targets` targets.
pub(crate) fn file(customers: usize, targets: usize) -> String {
    let mut text = String::from(
        "route.assistant = { model = \"assistant-7b\", version = 3 }  # asked by Ana\n",
    );
    for i in 0..customers {
        let hash = KeyHash::of(format!("key-{i}").as_bytes());
        let _ = writeln!(
            text,
            "customer.c{i} = {{ rate = \"20/s\", burst = 40, weight = 1 }}  # asked by Ana"
        );
        let _ = writeln!(
            text,
            "key.c{i}-1 = {{ customer = \"c{i}\", blake3 = \"{hash}\" }}  # asked by Ana"
        );
    }
    for i in 0..targets {
        let _ = writeln!(
            text,
            "target.t{i} = {{ address = \"{}\", data_centre = \"dc-{}\", checks_fence = false }}  \
             # asked by Ana",
            address(i),
            i % DATA_CENTRES
        );
    }
    text
}

/// The address of target `target`.
pub(crate) fn address(target: usize) -> String {
    let host = 1 + target / PORTS_PER_ADDRESS;
    format!("127.0.0.{host}:{}", FIRST_PORT + target % PORTS_PER_ADDRESS)
}
