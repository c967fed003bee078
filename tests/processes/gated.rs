//! A backend server that tells the test what arrives and answers when told.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use berylvalve::consts::REQUEST_ID_HEADER;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::timeout,
};

const PATIENCE: Duration = Duration::from_secs(20);
const CONNECT_PATIENCE: Duration = Duration::from_millis(300);

/// What all connections of a server share.
#[derive(Clone)]
struct Shared {
    arrived: watch::Sender<usize>,
    gate: watch::Receiver<bool>,
    journal: Arc<Mutex<Vec<String>>>,
}

/// A backend server with a journal and a gate before its answers.
pub struct GatedServer {
    pub address: SocketAddr,
    gate: watch::Sender<bool>,
    listener: Option<TcpListener>,
    queued: Vec<TcpStream>,
    shared: Shared,
}

impl GatedServer {
    /// Opens a port whose connections are not served yet.
    pub fn closed() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        let (gate, receiver) = watch::channel(false);
        Self {
            address: listener.local_addr().unwrap(),
            gate,
            listener: Some(listener),
            queued: Vec::new(),
            shared: Shared {
                arrived: watch::Sender::new(0),
                gate: receiver,
                journal: Arc::default(),
            },
        }
    }

    /// Starts a server whose gate is shut.
    pub fn start() -> Self {
        let mut server = Self::closed();
        server.serve();
        server
    }

    /// Fills the queue of connections, so that further ones wait.
    pub async fn block(&mut self) {
        loop {
            let opened = timeout(CONNECT_PATIENCE, TcpStream::connect(self.address)).await;
            let Ok(Ok(stream)) = opened else { return };
            self.queued.push(stream);
        }
    }

    /// Serves what waits.
    pub fn serve(&mut self) {
        self.queued.clear();
        let Some(listener) = self.listener.take() else {
            return;
        };
        tokio::spawn(accept(listener, self.shared.clone()));
    }

    /// Lets all answers out, now and later.
    pub fn open(&self) {
        self.gate.send_replace(true);
    }

    /// Waits until a request is running.
    pub async fn arrival(&self) {
        let mut arrived = self.shared.arrived.subscribe();
        let running = arrived.wait_for(|count| *count > 0);
        timeout(PATIENCE, running).await.unwrap().unwrap();
    }

    /// Returns the names of the requests that ran.
    pub fn journal(&self) -> Vec<String> {
        self.shared.journal.lock().unwrap().clone()
    }
}

async fn accept(listener: TcpListener, shared: Shared) {
    while let Ok((socket, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| respond(request, shared.clone()));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
            let _ = connection.await;
        });
    }
}

async fn respond(
    request: Request<Incoming>,
    mut shared: Shared,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let id = request.headers()[REQUEST_ID_HEADER].to_str().unwrap();
    shared.journal.lock().unwrap().push(id.to_owned());
    let _ = request.into_body().collect().await;
    shared.arrived.send_modify(|count| *count += 1);
    let _ = shared.gate.wait_for(|open| *open).await;
    Ok(Response::new(Full::new(Bytes::from_static(b"advisory"))))
}
