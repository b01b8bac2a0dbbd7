//! The callers' entry: authentication, limits, routing, dispatch and relay.

fn main() {}
