//! Runs requests with an idempotency key at most once.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use http::StatusCode;
use tokio::{sync::watch, time::timeout_at};

use super::{
    job::Job,
    ledger::{KeyStatus, Ledger},
    reply::{Outcome, Reply},
    request_forwarding::{KeyOwner, RequestForwarder, find_key_owner},
    runner::Runner,
};
use crate::{
    clock::Clock,
    consts::IDEMPOTENCY_KEY_HEADER,
    owner_id::{FleetKey, Keyring, Owner, Purpose},
};

/// Bits by which the random first key is shifted right, so that at least 15 of 16 keys remain.
const FIRST_KEY_SHIFT: u32 = 4;

/// Issues idempotency keys and runs the request of each key at most once.
#[derive(Debug)]
pub struct AtMostOnce {
    clock: Clock,
    keyring: Keyring,
    /// Owners under which this process has issued keys, one per incarnation; all share the ledger.
    local_owners: Mutex<Vec<Owner>>,
    forwarder: RequestForwarder,
    shared: Arc<SharedLedger>,
}

/// The ledger, and for each running request a channel that closes when it ends.
#[derive(Debug)]
struct LedgerState {
    ledger: Ledger,
    running: HashMap<u32, watch::Receiver<()>>,
}

/// Ledger and running requests, shared with the tasks that run them.
#[derive(Debug)]
struct SharedLedger {
    state: Mutex<LedgerState>,
    running_count: watch::Sender<usize>,
}

impl AtMostOnce {
    /// Returns an instance that issues keys of `owner`, with an empty ledger.
    pub fn new(clock: Clock, keys: &[FleetKey], owner: Owner, forwarder: RequestForwarder) -> Self {
        Self {
            clock,
            keyring: Keyring::new(keys, Purpose::Request),
            local_owners: Mutex::new(vec![owner]),
            forwarder,
            shared: Arc::new(SharedLedger {
                state: Mutex::new(LedgerState {
                    ledger: Ledger::with_first_key(rand::random::<u32>() >> FIRST_KEY_SHIFT),
                    running: HashMap::new(),
                }),
                running_count: watch::Sender::new(0),
            }),
        }
    }

    /// Returns a new idempotency key that this process is responsible for; `None` if all are
    /// issued.
    pub fn new_key(&self) -> Option<String> {
        let now = self.clock.now();
        let key_number = self.shared.lock().ledger.issue(now)?;
        Some(hex::encode(
            self.keyring.encrypt(&self.current_owner(), key_number),
        ))
    }

    /// Returns this process under its current incarnation.
    ///
    /// The incarnation changes if the process was frozen long enough to be declared dead.
    fn current_owner(&self) -> Owner {
        let incarnation = self.forwarder.local.get().incarnation;
        let mut local_owners = self.local_owners();
        let mut owner = local_owners[local_owners.len() - 1];
        if owner.incarnation != incarnation {
            owner.incarnation = incarnation;
            local_owners.push(owner);
        }
        owner
    }

