//! One item's runs, until it has a result or has to wait for its next turn.

use std::{sync::Arc, time::Duration};

use clem_direct::{Events, Outcome, Placed, Reply, Shipment, Slot};
use clem_edge::{Forward, ItemSpec, ItemStatus};
use clem_policy::dispatch::{GrantOutcome, SlotRequest, Ticket, Urgency};
use clem_state::jobs::{EndedItem, JobNumber};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use http_body_util::BodyExt;
use tokio::sync::{oneshot, watch};

use crate::{board::Ready, keeper::Keeper};

/// How long the hub may hold a request for a slot.
const PLACE_PATIENCE: Duration = Duration::from_millis(1200);
/// The pause after there was no slot.
const BUSY_PAUSE: Duration = Duration::from_millis(150);
/// The pause after a run that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// How long a stream may stand still; engines make events many times a second.
const STILL: Duration = Duration::from_millis(2500);
/// Runs in a row that broke without a single event, after which an item is taken for one that
/// crashes its targets and is not run again.
const CRASHES_MAX: u32 = 3;

/// An item while it is run.
pub(crate) struct ItemRun {
    keeper: Arc<Keeper>,
    ready: Ready,
    spec: ItemSpec,
    /// The data of the events so far.
    text: String,
    /// The last event.
    seen: Option<u64>,
    /// Runs that the target failed.
    failed: u32,
    /// Runs in a row that broke without an event.
    crashes: u32,
    avoid: Vec<String>,
    /// The target of the last run.
    target: String,
}

/// How one run ended.
enum Run {
    Whole,
    /// It goes on elsewhere from where it stands.
    Again,
    /// The target failed it.
    Failed,
    /// It can never be done.
    Impossible,
    /// Its job is not to be run any more.
    Closed,
}

impl ItemRun {
    pub(crate) fn new(keeper: Arc<Keeper>, ready: Ready, spec: ItemSpec) -> Self {
        Self {
            keeper,
            ready,
            spec,
            text: String::new(),
            seen: None,
            failed: 0,
            crashes: 0,
            avoid: Vec::new(),
            target: String::new(),
        }
    }

    /// Runs the item until it has a result, or its job is closed.
    pub(crate) async fn run(mut self) {
        let mut closed = self.keeper.closed();
        let job = self.ready.job.number;
        loop {
            if !self.keeper.is_open(job) {
                break;
            }
            if self.keeper.node.clock.wall() >= self.ready.keep {
                self.end(ItemStatus::Errored, "given up");
                return;
            }
            let keeper = Arc::clone(&self.keeper);
            let run = tokio::select! {
                run = self.run_once() => run,
                () = wait_closed(&keeper, &mut closed, job) => Run::Closed,
            };
            match run {
                Run::Whole => {
                    self.end(ItemStatus::Completed, "completed");
                    return;
                }
                Run::Impossible => {
                    self.end(ItemStatus::Errored, "impossible");
                    return;
                }
                Run::Failed => {
                    self.failed += 1;
                    self.restart();
                    if self.failed >= self.ready.job.options.attempts {
                        self.end(ItemStatus::Errored, "failed");
                        return;
                    }
                    tokio::time::sleep(FAILED_PAUSE).await;
                }
                Run::Again => {}
                Run::Closed => break,
            }
        }
        self.keeper.finish(job, self.ready.item);
    }

    async fn run_once(&mut self) -> Run {
        if self.crashes >= CRASHES_MAX {
            tokio::time::sleep(FAILED_PAUSE).await;
            return Run::Again;
        }
        let mut slot = match self.place().await {
            Placed::Slot(slot) => slot,
            Placed::OverRate(_) | Placed::Busy { .. } => {
                tokio::time::sleep(BUSY_PAUSE).await;
                self.avoid.clear();
                return Run::Again;
            }
        };
        let recall = self.keeper.await_recall(slot.ticket());
        let node = Arc::clone(&self.keeper.node);
        let target = slot.target.id.clone();
        self.target.clone_from(&target);
        let shipment = self.shipment();
        let id = self.spec.id.clone();
        let customer = self.ready.job.name.customer.clone();
        let forward = Forward {
            id: &id,
            target: &target,
            customer: Some(&customer),
            patience: None,
            seen: self.seen,
        };
        let sent = tokio::time::timeout(STILL, node.send(&mut slot, &shipment, &forward)).await;
        match sent {
            Ok(Outcome::Answered(reply)) => self.take(slot, *reply, recall).await,
            Ok(Outcome::NotSent(reason)) => self.again(&target, "not sent", &reason),
            Ok(Outcome::Refused(_)) => self.again(&target, "not run", ""),
            Ok(Outcome::Lost(reason)) => {
                self.crashes += 1;
                self.again(&target, "lost", &reason)
            }
            Err(_) => {
                slot.note(GrantOutcome::Silent);
                self.again(&target, "silent", "")
            }
        }
    }

