//! What operators ask of a running process over its control address.

use std::sync::Arc;

use tokio::sync::Notify;

use crate::{
    control::ControlServer,
    decision::{Decision, Decisions},
    kernel::{Kernel, KernelError},
    member::{Directory, Record},
};

/// Path that returns the members that the process knows.
pub const MEMBERS_PATH: &str = "/members";

/// Path that returns the decisions about a caller or a request.
pub const DECISIONS_PATH: &str = "/decisions";

/// Path that asks the process to stop gracefully.
pub const DRAIN_PATH: &str = "/drain";

/// An operator's wish that the process stops, under the name [`DrainRequest::NAME`].
#[derive(Debug, Default)]
pub struct DrainRequest(Notify);

impl DrainRequest {
    /// Name of the service in the kernel's registry.
    pub const NAME: &'static str = "drain_request";

    /// Asks the process to stop.
    pub fn request(&self) {
        self.0.notify_one();
    }

    /// Waits until the process is asked to stop.
    pub async fn requested(&self) {
        self.0.notified().await;
    }
}

/// Publishes the operators' routes.
///
/// # Errors
///
/// Fails if the control server, the directory or the decisions are not published.
pub fn publish(kernel: &Kernel) -> Result<(), KernelError> {
    let control: Arc<ControlServer> = kernel.find(ControlServer::NAME)?;
    let directory: Arc<Directory> = kernel.find(Directory::NAME)?;
    let decisions: Arc<Decisions> = kernel.find(Decisions::NAME)?;
    let request = Arc::new(DrainRequest::default());
    kernel.publish(DrainRequest::NAME, request.clone());
    control.add_handler(MEMBERS_PATH, move |(): ()| {
        let members: Vec<Record> = directory.view().members.values().cloned().collect();
        Box::pin(async move { members })
    });
    control.add_handler(DECISIONS_PATH, move |subject: String| {
        let about: Vec<Decision> = decisions.about(&subject);
        Box::pin(async move { about })
    });
    control.add_handler(DRAIN_PATH, move |(): ()| {
        request.request();
        Box::pin(async { true })
    });
    Ok(())
}
