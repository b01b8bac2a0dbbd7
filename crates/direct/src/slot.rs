//! Slots at targets: asked of the hub's leader, or taken alone while none answers.

use std::{sync::Arc, time::Duration};

use clem_edge::TargetVm;
use clem_policy::dispatch::{
    GrantOutcome, HeldGrant, RateLimit, SlotRequest, Ticket, Urgency, Verdict,
};
use clem_wire::{
    CallError,
    fleet::{Ping, Place, Release},
};

use crate::Node;

/// How long ends of requests wait for others, so that they travel together.
const RELEASE_PAUSE: Duration = Duration::from_millis(2);
/// How long an answer of the leader may be on its way, beyond the time for which it may be held.
const ANSWER_SLACK: Duration = Duration::from_millis(150);
/// How long a message that gives slots back is waited for.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the leader may say nothing to anybody here before it is asked whether it is there, and
/// how long it may take to say so.
const QUIET_MAX: Duration = Duration::from_millis(120);
/// When to come back while there is no target.
const NO_TARGET_RETRY: Duration = Duration::from_millis(400);

/// A slot at a target; given back when it is dropped.
pub struct Slot {
    node: Arc<Node>,
    ticket: Ticket,
    ended: GrantOutcome,
    /// The target.
    pub target: TargetVm,
    /// Whether it was taken without the hub's leader.
    pub alone: bool,
}

/// What became of asking for a slot.
pub enum Placed {
    /// The request may be sent.
    Slot(Slot),
    /// The customer is over its rate.
    OverRate(Duration),
    /// There is no room.
    Busy {
        /// When to come back.
        retry: Duration,
        /// How long the request would have waited.
        wait: Duration,
    },
}

impl Slot {
    /// Says how the request ended; before that it counts as not sent.
    pub fn note(&mut self, ended: GrantOutcome) {
        self.ended = ended;
    }

    /// The number of the slot.
    pub fn ticket(&self) -> Ticket {
        self.ticket
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.node.give_back(self.ticket, self.ended);
    }
}

/// A ticket that is being asked for; if whoever asks goes away, the answer is not wanted.
struct Asking<'a> {
    node: &'a Node,
    ticket: Option<Ticket>,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.node.give_back(ticket, GrantOutcome::NotRun);
        }
    }
}

impl Node {
    /// Asks for a slot; `limit` is the customer's rate, for when no leader answers.
    pub async fn place(
        self: &Arc<Self>,
        mut want: SlotRequest,
        limit: Option<RateLimit>,
    ) -> Placed {
        want.ticket = self.new_ticket();
        want.holder.clone_from(&self.holder);
        want.data_centre.clone_from(&self.data_centre);
        let alone = self.alone().is_active();
        if alone {
            return self.place_alone(&want, limit);
        }
        let mut asking = Asking {
            node: self,
            ticket: Some(want.ticket),
        };
        let call = Place {
            want,
            ends: self.take_ends(),
        };
        let timeout = call.want.patience + ANSWER_SLACK;
        let answered = tokio::select! {
            answered = self.hub.ask_leader(&call, timeout) => answered,
            error = self.watch_leader() => Err(error),
        };
        let Place { want, ends } = call;
        let verdict = match answered {
            Ok(verdict) => verdict,
            Err(error) => {
                // Slots that are not given back now are found missing in the next report.
                if self.alone().note_silent() {
                    log::warn!(error:% = error, ends = ends.len(); "no leader places");
                }
                return self.place_alone(&want, limit);
            }
        };
        asking.ticket = None;
        self.note_leader();
        match verdict {
            Verdict::Granted { target, share } => {
                if let Some(customer) = &want.customer {
                    self.alone().note_share(self.now(), customer, share);
                }
                self.granted(&want, &target, false)
            }
            Verdict::OverRate { retry } => {
                if let Some(customer) = &want.customer {
                    self.alone().note_spent(customer);
                }
                Placed::OverRate(retry)
            }
            Verdict::Busy { retry, wait } => Placed::Busy { retry, wait },
            // A leader that has just begun may not have read the list yet.
            Verdict::NoTarget => self.place_alone(&want, limit),
        }
    }

    /// Returns once the leader is found to be silent: an answer that it holds back looks the same
    /// as one that will never come.
    async fn watch_leader(&self) -> CallError {
        loop {
            tokio::time::sleep(QUIET_MAX).await;
            let heard = self.leader_heard();
            if self.now().since(heard) < QUIET_MAX {
                continue;
            }
            match self.hub.ask_leader(&Ping {}, QUIET_MAX).await {
                Ok(()) => self.note_leader(),
                Err(error) => return error,
            }
        }
    }

    fn granted(self: &Arc<Self>, want: &SlotRequest, target: &str, alone: bool) -> Placed {
        let known = self.view().targets.get(target).cloned();
        let Some(target) = known else {
            // The leader's list is newer than this process's.
            self.give_back(want.ticket, GrantOutcome::NotRun);
            return Placed::Busy {
                retry: NO_TARGET_RETRY,
                wait: Duration::ZERO,
            };
        };
        self.hold(HeldGrant {
            ticket: want.ticket,
            service: want.service.clone(),
            target: target.id.clone(),
            batch: matches!(want.urgency, Urgency::Batch { .. }),
        });
        Placed::Slot(Slot {
            node: Arc::clone(self),
            ticket: want.ticket,
            ended: GrantOutcome::NotRun,
            target,
            alone,
        })
    }

    fn place_alone(self: &Arc<Self>, want: &SlotRequest, limit: Option<RateLimit>) -> Placed {
        let now = self.now();
        if matches!(want.urgency, Urgency::Batch { .. }) {
            return Placed::Busy {
                retry: NO_TARGET_RETRY,
                wait: Duration::ZERO,
            };
        }
        let fronts = self.view().fronts;
        if let (Some(customer), Some(limit)) = (&want.customer, limit)
            && let Err(retry) = self.alone().take(now, customer, limit, fronts)
        {
            return Placed::OverRate(retry);
        }
        let mut best: Option<(f64, TargetVm)> = None;
        for target in self.view().ready(&want.service) {
            if want.avoid.contains(&target.id) || self.alone().is_avoided(now, &target.id) {
                continue;
            }
            // Other fronts have their own share of each target.
            let load = self.held_at(&target.id) as f64 + self.draw() / 2.0;
            if best.as_ref().is_none_or(|(least, _)| load < *least) {
                best = Some((load, target.clone()));
            }
        }
        let Some((load, target)) = best else {
            return Placed::Busy {
                retry: NO_TARGET_RETRY,
                wait: Duration::ZERO,
            };
        };
        if load >= f64::from(target.slots) {
            return Placed::Busy {
                retry: want.on_time.max(NO_TARGET_RETRY),
                wait: want.on_time,
            };
        }
        self.granted(want, &target.id, true)
    }
}

/// Tells the leader which slots are given back, for as long as the process runs.
pub async fn release_loop(node: Arc<Node>) {
    loop {
        node.ends_ready.notified().await;
        tokio::time::sleep(RELEASE_PAUSE).await;
        let ends = node.take_ends();
        if ends.is_empty() {
            continue;
        }
        let call = Release {
            holder: node.holder.clone(),
            ends,
        };
        // A lost message is made good by the next report of what is held.
        if let Err(error) = node.hub.ask_leader(&call, RELEASE_TIMEOUT).await {
            log::debug!(error:% = error, slots = call.ends.len(); "slots not given back yet");
        }
    }
}
