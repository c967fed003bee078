//! Feeds: long answers of numbered events, continued on another connection when an agent drains.

use std::{sync::Arc, time::Duration};

use bytes::Buf;
use futures::future::BoxFuture;
use http::Method;

use super::{AttemptError, Caller, Stream, session::Session};
use crate::agent::feed::MOVING_EVENT;

const FIRST_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// One event of a feed (server-sent events, WHATWG HTML, section 9.2).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number of the event.
    pub id: u64,
    /// Content of the event.
    pub data: String,
}

/// An open feed.
pub struct Feed {
    caller: Arc<Caller>,
    current: Source,
    last: Option<u64>,
    next: Option<BoxFuture<'static, Source>>,
    path: Arc<str>,
}

/// One stream that a feed is read from.
struct Source {
    buffer: Vec<u8>,
    session: Session,
    stream: Stream,
}

/// What a stream of a feed brings.
enum Item {
    Event(Event),
    Moving,
    End,
}

impl Caller {
    /// Opens a feed that continues after event `last`, or begins with the next one.
    ///
    /// # Errors
    ///
    /// Fails if the feed can't be opened.
    pub async fn feed(
        self: &Arc<Self>,
        path: &str,
        last: Option<u64>,
    ) -> Result<Feed, AttemptError> {
        Ok(Feed {
            caller: self.clone(),
            current: self.source(path, last).await?,
            last,
            next: None,
            path: path.into(),
        })
    }

    async fn source(&self, path: &str, last: Option<u64>) -> Result<Source, AttemptError> {
        let mut request = self.request(&Method::GET, path);
        if let Some(last) = last {
            request.headers_mut().insert("last-event-id", last.into());
        }
        let (mut stream, session) = self.open(request).await?;
        if let Err(error) = stream.finish().await {
            // A server may refuse early and stop reading; its answer follows.
            tracing::debug!(event = "feed_request_not_finished", path, %error);
        }
        let head = stream.recv_response().await.map_err(AttemptError::of)?;
        if !head.status().is_success() {
            return Err(AttemptError::NotSent);
        }
        Ok(Source {
            buffer: Vec::new(),
            session,
            stream,
        })
    }

    /// Opens a feed on another connection than `old`, however many attempts it takes.
    async fn move_source(
        self: Arc<Self>,
        path: Arc<str>,
        last: Option<u64>,
        old: Session,
    ) -> Source {
        self.forget(&old).await;
        let mut pause = FIRST_PAUSE;
        loop {
            match self.source(&path, last).await {
                Ok(source) => return source,
                Err(error) => tracing::debug!(event = "feed_not_moved", %error),
            }
            tokio::time::sleep(pause).await;
            pause = MAX_PAUSE.min(pause * 2);
        }
    }
}

impl Feed {
    /// Returns the next event, or `None` at the end of the feed.
    ///
    /// Moves to another server when the agent asks for it: the new stream is open before the old
    /// one is closed, and events that both bring are returned once.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            let item = match self.next.as_mut() {
                None => self.current.next().await,
                Some(next) => tokio::select! {
                    source = next => {
                        self.current = source;
                        self.next = None;
                        continue;
                    }
                    item = self.current.next() => item,
                },
            };
            match item {
                Item::Event(event) if self.last.is_some_and(|last| event.id <= last) => {}
                Item::Event(event) => {
                    self.last = Some(event.id);
                    return Some(event);
                }
                Item::Moving if self.next.is_none() => self.move_on(),
                Item::Moving => {}
                Item::End => match self.next.take() {
                    Some(next) => self.current = next.await,
                    None => return None,
                },
            }
        }
    }

    fn move_on(&mut self) {
        let moved = self.caller.clone().move_source(
            self.path.clone(),
            self.last,
            self.current.session.clone(),
        );
        self.next = Some(Box::pin(moved));
    }
}

impl Source {
    async fn next(&mut self) -> Item {
        loop {
            if let Some(item) = self.buffered() {
                return item;
            }
            let Ok(Some(mut part)) = self.stream.recv_data().await else {
                return Item::End;
            };
            let bytes = part.copy_to_bytes(part.remaining());
            self.buffer.extend_from_slice(&bytes);
        }
    }

    fn buffered(&mut self) -> Option<Item> {
        loop {
            let end = self.buffer.windows(2).position(|w| w == b"\n\n")?;
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            // Blocks of types that this caller does not know are passed over.
            if let Some(item) = parse_block(&String::from_utf8_lossy(&block)) {
                return Some(item);
            }
        }
    }
}

fn parse_block(block: &str) -> Option<Item> {
    let mut id = None;
    let mut data = String::new();
    for line in block.lines() {
        if let Some(value) = line.strip_prefix("event: ")
            && value == MOVING_EVENT
        {
            return Some(Item::Moving);
        }
        if let Some(value) = line.strip_prefix("id: ") {
            id = value.parse().ok();
        }
        if let Some(value) = line.strip_prefix("data: ") {
            data.push_str(value);
        }
    }
    Some(Item::Event(Event { id: id?, data }))
}
