//! Runs requests that must run at most once, with the ledger of this incarnation.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use http::StatusCode;
use tokio::{sync::watch, time::timeout_at};

use super::{
    answer::{Answer, Outcome},
    job::Job,
    ledger::{Begin, Ledger},
    pass::{Keeper, Passing, keeper},
    runner::Runner,
};
use crate::{
    clock::Clock,
    consts::IDEMPOTENCY_KEY_HEADER,
    owner_id::{FleetKey, Keyring, Owner, Purpose},
};

/// Bits by which the random first key of a life is shortened, so that nearly all keys are left.
const FIRST_KEY_SHIFT: u32 = 4;

/// Gives out idempotency keys and runs each at most once.
#[derive(Debug)]
pub struct Once {
    clock: Clock,
    keyring: Keyring,
    /// This process under each incarnation that issued keys; all share the ledger.
    lives: Mutex<Vec<Owner>>,
    passing: Passing,
    shared: Arc<Shared>,
}

/// The ledger, and a channel for each running request that closes at its end.
#[derive(Debug)]
struct Books {
    ledger: Ledger,
    running: HashMap<u32, watch::Receiver<()>>,
}

#[derive(Debug)]
struct Shared {
    books: Mutex<Books>,
    open: watch::Sender<usize>,
}

impl Once {
    /// Returns the service of one incarnation.
    pub fn new(clock: Clock, keys: &[FleetKey], owner: Owner, passing: Passing) -> Self {
        Self {
            clock,
            keyring: Keyring::new(keys, Purpose::Request),
            lives: Mutex::new(vec![owner]),
            passing,
            shared: Arc::new(Shared {
                books: Mutex::new(Books {
                    ledger: Ledger::starting_at(rand::random::<u32>() >> FIRST_KEY_SHIFT),
                    running: HashMap::new(),
                }),
                open: watch::Sender::new(0),
            }),
        }
    }

    /// Returns a new key that only this process runs; `None` once it has none left.
    pub fn new_key(&self) -> Option<String> {
        let now = self.clock.now();
        let nonce = self.shared.books().ledger.issue(now)?;
        Some(hex::encode(self.keyring.encrypt(&self.life(), nonce)))
    }

    /// Returns this process under its current incarnation, which changes after a long freeze.
    fn life(&self) -> Owner {
        let incarnation = self.passing.local.get().incarnation;
        let mut lives = self.lives();
        let mut life = lives[lives.len() - 1];
        if life.incarnation != incarnation {
            life.incarnation = incarnation;
            lives.push(life);
        }
        life
    }

