//! A backend server that loses, delays, cuts off, crosses and doubles its answers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Time before a late answer; the caller has given up by then.
pub const LATE_TIME: Duration = Duration::from_millis(2500);

const SHED: &[u8] = b"HTTP/1.1 503 Busy\r\noutcome: not-run\r\ncontent-length: 0\r\n\r\n";

/// What the server wrote down.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    arrivals: Arc<Mutex<Vec<String>>>,
    cancelled: Arc<Mutex<Vec<String>>>,
    runs: Arc<Mutex<Vec<String>>>,
}

impl Journal {
    /// Returns how often a request came, whether it ran or was shed.
    pub fn arrivals(&self, id: &str) -> usize {
        count(&self.arrivals, id)
    }

    /// Returns how often a request ran.
    pub fn runs(&self, id: &str) -> usize {
        count(&self.runs, id)
    }

    /// Returns how often the connection of a running request was closed.
    pub fn cancelled(&self, id: &str) -> usize {
        count(&self.cancelled, id)
    }
}

fn count(list: &Mutex<Vec<String>>, id: &str) -> usize {
    let list = list.lock().unwrap();
    list.iter().filter(|known| *known == id).count()
}

/// Starts the server. A request's id names its fault; only its first run is disturbed.
pub async fn start() -> (SocketAddr, Journal) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let journal = Journal::default();
    let shared = journal.clone();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve(socket, shared.clone()));
        }
    });
    (address, journal)
}

async fn serve(socket: TcpStream, journal: Journal) {
    let mut socket = BufReader::new(socket);
    while let Some(id) = read_request(&mut socket).await {
        journal.arrivals.lock().unwrap().push(id.clone());
        let first = journal.arrivals(&id) == 1;
        let fault = id.split('-').next().unwrap_or_default();
        if fault == "shed" || (fault == "busy" && first) {
            if socket.write_all(SHED).await.is_err() {
                return;
            }
            continue;
        }
        journal.runs.lock().unwrap().push(id.clone());
        let whole = answer(&id, &id);
        let sent = match fault {
            "lose" if first => return,
            "cut" if first => {
                let half = whole.len() - id.len() / 2;
                let _ = socket.write_all(&whole.as_bytes()[..half]).await;
                return;
            }
            "late" if first => {
                if closed_within(&mut socket, LATE_TIME).await {
                    journal.cancelled.lock().unwrap().push(id);
                    return;
                }
                whole
            }
            "cross" if first => answer("another", "another"),
            "double" => format!("{whole}{}", answer("another", "another")),
            _ => whole,
        };
        if socket.write_all(sent.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn answer(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

async fn closed_within(socket: &mut BufReader<TcpStream>, time: Duration) -> bool {
    let mut byte = [0];
    timeout(time, socket.read(&mut byte)).await.is_ok()
}

/// Reads a whole request and returns its id; `None` at the end of the connection.
async fn read_request(socket: &mut BufReader<TcpStream>) -> Option<String> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if socket.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        if let Some((name, value)) = line.split_once(": ") {
            headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").map_or("0", |text| text);
    let mut body = vec![0; length.parse().ok()?];
    socket.read_exact(&mut body).await.ok()?;
    headers.remove("request-id")
}
