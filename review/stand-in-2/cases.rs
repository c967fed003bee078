//! The cases. Each returns whether its rule held.

use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use crate::{
    consumer::{Consumer, Outcome},
    fleet::{Fleet, exists},
    record::Record,
    server::{Server, report, unix_ms},
    store::Store,
};

/// Time from the end of a process to its next start.
const RESTART: Duration = Duration::from_millis(540);

struct World {
    record: Record,
    fleet: Fleet,
    servers: Vec<Server>,
    consumer: Consumer,
}

pub fn run(name: &str, folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::new();
    record.say(format!("case {name}, trouble {}", u8::from(trouble)));
    let result = match name {
        "other-writer" => other_writer(&record, trouble),
        "rolled-twice" => rolled_twice(&record, trouble),
        _ => Err(format!("no case {name}")),
    };
    record.say(match &result {
        Ok(true) => "result: held".to_owned(),
        Ok(false) => "result: broken".to_owned(),
        Err(reason) => format!("result: could not run: {reason}"),
    });
    record.write(&format!("{folder}/record.txt")).map_err(|error| error.to_string())?;
    result
}

impl World {
    /// Starts everything, and waits until the front daemons are in rotation and all servers are acknowledged.
    fn start(services: &[&'static str], record: &Record) -> Result<World, String> {
        if !exists() {
            return Err("target/deploy/berylvalve-node is not built".to_owned());
        }
        let text = |error: std::io::Error| error.to_string();
        let mut fleet = Fleet::new(services, record)?;
        let store = Store::start(fleet.store()).map_err(text)?;
        let first = config(1, &fleet, &["alpha"]);
        store.put("op/config", &first);
        record.say("operator: version 1 is acknowledged: route 0 to alpha");
        for index in 0..fleet.machines.len() {
            fleet.start(index)?;
        }
        let mut servers = Vec::new();
        for (index, machine) in fleet.machines.iter().enumerate() {
            if let Some(service) = machine.service {
                let id = format!("i-{index}");
                servers.push(Server::start(&id, service, fleet.server_addresses(machine), record).map_err(text)?);
                // Servers do not report in step.
                thread::sleep(Duration::from_millis(170));
            }
        }
        let consumer = Consumer::start(fleet.consumer(), fleet.fronts(), record).map_err(text)?;
        let world = World { record: record.clone(), fleet, servers, consumer };
        let deadline = Instant::now() + Duration::from_secs(20);
        let is_up = || {
            let acked = world.servers.iter().all(|server| server.acked.load(Ordering::SeqCst) >= 2);
            acked && world.consumer.in_rotation() == 2
        };
        while !is_up() {
            if Instant::now() > deadline {
                return Err("the fleet did not come up within 20 s".to_owned());
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.say("all front daemons are in rotation, all servers are acknowledged");
        thread::sleep(Duration::from_secs(2));
        Ok(world)
    }

    /// Ends the processes and writes down every flow. Fails if a stand-in saw a packet that nobody wrote so
    /// or a process ended by itself, which no case looks for.
    fn stop(&mut self) -> Result<Vec<Outcome>, String> {
        let ended = self.fleet.ended();
        self.fleet.stop(&[
            "event=started",
            "event=stopping",
            "event=stopped",
            "event=routes_applied",
            "event=agent_gone",
            "event=flows_reset",
            "event=server_",
            "event=flow_reset",
            "event=flow_proved_lost",
            "event=flow_search",
            "event=search_round",
            "state=Left",
        ]);
        let outcomes = self.consumer.outcomes();
        for outcome in &outcomes {
            let answers: Vec<String> = outcome.answers.iter().map(|(at, service)| format!("{at:.3} {service}")).collect();
            let answers = match answers.len() {
                0..=3 => answers.join(", "),
                count => format!("{count} from {} to {}", answers[0], answers[count - 1]),
            };
            self.record.say_at(
                outcome.sent,
                format!(
                    "flow {} opens; open at {:?}; answers: {answers}; reset at {:?}; refused: {}",
                    outcome.port, outcome.opened, outcome.reset, outcome.refused
                ),
            );
        }
        let forged = self.consumer.state.lock().unwrap().forged;
        let forged = u64::from(forged) + self.servers.iter().map(|s| s.forged.load(Ordering::SeqCst)).sum::<u64>();
        let runs: u64 = self.servers.iter().map(|server| server.runs.load(Ordering::SeqCst)).sum();
        self.record.say(format!("flows {}, runs {runs}, forged packets {forged}, ended by themselves {ended:?}", outcomes.len()));
        match ended.is_empty() && outcomes.iter().any(|outcome| !outcome.answers.is_empty()) {
            true => Ok(outcomes),
            false => Err("nothing was served, or a process ended by itself".to_owned()),
        }
    }
}

/// Returns a config whose route N leads to the Nth service.
fn config(version: u64, fleet: &Fleet, services: &[&str]) -> String {
    let routes: Vec<String> = services
        .iter()
        .enumerate()
        .map(|(index, service)| {
            let address = fleet.route(index as u8);
            format!(
                r#"{{"name":"r{index}","hostname":"{}","prefix":"/{}/","type":"safe","service":"{service}","timeout_ms":4000,"target_latency_ms":250,"priority":2,"max_attempts":1}}"#,
                address.ip(),
                address.port()
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"alpha","health_check_path":"/health"}},{{"name":"beta","health_check_path":"/health"}}],"limits":{{"idle_timeout_ms":30000}}}}"#,
        routes.join(",")
    )
}

