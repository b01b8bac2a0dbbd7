//! What every program does at its start: settings, logs, metrics, the admin page and the stop signal.
