//! Process-level tests and benches of the whole system.
