//! A stand-in for the platform's key-value service, with its failures.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    io,
    net::SocketAddrV4,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    body::{Frame, Incoming},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::Instant,
};

use crate::{
    kernel::Kernel,
    store::wire::{
        Base64, GrantRequest, Header, KeepAliveRequest, KeyValue, LeaseResponse, RangeRequest,
        RangeResponse, StreamMessage, StringU64, TxnRequest, TxnResponse, WatchEvent, WatchRequest,
        WatchResponse,
    },
};

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Failures of the store that are in effect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Failures {
    /// Whether connections are closed without an answer.
    pub down: bool,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of next transactions with conditions that take effect without an answer.
    pub lose: u32,
}

/// Calls that the store has counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Ranges.
    pub reads: u64,
    /// Transactions, grants and renewals.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Bytes of requests and answers.
    pub bytes: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: u64,
    end: Instant,
}

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
}

impl Contents {
    fn range(&self, request: &RangeRequest) -> RangeResponse {
        let single = request.range_end.0.is_empty();
        let mut kvs = Vec::new();
        for (key, entry) in self.entries.range(request.key.0.clone()..) {
            let inside = if single {
                *key == request.key.0
            } else {
                *key < request.range_end.0
            };
            if !inside {
                break;
            }
            if entry.revision < request.min_mod_revision.0 {
                continue;
            }
            kvs.push(KeyValue {
                key: Base64(key.clone()),
                value: Base64(entry.value.clone()),
                mod_revision: StringU64(entry.revision),
            });
        }
        RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    fn commit(&mut self, request: TxnRequest) -> TxnResponse {
        let holds = request.compare.iter().all(|compare| {
            let entry = self.entries.get(&compare.key.0);
            entry.map_or(0, |entry| entry.revision) == compare.mod_revision.0
        });
        let leased = |put: u64| put == 0 || self.leases.contains_key(&put);
        let succeeded = holds
            && request
                .success
                .iter()
                .all(|o| leased(o.request_put.lease.0));
        if succeeded {
            self.revision += 1;
            for operation in request.success {
                let put = operation.request_put;
                let entry = Entry {
                    value: put.value.0,
                    revision: self.revision,
                    lease: put.lease.0,
                };
                self.entries.insert(put.key.0, entry);
            }
        }
        TxnResponse {
            header: self.header(),
            succeeded,
        }
    }

    fn grant(&mut self, ttl: u64) -> LeaseResponse {
        let id = rand::random::<u32>().into();
        let end = Instant::now() + Duration::from_secs(ttl);
        self.leases.insert(id, Lease { ttl, end });
        LeaseResponse {
            id: StringU64(id),
            ttl: StringU64(ttl),
        }
    }

    fn keep_alive(&mut self, id: u64) -> LeaseResponse {
        let Some(lease) = self.leases.get_mut(&id) else {
            return LeaseResponse::default();
        };
        lease.end = Instant::now() + Duration::from_secs(lease.ttl);
        LeaseResponse {
            id: StringU64(id),
            ttl: StringU64(lease.ttl),
        }
    }

    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.end > now);
        let leases = &self.leases;
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.lease == 0 || leases.contains_key(&entry.lease));
        self.revision += u64::from(self.entries.len() < before);
    }

    fn header(&self) -> Header {
        Header {
            revision: StringU64(self.revision),
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    calls: Calls,
    contents: Contents,
    failures: Failures,
}

/// A running store.
#[derive(Debug)]
pub struct Kv {
    address: SocketAddrV4,
    changes: watch::Sender<u64>,
    inner: Mutex<Inner>,
}

impl Kv {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be opened.
    pub async fn start(kernel: &Kernel) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let std::net::SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::Error::other("an IPv4 address is needed"));
        };
        let kv = Arc::new(Self {
            address,
            changes: watch::Sender::new(0),
            inner: Mutex::default(),
        });
        kernel.spawn(accept(listener, kv.clone()));
        Ok(kv)
    }

    /// Returns the address of the HTTP port.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Returns the calls counted so far.
    pub fn calls(&self) -> Calls {
        self.inner.lock().expect("store lock").calls
    }

    /// Changes the failures in effect; a store that goes down drops its watches.
    pub fn fail(&self, change: impl FnOnce(&mut Failures)) {
        change(&mut self.inner.lock().expect("store lock").failures);
        self.changes.send_modify(|_| ());
    }

    /// Returns a copy of the contents.
    pub fn save(&self) -> Contents {
        self.inner.lock().expect("store lock").contents.clone()
    }

    /// Replaces the contents, as if the store came back from a backup.
    pub fn restore(&self, contents: Contents) {
        self.inner.lock().expect("store lock").contents = contents;
        self.changes.send_modify(|_| ());
    }

    /// Ends all leases at once, unseen by their holders.
    pub fn lapse(&self) {
        let mut inner = self.inner.lock().expect("store lock");
        inner.contents.leases.clear();
        inner.contents.expire(Instant::now());
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, io::Error> {
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await;
        let body = body.map_err(io::Error::other)?.to_bytes();
        let failures = {
            let mut inner = self.inner.lock().expect("store lock");
            inner.calls.bytes += body.len() as u64;
            inner.contents.expire(Instant::now());
            inner.failures
        };
        if failures.down {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if failures.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(failures.delay_ms)).await;
        }
        if path == "/v3/watch" {
            return Ok(self.watch(&body));
        }
        let answer = self.answer(&path, &body)?;
        let Some(answer) = answer else {
            let mut response = Response::new(whole(Vec::new()));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return Ok(response);
        };
        self.inner.lock().expect("store lock").calls.bytes += answer.len() as u64;
        Ok(Response::new(whole(answer)))
    }

    /// Returns the answer in JSON; `None` if the request can't be read.
    fn answer(&self, path: &str, body: &[u8]) -> io::Result<Option<Vec<u8>>> {
        let mut inner = self.inner.lock().expect("store lock");
        let inner = &mut *inner;
        if path == "/v3/kv/range" {
            inner.calls.reads += 1;
            return Ok(read(body).map(|request| write(&inner.contents.range(&request))));
        }
        inner.calls.writes += 1;
        if path == "/v3/kv/txn" {
            let Some(request) = read::<TxnRequest>(body) else {
                return Ok(None);
            };
            let conditional = !request.compare.is_empty();
            let answer = inner.contents.commit(request);
            if answer.succeeded {
                self.changes.send_replace(inner.contents.revision);
            }
            if conditional && inner.failures.lose > 0 {
                inner.failures.lose -= 1;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            return Ok(Some(write(&answer)));
        }
        Ok(match path {
            "/v3/lease/grant" => read::<GrantRequest>(body)
                .map(|request| write(&inner.contents.grant(request.ttl.0))),
            "/v3/lease/keepalive" => read::<KeepAliveRequest>(body).map(|request| {
                let result = inner.contents.keep_alive(request.id.0);
                write(&StreamMessage { result })
            }),
            _ => None,
        })
    }

    fn watch(self: Arc<Self>, body: &[u8]) -> Response<Body> {
        self.inner.lock().expect("store lock").calls.watches += 1;
        let request = read::<WatchRequest>(body)
            .unwrap_or_default()
            .create_request;
        let since = request.start_revision.0;
        let changes = self.changes.subscribe();
        let messages = stream::unfold(
            (self, changes, request, since),
            |(kv, mut changes, request, since)| async move {
                loop {
                    if let Some(changed) = kv.changes_since(&request, since)? {
                        let next = changed.header.revision.0 + 1;
                        let mut line = write(&StreamMessage { result: changed });
                        line.push(b'\n');
                        kv.inner.lock().expect("store lock").calls.bytes += line.len() as u64;
                        let frame = Ok(Frame::data(Bytes::from(line)));
                        return Some((frame, (kv, changes, request, next)));
                    }
                    changes.changed().await.ok()?;
                }
            },
        );
        let head = StreamMessage {
            result: WatchResponse::default(),
        };
        let mut head = write(&head);
        head.push(b'\n');
        let head = stream::iter([Ok(Frame::data(Bytes::from(head)))]);
        let body = StreamBody::new(head.chain(messages));
        Response::new(BodyExt::boxed_unsync(body))
    }

    /// Returns the changes from a revision on, `Some(None)` if there are none, `None` if down.
    #[allow(clippy::option_option)]
    fn changes_since(
        &self,
        request: &crate::store::wire::WatchCreateRequest,
        since: u64,
    ) -> Option<Option<WatchResponse>> {
        let inner = self.inner.lock().expect("store lock");
        if inner.failures.down {
            return None;
        }
        let range = inner.contents.range(&RangeRequest {
            serializable: false,
            key: request.key.clone(),
            range_end: request.range_end.clone(),
            min_mod_revision: StringU64(since),
        });
        if range.kvs.is_empty() {
            return Some(None);
        }
        let events = range.kvs.into_iter().map(|kv| WatchEvent { kv }).collect();
        Some(Some(WatchResponse {
            header: range.header,
            events,
        }))
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn write<T: Serialize>(message: &T) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}

fn whole(body: Vec<u8>) -> Body {
    Full::new(Bytes::from(body)).boxed_unsync()
}

async fn accept(listener: TcpListener, kv: Arc<Kv>) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(serve(socket, kv.clone()));
    }
}

async fn serve(socket: TcpStream, kv: Arc<Kv>) {
    let service = service_fn(move |request| kv.clone().respond(request));
    let builder = hyper::server::conn::http1::Builder::new();
    let _ = builder
        .serve_connection(TokioIo::new(socket), service)
        .await;
}
