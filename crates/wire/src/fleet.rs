//! Calls from the processes of the direct path to the hub's leader: rules, targets and slots.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use bytes::Bytes;
use clem_edge::TargetVm;
use clem_policy::dispatch::{
    BlockedParts, ColdTarget, CrashReport, GrantOutcome, HeldGrant, LimitReport, OriginReport,
    SlotRequest, SoundPart, TargetLimit, Ticket, Verdict,
};
use clem_types::{Epoch, Version};
use serde::{Deserialize, Serialize};

use crate::{
    Call, pack,
    targets::{TargetUpdate, TargetsDigest},
};

/// Maximum time that the leader holds a [`Follow`].
pub const FOLLOW_MAX_HOLD: Duration = Duration::from_millis(400);
/// Minimum election timeout of the groups of the direct path.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum random extension of [`ELECTION_TIMEOUT`].
pub const ELECTION_JITTER: Duration = Duration::from_millis(250);
/// How soon the members of these groups notice that their leader is frozen or partitioned.
pub const LEADER_LOSS_NOTICED: Duration = Duration::from_millis(1000);
/// Maximum time that the leader holds a [`RequestSlot`].
pub const SLOT_MAX_HOLD: Duration = Duration::from_millis(1500);

/// Maximum size of a rules document as the operator writes it, in bytes.
pub const MAX_RULES_BYTES: usize = 4 * 1024 * 1024;

/// Rules up to this size, as they are sent, are part of the reply to a poll; in bytes.
pub const POLL_RULES_BYTES: usize = 4 * 1024;

/// The role of a process of the direct path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessRole {
    /// Serves callers' requests.
    Front,
    /// Stores and runs batches.
    Batch,
}

/// Heartbeat of a process and long poll for changes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Follow {
    /// The name of the process, which is new at each start.
    pub holder: String,
    /// The vm that the process runs on.
    pub vm: String,
    /// The address on which it serves other processes; `None` if it serves none.
    pub address: Option<SocketAddr>,
    /// Its role, by which the leader counts and lists it.
    #[serde(rename = "duty")]
    pub role: ProcessRole,
    /// The version of its rules.
    pub rules: Version,
    /// The newest version of the rules that it was told of and fetches by itself; `None` from an
    /// earlier release, which gets rules with the reply only.
    #[serde(default)]
    pub announced: Option<Version>,
    /// The version of its list of targets and processes.
    pub seen: FleetListVersion,
    /// The content of its target list; `None` from an earlier release, which gets each list whole.
    #[serde(default)]
    pub targets: Option<TargetsDigest>,
    /// The ids of the targets that said to it that they are leaving.
    #[serde(default)]
    pub leaving: Vec<String>,
    /// What it knows to crash targets, from which a new leader restores its state.
    #[serde(default)]
    pub blocked: Vec<BlockedParts>,
    /// Crashes of targets that the leader of `seen` was not told of by this process.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// The limited targets that it knows.
    #[serde(default)]
    pub limits: Vec<TargetLimit>,
    /// Where streams began that the leader of `seen` was not told of by this process.
    #[serde(default)]
    pub streams: Vec<OriginReport>,
    /// The slots that it holds, from which a new leader restores its state.
    pub held: Vec<HeldGrant>,
    /// The requests that it has placed without a leader since it started, for each customer.
    #[serde(default)]
    pub spent: Vec<(String, u32)>,
    /// The number of fronts that the leader of `seen` told it; 0 if none did.
    #[serde(default)]
    pub fronts: u32,
    /// The members of the group that stores batches, if this process leads that group.
    pub members: Option<Vec<SocketAddr>>,
    /// How long the leader may hold the call until there is a change, in milliseconds.
    pub wait_ms: u32,
}

/// The version of a [`FleetList`]; counters of different epochs can't be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetListVersion {
    /// The leader's term.
    pub epoch: Epoch,
    /// Number of changes to the list in this epoch.
    pub change: u64,
    /// Number of changes to the targets in this epoch. They are most of the list and seldom change,
    /// so they are sent only if this differs.
    pub targets: u64,
}

impl Call for Follow {
    const PATH: &'static str = "/internal/fleet/follow";
    const MAX_HOLD: Duration = FOLLOW_MAX_HOLD;
    type Reply = FollowReply;
}

/// The changes since the versions in the [`Follow`]; empty if there were none in time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FollowReply {
    /// The version of the newest rules, to be fetched if they are not in this reply.
    #[serde(default)]
    pub newest: Version,
    /// The rules, if they are newer and short.
    pub rules: Option<RulesDocument>,
    /// The list, if it has changed.
    pub fleet: Option<FleetList>,
    /// Slots that the process should release soon.
    pub recalls: Vec<Ticket>,
}

/// A complete rules document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesDocument {
    /// The version that the operator gave it; 0 if there is no document yet.
    pub version: Version,
    /// The document in the form of [`pack`].
    pub document: Bytes,
}

impl RulesDocument {
    /// Packs a document.
    ///
    /// # Errors
    /// See [`pack::pack`].
    pub fn new(version: Version, text: &[u8]) -> pack::Result<Self> {
        Ok(Self {
            version,
            document: pack::pack(text)?,
        })
    }

    /// The document as the operator wrote it.
    ///
    /// # Errors
    /// See [`pack::unpack`].
    pub fn text(&self) -> pack::Result<Bytes> {
        pack::unpack(&self.document, MAX_RULES_BYTES)
    }
}

