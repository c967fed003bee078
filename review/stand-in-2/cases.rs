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

/// Bounds of the small sites.
const CONFIG_APPLY_S: f64 = 3.0;
const CONTACT_S: f64 = 4.0;

struct World {
    record: Record,
    fleet: Fleet,
    store: Store,
    servers: Vec<Server>,
    consumer: Consumer,
}

pub fn run(name: &str, folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::new();
    record.say(format!("case {name}, trouble {}", u8::from(trouble)));
    let result = match name {
        "silent-channels" => silent_channels(&record, trouble),
        "double-term" => double_term(&record, trouble),
        "other-writer" => other_writer(&record, trouble),
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
        let store = Store::start(fleet.store(), record.clone()).map_err(text)?;
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
        let world = World { record: record.clone(), fleet, store, servers, consumer };
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
            "event=watch_failed",
            "event=route_store",
            "event=agent_gone",
            "event=flows_reset",
            "event=server_",
            "event=flow_reset",
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
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"alpha","health_check_path":"/health"}},{{"name":"beta","health_check_path":"/health"}}],"limits":{{"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}

/// The open channels to the store go silent for good, new ones work; then a config changes the service of a
/// route. CONFIG: a request sent later than `config_apply_ms` after the ack is not run by the old service.
fn silent_channels(record: &Record, trouble: bool) -> Result<bool, String> {
    let mut world = World::start(&["alpha", "alpha", "beta", "beta"], record)?;
    let (fleet, store, consumer) = (&world.fleet, &world.store, &world.consumer);
    store.put("op/config", &config(4, fleet, &["alpha", "beta"]));
    record.say("operator: version 4 is acknowledged: adds route 1");
    thread::sleep(Duration::from_millis(500));
    let silent_at = record.now();
    match trouble {
        true => {
            let channels = store.silence();
            record.say(format!("the {channels} channels to the store that were opened so far go silent"));
        }
        false => record.say("no channel goes silent"),
    }
    thread::sleep(Duration::from_millis(500));
    store.put("op/config", &config(9, fleet, &["beta", "beta"]));
    let acked_at = record.now();
    record.say("operator: version 9 is acknowledged: route 0 to beta");
    while record.now() < acked_at + 12.0 {
        consumer.open(fleet.route(0), false);
        thread::sleep(Duration::from_millis(40));
    }
    thread::sleep(Duration::from_millis(1500));
    let due = (acked_at + CONFIG_APPLY_S).max(silent_at + CONTACT_S);
    let outcomes = world.stop()?;
    let (mut late, mut judged, mut last) = (0, 0, 0.0);
    for outcome in outcomes.iter().filter(|outcome| outcome.sent > due) {
        for (_, service) in &outcome.answers {
            judged += 1;
            if service == "alpha" {
                late += 1;
                last = outcome.sent;
            }
        }
    }
    record.say(format!(
        "ack at {acked_at:.3}, silence at {silent_at:.3}, bound passed and all in touch from {due:.3}: of {judged} \
         requests sent after it and answered, {late} were run by the old service, the last one sent at {last:.3}"
    ));
    match judged >= 100 {
        true => Ok(late == 0),
        false => Err("too few requests were answered".to_owned()),
    }
}

/// Each agent gets SIGTERM, starts again, and gets SIGTERM once more 0.6 s after its start. FLOW: no open flow
/// gets a reset that its server didn't send.
fn double_term(record: &Record, trouble: bool) -> Result<bool, String> {
    let mut world = World::start(&["alpha", "alpha", "alpha", "alpha"], record)?;
    for _ in 0..40 {
        world.consumer.open(world.fleet.route(0), true);
        thread::sleep(Duration::from_millis(15));
    }
    thread::sleep(Duration::from_secs(2));
    for index in 2..world.fleet.machines.len() {
        if trouble {
            world.fleet.terminate(index)?;
            thread::sleep(Duration::from_millis(300));
            world.fleet.start(index)?;
            thread::sleep(Duration::from_millis(600));
            world.fleet.terminate(index)?;
            thread::sleep(Duration::from_millis(300));
            world.fleet.start(index)?;
        }
        thread::sleep(Duration::from_millis(3000));
    }
    thread::sleep(Duration::from_secs(1));
    judge_resets(&mut world, record)
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
