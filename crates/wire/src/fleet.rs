//! What the processes of the direct path ask of the hub's leader: rules, targets, slots.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use clem_edge::TargetVm;
use clem_policy::dispatch::{GrantOutcome, HeldGrant, SlotRequest, Ticket, Verdict};
use clem_types::{Epoch, RulesVersion};
use serde::{Deserialize, Serialize};

use crate::Call;

/// The longest time that a [`Follow`] is held.
pub const FOLLOW_MAX_HOLD: Duration = Duration::from_millis(400);
/// The longest time that a [`Place`] is held.
pub const PLACE_MAX_HOLD: Duration = Duration::from_millis(1500);

/// What a process of the direct path does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessRole {
    /// It takes callers' requests.
    Front,
    /// It keeps batches.
    Batch,
}

/// Shows that a process lives, and asks for what is new.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Follow {
    /// The process, by a name that changes at each start.
    pub holder: String,
    /// Its vm.
    pub vm: String,
    /// Where it answers other processes; none if it doesn't.
    pub address: Option<SocketAddr>,
    /// What it does.
    #[serde(rename = "duty")]
    pub role: ProcessRole,
    /// The rules that it has.
    pub rules: RulesVersion,
    /// The list of targets and processes that it has.
    pub seen: FleetListVersion,
    /// The slots that it holds.
    pub held: Vec<HeldGrant>,
    /// The members of the group that keeps batches, if it leads that group.
    pub members: Option<Vec<SocketAddr>>,
    /// How long the answer may be held until there is something new.
    pub wait_ms: u32,
}

/// A state of the list of targets and processes; numbers of two leaders can't be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetListVersion {
    /// The leader's term.
    pub epoch: Epoch,
    /// Counts the leader's changes.
    pub change: u64,
    /// Counts the changes of the targets: they are most of the list, and seldom change.
    pub targets: u64,
}

impl Call for Follow {
    const PATH: &'static str = "/internal/fleet/follow";
    const MAX_HOLD: Duration = FOLLOW_MAX_HOLD;
    type Reply = FollowReply;
}

/// What is new.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FollowReply {
    /// Newer rules.
    pub rules: Option<RulesDocument>,
    /// A newer list.
    pub fleet: Option<FleetList>,
    /// Slots to give back soon.
    pub recalls: Vec<Ticket>,
}

/// A whole set of rules, as the operator gave it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesDocument {
    /// The operator's version.
    pub version: RulesVersion,
    /// The document.
    pub document: Bytes,
}

/// The targets, and where processes are found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetList {
    /// Which state of the list this is.
    pub seen: FleetListVersion,
    /// The platform's targets; none as long as the leader has not read the list, or if the reader
    /// has seen them.
    pub targets: Option<Vec<TargetVm>>,
    /// The members of the hub.
    pub hub: Vec<SocketAddr>,
    /// The first members of the group that keeps batches; empty before it is founded.
    pub founders: Vec<SocketAddr>,
    /// The processes that keep batches.
    pub batch: Vec<SocketAddr>,
    /// Those of them that are being emptied.
    pub retiring: Vec<SocketAddr>,
    /// How many fronts the leader hears from.
    pub fronts: u32,
}

/// Asks for a slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Place {
    /// What is wanted.
    pub want: SlotRequest,
    /// Slots that are given back with it.
    pub ends: Vec<(Ticket, GrantOutcome)>,
}

impl Call for Place {
    const PATH: &'static str = "/internal/fleet/place";
    const MAX_HOLD: Duration = PLACE_MAX_HOLD;
    type Reply = Verdict;
}

/// Asks whether the leader is there, when an answer is overdue that it may only be holding.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ping {}

impl Call for Ping {
    const PATH: &'static str = "/internal/fleet/ping";
    type Reply = ();
}

/// Gives slots back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Release {
    /// The process that held them.
    pub holder: String,
    /// The slots, and how their requests ended.
    pub ends: Vec<(Ticket, GrantOutcome)>,
}

impl Call for Release {
    const PATH: &'static str = "/internal/fleet/release";
    type Reply = ();
}

/// Puts a whole set of rules in force; the sender has checked it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PutRules {
    /// The rules.
    pub rules: RulesDocument,
}

impl Call for PutRules {
    const PATH: &'static str = "/internal/fleet/put-rules";
    type Reply = RulesVersion;
}

/// Reads the newest rules.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GetRules {}

impl Call for GetRules {
    const PATH: &'static str = "/internal/fleet/get-rules";
    type Reply = RulesDocument;
}

/// Empties a vm that keeps batches, or asks how far that is.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Retire {
    /// The vm.
    pub vm: String,
    /// Whether to begin; else only to tell.
    pub begin: bool,
}

impl Call for Retire {
    const PATH: &'static str = "/internal/fleet/retire";
    type Reply = RetireReply;
}

/// How far the emptying of a vm is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireReply {
    /// There is no such vm.
    Unknown,
    /// Too few would be left.
    TooFew,
    /// It still holds what others don't.
    Running,
    /// It may be taken away.
    Completed,
}
