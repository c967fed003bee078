//! A feed as the backend server sends it, continued on a new connection when one is lost or silent.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request};
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    agent::upstream::{AnswerBody, Upstream},
    clock::Clock,
};

const LAST_EVENT_ID: &str = "last-event-id";

/// Time without a byte after which a feed is opened anew; doubled while that brings nothing.
const FIRST_SILENCE: Duration = Duration::from_secs(3);
const MAX_SILENCE: Duration = Duration::from_secs(60);

/// Time in which a feed is opened anew after its connection was lost.
const REOPEN_TIME: Duration = Duration::from_secs(5);
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// Largest part of an event that is held back until the event is whole, in bytes.
const MAX_HELD: usize = 64 << 10;

/// The backend server's side of a feed.
#[derive(Debug)]
pub struct Source {
    body: AnswerBody,
    clock: Clock,
    events: Events,
    lost: bool,
    request: Request<Bytes>,
    silence: Duration,
    silent_at: Instant,
    upstream: Upstream,
}

impl Source {
    /// Returns the feed that `request` opened with an answer of this body.
    pub fn new(upstream: Upstream, request: Request<Bytes>, body: AnswerBody) -> Self {
        Self {
            body,
            clock: upstream.clock(),
            events: Events::default(),
            lost: false,
            request,
            silence: FIRST_SILENCE,
            silent_at: Instant::now() + FIRST_SILENCE,
            upstream,
        }
    }

    /// Returns the next whole events, or `None` at the end of the feed.
    ///
    /// Can be dropped at any await without loss.
    pub async fn next(&mut self) -> Option<Bytes> {
        loop {
            if self.lost && !self.reopen_until(Instant::now() + REOPEN_TIME).await {
                return None;
            }
            match timeout_at(self.silent_at, self.body.frame()).await {
                Ok(None) => return self.events.rest(),
                Ok(Some(Ok(frame))) => {
                    self.silence = FIRST_SILENCE;
                    self.silent_at = Instant::now() + self.silence;
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(events) = self.events.push(&data) {
                        return Some(events);
                    }
                }
                Ok(Some(Err(error))) => {
                    tracing::info!(event = "feed_lost", %error);
                    self.lost = true;
                }
                Err(_) => {
                    self.silence = MAX_SILENCE.min(self.silence * 2);
                    self.silent_at = Instant::now() + self.silence;
                    self.reopen().await;
                }
            }
        }
    }

    async fn reopen_until(&mut self, deadline: Instant) -> bool {
        while !self.reopen().await {
            if Instant::now() >= deadline {
                return false;
            }
            sleep(REOPEN_PAUSE).await;
        }
        true
    }

    /// Opens the feed after its last event; keeps the old connection if that fails.
    async fn reopen(&mut self) -> bool {
        // Without an event id the server could not continue.
        let asked = self.request.headers().get(LAST_EVENT_ID);
        let Some(last) = self.events.last.as_ref().or(asked).cloned() else {
            return false;
        };
        let mut request = self.request.clone();
        request.headers_mut().insert(LAST_EVENT_ID, last);
        let deadline = self.clock.now() + REOPEN_TIME;
        let opening = timeout(REOPEN_TIME, self.upstream.send(request, deadline));
        match opening.await {
            Ok(Ok(response)) if response.status().is_success() => {
                tracing::info!(event = "feed_reopened");
                self.body = response.into_body();
                self.lost = false;
                self.events.held.clear();
                true
            }
            _ => false,
        }
    }
}

/// Holds back the part of an event that has come so far, and remembers the last event's id.
#[derive(Debug, Default)]
struct Events {
    held: BytesMut,
    last: Option<HeaderValue>,
}

impl Events {
    /// Adds bytes and returns the events that are whole.
    fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.held.extend_from_slice(data);
        let end = match end_of_events(&self.held) {
            Some(end) => end,
            None if self.held.len() > MAX_HELD => self.held.len(),
            None => return None,
        };
        let whole = self.held.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Some(whole)
    }

    fn rest(&mut self) -> Option<Bytes> {
        let rest = self.held.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }
}

/// Returns the position behind the last empty line.
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
