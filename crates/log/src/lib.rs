//! The replicated log: a pure consensus step function and its storage on disk.