    fn local_owners(&self) -> MutexGuard<'_, Vec<Owner>> {
        self.local_owners.lock().expect("local owners lock")
    }

    /// Waits until no request with an idempotency key is running.
    pub async fn wait_idle(&self) {
        let mut running_count = self.shared.running_count.subscribe();
        // The sender lives as long as `self`, so that waiting can't fail.
        let _ = running_count.wait_for(|count| *count == 0).await;
    }

    /// Runs a request at most once, here or at the agent that issued its key, and returns its
    /// reply.
    pub async fn run(&self, job: &Job, runner: &Arc<Runner>) -> Reply {
        let Some(key) = job.header(IDEMPOTENCY_KEY_HEADER) else {
            let reason = "repeat the request with the key of this answer";
            return Reply::not_run(StatusCode::PRECONDITION_REQUIRED, reason);
        };
        let Ok(encrypted_key) = hex::decode(key) else {
            let reason = "the idempotency key is not one of this service";
            return Reply::not_run(StatusCode::BAD_REQUEST, reason);
        };
        let Some((owner, key_number)) = self.keyring.decrypt(&encrypted_key) else {
            // The key may have been issued under a fleet key that has since been removed, so its
            // request may have run.
            return Reply::unknown();
        };
        let view = self.forwarder.directory.view();
        let responsible = find_key_owner(&owner, &self.local_owners(), &view);
        if responsible != KeyOwner::Local {
            tracing::info!(event = "request_passed", id = job.id(), owner = %owner.address, key_owner = ?responsible);
        }
        match responsible {
            KeyOwner::Local => self.run_locally(key_number, job, runner).await,
            KeyOwner::Remote(peer) => self.forwarder.forward(&owner, peer, job).await,
            KeyOwner::Gone => Reply::unknown(),
            KeyOwner::Foreign => {
                let reason = "the idempotency key is not one of this service";
                Reply::not_run(StatusCode::BAD_REQUEST, reason)
            }
        }
    }

    /// Runs a request that another agent forwarded; its outcome is unknown if the key is not one of
    /// this process.
    pub async fn run_forwarded(&self, job: &Job, runner: &Arc<Runner>) -> Reply {
        let decrypted = job
            .header(IDEMPOTENCY_KEY_HEADER)
            .and_then(|key| hex::decode(key).ok())
            .and_then(|encrypted_key| self.keyring.decrypt(&encrypted_key));
        match decrypted {
            Some((owner, key_number)) if self.local_owners().contains(&owner) => {
                self.run_locally(key_number, job, runner).await
            }
            _ => Reply::unknown(),
        }
    }

    async fn run_locally(&self, key_number: u32, job: &Job, runner: &Arc<Runner>) -> Reply {
        let started = self.shared.start(key_number, job, &self.clock);
        match started {
            Ok(claim) => {
                tokio::spawn(claim.run(job.clone(), runner.clone()));
            }
            Err(KeyStatus::New | KeyStatus::Running) => {}
            Err(KeyStatus::Completed(reply)) => return reply,
            Err(KeyStatus::Unknown | KeyStatus::NotIssued) => return Reply::unknown(),
            Err(KeyStatus::Mismatch) => {
                let reason = "the idempotency key belongs to another request";
                return Reply::not_run(StatusCode::UNPROCESSABLE_ENTITY, reason);
            }
            Err(KeyStatus::Expired) => {
                let reason = "the idempotency key has expired; repeat with the key of this answer";
                return Reply::not_run(StatusCode::PRECONDITION_REQUIRED, reason);
            }
        }
        let deadline = self.clock.instant(job.deadline);
        self.shared.wait(key_number, deadline).await
    }
}

impl SharedLedger {
    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().expect("ledger lock")
    }

    /// Claims a key for a request.
    ///
    /// # Errors
    ///
    /// Returns the status of the key if the request may not run.
    fn start(
        self: &Arc<Self>,
        key_number: u32,
        job: &Job,
        clock: &Clock,
    ) -> Result<Claim, KeyStatus> {
        let mut state = self.lock();
        match state
            .ledger
            .start(key_number, job.fingerprint(), clock.now())
        {
            KeyStatus::New => {}
            other => return Err(other),
        }
        let (end_sender, end_receiver) = watch::channel(());
        state.running.insert(key_number, end_receiver);
        drop(state);
        self.running_count.send_modify(|count| *count += 1);
        Ok(Claim {
            key_number,
            shared: self.clone(),
            _end: end_sender,
        })
    }

    /// Waits for the final reply of a key; its outcome is unknown if there is none by the deadline.
    async fn wait(&self, key_number: u32, deadline: tokio::time::Instant) -> Reply {
        let receiver = self.lock().running.get(&key_number).cloned();
        if let Some(mut end) = receiver {
            let closed = async { while end.changed().await.is_ok() {} };
            let _ = timeout_at(deadline, closed).await;
        }
        let state = self.lock();
        let reply = state.ledger.reply(key_number).cloned();
        reply.unwrap_or_else(Reply::unknown)
    }
}

/// The right to run the request of a key; the outcome is unknown if it is dropped before a reply.
#[derive(Debug)]
struct Claim {
    key_number: u32,
    shared: Arc<SharedLedger>,
    _end: watch::Sender<()>,
}

impl Claim {
    async fn run(self, job: Job, runner: Arc<Runner>) {
        let (Ok(reply) | Err(reply)) = runner.run(&job).await;
        if reply.outcome == Outcome::Unknown {
            return;
        }
        self.shared.lock().ledger.complete(self.key_number, reply);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Ok(mut state) = self.shared.state.lock() {
            state.ledger.mark_unknown(self.key_number);
            state.running.remove(&self.key_number);
        }
        self.shared.running_count.send_modify(|count| *count -= 1);
    }
}
