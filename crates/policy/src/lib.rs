//! Pure decisions: limits, fair queues, routing, retries, admission and placement.
