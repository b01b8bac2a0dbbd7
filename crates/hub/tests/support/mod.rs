//! Helpers of the hub's tests.

use std::net::SocketAddr;

use clem_edge::{TargetState, TargetVm};

/// A target that accepts work.
pub(crate) fn target(number: usize) -> TargetVm {
    TargetVm {
        id: format!("i-{number:010}"),
        service: "engines".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 8000)),
        data_centre: "a".to_owned(),
        slots: 8,
        state: TargetState::Ready,
        version: None,
        started: 0,
    }
}
