//! Rules files of a wanted size.

use std::fmt::Write;

use clem_types::KeyHash;

/// The first port of the targets that the file names; nothing listens there.
const FIRST_PORT: usize = 20_000;
/// How many ports each address of the loopback range holds targets at.
const PORTS_PER_ADDRESS: usize = 10_000;
/// Data centres over which the targets are spread.
const DATA_CENTRES: usize = 5;

/// A file with so many customers, each with one key, and so many targets.
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

/// The address of the target with this number.
pub(crate) fn address(target: usize) -> String {
    let host = 1 + target / PORTS_PER_ADDRESS;
    format!("127.0.0.{host}:{}", FIRST_PORT + target % PORTS_PER_ADDRESS)
}
