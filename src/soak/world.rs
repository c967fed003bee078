//! One run: the state of everything outside the daemons, and the events that change it.

mod checks;
mod faults;
mod processes;
mod servers;
mod traffic;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddrV4,
    process::ExitStatus,
    sync::Arc,
    time::Duration,
};

use berylvalve_core::{
    clock::{Clock, Time},
    l4::segment::FlowKey,
};
use berylvalve_platform_standin::{
    config::{self, Route},
    store::Store,
};
use rand::{Rng, rngs::SmallRng};
use snafu::ResultExt;
use tokio::{net::UdpSocket, sync::mpsc, time::sleep_until};

use super::{
    FileSnafu, Options, Report, SoakError, SocketSnafu,
    fault::{Fault, Link},
    place::{Layout, Place},
    proxy::Proxy,
    report::Struck,
    views,
};
use crate::trial::{
    agenda::Agenda,
    segments::{
        caller::Caller,
        server::{Server, Work},
        witness::Witness,
    },
};

/// Input that waits for the run; sockets keep what does not fit.
const INPUT: usize = 4_096;

/// Balancers that settings name: as many as the platform names at most.
const SEEDS: usize = 3;

/// One in so many runs names no balancers.
const SEEDLESS_SHARE: u32 = 3;

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 2_048;

/// Something that comes from outside this task.
#[derive(Debug)]
enum Input {
    /// A datagram for a caller, with its sender.
    ToCaller(Vec<u8>, SocketAddrV4),
    /// A datagram for a backend server.
    ToServer(usize, Vec<u8>),
    /// Whether a balancer told the routers in time that it is ready.
    Ready(usize, bool),
    /// Whether the report of a server's life was acknowledged.
    Reported(usize, u64, bool),
    /// A process has ended.
    Exited(Place, u64, std::io::Result<ExitStatus>),
}

/// Something that is due.
#[derive(Clone, Debug)]
enum Due {
    Caller(usize),
    /// Opens another flow after a refusal.
    Retry(usize),
    Done(usize, u64, Work),
    Report(usize, u64),
    ServerGone(usize, u64),
    ServerBack(usize),
    Fault(Fault),
    /// Starts a process.
    Start(Place),
    /// Stops a process again that is stopped several times in a row.
    StopAgain(Place, u64),
    /// Ends the pause of a process.
    Resume(Place, u64),
    /// Ends what was done to a way to the store.
    StoreLinkBack(Place),
    /// Ends what was done to the store.
    StoreBack,
    /// Ends what was done to the way to a balancer.
    CallerLinkBack(usize),
    /// Passes on a delayed datagram.
    Late(usize, Vec<u8>),
    /// Kills a process that did not stop in time.
    Overdue(Place, u64),
    Second,
}

/// A process of the system, as the run sees it.
#[derive(Debug)]
struct Node {
    /// Id of the running process.
    id: Option<u32>,
    /// Counts its starts.
    life: u64,
    /// When it was started last.
    started: Time,
    /// Whether it was told to stop, or killed.
    ending: Option<Ending>,
    paused: bool,
    /// Stops that are left in a series.
    stops_left: u32,
    /// When the last unplanned disturbance ended.
    disturbed: Time,
    /// Its way to the store.
    link: Proxy,
}

/// How a process was told to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    Stopped,
    Killed,
}

/// What routers know of a balancer.
#[derive(Clone, Copy, Debug, Default)]
struct Rotation {
    ready: bool,
    misses: u32,
    link: Option<Link>,
}

/// An address of the config that was added during the run.
#[derive(Clone, Copy, Debug)]
struct Extra {
    address: SocketAddrV4,
    added: Time,
    dropped: Option<Time>,
}

/// One run.
pub struct World {
    clock: Clock,
    now: Time,
    end: Time,
    rng: SmallRng,
    options: Options,
    layout: Layout,
    /// Balancers that the settings of all processes name; none in some runs.
    seeds: Vec<usize>,
    report: Report,
    agenda: Agenda<Due>,
    inbox: mpsc::Receiver<Input>,
    input: mpsc::Sender<Input>,
    store: Arc<Store>,
    store_disturbed: Time,
    nodes: BTreeMap<Place, Node>,
    rotation: Vec<Rotation>,
    servers: Vec<Server>,
    /// Unix time of each server's start, in milliseconds.
    servers_born: Vec<u64>,
    server_sockets: Vec<Arc<UdpSocket>>,
    callers: Vec<Caller>,
    caller_sockets: Vec<Arc<UdpSocket>>,
    witness: Witness,
    /// The fixed bytes of the datagrams that servers sent.
    answers: HashSet<Vec<u8>>,
    /// Balancers that took datagrams of each flow since its server got one, the last one at the end, with
    /// the start of their process.
    takers: HashMap<FlowKey, Vec<(Place, Time)>>,
    extras: Vec<Extra>,
    config_version: u64,
}

