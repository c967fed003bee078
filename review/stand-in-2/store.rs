//! The platform's metadata store.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufRead, BufReader, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::json::{Json, base64};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    create_revision: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
    history: Vec<(u64, String, Option<Item>)>,
}

#[derive(Clone)]
pub struct Store {
    contents: Arc<(Mutex<Contents>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> std::io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let store = Store {
            contents: Arc::default(),
        };
        store.contents.0.lock().unwrap().revision = 10;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
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
        Ok(store)
    }

    /// A write of the operator; it has its acknowledgement when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.contents.0.lock().unwrap();
        contents.set(key, base64(value.as_bytes()), 0);
        drop(contents);
        self.contents.1.notify_all();
    }

    fn expire(&self) {
        let mut contents = self.contents.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = contents.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in &ended {
            contents.end_lease(*lease);
        }
        drop(contents);
        if !ended.is_empty() {
            self.contents.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some((method, target, body)) = read_request(&mut reader) {
            let (status, reply) = self.answer(&method, &target, &body);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                reply.len()
            );
            if writer.write_all((head + &reply).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let empty = String::new();
        let prefix = query.get("prefix").unwrap_or(&empty);
        match (method, path) {
            ("GET", "/-/kv-range") => {
                let after = query.get("after").unwrap_or(&empty);
                let contents = self.contents.0.lock().unwrap();
                let items = contents.items.iter().filter(|(key, _)| key.starts_with(prefix.as_str()) && *key > after);
                let items: Vec<String> = items.map(|(key, item)| item.json(key)).collect();
                let as_of = contents.revision;
                (200, format!(r#"{{"items":[{}],"truncated":false,"as_of":{as_of}}}"#, items.join(",")))
            }
            ("GET", "/-/kv-key") => {
                let contents = self.contents.0.lock().unwrap();
                let key = query.get("key").unwrap_or(&empty);
                match contents.items.get(key) {
                    Some(item) => (200, item.json(key)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/-/kv-watch") => {
                let after = query.get("after").and_then(|after| after.parse().ok()).unwrap_or(0);
                let wait_ms = query.get("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                self.watch(prefix, after, Duration::from_millis(wait_ms))
            }
            ("POST", "/-/kv-txn") => self.transact(body),
            ("POST", "/-/kv-lease") => {
                let ttl_ms = Json::parse(body).and_then(|body| body.get("ttl_ms").map(Json::number)).unwrap_or(1000);
                let mut contents = self.contents.0.lock().unwrap();
                contents.last_lease += 1;
                let lease = contents.last_lease;
                let ttl = Duration::from_millis(ttl_ms);
                contents.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                let mut contents = self.contents.0.lock().unwrap();
                match contents.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.contents.0.lock().unwrap().end_lease(lease);
                self.contents.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut contents = self.contents.0.lock().unwrap();
        loop {
            let events: Vec<String> = contents
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item.json(key),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let as_of = contents.revision;
                return (200, format!(r#"{{"events":[{}],"as_of":{as_of}}}"#, events.join(",")));
            }
            contents = self.contents.1.wait_timeout(contents, deadline - now).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let rows = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
        let mut contents = self.contents.0.lock().unwrap();
        for row in rows("expected") {
            let key = row.get("key").map(Json::text).unwrap_or_default();
            let current = contents.items.get(key).map_or(0, |item| item.revision);
            if current != row.get("revision").map_or(0, Json::number) {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        for row in rows("set_keys") {
            let lease = row.get("lease").map_or(0, Json::number);
            if lease != 0 && !contents.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for row in rows("set_keys") {
            let text = |name: &str| row.get(name).map(Json::text).unwrap_or_default().to_owned();
            let lease = row.get("lease").map_or(0, Json::number);
            contents.set(&text("key"), text("value"), lease);
        }
        for key in rows("remove") {
            contents.remove(key.text());
        }
        let revision = contents.revision;
        drop(contents);
        self.contents.1.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

impl Contents {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let create_revision = self.items.get(key).map_or(revision, |item| item.create_revision);
        let item = Item { value, revision, create_revision, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"create_revision":{},"lease":{}}}"#,
            self.value, self.revision, self.create_revision, self.lease
        )
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let byte = u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?');
            decoded.push(byte);
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads an HTTP request: method, target and body.
pub fn read_request(reader: &mut impl BufRead) -> Option<(String, String, Vec<u8>)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((method, target, body))
}
