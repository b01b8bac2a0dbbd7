//! The key-value store below the state machine, in memory and on disk.
