//! The cases.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    consumer::{Consumers, DEADLINE},
    packet::Flow,
    record::Record,
    server::{Seen, Server},
    world::{CONFIG_APPLY, CONTACT, DRAIN, Daemon, World, config, weighted_config},
};

pub enum Outcome {
    Held,
    Broken(Vec<String>),
    Unable(String),
}

/// `evac_ms`.
const EVACUATION: Duration = Duration::from_millis(5000);
const SERVICE: &str = "desk";
/// Slots of a server, and the time that a request takes.
const POWER: (usize, Duration) = (7, Duration::from_millis(10));
/// Time from the end of a process to its next start.
const RESTART: Duration = Duration::from_millis(540);
const LEAD: Duration = Duration::from_secs(30);

/// Everything that a case plays with.
struct Deployment {
    world: Arc<World>,
    seen: Arc<Mutex<Seen>>,
    servers: Vec<Arc<Server>>,
    consumers: Arc<Consumers>,
    route: SocketAddrV4,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.world.end();
    }
}

fn route(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 255, 0, 1), port)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Deployment {
    /// Starts a deployment with one service and waits until its fronts are in rotation and all of it
    /// is in touch. The last `later` sides and their servers don't start yet.
    fn start(
        record: &Arc<Record>,
        fronts: usize,
        services: &[&str],
        later: usize,
        power: (usize, Duration),
    ) -> Result<Self, Outcome> {
        let sides = services.len();
        let world = World::new(record.clone(), fronts, services);
        let seen = Arc::new(Mutex::new(Seen::default()));
        let servers = services.iter().enumerate();
        let servers =
            servers.map(|(index, service)| Server::new(&world, &seen, index, service, power));
        let servers: Vec<_> = servers.collect();
        let consumers = Consumers::new(&world, 4);
        let deployment = Self {
            world,
            seen,
            servers,
            consumers,
            route: route(443),
        };
        deployment.world.store.put(
            "op/config",
            &config(11, &[(deployment.route, SERVICE, "unsafe")], 5000),
        );
        for daemon in deployment
            .world
            .fronts
            .iter()
            .chain(&deployment.world.sides[..sides - later])
        {
            deployment.world.start(daemon);
        }
        sleep(ms(500));
        for (index, server) in deployment.servers[..sides - later].iter().enumerate() {
            server.start(&format!("i-{}", index + 1), 0);
        }
        if !deployment.world.wait_ready(LEAD) {
            return Err(Outcome::Unable("the fronts are not in rotation".to_owned()));
        }
        sleep(CONTACT + ms(1500));
        Ok(deployment)
    }

    /// Opens flows, one every 10 ms, and waits until all have an answer.
    fn open_flows(&self, count: usize) -> Result<Vec<Flow>, Outcome> {
        let flows: Vec<Flow> = (0..count)
            .map(|index| self.consumers.new_flow(index % 4, self.route))
            .collect();
        for (index, flow) in flows.iter().enumerate() {
            self.consumers.open(*flow, &format!("first-{index}"), None);
            sleep(ms(10));
        }
        sleep(ms(600));
        let answered = flows
            .iter()
            .filter(|flow| !self.consumers.get(flow).answered.is_empty())
            .count();
        match answered == count {
            true => Ok(flows),
            false => Err(Outcome::Unable(format!(
                "{answered} of {count} flows were served in the lead"
            ))),
        }
    }

    /// Returns the resets of the system's own that consumers got on flows that were open at a server
    /// that lives on.
    fn broken_flows(&self, flows: &[Flow]) -> Vec<String> {
        let seen = self.seen.lock().unwrap();
        let mut broken = Vec::new();
        for flow in flows {
            let Some((at, from, _)) = self.consumers.get(flow).reset else {
                continue;
            };
            let Some(home) = seen.opened.get(flow).filter(|home| home.at < at) else {
                continue;
            };
            if self.servers[home.server].is_alive(&home.id) {
                broken.push(format!(
                    "FLOW: {}>{} is open at server {} since {:.3}, which lives, and its consumer gets a reset from {from} at {:.3}",
                    flow.consumer, flow.route, home.id, self.world.record.seconds(home.at), self.world.record.seconds(at)
                ));
            }
        }
        broken
    }

    fn judge(&self, mut broken: Vec<String>) -> Outcome {
        let wrong = self.consumers.wrong.lock().unwrap();
        broken.extend(wrong.iter().map(|line| format!("MIXED: {line}")));
        broken.extend(
            self.seen
                .lock()
                .unwrap()
                .wrong
                .iter()
                .map(|line| format!("UNASKED: {line}")),
        );
        for daemon in self.world.fronts.iter().chain(&self.world.sides) {
            if !self.world.runs(daemon) {
                return Outcome::Unable(format!("{} does not run at the end", daemon.name));
            }
        }
        match broken.is_empty() {
            true => Outcome::Held,
            false => Outcome::Broken(broken),
        }
    }
}

