//! Feeds: long answers of numbered events, continued on another connection when one ends.

use bytes::Buf;
use http::Method;

use super::{AttemptError, Caller, Stream};

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
    buffer: Vec<u8>,
    stream: Stream,
}

impl Caller {
    /// Opens a feed that continues after event `last`, or begins with the next one.
    ///
    /// # Errors
    ///
    /// Fails if the feed can't be opened.
    pub async fn feed(&self, path: &str, last: Option<u64>) -> Result<Feed, AttemptError> {
        let mut request = self.request(&Method::GET, path);
        if let Some(last) = last {
            request.headers_mut().insert("last-event-id", last.into());
        }
        let mut stream = self.open(request).await?;
        stream.finish().await.map_err(|_| AttemptError::Lost)?;
        let head = stream
            .recv_response()
            .await
            .map_err(|_| AttemptError::Lost)?;
        if !head.status().is_success() {
            return Err(AttemptError::NotSent);
        }
        Ok(Feed {
            buffer: Vec::new(),
            stream,
        })
    }
}

impl Feed {
    /// Returns the next event, or `None` at the end of the feed.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some(event) = self.buffered() {
                return Some(event);
            }
            let mut part = self.stream.recv_data().await.ok()??;
            let bytes = part.copy_to_bytes(part.remaining());
            self.buffer.extend_from_slice(&bytes);
        }
    }

    fn buffered(&mut self) -> Option<Event> {
        let end = self.buffer.windows(2).position(|w| w == b"\n\n")?;
        let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
        parse_event(&String::from_utf8_lossy(&block))
    }
}

fn parse_event(block: &str) -> Option<Event> {
    let mut id = None;
    let mut data = String::new();
    for line in block.lines() {
        if let Some(value) = line.strip_prefix("id: ") {
            id = value.parse().ok();
        }
        if let Some(value) = line.strip_prefix("data: ") {
            data.push_str(value);
        }
    }
    Some(Event { id: id?, data })
}
