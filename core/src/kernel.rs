//! The micro-kernel: starts and stops tasks and lets services find each other by name.

use std::{
    any::Any,
    collections::HashMap,
    future::Future,
    sync::{Arc, Mutex},
};

use snafu::{OptionExt, Snafu};
use tokio::{sync::watch, task::JoinHandle};

use crate::clock::Clock;

/// An error of the kernel's registry.
#[derive(Debug, Snafu)]
pub enum KernelError {
    /// No service has been published under the name.
    #[snafu(display("no service named {name}"))]
    Missing {
        /// The name that was looked up.
        name: &'static str,
    },
    /// The service under the name has another type.
    #[snafu(display("service {name} has another type"))]
    WrongType {
        /// The name that was looked up.
        name: &'static str,
    },
}

type Entry = Arc<dyn Any + Send + Sync>;

/// A receiver that completes when the kernel stops.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<()>);

impl StopSignal {
    /// Waits until the kernel closes the channel.
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
    services: Mutex<HashMap<&'static str, Entry>>,
    stop: Mutex<Option<watch::Sender<()>>>,
    signal: StopSignal,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Default for Kernel {
    fn default() -> Self {
        Self::new()
    }
}

impl Kernel {
    /// Returns a kernel with no services.
    pub fn new() -> Self {
        let (stop, receiver) = watch::channel(());
        Self {
            clock: Clock::start(),
            services: Mutex::default(),
            stop: Mutex::new(Some(stop)),
            signal: StopSignal(receiver),
            tasks: Mutex::default(),
        }
    }

    /// Returns the process clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns a signal that completes when the kernel stops.
    pub fn stop_signal(&self) -> StopSignal {
        self.signal.clone()
    }

    /// Publishes a service under a name, in place of any earlier one.
    pub fn publish<T: Send + Sync + 'static>(&self, name: &'static str, service: Arc<T>) {
        let mut services = self.services.lock().expect("registry lock");
        services.insert(name, service);
    }

    /// Returns the service published under a name.
    ///
    /// # Errors
    ///
    /// Fails if there is none, or if it has another type.
    pub fn find<T: Send + Sync + 'static>(
        &self,
        name: &'static str,
    ) -> Result<Arc<T>, KernelError> {
        let services = self.services.lock().expect("registry lock");
        let entry = services.get(name).context(MissingSnafu { name })?.clone();
        entry.downcast().ok().context(WrongTypeSnafu { name })
    }

    /// Runs a task until it ends or the kernel stops.
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

    /// Closes the stop channel and waits for all tasks.
    pub async fn stop(&self) {
        self.stop.lock().expect("stop lock").take();
        let tasks = std::mem::take(&mut *self.tasks.lock().expect("task lock"));
        for task in tasks {
            let _ = task.await;
        }
    }
}
