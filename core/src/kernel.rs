//! Starts and stops the tasks of a process and keeps a registry of its shared components.

use std::{
    any::Any,
    collections::HashMap,
    future::Future,
    sync::{Arc, Mutex},
};

use snafu::{OptionExt, Snafu};
use tokio::{sync::watch, task::JoinHandle};

use crate::{
    clock::{Clock, Time},
    panics::contain_future,
};

/// Time of a process's clock at its start, longer than a caller waits for an answer. With a clock that
/// starts at 0, a flow that its caller began to open before the start counted as young as the process.
const PROCESS_START: Time = Time::from_millis(3_600_000);

/// An error in looking up a component in the registry.
#[derive(Debug, Snafu)]
pub enum KernelError {
    /// No component is published under the name.
    #[snafu(display("no component is published under the name {name}"))]
    NotFound {
        /// The name that was looked up.
        name: &'static str,
    },
    /// The component under the name has another type.
    #[snafu(display("component {name} is published with another type than the requested one"))]
    WrongType {
        /// The name that was looked up.
        name: &'static str,
    },
}

type Component = Arc<dyn Any + Send + Sync>;

/// Notifies its holder when the kernel stops.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<()>);

impl StopSignal {
    /// Waits until the kernel stops.
    pub async fn stopped(&mut self) {
        // No value is ever sent: the channel closes when the kernel drops the sender.
        while self.0.changed().await.is_ok() {}
    }
}

/// Runs the tasks of one process and keeps the registry of its components.
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
    components: Mutex<HashMap<&'static str, Component>>,
    stop_sender: Mutex<Option<watch::Sender<()>>>,
    stop_signal: StopSignal,
    /// Whether a task has panicked.
    failed: watch::Sender<bool>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Default for Kernel {
    fn default() -> Self {
        Self::new()
    }
}

impl Kernel {
    /// Returns a kernel without components and tasks, whose clock starts now at one hour.
    pub fn new() -> Self {
        let (sender, receiver) = watch::channel(());
        Self {
            clock: Clock::start_at(PROCESS_START),
            components: Mutex::default(),
            stop_sender: Mutex::new(Some(sender)),
            stop_signal: StopSignal(receiver),
            failed: watch::Sender::new(false),
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

    /// Publishes a component under a name, replacing an earlier one of that name.
    pub fn publish<T: Send + Sync + 'static>(&self, name: &'static str, component: Arc<T>) {
        let mut components = self.components.lock().expect("components lock");
        components.insert(name, component);
    }

    /// Returns the component published under a name.
    ///
    /// # Errors
    ///
    /// Fails if there is none, or if it is not a `T`.
    pub fn find<T: Send + Sync + 'static>(
        &self,
        name: &'static str,
    ) -> Result<Arc<T>, KernelError> {
        let components = self.components.lock().expect("components lock");
        let component = components
            .get(name)
            .context(NotFoundSnafu { name })?
            .clone();
        component.downcast().ok().context(WrongTypeSnafu { name })
    }

    /// Waits until a task has panicked. The process lacks a component then and has to start again.
    pub async fn task_failed(&self) {
        // The sender is a field, so the wait ends only with a panic.
        let _ = self.failed.subscribe().wait_for(|failed| *failed).await;
    }

    /// Spawns a task, which is dropped when the kernel stops.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut signal = self.stop_signal();
        let failed = self.failed.clone();
        let handle = tokio::spawn(async move {
            tokio::select! {
                () = signal.stopped() => {}
                ended = contain_future("task", task) => {
                    if ended.is_none() {
                        failed.send_replace(true);
                    }
                }
            }
        });
        self.tasks.lock().expect("task lock").push(handle);
    }

    /// Stops all spawned tasks and waits until they have ended.
    pub async fn stop(&self) {
        // Dropping the sender completes all stop signals.
        self.stop_sender.lock().expect("stop lock").take();
        let tasks = std::mem::take(&mut *self.tasks.lock().expect("task lock"));
        for task in tasks {
            let _ = task.await;
        }
    }
}
