//! The platform's metadata store, as PROTOCOL.md describes it.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

struct Item {
    value: String,
    revision: u64,
    create_revision: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    event: String,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    pub fn start(address: SocketAddrV4, record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("address of the store");
        let store = Arc::new(Self {
            contents: Mutex::new(Contents {
                revision: 1,
                ..Contents::default()
            }),
            changed: Condvar::new(),
            record,
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        store
    }

    /// The operator's write; its return is the ack.
    pub fn put(&self, key: &str, value: impl AsRef<[u8]>) -> Instant {
        let mut contents = self.contents.lock().unwrap();
        contents.set(key, base64(value.as_ref()), 0);
        let revision = contents.revision;
        drop(contents);
        self.changed.notify_all();
        self.record
            .say(&format!("store acknowledged {key} at revision {revision}"));
        Instant::now()
    }

    fn expire(&self) {
        let mut contents = self.contents.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = contents
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(l, _)| *l)
            .collect();
        for lease in ended {
            contents.end_lease(lease);
        }
        drop(contents);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Some(call) = http::read_call(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.respond(&call);
            if http::answer(&mut stream, status, &body).is_err() {
                return;
            }
        }
    }

    fn respond(&self, call: &http::Call) -> (u16, String) {
        let path = call.path.as_str();
        match (call.method.as_str(), path) {
            ("GET", "/-/kv-key") => {
                let contents = self.contents.lock().unwrap();
                match contents.items.get(call.value("key")) {
                    Some(item) => (200, row(call.value("key"), item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/-/kv-range") => {
                let contents = self.contents.lock().unwrap();
                let (prefix, after) = (call.value("prefix"), call.value("after"));
                let items = contents
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let rows: Vec<String> = items.map(|(key, item)| row(key, item)).collect();
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"truncated\":false,\"as_of\":{}}}",
                        rows.join(","),
                        contents.revision
                    ),
                )
            }
            ("GET", "/-/kv-watch") => self.watch(call),
            ("POST", "/-/kv-txn") => self.transact(&String::from_utf8_lossy(&call.body)),
            ("POST", "/-/kv-lease") => {
                let ttl =
                    number(&String::from_utf8_lossy(&call.body), "ttl_ms").clamp(1_000, 600_000);
                let ttl_time = Duration::from_millis(ttl);
                let mut contents = self.contents.lock().unwrap();
                contents.last_lease += 1;
                let lease = contents.last_lease;
                contents
                    .leases
                    .insert(lease, (Instant::now() + ttl_time, ttl_time));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", _) if path.starts_with("/-/kv-keep/") => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                let mut contents = self.contents.lock().unwrap();
                match contents.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, "{}".to_owned())
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                self.contents.lock().unwrap().end_lease(lease);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, call: &http::Call) -> (u16, String) {
        let prefix = call.value("prefix");
        let after: u64 = call.value("after").parse().unwrap_or(0);
        let wait: u64 = call.value("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut contents = self.contents.lock().unwrap();
        loop {
            let news = contents
                .history
                .iter()
                .filter(|c| c.revision > after && c.key.starts_with(prefix));
            let events: Vec<String> = news.map(|change| change.event.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"as_of\":{}}}",
                        events.join(","),
                        contents.revision
                    ),
                );
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }

    /// Understands the transactions that write one key without a condition, which are the only ones
    /// that the daemons send.
    fn transact(&self, body: &str) -> (u16, String) {
        let mut contents = self.contents.lock().unwrap();
        let lease = number(body, "lease");
        if lease != 0 && !contents.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        let key = text(body, "key");
        if key.starts_with("op/") || key.starts_with("servers/") {
            return (403, "{}".to_owned());
        }
        contents.set(&key, text(body, "value"), lease);
        let revision = contents.revision;
        drop(contents);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl Contents {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let create_revision = self
            .items
            .get(key)
            .map_or(revision, |item| item.create_revision);
        let item = Item {
            value,
            revision,
            create_revision,
            lease,
        };
        let event = row(key, &item);
        self.items.insert(key.to_owned(), item);
        self.history.push(Change {
            key: key.to_owned(),
            revision,
            event,
        });
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease != 0);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.items.remove(&key);
            self.revision += 1;
            let revision = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            self.history.push(Change {
                key,
                revision,
                event,
            });
        }
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_revision\":{},\"lease\":{}}}",
        item.value, item.revision, item.create_revision, item.lease
    )
}

fn text(body: &str, name: &str) -> String {
    let marker = format!("\"{name}\":\"");
    let start = body.find(&marker).map(|at| at + marker.len());
    start
        .and_then(|at| body[at..].split('"').next())
        .unwrap_or("")
        .to_owned()
}

fn number(body: &str, name: &str) -> u64 {
    let marker = format!("\"{name}\":");
    let start = body.find(&marker).map(|at| at + marker.len());
    let digits = start.map(|at| {
        body[at..]
            .chars()
            .take_while(char::is_ascii_digit)
            .collect::<String>()
    });
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[(word >> (18 - 6 * digit) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
