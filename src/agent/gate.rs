//! Admits requests to the backend server: the asynchronous side of [`Admission`].

use std::sync::{Arc, Mutex};

use slotmap::SecondaryMap;
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use super::{
    admission::{Action, Admission, Arrival, Refusal, Verdict, WaiterId},
    capacity::{Capacity, Ended},
    pressure::Pressure,
};
use crate::{
    clock::{Clock, Time},
    member::{Directory, View},
    membership::LocalRecord,
};

/// Longest time between two looks at the weight.
const WEIGHT_INTERVAL: std::time::Duration = std::time::Duration::from_millis(250);

type Decision = Result<Permit, Refusal>;

#[derive(Debug)]
struct State {
    admission: Admission,
    capacity: Capacity,
    senders: SecondaryMap<WaiterId, oneshot::Sender<Decision>>,
}

/// The gate in front of one backend server, under the name [`Gate::NAME`].
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    directory: Arc<Directory>,
    local: Arc<LocalRecord>,
    pressure: Arc<Pressure>,
    state: Mutex<State>,
    wake: Notify,
}

/// A slot of the backend server, freed when dropped.
#[derive(Debug)]
pub struct Permit {
    began: Time,
    ended: Ended,
    gate: Arc<Gate>,
}

/// A connection of the backend server, freed when dropped.
#[derive(Debug)]
pub struct FeedPermit(Arc<Gate>);

/// Takes a request out of the queue when its caller is gone.
struct Waiting<'a> {
    gate: &'a Arc<Gate>,
    id: WaiterId,
}

impl Gate {
    /// Name of the service in the kernel's registry.
    pub const NAME: &'static str = "gate";

    /// Returns the gate of an idle server.
    pub fn new(
        clock: Clock,
        (slots, connections): (u32, u32),
        directory: Arc<Directory>,
        local: Arc<LocalRecord>,
        pressure: Arc<Pressure>,
    ) -> Self {
        let state = State {
            admission: Admission::new(slots, connections),
            capacity: Capacity::new(slots, clock.now()),
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
    /// Returns the refusal; the request did not run.
    pub async fn admit(self: &Arc<Self>, arrival: &Arrival) -> Result<Permit, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let waiter = self.step(
            |gate, state, now| match state.admission.arrive(arrival, now) {
                Verdict::Start => Ok(Err(gate.permit(now))),
                Verdict::Wait(id) => {
                    state.senders.insert(id, sender);
                    Ok(Ok(id))
                }
                Verdict::Refuse(refusal) => Err(refusal),
            },
        )?;
        let id = match waiter {
            Err(permit) => return Ok(permit),
            Ok(id) => id,
        };
        self.wake.notify_one();
        let waiting = Waiting { gate: self, id };
        let decision = receiver.await.expect("each waiter gets a decision");
        std::mem::forget(waiting);
        decision
    }

    /// Returns whether a request would get a slot at once, or the place of one of lower priority.
    pub fn has_room(&self, priority: u8) -> bool {
        let state = self.state.lock().expect("gate lock");
        state.admission.has_room(priority)
    }

    /// Takes a connection for a feed.
    ///
    /// # Errors
    ///
    /// Returns the refusal if all connections are in use.
    pub fn open_feed(self: &Arc<Self>) -> Result<FeedPermit, Refusal> {
        self.step(|_, state, now| state.admission.open_feed(now))?;
        Ok(FeedPermit(self.clone()))
    }

    /// Refuses waiters in time and announces the weight until it is aborted.
    pub async fn run(self: Arc<Self>) {
        let mut look_at = Instant::now();
        loop {
            if Instant::now() >= look_at {
                self.announce();
                look_at = Instant::now() + WEIGHT_INTERVAL;
            }
            let due = self.step(|_, state, _| state.admission.next_poll());
            let due = due.map_or(look_at, |due| self.clock.instant(due).min(look_at));
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep_until(due) => {}
            }
        }
    }

    fn permit(self: &Arc<Self>, now: Time) -> Permit {
        Permit {
            began: now,
            ended: Ended::Abandoned,
            gate: self.clone(),
        }
    }

    /// Applies an event and carries out what follows from it.
    fn step<R>(self: &Arc<Self>, event: impl FnOnce(&Arc<Self>, &mut State, Time) -> R) -> R {
        let now = self.clock.now();
        let mut decisions = Vec::new();
        let result = {
            let mut state = self.state.lock().expect("gate lock");
            let result = event(self, &mut state, now);
            let pace = state.capacity.pace(now);
            state.admission.set_pace(pace);
            for action in state.admission.poll(now) {
                let (id, decision) = match action {
                    Action::Start(id) => (id, Ok(self.permit(now))),
                    Action::Refuse(id, refusal) => (id, Err(refusal)),
                };
                decisions.push((state.senders.remove(id), decision));
            }
            self.pressure.set(state.admission.pressure());
            result
        };
        // A permit that its waiter no longer takes frees its slot here, outside the lock.
        for (sender, decision) in decisions {
            let _ = sender.map(|sender| sender.send(decision));
        }
        result
    }

    fn announce(&self) {
        let own = self.local.get();
        let peers = mean_weight(&self.directory.view(), &own);
        let now = self.clock.now();
        let weight = {
            let mut state = self.state.lock().expect("gate lock");
            state.capacity.announcement(peers, now)
        };
        let Some(weight) = weight else { return };
        tracing::info!(event = "weight_announced", weight, before = own.weight);
        self.local.update(|record| record.weight = weight);
    }
}

/// Returns the mean weight of the other ready agents of a service.
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
    /// Frees the slot and tells how the request ended.
    pub fn end(mut self, ended: Ended) {
        self.ended = ended;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (began, ended) = (self.began, self.ended);
        self.gate.step(|_, state, now| {
            state.capacity.ended(ended, began, now);
            state.admission.finish();
        });
    }
}

impl Drop for FeedPermit {
    fn drop(&mut self) {
        self.0.step(|_, state, _| state.admission.close_feed());
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gate.step(|_, state, _| {
            state.admission.cancel(self.id);
            state.senders.remove(self.id);
        });
    }
}
