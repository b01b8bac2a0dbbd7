//! Acquires slots at targets: from the hub's leader, or locally while no leader responds.

use std::{sync::Arc, time::Duration};

use clem_edge::TargetVm;
use clem_policy::dispatch::{
    Admission, GrantOutcome, HeldGrant, Origin, RateLimit, SUSPECT_RETRY, SlotRequest, Ticket,
    Urgency, Verdict,
};
use clem_wire::{
    CallError,
    fleet::{Ping, Release, RequestSlot},
};

use crate::Node;

/// How long the hub has been silent when batch items are placed without it, one at each target. Before
/// How long a request that is refused only because no leader is known waits for one: about as long as the
/// hub's members take to elect one after they have all started again.
const ELECTION_WAIT: Duration = Duration::from_millis(1000);
/// that online requests have the targets to themselves.
const ITEMS_ALONE_AFTER: Duration = Duration::from_secs(5);
/// How long released slots are collected before they are reported in one message.
const RELEASE_DELAY: Duration = Duration::from_millis(2);
/// Time allowed for the network and the leader, on top of the time that it may hold a request.
const REPLY_SLACK: Duration = Duration::from_millis(150);
/// Timeout of a message that releases slots.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the leader may be silent towards this process before it is pinged, and the timeout of
/// that ping.
const LEADER_SILENCE: Duration = Duration::from_millis(120);
/// How often a slot is asked for while the granted targets turn out to be leaving.
const PLACE_TRIES: u32 = 3;
/// Time after which to retry while no target is available.
const NO_TARGET_RETRY: Duration = Duration::from_millis(400);

/// A slot at a target; released when dropped.
pub struct Slot {
    node: Arc<Node>,
    ticket: Ticket,
    ended: GrantOutcome,
    /// The target that the slot belongs to.
    pub target: TargetVm,
    /// Whether the slot was taken without the hub's leader.
    pub without_leader: bool,
}

/// The result of asking for a slot.
pub enum SlotOutcome {
    /// A slot was granted; the request may be sent.
    Slot(Slot),
    /// The customer exceeds its rate; the value is the time after which to retry.
    OverRate(Duration),
    /// No slot is free.
    Busy {
        /// When to retry.
        retry: Duration,
        /// How long the request would have waited for a slot.
        wait: Duration,
        /// Why no slot is free.
        cause: BusyCause,
    },
    /// The request has parts that crash targets.
    Harmful,
    /// The stream can't go on: where it began is not known, or no target has that version.
    Unresumable,
}

/// Why no slot is free for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BusyCause {
    /// Other requests have them.
    Full,
    /// Another request with a suspected part runs.
    Suspected,
    /// No target is known that may run it.
    NoTarget,
    /// The hub was heard too recently to place batch items without it.
    Leaderless,
}

impl Slot {
    /// Records how the request ended; until then it counts as not sent.
    pub fn set_ended(&mut self, ended: GrantOutcome) {
        self.ended = ended;
    }

    /// Identifies the slot at the hub's leader.
    pub fn ticket(&self) -> Ticket {
        self.ticket
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.ended == GrantOutcome::Silent {
            let dropped = self.node.pool.drop_idle(self.target.address);
            log::info!(target = self.target.id.as_str(), dropped; "idle connections dropped");
        }
        self.node.release_slot(self.ticket, self.ended);
    }
}

/// Releases the ticket on drop unless the leader has replied, because it may still grant the ticket.
struct PendingTicket<'a> {
    node: &'a Node,
    ticket: Option<Ticket>,
}

impl Drop for PendingTicket<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.node.release_slot(ticket, GrantOutcome::NotRun);
        }
    }
}

