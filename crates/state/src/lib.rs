//! The replicated state machine: rules, batches, results, at-most-once records and orders.
