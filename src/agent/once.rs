//! Runs requests that must run at most once, with the ledger of this incarnation.

use std::sync::{
    Mutex,
    atomic::{AtomicU32, Ordering},
};

use http::StatusCode;

use super::{
    answer::{Answer, Outcome},
    job::Job,
    ledger::{Begin, Ledger},
    runner::Runner,
};
use crate::{
    clock::Clock,
    consts::KEY_HEADER,
    owner_id::{FleetKey, Keyring, Owner, Purpose},
};

/// Gives out idempotency keys and runs each at most once.
#[derive(Debug)]
pub struct Once {
    clock: Clock,
    keyring: Keyring,
    ledger: Mutex<Ledger>,
    nonce: AtomicU32,
    owner: Owner,
}

impl Once {
    /// Returns the service of one incarnation.
    pub fn new(clock: Clock, keys: &[FleetKey], owner: Owner) -> Self {
        Self {
            clock,
            keyring: Keyring::new(keys, Purpose::Request),
            ledger: Mutex::default(),
            nonce: AtomicU32::new(1),
            owner,
        }
    }

    /// Returns a new key that only this incarnation runs.
    pub fn new_key(&self) -> String {
        let nonce = self.nonce.fetch_add(1, Ordering::Relaxed);
        hex::encode(self.keyring.seal(&self.owner, nonce))
    }

    /// Runs a request at most once and returns its answer.
    pub async fn run(&self, job: &Job, runner: &Runner) -> Answer {
        let Some(key) = job.header(KEY_HEADER) else {
            let why = "repeat the request with the key of this answer";
            return Answer::not_run(StatusCode::PRECONDITION_REQUIRED, why);
        };
        let Some(nonce) = self.own_nonce(key) else {
            return Answer::unknown();
        };
        let begin = self
            .ledger
            .lock()
            .expect("ledger lock")
            .begin(nonce, self.clock.now());
        match begin {
            Begin::Run => {}
            Begin::Running | Begin::Unknown => return Answer::unknown(),
            Begin::Ended(answer) => return answer,
        }
        let result = runner.run(job).await;
        self.record(nonce, &result);
        result.unwrap_or_else(|answer| answer)
    }

    /// Returns the nonce of a key that this incarnation issued.
    fn own_nonce(&self, key: &str) -> Option<u32> {
        let id = hex::decode(key).ok()?;
        let (owner, nonce) = self.keyring.open(&id)?;
        (owner == self.owner).then_some(nonce)
    }

    fn record(&self, nonce: u32, result: &Result<Answer, Answer>) {
        let now = self.clock.now();
        let mut ledger = self.ledger.lock().expect("ledger lock");
        match result {
            Ok(answer) => ledger.end(nonce, answer.clone(), now),
            Err(answer) if answer.outcome == Outcome::NotRun => ledger.release(nonce),
            Err(_) => ledger.lose(nonce, now),
        }
    }
}