impl Node {
    /// Asks for a slot. `limit` is the customer's rate, enforced locally while no leader responds.
    pub async fn place(
        self: &Arc<Self>,
        mut want: SlotRequest,
        limit: Option<RateLimit>,
    ) -> SlotOutcome {
        let avoid = want.avoid.clone();
        for _ in 0..PLACE_TRIES {
            want.avoid.clone_from(&avoid);
            want.avoid.extend(self.leaving_to_avoid(&want.service));
            if self.is_without_target(&want) {
                return SlotOutcome::Busy {
                    retry: NO_TARGET_RETRY,
                    wait: Duration::ZERO,
                    cause: BusyCause::NoTarget,
                };
            }
            let mut outcome = self.place_once(want.clone(), limit).await;
            // The leader that is being elected knows what the customer may still spend.
            if matches!(outcome, SlotOutcome::OverRate(_))
                && self.starts_alone()
                && self.wait_for_leader(want.queue_timeout).await
            {
                outcome = self.place_once(want.clone(), limit).await;
            }
            // The target may have said that it is leaving while the request was queued.
            match &outcome {
                SlotOutcome::Slot(slot) if self.must_avoid(&slot.target) => {}
                SlotOutcome::Slot(_)
                | SlotOutcome::OverRate(_)
                | SlotOutcome::Busy { .. }
                | SlotOutcome::Harmful
                | SlotOutcome::Unresumable => return outcome,
            }
        }
        SlotOutcome::Busy {
            retry: NO_TARGET_RETRY,
            wait: Duration::ZERO,
            cause: BusyCause::NoTarget,
        }
    }

    /// Waits for the first leader of a process that has just started, for a part of the time that a request
    /// may wait for a slot.
    async fn wait_for_leader(&self, queue_timeout: Duration) -> bool {
        let limit = ELECTION_WAIT.min(queue_timeout / 2);
        self.wait_until(limit, || !self.starts_alone()).await
    }

    /// Whether all targets that are known for a request are closed.
    fn is_without_target(&self, want: &SlotRequest) -> bool {
        let view = self.view();
        let mut ready = view.ready(&want.service).peekable();
        ready.peek().is_some() && ready.all(|target| self.is_closed(&target.id))
    }

    fn must_avoid(&self, target: &TargetVm) -> bool {
        self.is_leaving(&target.id) && self.leaving_to_avoid(&target.service).contains(&target.id)
    }

    async fn place_once(
        self: &Arc<Self>,
        mut want: SlotRequest,
        limit: Option<RateLimit>,
    ) -> SlotOutcome {
        want.ticket = self.new_ticket();
        want.holder.clone_from(&self.holder);
        want.data_centre.clone_from(&self.data_centre);
        let without_leader = self.fallback().is_active();
        if without_leader {
            return self.place_alone(want, limit).await;
        }
        let mut pending = PendingTicket {
            node: self,
            ticket: Some(want.ticket),
        };
        let call = RequestSlot {
            want,
            limits: self.limits().limits(),
            ends: self.take_ends(),
        };
        let timeout = call.want.queue_timeout + REPLY_SLACK;
        let answered = tokio::select! {
            answered = self.hub.ask_leader(&call, timeout) => answered,
            error = self.watch_leader() => Err(error),
        };
        let RequestSlot { want, ends, .. } = call;
        let verdict = match answered {
            Ok(verdict) => verdict,
            Err(error) => {
                // The releases in this call may be lost; the leader learns of them from the next
                // report of held slots.
                if self.fallback().note_silent() {
                    log::warn!(error:% = error, ends = ends.len(); "placing without a leader");
                }
                return self.place_alone(want, limit).await;
            }
        };
        pending.ticket = None;
        self.note_leader();
        match verdict {
            Verdict::Granted {
                target,
                share,
                origin,
            } => {
                if let Some(customer) = &want.customer {
                    self.fallback().note_share(self.now(), customer, share);
                }
                self.grant(&want, &target, origin.as_ref(), false)
            }
            Verdict::OverRate { retry } => {
                if let Some(customer) = &want.customer {
                    self.fallback().note_spent(customer);
                }
                SlotOutcome::OverRate(retry)
            }
            Verdict::Busy {
                retry,
                wait,
                suspected,
            } => SlotOutcome::Busy {
                retry,
                wait,
                cause: if suspected {
                    BusyCause::Suspected
                } else {
                    BusyCause::Full
                },
            },
            Verdict::Harmful => SlotOutcome::Harmful,
            Verdict::Unresumable => SlotOutcome::Unresumable,
            // A new leader may not have read the target list yet.
            Verdict::NoTarget => self.place_alone(want, limit).await,
        }
    }