    fn lives(&self) -> MutexGuard<'_, Vec<Owner>> {
        self.lives.lock().expect("lives lock")
    }

    /// Waits until no request is running.
    pub async fn settled(&self) {
        let mut open = self.shared.open.subscribe();
        // The channel closes with this service only.
        let _ = open.wait_for(|count| *count == 0).await;
    }

    /// Runs a request at most once, here or where its key was issued, and returns its answer.
    pub async fn run(&self, job: &Job, runner: &Arc<Runner>) -> Answer {
        let Some(key) = job.header(IDEMPOTENCY_KEY_HEADER) else {
            let why = "repeat the request with the key of this answer";
            return Answer::not_run(StatusCode::PRECONDITION_REQUIRED, why);
        };
        let Ok(id) = hex::decode(key) else {
            let why = "the idempotency key is not one of this service";
            return Answer::not_run(StatusCode::BAD_REQUEST, why);
        };
        let Some((owner, nonce)) = self.keyring.decrypt(&id) else {
            return Answer::unknown();
        };
        let view = self.passing.directory.view();
        let keeper = keeper(&owner, &self.lives(), &view);
        if keeper != Keeper::Local {
            tracing::info!(event = "request_passed", id = job.id(), owner = %owner.address, ?keeper);
        }
        match keeper {
            Keeper::Local => self.run_here(nonce, job, runner).await,
            Keeper::Remote(peer) => self.passing.pass(&owner, peer, job).await,
            Keeper::Gone => Answer::unknown(),
            Keeper::Foreign => {
                let why = "the idempotency key is not one of this service";
                Answer::not_run(StatusCode::BAD_REQUEST, why)
            }
        }
    }

    /// Runs a request that another agent passed on; "unknown" if its key is not one of this life.
    pub async fn run_passed(&self, job: &Job, runner: &Arc<Runner>) -> Answer {
        let opened = job
            .header(IDEMPOTENCY_KEY_HEADER)
            .and_then(|key| hex::decode(key).ok())
            .and_then(|id| self.keyring.decrypt(&id));
        match opened {
            Some((owner, nonce)) if self.lives().contains(&owner) => {
                self.run_here(nonce, job, runner).await
            }
            _ => Answer::unknown(),
        }
    }

    async fn run_here(&self, nonce: u32, job: &Job, runner: &Arc<Runner>) -> Answer {
        let begin = self.shared.begin(nonce, job, &self.clock);
        match begin {
            Ok(claim) => {
                tokio::spawn(claim.run(job.clone(), runner.clone()));
            }
            Err(Begin::Run | Begin::Running) => {}
            Err(Begin::Ended(answer)) => return answer,
            Err(Begin::Unknown | Begin::NotIssued) => return Answer::unknown(),
            Err(Begin::Mismatch) => {
                let why = "the idempotency key belongs to another request";
                return Answer::not_run(StatusCode::UNPROCESSABLE_ENTITY, why);
            }
            Err(Begin::Stale) => {
                let why = "the idempotency key has expired; repeat with the key of this answer";
                return Answer::not_run(StatusCode::PRECONDITION_REQUIRED, why);
            }
        }
        let deadline = self.clock.instant(job.deadline);
        self.shared.wait(nonce, deadline).await
    }
}

impl Shared {
    fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().expect("ledger lock")
    }

    /// Claims a key for a request; fails with what the ledger says if it may not run.
    fn begin(self: &Arc<Self>, nonce: u32, job: &Job, clock: &Clock) -> Result<Claim, Begin> {
        let mut books = self.books();
        match books.ledger.begin(nonce, job.fingerprint(), clock.now()) {
            Begin::Run => {}
            other => return Err(other),
        }
        let (end, receiver) = watch::channel(());
        books.running.insert(nonce, receiver);
        drop(books);
        self.open.send_modify(|count| *count += 1);
        Ok(Claim {
            nonce,
            shared: self.clone(),
            _end: end,
        })
    }

    /// Waits for the final answer of a key; "unknown" if none comes by the deadline.
    async fn wait(&self, nonce: u32, deadline: tokio::time::Instant) -> Answer {
        let receiver = self.books().running.get(&nonce).cloned();
        if let Some(mut end) = receiver {
            let closed = async { while end.changed().await.is_ok() {} };
            let _ = timeout_at(deadline, closed).await;
        }
        let books = self.books();
        let answer = books.ledger.answer(nonce).cloned();
        answer.unwrap_or_else(Answer::unknown)
    }
}

/// The right to run the request of a key; an outcome is recorded however it ends.
#[derive(Debug)]
struct Claim {
    nonce: u32,
    shared: Arc<Shared>,
    _end: watch::Sender<()>,
}

impl Claim {
    async fn run(self, job: Job, runner: Arc<Runner>) {
        let (Ok(answer) | Err(answer)) = runner.run(&job).await;
        if answer.outcome == Outcome::Unknown {
            return;
        }
        self.shared.books().ledger.end(self.nonce, answer);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Ok(mut books) = self.shared.books.lock() {
            books.ledger.lose(self.nonce);
            books.running.remove(&self.nonce);
        }
        self.shared.open.send_modify(|count| *count -= 1);
    }
}
