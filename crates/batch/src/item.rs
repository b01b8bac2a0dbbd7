//! Runs one item until it has a result or its job is closed.

use std::{sync::Arc, time::Duration};

use clem_direct::{
    BusyCause, ByteShare, EventBuffer, Outcome, OutgoingRequest, Reply, Slot, SlotOutcome, Upload,
};
use clem_edge::{Forward, Framing, ItemSpec, ItemStatus, common_parts};
use clem_policy::dispatch::{
    GrantOutcome, Origin, Resumes, SlotRequest, StreamRequest, Ticket, Urgency,
};
use clem_state::jobs::{EndedItem, JobNumber};
use clem_types::PartId;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use http_body_util::BodyExt;
use tokio::{
    sync::{oneshot, watch},
    time::Instant,
};

use crate::{item_watch::ItemState, keeper::Keeper, placement::Placement, queue::ReadyItem};

/// How long the hub may hold a request for a slot.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Delay before asking again when no slot was free.
const BUSY_DELAY: Duration = Duration::from_millis(150);
/// How often an item that has begun is refused a slot at its version before it begins anew at another
/// one.
const WAITS_MAX: u32 = 4;
/// Delay before asking again for an item while another request with a suspected part runs.
const SUSPECT_DELAY: Duration = Duration::from_millis(500);
/// Delay before asking again for an item with parts that crash targets.
const HARMFUL_DELAY: Duration = Duration::from_secs(2);
/// Delay before the next run after a failed one.
const FAILED_DELAY: Duration = Duration::from_millis(300);
/// Targets that must agree on the end of a response that none of them marks, or that has no event.
const CONFIRMATIONS: usize = 2;
/// Consecutive runs that may fail to go on after the last event until the item begins anew.
const STRAYS_MAX: u32 = 2;
/// Maximum size of an item's result; targets in trouble may send events without end.
const TEXT_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Lower bound for the memory of all texts, so that the longest one finds room: its buffer may be twice as
/// long, and a [`ByteBudget`](clem_direct::ByteBudget) wants as much left.
pub(crate) const BUDGET_BYTES_MIN: usize = 5 * TEXT_BYTES_MAX;
/// Longest pause in a stream before it counts as stalled; engines emit many events per second.
const STALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// How often [`STALL_TIMEOUT`] is doubled for an item whose runs stalled: all targets may be that slow.
const STALL_DOUBLINGS: u32 = 2;
/// Longest time without a complete event, however many bytes arrive.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Consecutive runs that may break before their first event until the next ones are delayed.
const CRASHES_QUICK: u32 = 2;
/// Longest delay before the next run; the first delay is [`FAILED_DELAY`], and each later one twice
/// the one before.
const CRASH_DELAY_MAX: Duration = Duration::from_secs(2);

/// First delay before the next run of an item that had no room for its text; each later one is twice the
/// one before.
const ROOM_DELAY: Duration = Duration::from_millis(500);
/// How often [`ROOM_DELAY`] is doubled.
const ROOM_DOUBLINGS: u32 = 3;

/// The state of an item being run.
pub(crate) struct ItemRun {
    keeper: Arc<Keeper>,
    ready: ReadyItem,
    spec: ItemSpec,
    /// The data of the events received so far.
    text: String,
    /// What the text, and the part of an event after it, take of the memory for all texts.
    share: ByteShare,
    /// Number of runs given up since there was no room for the text.
    roomless: u32,
    /// Id of the last event received.
    last_event: Option<u64>,
    /// Whether an event came without an id, after which no other run is known to go on.
    unnumbered: bool,
    /// Where the events received so far began.
    began: Option<Origin>,
    /// Consecutive refusals of a slot.
    waits: u32,
    /// Consecutive refusals for parts that crash targets.
    blocked: u32,
    /// Targets that had nothing to add after the last event, and didn't crash; with runs that end with
    /// their connection the one that sent that event included.
    confirmed: Vec<String>,
    /// Number of consecutive runs that didn't go on after the last event.
    strays: u32,
    /// Number of runs in which the target reported a failure.
    failed: u32,
    /// Number of consecutive runs that broke before the first event.
    crashes: u32,
    /// Number of runs that stalled.
    stalls: u32,
    avoid: Vec<String>,
    /// What the item has in common with other requests.
    parts: Vec<PartId>,
    /// The target of the last run, for the log.
    target: String,
    /// The framing of the last response, for the log.
    framing: Option<Framing>,
}

