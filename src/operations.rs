//! Operator endpoints on the control server of a process: members, decisions and drain.

use std::sync::Arc;

use tokio::sync::Notify;

use crate::{
    control::ControlServer,
    decision::{Decision, DecisionLog},
    kernel::{Kernel, KernelError},
    member::{Directory, Record},
};

/// Path that returns the member records of the process's current view.
pub const MEMBERS_PATH: &str = "/members";

/// Path that returns the recorded decisions about a caller's address or a request's id.
pub const DECISIONS_PATH: &str = "/decisions";

/// Path that makes the process drain and stop.
pub const DRAIN_PATH: &str = "/drain";

/// Notification that an operator has requested a drain, published as [`DrainRequest::NAME`].
#[derive(Debug, Default)]
pub struct DrainRequest(Notify);

impl DrainRequest {
    /// Name of the component in the kernel's registry.
    pub const NAME: &'static str = "drain_request";

    /// Notifies one task in [`DrainRequest::wait`], or the next one that calls it.
    pub fn request(&self) {
        self.0.notify_one();
    }

    /// Waits for a drain request.
    pub async fn wait(&self) {
        self.0.notified().await;
    }
}

/// Publishes the drain request and adds the handlers of the operator endpoints.
///
/// # Errors
///
/// Fails if the control server, the directory or the decision log is not published.
pub fn publish(kernel: &Kernel) -> Result<(), KernelError> {
    let control: Arc<ControlServer> = kernel.find(ControlServer::NAME)?;
    let directory: Arc<Directory> = kernel.find(Directory::NAME)?;
    let decisions: Arc<DecisionLog> = kernel.find(DecisionLog::NAME)?;
    let drain_request = Arc::new(DrainRequest::default());
    kernel.publish(DrainRequest::NAME, drain_request.clone());
    control.add_handler(MEMBERS_PATH, move |(): ()| {
        let members: Vec<Record> = directory.view().members.values().cloned().collect();
        Box::pin(async move { members })
    });
    control.add_handler(DECISIONS_PATH, move |subject: String| {
        let found: Vec<Decision> = decisions.find(&subject);
        Box::pin(async move { found })
    });
    control.add_handler(DRAIN_PATH, move |(): ()| {
        drain_request.request();
        Box::pin(async { true })
    });
    Ok(())
}
