//! State shared by the tasks of the process.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use clem_boot::Clock;
use clem_intake::CallRoom;
use clem_policy::JobId;
use clem_types::{FenceNumber, HolderId, Incarnation, Time};
use clem_wire::{
    LeaderClient,
    batch::FinishedAttempt,
    sync::{Holder, LoadedModel, OrderResult},
};
use tokio::sync::{Notify, mpsc};

use crate::{Command, Core, engine::Engine};

/// Receives the commands of one job, in order.
pub(crate) type Commands = mpsc::UnboundedReceiver<Command>;

/// State shared by the tasks of the process.
pub(crate) struct Agent {
    /// Identity of this process towards the control leader.
    pub(crate) holder: Holder,
    /// The process clock; the core gets its time as an argument.
    pub(crate) clock: Clock,
    /// Client for the control leader: rules, crashes and orders.
    pub(crate) control: LeaderClient,
    /// Client for batch items, on separate connections.
    pub(crate) batch_control: LeaderClient,
    /// HTTP client of the target.
    pub(crate) engine: Engine,
    /// Memory for the requests of callers.
    pub(crate) room: CallRoom,
    /// Wakes the timer loop after each change of the core.
    pub(crate) changed: Notify,
    /// Wakes the sync loop to send a new report to the control leader.
    pub(crate) report_due: Notify,
    /// Wakes the health check: a connection to the target failed.
    pub(crate) probe_due: Notify,
    /// Wakes the lease loop: a slot may be free.
    pub(crate) slot_free: Notify,
    /// Wakes the loop that reports batch results.
    pub(crate) results_ready: Notify,
    inner: Mutex<Inner>,
}

/// State behind the lock, which is never held across an await.
struct Inner {
    core: Core,
    jobs: HashMap<JobId, mpsc::UnboundedSender<Command>>,
    ends: VecDeque<FinishedAttempt>,
    models: Vec<LoadedModel>,
    fence: FenceNumber,
    order_results: Vec<OrderResult>,
}

impl Agent {
    pub(crate) fn new(
        holder: Holder,
        clock: Clock,
        control: LeaderClient,
        batch_control: LeaderClient,
        engine: Engine,
        room: CallRoom,
        core: Core,
    ) -> Self {
        Self {
            holder,
            clock,
            control,
            batch_control,
            engine,
            room,
            changed: Notify::new(),
            report_due: Notify::new(),
            probe_due: Notify::new(),
            slot_free: Notify::new(),
            results_ready: Notify::new(),
            inner: Mutex::new(Inner {
                core,
                jobs: HashMap::new(),
                ends: VecDeque::new(),
                models: Vec::new(),
                fence: FenceNumber(0),
                order_results: Vec::new(),
            }),
        }
    }