impl World {
    /// Starts the stand-ins and all processes.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written, a socket can't be opened, or a program can't be started.
    pub async fn start(
        options: &Options,
        faults: Vec<(Time, Fault)>,
        mut rng: SmallRng,
    ) -> Result<Self, SoakError> {
        let folder = &options.folder;
        std::fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
        let layout = Layout::choose().context(SocketSnafu)?;
        let store = Store::start(layout.store()).await.context(SocketSnafu)?;
        let (input, inbox) = mpsc::channel(INPUT);
        let named = match rng.random_range(0..SEEDLESS_SHARE) {
            0 => 0,
            _ => SEEDS,
        };
        let mut world = Self {
            clock: Clock::start(),
            now: Time::default(),
            end: Time::default() + options.time,
            seeds: (0..named.min(options.size.balancers)).collect(),
            rng,
            layout,
            report: Report::new(options.seed, options.size),
            agenda: Agenda::default(),
            inbox,
            input,
            store,
            store_disturbed: Time::default(),
            nodes: BTreeMap::new(),
            rotation: vec![Rotation::default(); options.size.balancers],
            servers: Vec::new(),
            servers_born: Vec::new(),
            server_sockets: Vec::new(),
            callers: Vec::new(),
            caller_sockets: Vec::new(),
            witness: Witness::new(checks::FLOW_TIME),
            answers: HashSet::new(),
            takers: HashMap::new(),
            extras: Vec::new(),
            config_version: 0,
            options: options.clone(),
        };
        world.write_config();
        world.open_servers().await.context(SocketSnafu)?;
        world.open_callers().await.context(SocketSnafu)?;
        world.start_processes().await?;
        world.at(Time::from_millis(1_000), Due::Second);
        for (at, fault) in faults {
            world.at(at, Due::Fault(fault));
        }
        Ok(world)
    }

    /// Runs to the end, stops all processes, and returns what was seen.
    pub async fn run(mut self, mut progress: impl FnMut(&Report)) -> Report {
        let end = self.end;
        while self.now < end {
            let next = self.agenda.next().unwrap_or(end);
            let wake = self.clock.instant(next.min(end));
            tokio::select! {
                biased;
                Some(input) = self.inbox.recv() => {
                    self.now = self.clock.now();
                    self.take(input);
                }
                () = sleep_until(wake) => {
                    self.now = self.clock.now();
                    if self.act() {
                        progress(&self.report);
                    }
                }
            }
        }
        self.check_settled();
        self.stop_all().await;
        self.report.views = views::read(&self.options.folder, self.options.size);
        self.report
    }

    fn at(&mut self, time: Time, due: Due) {
        self.agenda.add(time, due);
    }

    fn after(&mut self, delay: Duration, due: Due) {
        self.at(self.now + delay, due);
    }

    /// Does what is due first; returns whether a second has passed.
    fn act(&mut self) -> bool {
        let Some((_, due)) = self.agenda.pop(self.now) else {
            return false;
        };
        match due {
            Due::Caller(index) => self.caller_due(index),
            Due::Retry(index) => self.retry(index),
            Due::Done(index, life, work) => self.done(index, life, &work),
            Due::Report(index, life) => self.send_report(index, life),
            Due::ServerGone(index, life) => self.server_gone(index, life),
            Due::ServerBack(index) => self.server_back(index),
            Due::Fault(fault) => self.strike(fault),
            Due::Start(place) => self.start_again(place),
            Due::StopAgain(place, life) => self.stop_again(place, life),
            Due::Resume(place, life) => self.resume(place, life),
            Due::StoreLinkBack(place) => self.store_link_back(place),
            Due::StoreBack => self.store_back(),
            Due::CallerLinkBack(index) => self.rotation[index].link = None,
            Due::Late(balancer, datagram) => self.send_to_balancer(balancer, &datagram),
            Due::Overdue(place, life) => self.overdue(place, life),
            Due::Second => {
                self.report.second(self.now);
                self.after(Duration::from_secs(1), Due::Second);
                return true;
            }
        }
        false
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::ToCaller(datagram, sender) => self.reach_caller(&datagram, sender),
            Input::ToServer(index, datagram) => self.reach_server(index, &datagram),
            Input::Ready(index, ready) => self.rotate(index, ready),
            Input::Reported(index, life, told) => self.reported(index, life, told),
            Input::Exited(place, life, status) => self.exited(place, life, status),
        }
    }

    fn places(&self) -> Vec<Place> {
        self.nodes.keys().copied().collect()
    }

    fn struck(&mut self, fault: Fault) {
        let at_ms = self.now.as_millis();
        self.report.faults.push(Struck { at_ms, fault });
    }

    fn random_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Writes the config with the addresses that are in it now.
    fn write_config(&mut self) {
        self.config_version += 1;
        let mut routes = vec![
            self.route(servers::desk_address(), true),
            self.route(servers::maps_address(), false),
        ];
        for extra in self.extras.iter().filter(|extra| extra.dropped.is_none()) {
            routes.push(self.route(extra.address, true));
        }
        let value = config::encode(self.config_version, &routes);
        self.store.put(config::KEY, value);
    }

    fn route(&self, address: SocketAddrV4, desk: bool) -> Route {
        Route {
            address,
            service: servers::service_name(desk).to_owned(),
            idempotent: true,
            target_ms: servers::TARGET_MS,
        }
    }
}

/// Sends what a socket receives to the run until the run ends.
fn listen(
    socket: Arc<UdpSocket>,
    input: mpsc::Sender<Input>,
    make: impl Fn(Vec<u8>, SocketAddrV4) -> Input + Send + 'static,
) {
    tokio::spawn(async move {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let (length, sender) = match socket.recv_from(&mut buffer).await {
                Ok((length, std::net::SocketAddr::V4(sender))) => (length, sender),
                Ok(_) => continue,
                Err(error) => {
                    // An earlier datagram met a closed port.
                    tracing::debug!(event = "receive_failed", %error);
                    continue;
                }
            };
            let message = make(buffer[..length].to_vec(), sender);
            if input.send(message).await.is_err() {
                return;
            }
        }
    });
}
