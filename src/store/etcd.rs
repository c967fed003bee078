//! A client of the etcd v3 HTTP/JSON gateway.

use std::net::SocketAddrV4;

use bytes::BytesMut;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;

use super::{
    CommitOutcome, Compare, Consistency, Item, JsonClient, LeaseId, Position, Snapshot, Store,
    StoreError, Transaction, Watch, Write,
    http::Reply,
    wire::{
        Base64, CompareRequest, GrantRequest, KeepAliveRequest, LeaseResponse, Operation,
        PutRequest, RangeRequest, RangeResponse, StreamMessage, StringU64, TxnRequest, TxnResponse,
        WatchCreateRequest, WatchRequest, WatchResponse, prefix_end,
    },
};

/// A [`Store`] client that fails over to the next endpoint if one can't be reached.
#[derive(Debug)]
pub struct EtcdStore {
    client: JsonClient,
}

impl EtcdStore {
    /// Returns a client of a store that is reachable at any of the endpoints.
    pub fn new(endpoints: Vec<SocketAddrV4>) -> Self {
        Self {
            client: JsonClient::new(endpoints),
        }
    }
}

impl Store for EtcdStore {
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        since: Position,
        consistency: Consistency,
    ) -> BoxFuture<'a, Result<Snapshot, StoreError>> {
        async move {
            let request = RangeRequest {
                key: Base64(prefix.into()),
                range_end: Base64(prefix_end(prefix.as_bytes())),
                min_mod_revision: StringU64(match since.revision {
                    0 => 0,
                    revision => revision + 1,
                }),
                serializable: consistency == Consistency::Stale,
            };
            let response: Reply<RangeResponse> = self.client.post("/v3/kv/range", &request).await?;
            let response = response.body;
            let mut items = Vec::with_capacity(response.kvs.len());
            for kv in response.kvs {
                items.push(Item {
                    key: String::from_utf8_lossy(&kv.key.0).into_owned(),
                    value: kv.value.0,
                    position: position(kv.mod_revision.0),
                });
            }
            Ok(Snapshot {
                items,
                position: position(response.header.revision.0),
            })
        }
        .boxed()
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> BoxFuture<'a, Result<CommitOutcome, StoreError>> {
        async move {
            let request = TxnRequest {
                compare: transaction.compares.iter().map(compare_request).collect(),
                success: transaction.writes.iter().map(put_operation).collect(),
            };
            let response: Reply<TxnResponse> = self.client.post("/v3/kv/txn", &request).await?;
            Ok(if response.body.succeeded {
                CommitOutcome::Applied
            } else {
                CommitOutcome::Conflict
            })
        }
        .boxed()
    }

    fn grant(&self, ttl_seconds: u64) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        async move {
            let request = GrantRequest {
                ttl: StringU64(ttl_seconds),
            };
            let response: Reply<LeaseResponse> =
                self.client.post("/v3/lease/grant", &request).await?;
            Ok(LeaseId {
                era: 0,
                number: response.body.id.0,
            })
        }
        .boxed()
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool, StoreError>> {
        async move {
            let request = KeepAliveRequest {
                id: StringU64(lease.number),
            };
            let response: Reply<StreamMessage<LeaseResponse>> =
                self.client.post("/v3/lease/keepalive", &request).await?;
            Ok(response.body.result.ttl.0 > 0)
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: Position,
    ) -> BoxFuture<'a, Result<Watch, StoreError>> {
        async move {
            let create_request = WatchCreateRequest {
                key: Base64(prefix.into()),
                range_end: Base64(prefix_end(prefix.as_bytes())),
                start_revision: StringU64(since.revision + 1),
            };
            let body = self
                .client
                .post_stream("/v3/watch", &WatchRequest { create_request })
                .await?;
            Ok(watch_positions(body))
        }
        .boxed()
    }

    fn eras(&self) -> watch::Receiver<u64> {
        self.client.eras()
    }
}

/// Returns the position of a revision. etcd counts no eras.
fn position(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn compare_request(compare: &Compare) -> CompareRequest {
    CompareRequest {
        result: "EQUAL".into(),
        target: "MOD".into(),
        key: Base64(compare.key.clone().into()),
        mod_revision: StringU64(compare.position.revision),
    }
}

fn put_operation(write: &Write) -> Operation {
    Operation {
        request_put: PutRequest {
            key: Base64(write.key.clone().into()),
            value: Base64(write.value.clone()),
            lease: StringU64(write.lease.map_or(0, |lease| lease.number)),
        },
    }
}

/// Returns the positions in a watch's newline-delimited JSON.
///
/// The stream ends with the connection or at a line that can't be decoded.
fn watch_positions(body: Incoming) -> Watch {
    let lines = stream::unfold((body, BytesMut::new()), |(mut body, mut buffer)| async {
        loop {
            if let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(end + 1);
                return Some((line, (body, buffer)));
            }
            let frame = body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                buffer.extend_from_slice(&data);
            }
        }
    });
    lines
        .map(|line| serde_json::from_slice::<StreamMessage<WatchResponse>>(&line).ok())
        .take_while(|message| futures::future::ready(message.is_some()))
        .filter_map(|message| async move {
            let response = message?.result;
            let changed = !response.events.is_empty();
            changed.then_some(position(response.header.revision.0))
        })
        .boxed()
}