    /// Current time of the process clock.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Identifies this run of the process.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.holder.incarnation
    }

    /// ID of this process towards the control leader.
    pub(crate) fn holder_id(&self) -> HolderId {
        self.holder.id.clone()
    }

    /// Address of the target.
    pub(crate) fn target_address(&self) -> SocketAddr {
        self.engine.address()
    }

    /// Reads the core under the lock.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Core) -> T) -> T {
        read(&self.lock().core)
    }

    /// Changes the core, runs [`Core::tick`] and sends the resulting commands to the jobs.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut Core, Time) -> T) -> T {
        let mut inner = self.lock();
        let now = self.now();
        let value = change(&mut inner.core, now);
        inner.core.tick(now);
        inner.send_commands();
        drop(inner);
        self.changed.notify_one();
        self.slot_free.notify_one();
        value
    }

    /// Adds the job that `admit` returns and opens its command channel.
    pub(crate) fn admit<E>(
        &self,
        admit: impl FnOnce(&mut Core, Time) -> Result<JobId, E>,
    ) -> Result<(JobId, Commands), E> {
        let mut inner = self.lock();
        let now = self.now();
        let id = admit(&mut inner.core, now)?;
        let (sender, commands) = mpsc::unbounded_channel();
        inner.jobs.insert(id, sender);
        inner.core.tick(now);
        inner.send_commands();
        drop(inner);
        self.changed.notify_one();
        Ok((id, commands))
    }

    /// Removes a job whose task has ended.
    pub(crate) fn remove_job(&self, id: JobId) {
        self.change(|core, now| core.remove_job(now, id));
        self.lock().jobs.remove(&id);
    }

    /// Queues the return of a leased item that can't run here.
    pub(crate) fn return_item(&self, end: FinishedAttempt) {
        self.lock().ends.push_back(end);
        self.results_ready.notify_one();
    }

    /// Removes batch jobs whose results have been reported; their leases are no longer renewed.
    pub(crate) fn remove_reported(&self, ends: &[FinishedAttempt]) {
        self.change(|core, now| {
            for end in ends {
                if let Some(id) = core.job_for_lease(end.lease) {
                    core.remove_job(now, id);
                }
            }
        });
    }

    /// Queues the result of a batch job whose task has ended. The job remains until the
    /// result has been reported.
    pub(crate) fn queue_end(&self, id: JobId, end: FinishedAttempt) {
        self.change(|core, now| core.mark_finished(now, id));
        let mut inner = self.lock();
        inner.jobs.remove(&id);
        inner.ends.push_back(end);
        drop(inner);
        self.results_ready.notify_one();
    }

    /// Takes results to report, stopping once they exceed about `bytes`.
    pub(crate) fn take_ends(&self, bytes: usize) -> Vec<FinishedAttempt> {
        let mut inner = self.lock();
        let mut taken = Vec::new();
        let mut size = 0;
        while let Some(end) = inner.ends.pop_front() {
            size += end_bytes(&end);
            taken.push(end);
            if size >= bytes {
                break;
            }
        }
        taken
    }

    /// Whether results are waiting to be reported.
    pub(crate) fn has_ends(&self) -> bool {
        !self.lock().ends.is_empty()
    }

    /// Models of the engine, as last read; empty for a plain service.
    pub(crate) fn models(&self) -> Vec<LoadedModel> {
        self.lock().models.clone()
    }

    /// Sets the models of the engine and triggers a report if they changed.
    pub(crate) fn set_models(&self, models: Vec<LoadedModel>) {
        let mut inner = self.lock();
        if inner.models == models {
            return;
        }
        inner.models = models;
        drop(inner);
        self.report_due.notify_one();
    }

    /// The highest fence number accepted so far.
    pub(crate) fn fence(&self) -> FenceNumber {
        self.lock().fence
    }

    /// Raises the fence number. Returns false if a higher one was accepted before.
    pub(crate) fn raise_fence(&self, fence: FenceNumber) -> bool {
        let mut inner = self.lock();
        if fence < inner.fence {
            return false;
        }
        inner.fence = fence;
        true
    }

    /// Queues the result of an order until it has been reported.
    pub(crate) fn queue_order_result(&self, result: OrderResult) {
        self.lock().order_results.push(result);
        self.report_due.notify_one();
    }

    /// Results of orders that have not been reported yet.
    pub(crate) fn order_results(&self) -> Vec<OrderResult> {
        self.lock().order_results.clone()
    }

    /// Removes results that have been reported.
    pub(crate) fn remove_order_results(&self, reported: &[OrderResult]) {
        let mut inner = self.lock();
        inner
            .order_results
            .retain(|result| !reported.contains(result));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn send_commands(&mut self) {
        for (id, command) in self.core.take_commands() {
            let Some(sender) = self.jobs.get(&id) else {
                continue;
            };
            // Fails only if the job's task has ended, and then no command is needed.
            let _ = sender.send(command);
        }
    }
}

fn end_bytes(end: &FinishedAttempt) -> usize {
    const FRAME_BYTES: usize = 64;
    match &end.end {
        clem_wire::batch::AttemptEnd::Done { body, .. } => body.len() + FRAME_BYTES,
        clem_wire::batch::AttemptEnd::Returned | clem_wire::batch::AttemptEnd::Lost { .. } => {
            FRAME_BYTES
        }
    }
}