/// A run of an item whose parts hold it back.
pub(crate) struct HeldRun {
    pub(crate) run: ItemRun,
    /// When it may go on.
    pub(crate) delay: Duration,
}

/// How one run ended.
enum RunEnd {
    Completed,
    /// The next run resumes from the last event, at another target.
    Retry,
    /// The target reported a failure.
    Failed,
    /// The target rejected the item for good.
    Impossible,
    /// No service may run the item any more.
    Gone,
    /// The item may run after a delay, and needs no place until then.
    Held(Duration),
    /// The job was deleted, or this process is no longer the leader.
    Closed,
}

impl ItemRun {
    pub(crate) fn new(keeper: Arc<Keeper>, ready: ReadyItem, spec: ItemSpec) -> Self {
        let share = ByteShare::new(Arc::clone(&keeper.texts));
        let mut run = Self {
            keeper,
            ready,
            spec,
            text: String::new(),
            share,
            roomless: 0,
            last_event: None,
            unnumbered: false,
            began: None,
            waits: 0,
            blocked: 0,
            confirmed: Vec::new(),
            strays: 0,
            failed: 0,
            crashes: 0,
            stalls: 0,
            avoid: Vec::new(),
            parts: Vec::new(),
            target: String::new(),
            framing: None,
        };
        let request = run.outgoing();
        let prompt = run.keeper.node.dialect.prompt_parts(&request.headers);
        let customer = run.ready.job.name.customer.as_bytes();
        let fields = [customer, request.path.as_bytes(), &request.body];
        run.parts = common_parts(&prompt, &fields);
        run
    }

    /// Runs the item until it has a result, its job is closed, or its parts hold it back; returns the run
    /// in that case.
    pub(crate) async fn run(mut self) -> Option<HeldRun> {
        let mut closed = self.keeper.closed();
        let job = self.ready.job.number;
        loop {
            if !self.keeper.is_open(job) {
                break;
            }
            if self.keeper.node.clock.wall_time() >= self.ready.keep {
                self.end(ItemStatus::Errored, "given up");
                return None;
            }
            let keeper = Arc::clone(&self.keeper);
            let run = tokio::select! {
                run = self.run_once() => run,
                () = wait_closed(&keeper, &mut closed, job) => RunEnd::Closed,
            };
            // The part of an event that it had buffered is gone.
            self.share.shrink(self.text.capacity());
            let now = keeper.node.now();
            keeper.with_watch(|watch| watch.end_run(now, job, self.ready.item));
            match run {
                RunEnd::Completed => {
                    self.end(ItemStatus::Completed, "completed");
                    return None;
                }
                RunEnd::Impossible => {
                    self.end(ItemStatus::Errored, "impossible");
                    return None;
                }
                RunEnd::Gone => {
                    self.end(ItemStatus::Errored, "route gone");
                    return None;
                }
                RunEnd::Failed => {
                    self.failed += 1;
                    self.reset();
                    if self.failed >= self.ready.job.options.attempts {
                        self.end(ItemStatus::Errored, "failed");
                        return None;
                    }
                    tokio::time::sleep(FAILED_DELAY).await;
                }
                RunEnd::Retry => {}
                RunEnd::Held(delay) => {
                    keeper.items_ready.notify_one();
                    return Some(HeldRun { run: self, delay });
                }
                RunEnd::Closed => break,
            }
        }
        self.keeper.finish(job, self.ready.item);
        None
    }

