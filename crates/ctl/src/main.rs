//! The operators' command line: check, apply, status, keys, drain, orders and members.

fn main() {}
