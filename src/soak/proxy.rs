//! A TCP proxy on loopback that delays, resets, cuts one way or silences connections.

use std::{io, net::SocketAddrV4, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// Bytes that are copied at once.
const COPY_BYTES: usize = 16 << 10;

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Delays each piece of data.
    Delay(Duration),
    /// Closes open connections and refuses new ones.
    Reset,
    /// Passes calls on and withholds the answers.
    OneWay,
    /// Passes nothing on in either direction; connections stay open.
    Silent,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddrV4,
    fault: watch::Sender<LinkFault>,
}

impl Proxy {
    /// Starts a proxy at an address in front of a target.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(address: SocketAddrV4, target: SocketAddrV4) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let fault = watch::Sender::new(LinkFault::None);
        tokio::spawn(accept(listener, target, fault.subscribe()));
        Ok(Self { address, fault })
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Changes what is done to the connections.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

/// Accepts until the proxy is dropped.
async fn accept(
    listener: TcpListener,
    target: SocketAddrV4,
    mut fault: watch::Receiver<LinkFault>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Nothing changes any more once the proxy is dropped.
            Err(_) = fault.changed() => return,
        };
        match accepted {
            Ok((socket, _)) if *fault.borrow() == LinkFault::Reset => drop(socket),
            Ok((socket, _)) => {
                tokio::spawn(relay(socket, target, fault.clone()));
            }
            Err(error) => tracing::warn!(event = "accept_failed", %error),
        }
    }
}

async fn relay(caller: TcpStream, target: SocketAddrV4, mut fault: watch::Receiver<LinkFault>) {
    let server = match TcpStream::connect(target).await {
        Ok(server) => server,
        Err(error) => {
            tracing::warn!(event = "proxy_target_unreachable", %target, %error);
            return;
        }
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let calls = copy(from_caller, to_server, fault.clone(), false);
    let answers = copy(from_server, to_caller, fault.clone(), true);
    tokio::select! {
        ended = calls => log_end(ended),
        ended = answers => log_end(ended),
        _ = fault.wait_for(|fault| *fault == LinkFault::Reset) => {}
    }
}

fn log_end(ended: io::Result<()>) {
    if let Err(error) = ended {
        tracing::debug!(event = "proxied_connection_ended", %error);
    }
}

/// Copies one direction as the fault in effect allows; a connection that was silenced once stays so.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: watch::Receiver<LinkFault>,
    answers: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; COPY_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let now = *fault.borrow();
        match now {
            LinkFault::Delay(time) => sleep(time).await,
            LinkFault::Silent => std::future::pending().await,
            LinkFault::OneWay if answers => std::future::pending().await,
            _ => {}
        }
        to.write_all(&buffer[..length]).await?;
    }
}