/// The targets and the addresses of processes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetList {
    /// The version of this list.
    pub seen: FleetListVersion,
    /// The platform's targets, for a recipient of an earlier release; `None` if the leader hasn't
    /// read them yet, or if the recipient already has them.
    pub targets: Option<Vec<TargetVm>>,
    /// What the recipient lacks of the platform's targets.
    #[serde(default)]
    pub update: Option<TargetUpdate>,
    /// The members of the hub's replicated group.
    pub hub: Vec<SocketAddr>,
    /// The initial members of the group that stores batches; empty until it is founded.
    pub founders: Vec<SocketAddr>,
    /// The processes that store batches.
    pub batch: Vec<SocketAddr>,
    /// Those processes of `batch` whose vms are being decommissioned.
    pub retiring: Vec<SocketAddr>,
    /// Number of fronts that send heartbeats.
    pub fronts: u32,
    /// Parts of requests that crash targets.
    #[serde(default)]
    pub blocked: Vec<BlockedParts>,
    /// Crashes of targets that make parts of requests suspected.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// Parts of requests that were cleared of crashes.
    #[serde(default)]
    pub sound: Vec<SoundPart>,
    /// The limited targets.
    #[serde(default)]
    pub limits: Vec<TargetLimit>,
    /// The evacuated data centres, whose targets must get no requests.
    #[serde(default)]
    pub evacuated: BTreeSet<String>,
    /// The cold targets.
    #[serde(default)]
    pub cold: Vec<ColdTarget>,
}

/// Requests a slot on a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestSlot {
    /// The requirements on the slot.
    pub want: SlotRequest,
    /// The limited targets that the process knows, in case that the leader is new.
    #[serde(default)]
    pub limits: Vec<TargetLimit>,
    /// Slots to release, with how their requests ended.
    pub ends: Vec<(Ticket, GrantOutcome)>,
}

impl Call for RequestSlot {
    const PATH: &'static str = "/internal/fleet/place";
    const MAX_HOLD: Duration = SLOT_MAX_HOLD;
    type Reply = Verdict;
}

/// Checks whether the leader is alive, while it may only be holding an overdue reply.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ping {}

impl Call for Ping {
    const PATH: &'static str = "/internal/fleet/ping";
    type Reply = ();
}

/// Releases slots, and reports targets that said that they are leaving.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Release {
    /// The name of the process that held them.
    pub holder: String,
    /// The ids of targets that said just now that they are leaving.
    #[serde(default)]
    pub leaving: Vec<String>,
    /// Answers of targets that named another limit than the leader has published.
    #[serde(default)]
    pub limits: Vec<LimitReport>,
    /// The slots, with how their requests ended.
    pub ends: Vec<(Ticket, GrantOutcome)>,
}

impl Call for Release {
    const PATH: &'static str = "/internal/fleet/release";
    type Reply = ();
}

/// Activates a rules document, which the sender has validated; replies with the version that is
/// active afterwards.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PutRules {
    /// The document; ignored unless its version is higher than the active one.
    pub rules: RulesDocument,
}

impl Call for PutRules {
    const PATH: &'static str = "/internal/fleet/put-rules";
    type Reply = Version;
}

/// Reads stored rules from any member, which need not be the leader. A member that has none as new
/// as `wanted` replies as one that doesn't lead.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FetchRules {
    /// The version that was announced.
    pub wanted: Version,
}

impl Call for FetchRules {
    const PATH: &'static str = "/internal/fleet/fetch-rules";
    type Reply = RulesDocument;
}

/// Reads what any member holds for operators. It is committed, but may be old, as the member need not
/// have heard of a leader yet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FetchHeld {
    /// The name of the vm that asks.
    pub vm: String,
    /// The role of the process that asks.
    pub role: ProcessRole,
}

impl Call for FetchHeld {
    const PATH: &'static str = "/internal/fleet/fetch-held";
    type Reply = Held;
}

/// What a member of the hub holds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Held {
    /// The rules; version 0 if it holds none.
    pub rules: RulesDocument,
    /// The evacuated data centres.
    #[serde(default)]
    pub evacuated: BTreeSet<String>,
    /// Number of fronts that have asked this member lately.
    #[serde(default)]
    pub fronts: u32,
    /// The voters of the hub by the latest entry of the member's log that changes them.
    #[serde(default)]
    pub voters: Vec<SocketAddr>,
    /// The term and index of that entry.
    #[serde(default)]
    pub changed: (u64, u64),
}

/// Reads the active rules document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GetRules {}

impl Call for GetRules {
    const PATH: &'static str = "/internal/fleet/get-rules";
    type Reply = RulesDocument;
}

/// Evacuates a data centre, or ends its evacuation; repeating the call changes nothing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Evacuate {
    /// The name of the data centre.
    pub data_centre: String,
    /// Whether the evacuation begins; otherwise it ends.
    pub begin: bool,
}

impl Call for Evacuate {
    const PATH: &'static str = "/internal/fleet/evacuate";
    type Reply = EvacuateReply;
}

/// The result of an [`Evacuate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuateReply {
    /// The order is stored and in force at the leader.
    Stored,
    /// Nothing has changed: too many data centres are evacuated.
    TooMany,
}

/// Decommissions a vm that stores batches, or asks for the progress.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Retire {
    /// The name of the vm.
    pub vm: String,
    /// Whether to start; otherwise the call only reads the progress.
    pub begin: bool,
}

impl Call for Retire {
    const PATH: &'static str = "/internal/fleet/retire";
    type Reply = RetireReply;
}

/// The progress of decommissioning a vm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireReply {
    /// No process that stores batches runs on a vm of this name.
    Unknown,
    /// Not started: too few vms would remain.
    TooFew,
    /// The vm must stay: its process is still a member of the group.
    Running,
    /// The vm may be removed.
    Completed,
}
