//! The micro-kernel of a process: starts and stops its tasks and keeps a registry of its services.

use std::{
    any::Any,
    collections::HashMap,
    future::Future,
    sync::{Arc, Mutex},
};

use snafu::{OptionExt, Snafu};
use tokio::{sync::watch, task::JoinHandle};

use crate::clock::Clock;

/// An error in looking up a service in the registry.
#[derive(Debug, Snafu)]
pub enum KernelError {
    /// No service is published under the name.
    #[snafu(display("no service is published under the name {name}"))]
    NotFound {
        /// The name that was looked up.
        name: &'static str,
    },
    /// The service under the name has another type.
    #[snafu(display("service {name} is published with another type than the requested one"))]
    WrongType {
        /// The name that was looked up.
        name: &'static str,
    },
}

type Service = Arc<dyn Any + Send + Sync>;

/// Notifies its holder when the kernel stops.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<()>);

impl StopSignal {
    /// Waits until the kernel stops.
    pub async fn stopped(&mut self) {
        while self.0.changed().await.is_ok() {}
    }
}

/// Runs the tasks of one process and keeps the registry of its services.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
/// use berylvalve_core::kernel::Kernel;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let kernel = Kernel::new();
/// kernel.publish("answer", Arc::new(42_u32));
/// assert_eq!(*kernel.find::<u32>("answer").unwrap(), 42);
/// kernel.stop().await;
/// # }
/// ```
#[derive(Debug)]
pub struct Kernel {
    clock: Clock,
    services: Mutex<HashMap<&'static str, Service>>,
    stop_sender: Mutex<Option<watch::Sender<()>>>,
    stop_signal: StopSignal,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Default for Kernel {
    fn default() -> Self {
        Self::new()
    }
}

impl Kernel {
    /// Returns a kernel without services and tasks, whose clock starts now.
    pub fn new() -> Self {
        let (sender, receiver) = watch::channel(());
        Self {
            clock: Clock::start(),
            services: Mutex::default(),
            stop_sender: Mutex::new(Some(sender)),
            stop_signal: StopSignal(receiver),
            tasks: Mutex::default(),
        }
    }

    /// Returns the clock that all tasks of the process share.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns a signal that completes when the kernel stops.
    pub fn stop_signal(&self) -> StopSignal {
        self.stop_signal.clone()
    }

    /// Publishes a service under a name, replacing an earlier one of that name.
    pub fn publish<T: Send + Sync + 'static>(&self, name: &'static str, service: Arc<T>) {
        let mut services = self.services.lock().expect("registry lock");
        services.insert(name, service);
    }

    /// Returns the service published under a name.
    ///
    /// # Errors
    ///
    /// Fails if there is none, or if it is not a `T`.
    pub fn find<T: Send + Sync + 'static>(
        &self,
        name: &'static str,
    ) -> Result<Arc<T>, KernelError> {
        let services = self.services.lock().expect("registry lock");
        let service = services.get(name).context(NotFoundSnafu { name })?.clone();
        service.downcast().ok().context(WrongTypeSnafu { name })
    }

    /// Spawns a task, which is dropped when the kernel stops.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut signal = self.stop_signal();
        let handle = tokio::spawn(async move {
            tokio::select! {
                () = signal.stopped() => {}
                () = task => {}
            }
        });
        self.tasks.lock().expect("task lock").push(handle);
    }

    /// Stops all spawned tasks and waits until they have ended.
    pub async fn stop(&self) {
        self.stop_sender.lock().expect("stop lock").take();
        let tasks = std::mem::take(&mut *self.tasks.lock().expect("task lock"));
        for task in tasks {
            let _ = task.await;
        }
    }
}