    async fn place(&self) -> Placed {
        let left = self
            .ready
            .due
            .0
            .saturating_sub(self.keeper.node.clock.wall().0);
        let want = SlotRequest {
            ticket: Ticket(0),
            holder: String::new(),
            service: self.ready.job.options.service.clone(),
            customer: None,
            rank: self.ready.job.options.rank,
            urgency: Urgency::Batch {
                due: Duration::from_millis(left),
            },
            final_try: false,
            on_time: PLACE_PATIENCE,
            patience: PLACE_PATIENCE,
            data_centre: String::new(),
            avoid: self.avoid.clone(),
        };
        self.keeper.node.place(want, None).await
    }

    fn shipment(&self) -> Shipment {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.spec.headers {
            let name = HeaderName::try_from(name.as_str());
            let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value.as_str())) else {
                log::warn!(item = self.spec.id.as_str(); "header of an item can't be sent");
                continue;
            };
            headers.append(name, value);
        }
        if let Ok(host) = HeaderValue::try_from(self.ready.job.options.host.as_str()) {
            headers.insert(header::HOST, host);
        }
        Shipment {
            method: Method::POST,
            path: self.spec.path.clone(),
            headers,
            body: self.spec.body.clone(),
        }
    }

    /// Takes a target's answer.
    async fn take(&mut self, mut slot: Slot, reply: Reply, recall: oneshot::Receiver<()>) -> Run {
        let (head, mut body, connection) = reply.into_parts();
        let target = slot.target.id.clone();
        match head.status {
            status if status.is_success() => {}
            StatusCode::INTERNAL_SERVER_ERROR => {
                slot.note(GrantOutcome::Answered);
                self.note(&target, "failed", "500");
                return Run::Failed;
            }
            StatusCode::UNPROCESSABLE_ENTITY => {
                slot.note(GrantOutcome::Answered);
                return Run::Impossible;
            }
            status => {
                slot.note(GrantOutcome::Full);
                return self.again(&target, "refused", status.as_str());
            }
        }
        let mut events = Events::default();
        tokio::pin!(recall);
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(STILL, body.frame()) => frame,
                Ok(()) = &mut recall => {
                    slot.note(GrantOutcome::Answered);
                    log::info!(
                        item = self.spec.id.as_str(), target = target.as_str(), seen = self.seen;
                        "slot called back"
                    );
                    return Run::Again;
                }
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    events.push(&data);
                    while let Some(event) = events.next_event() {
                        if !self.take_event(event.id, event.data.as_deref()) {
                            return self.again(&target, "out of order", "");
                        }
                    }
                }
                Ok(None) if events.is_empty() => {
                    self.keeper.node.keep(&mut slot, connection);
                    return Run::Whole;
                }
                Ok(None) => return self.again(&target, "cut", ""),
                Ok(Some(Err(error))) => {
                    if self.seen.is_none() {
                        self.crashes += 1;
                    }
                    return self.again(&target, "broken", &error.to_string());
                }
                Err(_) => {
                    slot.note(GrantOutcome::Silent);
                    return self.again(&target, "silent", "");
                }
            }
        }
    }

    /// Adds an event; says whether it is the one that follows.
    fn take_event(&mut self, id: Option<u64>, data: Option<&str>) -> bool {
        let Some(data) = data else { return true };
        if let (Some(id), Some(seen)) = (id, self.seen)
            && id != seen + 1
        {
            self.restart();
            return false;
        }
        if self.seen.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.seen = Some(id.unwrap_or_else(|| self.seen.map_or(0, |seen| seen + 1)));
        self.crashes = 0;
        true
    }

    /// Drops what there is, so that the next run starts from the beginning.
    fn restart(&mut self) {
        self.text.clear();
        self.seen = None;
    }

    fn again(&mut self, target: &str, outcome: &str, reason: &str) -> Run {
        self.note(target, outcome, reason);
        self.avoid.push(target.to_owned());
        if self.keeper.is_open(self.ready.job.number) {
            return Run::Again;
        }
        Run::Closed
    }

    fn note(&self, target: &str, outcome: &str, reason: &str) {
        log::warn!(
            item = self.spec.id.as_str(), batch = self.ready.job.name.id.as_str(), target, outcome,
            reason, seen = self.seen, failed = self.failed, crashes = self.crashes;
            "run failed"
        );
    }

    fn end(self, state: ItemStatus, reason: &str) {
        let late = self
            .keeper
            .node
            .clock
            .wall()
            .0
            .saturating_sub(self.ready.due.0);
        log::info!(
            item = self.spec.id.as_str(), batch = self.ready.job.name.id.as_str(), state:% = state,
            reason, late_ms = late, failed = self.failed, target = self.target.as_str();
            "item ended"
        );
        let text = match state {
            ItemStatus::Completed => self.text,
            ItemStatus::Errored => String::new(),
        };
        self.keeper.end_item(EndedItem {
            job: self.ready.job.number,
            item: self.ready.item,
            state,
            text,
        });
    }
}

/// Waits until a job is not to be run here any more.
async fn wait_closed(keeper: &Keeper, closed: &mut watch::Receiver<u64>, job: JobNumber) {
    while keeper.is_open(job) {
        if closed.changed().await.is_err() {
            return;
        }
    }
}