    /// Returns once a ping to the leader fails. Without the ping, a failed leader couldn't be told
    /// from one that holds the request until a slot is free.
    async fn watch_leader(&self) -> CallError {
        loop {
            tokio::time::sleep(LEADER_SILENCE).await;
            let heard = self.leader_heard();
            if self.now().since(heard) < LEADER_SILENCE {
                continue;
            }
            match self.hub.ask_leader(&Ping {}, LEADER_SILENCE).await {
                Ok(()) => self.note_leader(),
                Err(error) => return error,
            }
        }
    }

    fn grant(
        self: &Arc<Self>,
        want: &SlotRequest,
        target: &str,
        granted: Option<&Origin>,
        without_leader: bool,
    ) -> SlotOutcome {
        let known = self.view().targets.get(target).cloned();
        // A target may come back under its id with another version.
        let is_same = |target: &TargetVm| granted.is_none_or(|o| o.version == target.version);
        let Some(target) = known.filter(is_same) else {
            // The leader has another target list than this process.
            self.release_slot(want.ticket, GrantOutcome::NotRun);
            return SlotOutcome::Busy {
                retry: NO_TARGET_RETRY,
                wait: Duration::ZERO,
                cause: BusyCause::NoTarget,
            };
        };
        let key = want.stream.as_ref().and_then(|stream| stream.key);
        if let Some(key) = key {
            let origin = Origin {
                service: target.service.clone(),
                version: target.version.clone(),
            };
            let customer = want.customer.as_deref().unwrap_or_default();
            self.streams()
                .note(self.now(), customer, key, origin, without_leader);
        }
        self.hold(HeldGrant {
            ticket: want.ticket,
            service: target.service.clone(),
            target: target.id.clone(),
            batch: matches!(want.urgency, Urgency::Batch { .. }),
            parts: want.parts.clone(),
        });
        SlotOutcome::Slot(Slot {
            node: Arc::clone(self),
            ticket: want.ticket,
            ended: GrantOutcome::NotRun,
            target,
            without_leader,
        })
    }

    /// Chooses a target without the hub's leader.
    async fn place_alone(
        self: &Arc<Self>,
        mut want: SlotRequest,
        limit: Option<RateLimit>,
    ) -> SlotOutcome {
        let mut unknown = None;
        let mut tied = self.streams().streams().tie(&mut want, |stream| {
            unknown = Some((stream.service.to_owned(), stream.span));
            None
        });
        if let Some((service, span)) = unknown {
            let origin = self.only_origin(want.ticket, &service, span).await;
            tied = self.streams().streams().tie(&mut want, |_| origin);
        }
        if !tied {
            return SlotOutcome::Unresumable;
        }
        self.place_locally(&want, limit)
    }

    /// Where a stream began whose attempt nobody remembers. Other processes may place streams by a newer
    /// list than this one's, so it reads the list once more.
    async fn only_origin(&self, ticket: Ticket, service: &str, span: Duration) -> Option<Origin> {
        let mut origin = self.settled_origin(self.now(), service, span);
        let mut listed = None;
        if origin.is_some() {
            listed = self.read_versions().await;
            origin = listed.and_then(|listed| self.settled_origin(listed, service, span));
        }
        log::info!(
            ticket = ticket.0, holder = self.holder.as_str(), service,
            version:? = origin.as_ref().map(|o| o.version.as_ref().map(ToString::to_string)),
            list_age_ms = listed.map(|listed| self.now().since(listed).as_millis() as u64);
            "stream of unknown origin"
        );
        origin
    }

