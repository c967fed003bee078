//! Reads a feed from the backend server and reconnects when the connection fails or goes idle.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request};
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    agent::upstream::{ResponseBody, Upstream},
    clock::Clock,
};

const LAST_EVENT_ID: &str = "last-event-id";

/// Time without data after which a feed is reopened; doubles while no data arrives.
const INITIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper limit of the idle timeout.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time after a failure in which attempts to reopen the feed start, and timeout of each attempt.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two attempts to reopen a feed.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Largest incomplete event that is buffered, in bytes; a larger one is relayed in parts.
const MAX_PARTIAL_EVENT_BYTES: usize = 64 << 10;

/// A feed of the backend server, across reconnections.
#[derive(Debug)]
pub struct Source {
    body: ResponseBody,
    clock: Clock,
    events: EventBuffer,
    is_disconnected: bool,
    request: Request<Bytes>,
    idle_timeout: Duration,
    idle_deadline: Instant,
    upstream: Upstream,
}

impl Source {
    /// Returns the feed that `request` opened and whose first response has this body.
    pub fn new(upstream: Upstream, request: Request<Bytes>, body: ResponseBody) -> Self {
        Self {
            body,
            clock: upstream.clock(),
            events: EventBuffer::default(),
            is_disconnected: false,
            request,
            idle_timeout: INITIAL_IDLE_TIMEOUT,
            idle_deadline: Instant::now() + INITIAL_IDLE_TIMEOUT,
            upstream,
        }
    }

    /// Returns the next complete events; `None` at the end of the feed or if no attempt that
    /// starts within 5 s after a failure reopens it.
    ///
    /// Cancel safe: no event is lost if the future is dropped.
    pub async fn next(&mut self) -> Option<Bytes> {
        loop {
            if self.is_disconnected
                && !self
                    .reconnect_until(Instant::now() + RECONNECT_TIMEOUT)
                    .await
            {
                return None;
            }
            match timeout_at(self.idle_deadline, self.body.frame()).await {
                Ok(None) => return self.events.take_rest(),
                Ok(Some(Ok(frame))) => {
                    self.idle_timeout = INITIAL_IDLE_TIMEOUT;
                    self.idle_deadline = Instant::now() + self.idle_timeout;
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(events) = self.events.push(&data) {
                        return Some(events);
                    }
                }
                Ok(Some(Err(error))) => {
                    tracing::info!(event = "feed_disconnected", %error);
                    self.is_disconnected = true;
                }
                Err(_) => {
                    self.idle_timeout = MAX_IDLE_TIMEOUT.min(self.idle_timeout * 2);
                    self.idle_deadline = Instant::now() + self.idle_timeout;
                    self.reconnect().await;
                }
            }
        }
    }

    async fn reconnect_until(&mut self, deadline: Instant) -> bool {
        while !self.reconnect().await {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(RECONNECT_DELAY).await;
        }
        true
    }

    /// Reopens the feed after its last event and returns whether that succeeded.
    ///
    /// The old connection is kept on failure.
    async fn reconnect(&mut self) -> bool {
        // Without an event id the server does not know where to continue.
        let requested_id = self.request.headers().get(LAST_EVENT_ID);
        let Some(last_id) = self.events.last_id.as_ref().or(requested_id).cloned() else {
            return false;
        };
        let mut request = self.request.clone();
        request.headers_mut().insert(LAST_EVENT_ID, last_id);
        let deadline = self.clock.now() + RECONNECT_TIMEOUT;
        let opening = timeout(RECONNECT_TIMEOUT, self.upstream.send(request, deadline));
        match opening.await {
            Ok(Ok(response)) if response.status().is_success() => {
                tracing::info!(event = "feed_reconnected");
                self.body = response.into_body();
                self.is_disconnected = false;
                self.events.partial.clear();
                true
            }
            _ => false,
        }
    }
}

/// Buffers an incomplete event and records the id of the last complete one.
#[derive(Debug, Default)]
struct EventBuffer {
    partial: BytesMut,
    last_id: Option<HeaderValue>,
}

impl EventBuffer {
    /// Appends data and returns the events that are now complete.
    fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(data);
        let end = match end_of_events(&self.partial) {
            Some(end) => end,
            None if self.partial.len() > MAX_PARTIAL_EVENT_BYTES => self.partial.len(),
            None => return None,
        };
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    fn take_rest(&mut self) -> Option<Bytes> {
        let rest = self.partial.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }
}

/// Returns the offset after the last empty line, which ends an event.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = bytes
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|i| i + 4);
    unix.max(crlf)
}

fn last_id(events: &[u8]) -> Option<HeaderValue> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    HeaderValue::from_bytes(ids.next_back()?.trim_ascii()).ok()
}
