//! Asynchronous interface of [`Admission`]: requests wait here for a slot of the backend server.

use std::sync::{Arc, Mutex};

use slotmap::SecondaryMap;
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use super::{
    admission::{Action, Admission, AdmissionDecision, Arrival, Refusal, WaiterId},
    capacity::{CapacityEstimator, ServerOutcome},
    pressure::Pressure,
};
use crate::{
    clock::{Clock, Time},
    member::{Directory, View},
    membership::LocalRecord,
};

/// Interval at which the weight is checked for changes.
const WEIGHT_CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(250);

type AdmitResult = Result<Permit, Refusal>;

#[derive(Debug)]
struct State {
    admission: Admission,
    capacity: CapacityEstimator,
    senders: SecondaryMap<WaiterId, oneshot::Sender<AdmitResult>>,
}

/// Admission gate of one backend server, published as [`Gate::NAME`].
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    directory: Arc<Directory>,
    local: Arc<LocalRecord>,
    pressure: Arc<Pressure>,
    state: Mutex<State>,
    wake: Notify,
}

/// A slot of the backend server. Dropping it releases the slot; without [`Permit::finish`] the
/// request counts as abandoned.
#[derive(Debug)]
pub struct Permit {
    started: Time,
    outcome: ServerOutcome,
    gate: Arc<Gate>,
}

/// A connection of the backend server, released on drop.
#[derive(Debug)]
pub struct FeedPermit(Arc<Gate>);

/// Removes a request from the queue if the future that waits for its slot is dropped.
struct WaiterGuard<'a> {
    gate: &'a Arc<Gate>,
    id: WaiterId,
}

impl Gate {
    /// Name of the component in the kernel's registry.
    pub const NAME: &'static str = "gate";

    /// Creates the gate of an idle server with its number of slots and connections.
    pub fn new(
        clock: Clock,
        (slots, connections): (u32, u32),
        directory: Arc<Directory>,
        local: Arc<LocalRecord>,
        pressure: Arc<Pressure>,
    ) -> Self {
        let state = State {
            admission: Admission::new(slots, connections),
            capacity: CapacityEstimator::new(slots, clock.now()),
            senders: SecondaryMap::new(),
        };
        Self {
            clock,
            directory,
            local,
            pressure,
            state: Mutex::new(state),
            wake: Notify::new(),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that did not run.
    pub async fn admit(self: &Arc<Self>, arrival: &Arrival) -> Result<Permit, Refusal> {
        let (sender, receiver) = oneshot::channel();
        // `Ok(Ok(id))` waits, `Ok(Err(permit))` has started at once, `Err` is refused.
        let id_or_permit =
            self.apply(
                |gate, state, now| match state.admission.try_admit(arrival, now) {
                    AdmissionDecision::Start => Ok(Err(gate.permit(now))),
                    AdmissionDecision::Wait(id) => {
                        state.senders.insert(id, sender);
                        Ok(Ok(id))
                    }
                    AdmissionDecision::Refuse(refusal) => Err(refusal),
                },
            )?;
        let id = match id_or_permit {
            Err(permit) => return Ok(permit),
            Ok(id) => id,
        };
        self.wake.notify_one();
        let guard = WaiterGuard { gate: self, id };
        let result = receiver.await.expect("each waiter is started or refused");
        std::mem::forget(guard);
        result
    }

    /// Returns whether a request of this priority would get a slot at once or precede a waiter
    /// without a reservation by its priority alone.
    pub fn has_room(&self, priority: u8) -> bool {
        let state = self.state.lock().expect("gate lock");
        state.admission.has_room(priority)
    }

    /// Reserves a connection for a feed.
    ///
    /// # Errors
    ///
    /// Returns a refusal if all connections for feeds are in use.
    pub fn open_feed(self: &Arc<Self>) -> Result<FeedPermit, Refusal> {
        self.apply(|_, state, now| state.admission.open_feed(now))?;
        Ok(FeedPermit(self.clone()))
    }

    /// Polls the admission control when it is due and announces the weight; runs until the task is
    /// aborted.
    pub async fn run(self: Arc<Self>) {
        let mut next_check = Instant::now();
        loop {
            if Instant::now() >= next_check {
                self.announce_weight();
                next_check = Instant::now() + WEIGHT_CHECK_INTERVAL;
            }
            let due = self.apply(|_, state, _| state.admission.next_poll());
            let due = due.map_or(next_check, |due| self.clock.instant(due).min(next_check));
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep_until(due) => {}
            }
        }
    }

    fn permit(self: &Arc<Self>, now: Time) -> Permit {
        Permit {
            started: now,
            outcome: ServerOutcome::Abandoned,
            gate: self.clone(),
        }
    }

    /// Applies a change to the state, then starts and refuses waiters accordingly.
    fn apply<R>(self: &Arc<Self>, change: impl FnOnce(&Arc<Self>, &mut State, Time) -> R) -> R {
        let now = self.clock.now();
        let mut admit_results = Vec::new();
        let result = {
            let mut state = self.state.lock().expect("gate lock");
            let result = change(self, &mut state, now);
            let estimate = state.capacity.estimate(now);
            state.admission.set_capacity(estimate);
            for action in state.admission.poll(now) {
                let (id, admit_result) = match action {
                    Action::Start(id) => (id, Ok(self.permit(now))),
                    Action::Refuse(id, refusal) => (id, Err(refusal)),
                };
                admit_results.push((state.senders.remove(id), admit_result));
            }
            self.pressure.set(state.admission.pressure());
            result
        };
        // If the waiter is gone, its permit is dropped here. Dropping it takes the lock, so the lock
        // must be released before.
        for (sender, admit_result) in admit_results {
            let _ = sender.map(|sender| sender.send(admit_result));
        }
        result
    }

    fn announce_weight(&self) {
        let own = self.local.get();
        let peer_mean = mean_weight(&self.directory.view(), &own);
        let now = self.clock.now();
        let weight = {
            let mut state = self.state.lock().expect("gate lock");
            state.capacity.take_announcement(peer_mean, now)
        };
        let Some(weight) = weight else { return };
        tracing::info!(event = "weight_announced", weight, before = own.weight);
        self.local.update(|record| record.weight = weight);
    }
}

/// Returns the mean weight of the service's other ready agents, or `None` if there are none.
fn mean_weight(view: &View, own: &crate::member::Record) -> Option<u16> {
    let mut count = 0;
    let mut sum = 0;
    for record in view.members.values() {
        if !record.is_ready_peer(own) {
            continue;
        }
        count += 1;
        sum += u32::from(record.weight);
    }
    sum.checked_div(count).map(|mean| mean as u16)
}

impl Permit {
    /// Records the outcome of the request and releases the slot.
    pub fn finish(mut self, outcome: ServerOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (started, outcome) = (self.started, self.outcome);
        self.gate.apply(|_, state, now| {
            state.capacity.record_outcome(outcome, started, now);
            state.admission.release_slot();
        });
    }
}

impl Drop for FeedPermit {
    fn drop(&mut self) {
        self.0.apply(|_, state, _| state.admission.close_feed());
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.gate.apply(|_, state, _| {
            state.admission.cancel(self.id);
            state.senders.remove(self.id);
        });
    }
}