fn run(play: impl FnOnce() -> Result<Outcome, Outcome>) -> Outcome {
    play().unwrap_or_else(|outcome| outcome)
}

/// An agent gets SIGTERM, starts again, and gets SIGTERM again before the next report of its server.
pub fn restart_twice(record: &Arc<Record>, trouble: bool) -> Outcome {
    run(|| {
        let deployment = Deployment::start(record, 2, &[SERVICE; 6], 0, POWER)?;
        let flows = deployment.open_flows(24)?;
        if trouble {
            let agent = &deployment.world.sides[0];
            deployment.servers[0].wait_for_report();
            // The report after the next one comes 1.15 s after the second start.
            sleep(ms(400));
            deployment.world.stop(agent);
            sleep(RESTART);
            deployment.world.start(agent);
            sleep(ms(1000));
            deployment.world.stop(agent);
            sleep(RESTART);
            deployment.world.start(agent);
        }
        sleep(ms(3000));
        for (index, flow) in flows.iter().enumerate() {
            deployment
                .consumers
                .request(flow, &format!("second-{index}"));
        }
        sleep(ms(3000));
        Ok(deployment.judge(deployment.broken_flows(&flows)))
    })
}

/// A server is added and crashes, the time of day of its machine jumps back, and the server starts
/// again; later it drains.
pub fn clock_back(record: &Arc<Record>, trouble: bool) -> Outcome {
    const JUMP_MS: i64 = 2400;
    run(|| {
        let deployment = Deployment::start(record, 2, &[SERVICE; 7], 1, (7, ms(300)))?;
        let (agent, server) = (&deployment.world.sides[6], &deployment.servers[6]);
        deployment.world.start(agent);
        sleep(ms(500));
        server.start("i-7", 0);
        sleep(ms(800));
        if trouble {
            server.crash();
            sleep(ms(200));
            record.say(&format!(
                "the time of day on the machine of side-7 jumps back by {JUMP_MS} ms"
            ));
            sleep(ms(300));
            server.start("i-7b", -JUMP_MS);
        }
        let id = if trouble { "i-7b" } else { "i-7" };
        let mut count = 0;
        let mut traffic = |time: Duration| {
            let end = Instant::now() + time;
            while Instant::now() < end {
                let flow = deployment.consumers.new_flow(count % 4, deployment.route);
                deployment
                    .consumers
                    .open(flow, &format!("request-{count}"), None);
                count += 1;
                sleep(ms(25));
            }
        };
        traffic(ms(10_000));
        server.drain();
        // `drain_ms` and a little longer; then the server leaves and exits.
        traffic(DRAIN + ms(2000));
        server.leave();
        traffic(ms(2000));
        sleep(DEADLINE + ms(500));
        let seen = deployment.seen.lock().unwrap();
        let Some(drained) = seen.drained.get(id).copied() else {
            return Err(Outcome::Unable(
                "the draining was not acknowledged".to_owned(),
            ));
        };
        let mut broken = Vec::new();
        for opening in seen
            .openings
            .iter()
            .filter(|opening| opening.id == id && opening.at > drained + DRAIN)
        {
            let after = opening.at.duration_since(drained).as_millis();
            broken.push(format!("DRAIN: the opening packet of {} reaches server {id} {after} ms after its draining was acknowledged", opening.flow.consumer));
            if deployment.consumers.get(&opening.flow).answered.is_empty() {
                let consumer = opening.flow.consumer;
                record.say(&format!(
                    "the request of {consumer} to server {id} was never answered"
                ));
            }
        }
        drop(seen);
        Ok(deployment.judge(broken))
    })
}

