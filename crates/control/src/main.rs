//! The control program: the replicated state, leases, grants and orders.

fn main() {}
