//! Runs one stand-in as a process.

use std::{fs, net::SocketAddrV4, path::Path};

use tokio::{
    io::{AsyncBufReadExt, BufReader, stdin},
    net::UdpSocket,
};

use super::StandIn;
use crate::{
    kernel::Kernel,
    standin::{
        fabric::Fabric,
        kv::{Contents, Kv},
        server::Server,
    },
};

const FABRIC_SEED: u64 = 1;

/// Runs a stand-in until its input ends or it is interrupted.
///
/// # Errors
///
/// Returns what could not be opened.
pub async fn run(stand_in: StandIn) -> Result<(), String> {
    match stand_in {
        StandIn::Fabric(services) => run_fabric(services).await.map_err(|e| e.to_string()),
        StandIn::Server(file) => run_server(&file).await,
        StandIn::Store => run_store().await.map_err(|e| e.to_string()),
    }
}

async fn run_fabric(services: usize) -> std::io::Result<()> {
    let kernel = Kernel::new();
    let mut sockets = Vec::with_capacity(services);
    for _ in 0..services {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        println!("service {}", socket.local_addr()?);
        sockets.push(socket);
    }
    let fabric = Fabric::start(&kernel, sockets, FABRIC_SEED).await?;
    println!("inside {}", fabric.address()?);
    let mut lines = BufReader::new(stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let balancers = line.split_whitespace().map(str::parse::<SocketAddrV4>);
        let balancers: Result<Vec<_>, _> = balancers.collect();
        match balancers {
            Ok(balancers) => fabric.set_balancers(balancers),
            Err(error) => eprintln!("berylvalve: {line}: {error}"),
        }
    }
    kernel.stop().await;
    Ok(())
}

async fn run_server(file: &Path) -> Result<(), String> {
    let kernel = Kernel::new();
    let named = |error: &dyn std::fmt::Display| format!("{}: {error}", file.display());
    let text = fs::read_to_string(file).map_err(|e| named(&e))?;
    let options = serde_json::from_str(&text).map_err(|e| named(&e))?;
    let server = Server::start(&kernel, options)
        .await
        .map_err(|e| e.to_string())?;
    println!("listening {}", server.address());
    let _ = tokio::signal::ctrl_c().await;
    kernel.stop().await;
    Ok(())
}

async fn run_store() -> std::io::Result<()> {
    let kernel = Kernel::new();
    let kv = Kv::start(&kernel).await?;
    println!("listening {}", kv.address());
    let mut saved = Contents::default();
    let mut lines = BufReader::new(stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        if !change_store(&kv, &mut saved, &line) {
            eprintln!("berylvalve: unknown line {line}");
        }
    }
    kernel.stop().await;
    Ok(())
}

/// Applies a line of the store's input; returns whether it is known.
fn change_store(kv: &Kv, saved: &mut Contents, line: &str) -> bool {
    let (word, rest) = line.split_once(' ').unwrap_or((line, "0"));
    let Ok(number) = rest.parse() else {
        return false;
    };
    match word {
        "down" => kv.fail(|failures| failures.down = true),
        "up" => kv.fail(|failures| failures.down = false),
        "slow" => kv.fail(|failures| failures.delay_ms = number),
        "lose" => kv.fail(|failures| failures.lose = number as u32),
        "lapse" => kv.lapse(),
        "save" => *saved = kv.save(),
        "restore" => kv.restore(saved.clone()),
        "calls" => println!("{:?}", kv.calls()),
        _ => return false,
    }
    true
}