/// A status report of another writer, with a field missing and one of another type, reaches an agent. FLOW: no
/// open flow gets a reset that its server didn't send.
fn other_writer(record: &Record, trouble: bool) -> Result<bool, String> {
    let mut world = World::start(&["alpha", "alpha"], record)?;
    for _ in 0..20 {
        world.consumer.open(world.fleet.route(0), true);
        thread::sleep(Duration::from_millis(15));
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        let server = &world.servers[0];
        let body = format!(
            r#"{{"service":"alpha","address":"{}","version":2,"slots":4,"state":"ready","warmup_left_ms":0,"sequence":0,"born":{}}}"#,
            server.app,
            unix_ms()
        );
        let status = report(server.control, "w-77", &body);
        record.say(format!("another writer reports as w-77, without zone and with a number as version: {status}"));
    }
    thread::sleep(Duration::from_secs(4));
    judge_resets(&mut world, record)
}

/// A front is restarted, then all agents in turn, twice around. FLOW: no open flow gets a reset that its server
/// didn't send. Few consumers send: one while the first agent is down for the first time, and goes away at once;
/// some others, idle until then, while it is down for the second time.
fn rolled_twice(record: &Record, trouble: bool) -> Result<bool, String> {
    /// The agent beside whose server consumers send, and the front that is restarted before.
    const AGENT: usize = 5;
    const FRONT: usize = 1;
    let mut world = World::start(&["alpha", "alpha", "alpha", "alpha"], record)?;
    let mut flows = Vec::new();
    for _ in 0..120 {
        flows.push(world.consumer.open_idle(world.fleet.route(0)));
        thread::sleep(Duration::from_millis(15));
    }
    thread::sleep(Duration::from_millis(500));
    let front = world.fleet.fronts()[FRONT].0;
    let server = format!("i-{AGENT}");
    let outcomes = world.consumer.outcomes();
    flows.retain(|port| {
        let is_there = outcomes.iter().any(|outcome| outcome.port == *port && outcome.server == server);
        is_there && world.consumer.front_of(*port) == Some(front)
    });
    if flows.len() < 4 {
        return Err("too few flows at the server".to_owned());
    }
    record.say(format!("flows at {server} whose packets go to the second front: {flows:?}"));
    if trouble {
        world.fleet.terminate(FRONT)?;
        thread::sleep(RESTART);
        world.fleet.start(FRONT)?;
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    thread::sleep(Duration::from_secs(1));
    while world.consumer.in_rotation() < 2 {
        if Instant::now() > deadline {
            return Err("the front did not come back".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_secs(1));
    let first = flows.remove(0);
    for round in 0..2 {
        for index in 2..world.fleet.machines.len() {
            let begin = Instant::now();
            if trouble {
                world.fleet.terminate(index)?;
            }
            let ended = Instant::now();
            if index == AGENT {
                thread::sleep(Duration::from_millis(30));
                match round {
                    0 => {
                        world.consumer.ask(first);
                        thread::sleep(Duration::from_millis(150));
                        world.consumer.go_away(first);
                    }
                    _ => flows.iter().for_each(|port| world.consumer.ask(*port)),
                }
            }
            thread::sleep(RESTART.saturating_sub(ended.elapsed()));
            if trouble {
                world.fleet.start(index)?;
            }
            thread::sleep(Duration::from_secs(1).saturating_sub(begin.elapsed()));
        }
    }
    thread::sleep(Duration::from_secs(3));
    judge_resets(&mut world, record)
}

fn judge_resets(world: &mut World, record: &Record) -> Result<bool, String> {
    let open: usize = world.servers.iter().map(Server::open_flows).sum();
    record.say(format!("flows that the servers still hold open: {open}"));
    let outcomes = world.stop()?;
    let opened = outcomes.iter().filter(|outcome| outcome.opened.is_some()).count();
    let reset = outcomes.iter().filter(|outcome| outcome.reset.is_some()).count();
    record.say(format!("of {opened} flows that opened, {reset} were reset though their servers live and sent no reset"));
    match opened >= 10 {
        true => Ok(reset == 0),
        false => Err("too few flows opened".to_owned()),
    }
}
