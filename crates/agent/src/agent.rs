//! What the tasks of the process share.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use clem_boot::Clock;
use clem_policy::JobId;
use clem_types::{FenceNumber, HolderId, Incarnation, Time};
use clem_wire::{
    ControlClient,
    batch::ItemEnd,
    sync::{Holder, LoadedModel, OrderResult},
};
use tokio::sync::{Notify, mpsc};

use crate::{Command, Core, engine::Engine};

/// The commands of one job, in order.
pub(crate) type Commands = mpsc::UnboundedReceiver<Command>;

/// What the tasks of the process share.
pub(crate) struct Agent {
    /// Who this process is to the control leader.
    pub(crate) holder: Holder,
    /// The clock of the process.
    pub(crate) clock: Clock,
    /// Calls to the control leader for rules, crashes and orders.
    pub(crate) control: ControlClient,
    /// Calls to the control leader for batch items, on connections of their own.
    pub(crate) batch_control: ControlClient,
    /// The client of the target.
    pub(crate) engine: Engine,
    /// Wakes the driver: the core has changed.
    pub(crate) changed: Notify,
    /// Wakes the sync loop: there is news for the control leader.
    pub(crate) news: Notify,
    /// Wakes the watch: a connection to the target broke.
    pub(crate) suspicion: Notify,
    /// Wakes the lease loop: there is room.
    pub(crate) room: Notify,
    /// Wakes the finish loop: there are results.
    pub(crate) results: Notify,
    inner: Mutex<Inner>,
}

/// The state behind the lock; the lock is never held across a wait.
struct Inner {
    core: Core,
    jobs: HashMap<JobId, mpsc::UnboundedSender<Command>>,
    ends: VecDeque<ItemEnd>,
    models: Vec<LoadedModel>,
    fence: FenceNumber,
    order_results: Vec<OrderResult>,
}

impl Agent {
    pub(crate) fn new(
        holder: Holder,
        clock: Clock,
        control: ControlClient,
        batch_control: ControlClient,
        engine: Engine,
        core: Core,
    ) -> Self {
        Self {
            holder,
            clock,
            control,
            batch_control,
            engine,
            changed: Notify::new(),
            news: Notify::new(),
            suspicion: Notify::new(),
            room: Notify::new(),
            results: Notify::new(),
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

    /// The present.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// This life of the process.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.holder.incarnation
    }

    /// The process's name towards the control leader.
    pub(crate) fn holder_id(&self) -> HolderId {
        self.holder.id.clone()
    }

    /// The target's address.
    pub(crate) fn target_address(&self) -> SocketAddr {
        self.engine.address()
    }

    /// Reads the core.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Core) -> T) -> T {
        read(&self.lock().core)
    }

    /// Changes the core, decides anew and sends jobs their commands.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut Core, Time) -> T) -> T {
        let mut inner = self.lock();
        let now = self.now();
        let value = change(&mut inner.core, now);
        inner.core.tick(now);
        inner.deliver();
        drop(inner);
        self.changed.notify_one();
        self.room.notify_one();
        value
    }

    /// Takes in a job by `admit` and gives back its commands.
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
        inner.deliver();
        drop(inner);
        self.changed.notify_one();
        Ok((id, commands))
    }

    /// A job's task is over.
    pub(crate) fn forget(&self, id: JobId) {
        self.change(|core, now| core.end(now, id));
        self.lock().jobs.remove(&id);
    }

    /// An item was leased and can't run here.
    pub(crate) fn give_back(&self, end: ItemEnd) {
        self.lock().ends.push_back(end);
        self.results.notify_one();
    }

    /// Ends have been reported and taken: their leases are over.
    pub(crate) fn ends_taken(&self, ends: &[ItemEnd]) {
        self.change(|core, now| {
            for end in ends {
                if let Some(id) = core.job_of(end.lease) {
                    core.end(now, id);
                }
            }
        });
    }

    /// A batch job's task is over; its end is kept until the control leader has taken it.
    pub(crate) fn keep_end(&self, id: JobId, end: ItemEnd) {
        self.change(|core, now| core.finished(now, id));
        let mut inner = self.lock();
        inner.jobs.remove(&id);
        inner.ends.push_back(end);
        drop(inner);
        self.results.notify_one();
    }

    /// Takes ends to report, up to about `bytes` of results.
    pub(crate) fn take_ends(&self, bytes: usize) -> Vec<ItemEnd> {
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

    /// Whether ends wait to be reported.
    pub(crate) fn has_ends(&self) -> bool {
        !self.lock().ends.is_empty()
    }

    /// What the engine has loaded.
    pub(crate) fn models(&self) -> Vec<LoadedModel> {
        self.lock().models.clone()
    }

    /// Sets what the engine has loaded, and says so to the control leader when it is news.
    pub(crate) fn set_models(&self, models: Vec<LoadedModel>) {
        let mut inner = self.lock();
        if inner.models == models {
            return;
        }
        inner.models = models;
        drop(inner);
        self.news.notify_one();
    }

    /// The highest fence number that has been obeyed.
    pub(crate) fn fence(&self) -> FenceNumber {
        self.lock().fence
    }

    /// Remembers a fence number; false when a higher one has been obeyed.
    pub(crate) fn raise_fence(&self, fence: FenceNumber) -> bool {
        let mut inner = self.lock();
        if fence < inner.fence {
            return false;
        }
        inner.fence = fence;
        true
    }

    /// Keeps the answer to an order until it has been reported.
    pub(crate) fn keep_order(&self, result: OrderResult) {
        self.lock().order_results.push(result);
        self.news.notify_one();
    }

    /// The answers to orders that have not been reported.
    pub(crate) fn order_results(&self) -> Vec<OrderResult> {
        self.lock().order_results.clone()
    }

    /// Answers that have been reported.
    pub(crate) fn orders_reported(&self, reported: &[OrderResult]) {
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
    fn deliver(&mut self) {
        for (id, command) in self.core.take_commands() {
            let Some(sender) = self.jobs.get(&id) else {
                continue;
            };
            // A job whose task has ended needs no command.
            let _ = sender.send(command);
        }
    }
}

fn end_bytes(end: &ItemEnd) -> usize {
    const FRAME_BYTES: usize = 64;
    match &end.end {
        clem_wire::batch::AttemptEnd::Done { body, .. } => body.len() + FRAME_BYTES,
        clem_wire::batch::AttemptEnd::Returned | clem_wire::batch::AttemptEnd::Lost { .. } => {
            FRAME_BYTES
        }
    }
}
