//! Containment of panics, so that one event that the code can't handle does not end the process.

use std::{
    any::Any,
    panic::{AssertUnwindSafe, catch_unwind},
};

use futures::FutureExt;

/// Handles an event; returns `None` if the handler panics.
///
/// The handler's state may be inconsistent for the flow or member that the event concerns, and is
/// used further. `place` names the handler in the log.
pub fn contain<R>(place: &'static str, handle: impl FnOnce() -> R) -> Option<R> {
    let result = catch_unwind(AssertUnwindSafe(handle));
    result.map_err(|cause| log_panic(place, &*cause)).ok()
}

/// Awaits a future; returns `None` if it panics.
pub async fn contain_future<T>(place: &'static str, future: impl Future<Output = T>) -> Option<T> {
    let result = AssertUnwindSafe(future).catch_unwind().await;
    result.map_err(|cause| log_panic(place, &*cause)).ok()
}

fn log_panic(place: &'static str, cause: &(dyn Any + Send)) {
    let message = cause.downcast_ref::<&str>().copied();
    let message = message.or_else(|| cause.downcast_ref::<String>().map(String::as_str));
    let message = message.unwrap_or("unknown");
    tracing::error!(event = "panic_contained", place, message);
}