    fn place_locally(
        self: &Arc<Self>,
        want: &SlotRequest,
        limit: Option<RateLimit>,
    ) -> SlotOutcome {
        let now = self.now();
        if self.view().blocked.iter().any(|b| b.blocks(&want.parts)) {
            return SlotOutcome::Harmful;
        }
        let is_item = matches!(want.urgency, Urgency::Batch { .. });
        if is_item
            && self
                .hub_silence()
                .is_none_or(|silence| silence < ITEMS_ALONE_AFTER)
        {
            return SlotOutcome::Busy {
                retry: NO_TARGET_RETRY,
                wait: Duration::ZERO,
                cause: BusyCause::Leaderless,
            };
        }
        let fronts = self.view().sharing_fronts();
        if let (Some(customer), Some(limit)) = (&want.customer, limit)
            && let Err(retry) = self.fallback().take(now, customer, limit, fronts)
        {
            return SlotOutcome::OverRate(retry);
        }
        let mut best: Option<(f64, TargetVm)> = None;
        let mut accepted = want.origin().is_none();
        let is_versioned = self.view().is_versioned(&want.service);
        // Processes that follow the hub may not know of the other versions yet.
        let published_only = want.begins_stream() && {
            let view = self.view();
            view.ready(&want.service).any(|t| view.is_published(t))
        };
        let view = self.view();
        let has_warm = {
            let cold = self.cold();
            let mut ready = view.ready(&want.service);
            ready.any(|target| cold.is_warm(now, &target.id, &target.service))
        };
        for target in view.ready(&want.service) {
            let accepts = |origin: &Origin| {
                origin.version == target.version && (origin.version.is_some() || !is_versioned)
            };
            if !want.origin().is_none_or(accepts) {
                continue;
            }
            if published_only && !view.is_published(target) {
                continue;
            }
            accepted = true;
            if want.avoid.contains(&target.id) || self.fallback().is_avoided(now, &target.id) {
                continue;
            }
            if !self.limits().is_open(now, &target.id, fronts) {
                continue;
            }
            let is_warm = self.cold().is_warm(now, &target.id, &target.service);
            if !is_warm && (has_warm || !self.may_use_cold(now, target, fronts)) {
                continue;
            }
            if is_item && self.holds_item_at(&target.id) {
                continue;
            }
            // The load from other fronts is not known here, so only the slots that this process
            // holds count; the random part breaks ties.
            let load = self.held_at(&target.id) as f64 + self.random() / 2.0;
            if best.as_ref().is_none_or(|(least, _)| load < *least) {
                best = Some((load, target.clone()));
            }
        }
        drop(view);
        if !accepted {
            return SlotOutcome::Unresumable;
        }
        let Some((load, target)) = best else {
            return SlotOutcome::Busy {
                retry: NO_TARGET_RETRY,
                wait: Duration::ZERO,
                cause: BusyCause::NoTarget,
            };
        };
        if load >= f64::from(target.slots) {
            return SlotOutcome::Busy {
                retry: want.on_time.max(NO_TARGET_RETRY),
                wait: want.on_time,
                cause: BusyCause::Full,
            };
        }
        let admission = self.crashes().admit(now, want);
        match admission {
            Admission::Free => {
                self.limits().take(now, &target.id);
                self.take_cold(now, &target.id);
                self.grant(want, &target.id, None, true)
            }
            Admission::Later => SlotOutcome::Busy {
                retry: SUSPECT_RETRY,
                wait: Duration::ZERO,
                cause: BusyCause::Suspected,
            },
            Admission::Blocked => SlotOutcome::Harmful,
        }
    }
}

/// Reports released slots to the leader until the process exits.
pub async fn release_loop(node: Arc<Node>) {
    loop {
        node.ends_ready.notified().await;
        tokio::time::sleep(RELEASE_DELAY).await;
        let ends = node.take_ends();
        let leaving = node.take_leaving_news();
        let limits = node.limits().take_news();
        if ends.is_empty() && leaving.is_empty() && limits.is_empty() {
            continue;
        }
        let call = Release {
            holder: node.holder.clone(),
            leaving,
            limits,
            ends,
        };
        // The next poll makes up for a lost message: it reports all held slots and leaving targets.
        if let Err(error) = node.hub.ask_leader(&call, RELEASE_TIMEOUT).await {
            log::debug!(error:% = error, slots = call.ends.len(); "slots not released yet");
        }
    }
}
