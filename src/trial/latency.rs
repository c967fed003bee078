//! The time that the fleet adds to a request, against a direct call and a loopback hop in one run.

use std::{
    net::{SocketAddr, UdpSocket as StdSocket},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::{Value, json};
use tokio::runtime::Builder;

use crate::{
    caller::{Call, Caller},
    config::site::Site,
    dev::{self, fleet::Fleet},
};

const REQUESTS: usize = 2000;
const WARM_UP: usize = 100;
const ANSWER_BYTES: usize = 100;
const MAX_LATENCY_NS: u64 = 1_000_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the measurement.
pub fn run(seed: u64) -> Value {
    let hop = hop();
    let work = thread::spawn(move || {
        let runtime = Builder::new_multi_thread()
            .enable_all()
            .build()
            .expect("runtime");
        runtime.block_on(measure(seed))
    });
    let (direct, fleet) = work.join().expect("measurement ends");
    let added = |quantile: f64| {
        fleet.value_at_quantile(quantile) as f64 - direct.value_at_quantile(quantile) as f64
    };
    json!({
        "direct": summary(&direct),
        "fleet": summary(&fleet),
        "loopback_hop": summary(&hop),
        "added_p50_direct_calls": added(0.5) / direct.value_at_quantile(0.5) as f64,
        "added_p99_direct_calls": added(0.99) / direct.value_at_quantile(0.99) as f64,
        "added_p50_hops": added(0.5) / hop.value_at_quantile(0.5) as f64,
        "added_p99_hops": added(0.99) / hop.value_at_quantile(0.99) as f64,
    })
}

fn summary(times: &Histogram<u64>) -> Value {
    json!({
        "p50_us": times.value_at_quantile(0.5) as f64 / 1000.0,
        "p99_us": times.value_at_quantile(0.99) as f64 / 1000.0,
    })
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_NS, SIGNIFICANT_DIGITS).expect("valid bounds")
}

/// Returns the times of one way over loopback: half of what an echo takes between two threads.
fn hop() -> Histogram<u64> {
    let server = StdSocket::bind("127.0.0.1:0").expect("free port");
    let client = StdSocket::bind("127.0.0.1:0").expect("free port");
    let target = server.local_addr().expect("bound socket");
    let echo = thread::spawn(move || {
        let mut buffer = [0; 2048];
        for _ in 0..REQUESTS {
            let Ok((length, source)) = server.recv_from(&mut buffer) else {
                return;
            };
            let _ = server.send_to(&buffer[..length], source);
        }
    });
    let mut times = histogram();
    let mut buffer = [0; 2048];
    for _ in 0..REQUESTS {
        let start = Instant::now();
        let _ = client.send_to(&[7; ANSWER_BYTES], target);
        let _ = client.recv_from(&mut buffer);
        times.saturating_record(start.elapsed().as_nanos() as u64 / 2);
    }
    echo.join().expect("echo ends");
    times
}

/// Returns the times of direct calls and of calls through a fleet, made in turns.
async fn measure(seed: u64) -> (Histogram<u64>, Histogram<u64>) {
    let site = idle_site();
    let fleet = Fleet::start(&site, seed).await.expect("fleet starts");
    let server = fleet.places.lock().expect("places lock")[0]
        .server
        .address();
    let target = fleet.address("charts").expect("service of the site");
    let roots = [fleet.certificate.root.clone()];
    let caller = Caller::new(target, "charts", &roots).expect("caller starts");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let (mut direct, mut through) = (histogram(), histogram());
    for number in 0..WARM_UP + REQUESTS {
        let start = Instant::now();
        call_directly(&client, server).await;
        let direct_time = start.elapsed();
        let start = Instant::now();
        call_through(&caller, number).await;
        let through_time = start.elapsed();
        if number < WARM_UP {
            continue;
        }
        direct.saturating_record(direct_time.as_nanos() as u64);
        through.saturating_record(through_time.as_nanos() as u64);
    }
    caller.close().await;
    fleet.stop().await;
    (direct, through)
}

/// Returns a site whose only server answers at once.
fn idle_site() -> Site {
    let mut site = dev::site("haverkamp").expect("site of the repository");
    site.servers.retain(|group| group.service == "charts");
    site.mix.retain(|entry| entry.service == "charts");
    site.servers[0].service_ms = vec![0];
    site.mix[0].answer_bytes = ANSWER_BYTES;
    site
}

type DirectClient = Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>;

async fn call_directly(client: &DirectClient, server: SocketAddr) {
    let request = Request::get(format!("http://{server}/chart"));
    let request = request.body(Full::default()).expect("valid request");
    let response = client.request(request).await.expect("server answers");
    response.into_body().collect().await.expect("whole answer");
}

async fn call_through(caller: &Caller, number: usize) {
    let call = Call {
        method: Method::GET,
        path: "/chart".to_owned(),
        id: format!("latency-{number}"),
        body: Bytes::new(),
        deadline: tokio::time::Instant::now() + CALL_TIMEOUT,
        idempotent: true,
    };
    caller.call(&call).await.expect("fleet answers");
}
