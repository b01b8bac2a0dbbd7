//! Helpers of the hub's tests.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;

use clem_edge::{TargetState, TargetVm};
use clem_types::Version;
use clem_wire::fleet::{FleetListVersion, Follow, ProcessRole};

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

/// A front's poll, which has seen a version of the list.
pub(crate) fn follow(place: usize, seen: FleetListVersion) -> Follow {
    Follow {
        holder: format!("front-{place}"),
        vm: format!("front-{place}"),
        address: None,
        role: ProcessRole::Front,
        rules: Version(0),
        announced: Some(Version(0)),
        seen,
        targets: None,
        leaving: Vec::new(),
        blocked: Vec::new(),
        crashes: Vec::new(),
        limits: Vec::new(),
        streams: Vec::new(),
        held: Vec::new(),
        spent: Vec::new(),
        fronts: 0,
        members: None,
        wait_ms: 400,
    }
}