/// All agents are restarted in turn, then two of three fronts, while few consumers send: one request
/// comes while an agent is down, and others some seconds later.
pub fn roll_quiet(record: &Arc<Record>, trouble: bool) -> Outcome {
    run(|| {
        let deployment = Deployment::start(record, 3, &[SERVICE; 12], 0, POWER)?;
        let world = &deployment.world;
        // Agents tell the homes of their flows again 15 s after their start.
        sleep(ms(7400));
        let flows = deployment.open_flows(90)?;
        let opened = deployment.seen.lock().unwrap().opened.clone();
        // Flows whose packets come to front-2 only while another front is out of rotation.
        let moves_to_second = |flow: &Flow, rotation: &[usize]| {
            world.front_among(flow, &[0, 1, 2]) != 1 && world.front_among(flow, rotation) == 1
        };
        let of_target = |target: usize| {
            let at_target =
                |flow: &&Flow| opened.get(*flow).is_some_and(|home| home.server == target);
            let at_target: Vec<&Flow> = flows.iter().filter(at_target).collect();
            let first = at_target
                .iter()
                .copied()
                .find(|flow| moves_to_second(flow, &[1, 2]));
            let later = at_target.iter().copied();
            let later: Vec<&Flow> = later
                .filter(|flow| Some(*flow) != first && moves_to_second(flow, &[0, 1]))
                .collect();
            first
                .filter(|_| !later.is_empty())
                .map(|first| (target, first, later))
        };
        let Some((target, first, later)) = (0..world.sides.len()).find_map(of_target) else {
            return Err(Outcome::Unable("no flows fit".to_owned()));
        };
        let restart = |daemon: &Arc<Daemon>| {
            let (world, daemon) = (world.clone(), daemon.clone());
            std::thread::spawn(move || {
                world.stop(&daemon);
                sleep(RESTART);
                world.start(&daemon);
            })
        };
        let wait = |front: usize, is_in: bool| {
            let end = Instant::now() + ms(8000);
            while trouble && world.in_rotation(front) != is_in && Instant::now() < end {
                sleep(ms(2));
            }
        };
        let mut restarts = Vec::new();
        if trouble {
            let others = world
                .sides
                .iter()
                .filter(|side| side.name != world.sides[target].name);
            for side in others {
                restarts.push(restart(side));
                sleep(ms(1000));
            }
            restarts.push(restart(&world.fronts[0]));
        }
        wait(0, false);
        if trouble {
            restarts.push(restart(&world.sides[target]));
            sleep(ms(450));
        }
        deployment.consumers.request(first, "first-request");
        sleep(ms(150));
        deployment.consumers.give_up(first);
        let sent = Instant::now();
        wait(0, true);
        if trouble {
            restarts.push(restart(&world.fronts[2]));
        }
        wait(2, false);
        sleep((sent + ms(3900)).saturating_duration_since(Instant::now()));
        for (index, flow) in later.into_iter().enumerate() {
            deployment
                .consumers
                .request(flow, &format!("later-{index}"));
            sleep(ms(100));
        }
        restarts
            .into_iter()
            .for_each(|restart| drop(restart.join()));
        sleep(ms(2000));
        Ok(deployment.judge(deployment.broken_flows(&flows)))
    })
}

/// In a fleet of more than 128 agents, the weights of a route change, and then a front is restarted.
pub fn weights_many(record: &Arc<Record>, trouble: bool) -> Outcome {
    const OTHER: &str = "maps";
    run(|| {
        let mut services = vec![SERVICE; 100];
        services.resize(130, OTHER);
        let deployment = Deployment::start(record, 2, &services, 0, POWER)?;
        let world = &deployment.world;
        let weights = |version, desk: u64| {
            let targets = [(SERVICE, desk), (OTHER, 100 - desk)];
            world.store.put(
                "op/config",
                &weighted_config(version, deployment.route, &targets),
            );
        };
        weights(14, 90);
        sleep(ms(500));
        let flows = deployment.open_flows(40)?;
        if trouble {
            weights(17, 10);
        }
        sleep(CONFIG_APPLY + ms(1000));
        for (index, flow) in flows.iter().enumerate() {
            deployment
                .consumers
                .request(flow, &format!("second-{index}"));
        }
        sleep(ms(1000));
        if trouble {
            world.stop(&world.fronts[0]);
            sleep(RESTART);
            world.start(&world.fronts[0]);
        }
        for (index, flow) in flows.iter().enumerate() {
            deployment
                .consumers
                .request(flow, &format!("third-{index}"));
        }
        sleep(ms(4000));
        Ok(deployment.judge(deployment.broken_flows(&flows)))
    })
}

/// A zone is evacuated, and later another writer overwrites the operator's key with bytes that can't
/// be read.
pub fn evacuation_overwritten(record: &Arc<Record>, trouble: bool) -> Outcome {
    const KEY: &str = "op/evacuate/zone-b";
    run(|| {
        let sides = [
            "desk",
            "desk",
            "desk",
            "desk@zone-b",
            "desk@zone-b",
            "desk@zone-b",
        ];
        let deployment = Deployment::start(record, 2, &sides, 0, POWER)?;
        let mut count = 0;
        let mut traffic = |time: Duration| {
            let end = Instant::now() + time;
            while Instant::now() < end {
                let flow = deployment.consumers.new_flow(count % 4, deployment.route);
                deployment
                    .consumers
                    .open(flow, &format!("request-{count}"), None);
                count += 1;
                sleep(ms(25));
            }
        };
        traffic(ms(2000));
        let ack = deployment.world.store.put(KEY, "{}");
        traffic(EVACUATION + ms(2000));
        if trouble {
            deployment.world.store.put(KEY, [0xff, 0xfe, 0x00]);
        }
        traffic(ms(9000));
        sleep(ms(1500));
        let seen = deployment.seen.lock().unwrap();
        let late = seen
            .openings
            .iter()
            .filter(|opening| opening.server >= 3 && opening.at > ack + EVACUATION);
        let broken = late.map(|opening| {
            let after = opening.at.duration_since(ack).as_millis();
            format!(
                "EVAC: the opening packet of {} reaches server {} in zone-b {after} ms after its evacuation was acknowledged",
                opening.flow.consumer, opening.id
            )
        });
        let broken: Vec<String> = broken.collect();
        drop(seen);
        Ok(deployment.judge(broken))
    })
}