    async fn run_once(&mut self) -> RunEnd {
        let delay = crash_delay(self.crashes);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let service = match self.choose_service() {
            Placement::At(service) => service,
            Placement::Gone => return RunEnd::Gone,
        };
        let mut slot = match self.place(service).await {
            SlotOutcome::Slot(slot) => {
                self.waits = 0;
                self.blocked = 0;
                self.set_state(ItemState::Running);
                slot
            }
            // Items have no rate of a customer.
            SlotOutcome::OverRate(_) => return self.wait_busy(ItemState::Busy).await,
            SlotOutcome::Busy {
                cause: BusyCause::Suspected,
                ..
            } => {
                self.note_refused(ItemState::Suspected);
                return RunEnd::Held(SUSPECT_DELAY);
            }
            SlotOutcome::Busy { cause, .. } => return self.wait_busy(cause.into()).await,
            SlotOutcome::Unresumable => {
                self.set_state(ItemState::Unresumable);
                self.log_failure("", "begun anew", "no target of its version");
                self.reset();
                return RunEnd::Retry;
            }
            SlotOutcome::Harmful => {
                self.set_state(ItemState::Blocked);
                self.blocked += 1;
                // It is refused every few seconds, as are others with its parts.
                if self.blocked.is_power_of_two() {
                    self.log_failure("", "harmful", "");
                }
                return RunEnd::Held(HARMFUL_DELAY);
            }
        };
        let recall = self.keeper.await_recall(slot.ticket());
        let node = Arc::clone(&self.keeper.node);
        let target = slot.target.id.clone();
        self.target.clone_from(&target);
        let outgoing = self.outgoing();
        let id = self.spec.id.clone();
        let customer = self.ready.job.name.customer.clone();
        let forward = Forward {
            id: &id,
            target: &target,
            customer: Some(&customer),
            timeout: None,
            last_event: self.last_event,
        };
        let sending = node.send(&mut slot, &outgoing, &forward);
        let sent = tokio::time::timeout(self.stall_timeout(), sending).await;
        match sent {
            Ok(Outcome::Answered(reply)) => self.read_response(slot, *reply, recall).await,
            Ok(Outcome::NotSent(reason)) => self.retry(&target, "not sent", &reason),
            Ok(Outcome::Refused(_)) => self.retry(&target, "not run", ""),
            Ok(Outcome::Lost(reason)) => {
                node.end_early(slot, &id, 0, GrantOutcome::Broken);
                self.crashes += 1;
                self.retry(&target, "lost", &reason)
            }
            Err(_) => {
                slot.set_ended(GrantOutcome::Silent);
                self.stalls += 1;
                self.retry(&target, "silent", "")
            }
        }
    }

    /// Waits before the next request for a slot.
    async fn wait_busy(&mut self, state: ItemState) -> RunEnd {
        self.note_refused(state);
        tokio::time::sleep(BUSY_DELAY).await;
        RunEnd::Retry
    }

    fn note_refused(&mut self, state: ItemState) {
        self.set_state(state);
        self.avoid.clear();
        self.waits += 1;
        if self.began.is_some() && self.waits >= WAITS_MAX {
            self.log_failure("", "begun anew", "no slot at its version");
            self.reset();
        }
    }

    fn stall_timeout(&self) -> Duration {
        STALL_TIMEOUT * 2_u32.pow(self.stalls.min(STALL_DOUBLINGS))
    }

    /// The service for the next run by the rules in force. Output that began at another one is discarded.
    fn choose_service(&mut self) -> Placement {
        let node = &self.keeper.node;
        let rules = node.view().rules.clone();
        let began = self.began.as_ref().map(|origin| origin.service.as_str());
        let options = &self.ready.job.options;
        let draw = node.random();
        let placement = Placement::choose(rules.as_deref(), options, &self.spec.path, began, draw);
        let stays = match (&placement, began) {
            (Placement::At(service), Some(began)) => service == began,
            (Placement::At(_), None) | (Placement::Gone, _) => true,
        };
        if !stays {
            self.log_failure("", "begun anew", "its route left the service");
            self.reset();
        }
        placement
    }

    async fn place(&self, service: String) -> SlotOutcome {
        let left = self
            .ready
            .due
            .0
            .saturating_sub(self.keeper.node.clock.wall_time().0);
        let want = SlotRequest {
            ticket: Ticket(0),
            holder: String::new(),
            service,
            customer: None,
            rank: self.ready.job.options.rank,
            urgency: Urgency::Batch {
                due: Duration::from_millis(left),
            },
            final_try: false,
            on_time: QUEUE_TIMEOUT,
            queue_timeout: QUEUE_TIMEOUT,
            data_centre: String::new(),
            avoid: self.avoid.clone(),
            parts: self.parts.clone(),
            stream: self.began.clone().map(|origin| StreamRequest {
                key: None,
                resumes: Some(Resumes::At(origin)),
            }),
        };
        self.keeper.node.place(want, None).await
    }

    fn outgoing(&self) -> OutgoingRequest {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.spec.headers {
            let name = HeaderName::try_from(name.as_str());
            let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value.as_str())) else {
                log::warn!(item = self.spec.id.as_str(); "invalid header in an item");
                continue;
            };
            headers.append(name, value);
        }
        if let Ok(host) = HeaderValue::try_from(self.ready.job.options.host.as_str()) {
            headers.insert(header::HOST, host);
        }
        OutgoingRequest {
            method: Method::POST,
            path: self.spec.path.clone(),
            headers,
            body: self.spec.body.clone(),
        }
    }

    /// Reads a target's response to its end.
    async fn read_response(
        &mut self,
        mut slot: Slot,
        reply: Reply,
        recall: oneshot::Receiver<()>,
    ) -> RunEnd {
        let framing = reply.framing;
        let upload = Arc::clone(&reply.upload);
        let (head, mut body, connection) = reply.into_parts();
        self.framing = Some(framing);
        let target = slot.target.id.clone();
        match head.status {
            status if status.is_success() => {}
            StatusCode::INTERNAL_SERVER_ERROR => {
                slot.set_ended(GrantOutcome::Failed);
                self.log_failure(&target, "failed", "500");
                return RunEnd::Failed;
            }
            StatusCode::UNPROCESSABLE_ENTITY => {
                slot.set_ended(GrantOutcome::Failed);
                return RunEnd::Impossible;
            }
            status => {
                slot.set_ended(GrantOutcome::Full);
                return self.retry(&target, "refused", status.as_str());
            }
        }
        let mut events = EventBuffer::default();
        let seen = self.last_event;
        let joins = seen.is_none() || !self.unnumbered;
        let origin = Origin {
            service: slot.target.service.clone(),
            version: slot.target.version.clone(),
        };
        // Whether this run has shown that it goes on after the last event.
        let mut goes_on = seen.is_none();
        let mut frames = 0;
        let mut progress = Instant::now();
        let node = Arc::clone(&self.keeper.node);
        tokio::pin!(recall);
        loop {
            let left = EVENT_TIMEOUT.saturating_sub(progress.elapsed());
            if left.is_zero() {
                slot.set_ended(GrantOutcome::Silent);
                return self.retry(&target, "stalled", "no complete event in time");
            }
            let frame = tokio::select! {
                frame = tokio::time::timeout(self.stall_timeout().min(left), body.frame()) => frame,
                Ok(()) = &mut recall => {
                    node.end_unread(slot, frames);
                    log::info!(
                        item = self.spec.id.as_str(), target = target.as_str(), seen = self.last_event;
                        "slot recalled"
                    );
                    return RunEnd::Retry;
                }
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    frames += 1;
                    events.push(&data);
                    while let Some(event) = events.next_event() {
                        progress = Instant::now();
                        if joins && !goes_on && !event.is_comment() {
                            if event.id.is_none() {
                                node.end_early(slot, &self.spec.id, frames, GrantOutcome::Broken);
                                return self.retry_stray(&target);
                            }
                            goes_on = true;
                            self.strays = 0;
                        }
                        if event.data.is_some() {
                            if !joins {
                                self.reset();
                                return self.retry(&target, "begun anew", "events without ids");
                            }
                            self.began.get_or_insert_with(|| origin.clone());
                        }
                        if !self.take_event(event.id, event.data.as_deref()) {
                            return self.retry(&target, "out of order", "");
                        }
                    }
                    if events.is_too_long() || self.text.len() > TEXT_BYTES_MAX {
                        self.reset();
                        self.crashes += 1;
                        return self.retry(&target, "too long", "");
                    }
                    let bytes = self.text.capacity() + events.buffered_bytes();
                    if !self.share.resize(bytes) {
                        node.end_unread(slot, frames);
                        return self.give_up_text(target);
                    }
                }
                Ok(None) if !events.holds_part() && framing == Framing::Close => {
                    return self.read_closed(slot, seen, frames, &upload).await;
                }
                Ok(None) if !events.holds_part() && self.last_event == seen => {
                    node.recycle(&mut slot, head.status, connection);
                    return self.read_empty(&slot);
                }
                Ok(None) if !events.holds_part() => {
                    node.recycle(&mut slot, head.status, connection);
                    return RunEnd::Completed;
                }
                Ok(None) => {
                    node.end_early(slot, &self.spec.id, frames, GrantOutcome::Broken);
                    return self.retry(&target, "cut", "");
                }
                Ok(Some(Err(error))) => {
                    node.end_early(slot, &self.spec.id, frames, GrantOutcome::Broken);
                    if self.last_event.is_none() {
                        self.crashes += 1;
                    }
                    return self.retry(&target, "broken", &error.to_string());
                }
                Err(_) => {
                    slot.set_ended(GrantOutcome::Silent);
                    self.stalls += 1;
                    return self.retry(&target, "silent", "");
                }
            }
        }
    }

    /// Decides on a response without length and chunks that ended between two events after `frames`
    /// frames. Targets that crash or cut their responses end them in the same way, so the item is
    /// complete only if [`CONFIRMATIONS`] targets had nothing to add, did not crash and got the whole item.
    async fn read_closed(
        &mut self,
        mut slot: Slot,
        seen: Option<u64>,
        frames: u32,
        upload: &Upload,
    ) -> RunEnd {
        let node = Arc::clone(&self.keeper.node);
        let target = slot.target.id.clone();
        let added = self.last_event != seen;
        let alive = self.last_event.is_some()
            && node
                .may_be_complete(&slot.target, &self.spec.id, upload)
                .await;
        if alive && !self.confirmed.contains(&target) {
            self.confirmed.push(target.clone());
        }
        if self.confirmed.len() >= CONFIRMATIONS {
            slot.set_ended(GrantOutcome::Answered);
            return RunEnd::Completed;
        }
        if self.last_event.is_none() {
            self.crashes += 1;
        }
        let ended = if added {
            GrantOutcome::Answered
        } else {
            GrantOutcome::Broken
        };
        node.end_early(slot, &self.spec.id, frames, ended);
        self.retry(&target, "closed", "")
    }

    /// Decides on a complete response without any event. The item is complete only if
    /// [`CONFIRMATIONS`] targets had nothing to add, or the only one of their version.
    fn read_empty(&mut self, slot: &Slot) -> RunEnd {
        let target = slot.target.id.clone();
        if !self.confirmed.contains(&target) {
            self.confirmed.push(target.clone());
        }
        let view = self.keeper.node.view();
        let ready = view.ready(&slot.target.service);
        let same = ready.filter(|target| target.version == slot.target.version);
        let needed = CONFIRMATIONS.min(same.count());
        drop(view);
        if self.confirmed.len() >= needed {
            return RunEnd::Completed;
        }
        if self.last_event.is_none() {
            self.crashes += 1;
        }
        self.retry(&target, "empty", "")
    }

    /// Discards a run that doesn't go on after the last event.
    fn retry_stray(&mut self, target: &str) -> RunEnd {
        self.strays += 1;
        if self.strays >= STRAYS_MAX {
            self.reset();
        }
        self.retry(target, "stray", "no event after the last one")
    }

    /// Appends an event and returns whether it is the expected next one.
    fn take_event(&mut self, id: Option<u64>, data: Option<&str>) -> bool {
        let Some(data) = data else { return true };
        if let (Some(id), Some(seen)) = (id, self.last_event)
            && seen.checked_add(1) != Some(id)
        {
            self.reset();
            return false;
        }
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.confirmed.clear();
        self.unnumbered |= id.is_none();
        self.last_event =
            Some(id.unwrap_or_else(|| self.last_event.map_or(0, |seen| seen.saturating_add(1))));
        self.crashes = 0;
        true
    }

    /// Discards the text of a run for which there is no room.
    fn give_up_text(&mut self, target: String) -> RunEnd {
        self.roomless += 1;
        // Targets in trouble may have it happen again and again.
        if self.roomless.is_power_of_two() {
            let budget = self.share.budget();
            log::warn!(
                item = self.spec.id.as_str(), batch = self.ready.job.name.id.as_str(),
                target = target.as_str(), text_bytes = self.text.len(),
                used_bytes = budget.used_bytes(), max_bytes = budget.max_bytes(),
                times = self.roomless;
                "no room for the text of an item"
            );
        }
        self.reset();
        self.avoid.push(target);
        let doublings = (self.roomless - 1).min(ROOM_DOUBLINGS);
        RunEnd::Held(ROOM_DELAY * 2_u32.pow(doublings))
    }

    /// Discards the output, so that the next run starts from the beginning.
    fn reset(&mut self) {
        // Clearing it would keep its memory.
        self.text = String::new();
        self.last_event = None;
        self.unnumbered = false;
        self.confirmed.clear();
        self.strays = 0;
        self.began = None;
        self.waits = 0;
    }

    fn retry(&mut self, target: &str, outcome: &str, reason: &str) -> RunEnd {
        self.log_failure(target, outcome, reason);
        self.avoid.push(target.to_owned());
        if self.keeper.is_open(self.ready.job.number) {
            return RunEnd::Retry;
        }
        RunEnd::Closed
    }

    fn set_state(&self, state: ItemState) {
        self.keeper.set_state(&self.ready, state);
    }

    fn log_failure(&self, target: &str, outcome: &str, reason: &str) {
        log::warn!(
            item = self.spec.id.as_str(), batch = self.ready.job.name.id.as_str(), target, outcome,
            reason, seen = self.last_event, failed = self.failed, crashes = self.crashes;
            "run failed"
        );
    }

    fn end(self, state: ItemStatus, reason: &str) {
        let late = self
            .keeper
            .node
            .clock
            .wall_time()
            .0
            .saturating_sub(self.ready.due.0);
        log::info!(
            item = self.spec.id.as_str(), batch = self.ready.job.name.id.as_str(), state:% = state,
            reason, late_ms = late, failed = self.failed, target = self.target.as_str(),
            framing = self.framing.map(Framing::as_str), seen = self.last_event;
            "item ended"
        );
        let (text, share) = match state {
            ItemStatus::Completed => (self.text, self.share),
            ItemStatus::Errored => {
                let none = ByteShare::new(Arc::clone(&self.keeper.texts));
                (String::new(), none)
            }
        };
        let ended = EndedItem {
            job: self.ready.job.number,
            item: self.ready.item,
            state,
            text,
        };
        self.keeper.end_item(ended, share);
    }
}

/// How long to wait before an item is run again whose last `crashes` runs broke before their first
/// event. Targets that crash one after the other must not cost a sound item its result, so it is
/// run until it is given up for its age.
fn crash_delay(crashes: u32) -> Duration {
    let Some(doublings) = crashes.checked_sub(CRASHES_QUICK + 1) else {
        return Duration::ZERO;
    };
    let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
    FAILED_DELAY.saturating_mul(factor).min(CRASH_DELAY_MAX)
}

/// Returns once a job is closed on this process.
async fn wait_closed(keeper: &Keeper, closed: &mut watch::Receiver<u64>, job: JobNumber) {
    while keeper.is_open(job) {
        if closed.changed().await.is_err() {
            return;
        }
    }
}
