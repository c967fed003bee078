//! Help texts of the tool's commands, and the shell completions made from them.

use std::fmt::Write;

/// A command of the tool.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Name on the command line.
    pub name: &'static str,
    /// What it does, in one line.
    pub about: &'static str,
    /// Whole help text; its options are the words that begin with two dashes.
    pub help: &'static str,
}

/// All commands of the tool.
pub const COMMANDS: &[Entry] = &[
    Entry {
        name: "dev",
        about: "start a whole site on loopback, or measure one",
        help: HELP_DEV,
    },
    Entry {
        name: "call",
        about: "send one request as a caller",
        help: HELP_CALL,
    },
    Entry {
        name: "load",
        about: "send a site's mix to a running fleet",
        help: HELP_LOAD,
    },
    Entry {
        name: "check",
        about: "check a settings file",
        help: HELP_CHECK,
    },
    Entry {
        name: "status",
        about: "show the members of a fleet",
        help: HELP_STATUS,
    },
    Entry {
        name: "drain",
        about: "stop one daemon gracefully",
        help: HELP_DRAIN,
    },
    Entry {
        name: "explain",
        about: "find all decisions about a request or a flow in log files",
        help: HELP_EXPLAIN_LOGS,
    },
    Entry {
        name: "timeline",
        about: "count the decisions in log files by interval",
        help: HELP_TIMELINE,
    },
    Entry {
        name: "explain-flow",
        about: "show where a flow or a request went, and why",
        help: HELP_EXPLAIN,
    },
    Entry {
        name: "settings",
        about: "read, change and explain the settings in the store",
        help: super::settings::HELP,
    },
    Entry {
        name: "soak",
        about: "run the daemons of the users' platform as processes under faults",
        help: HELP_SOAK,
    },
    Entry {
        name: "trial",
        about: "measure a decision on its state machine",
        help: HELP_TRIAL,
    },
    Entry {
        name: "stand-in",
        about: "run one stand-in of the platform as a process",
        help: HELP_STAND_IN,
    },
    Entry {
        name: "completions",
        about: "print completions for a shell",
        help: HELP_COMPLETIONS,
    },
];

/// Returns the help of a command.
pub fn find(name: &str) -> Option<&'static Entry> {
    COMMANDS.iter().find(|entry| entry.name == name)
}

/// Returns the help of the tool.
pub fn overview() -> String {
    let mut text = String::from(
        "berylvalve: drives and inspects a berylvalve fleet\n\nUSAGE:\n  berylvalve COMMAND [OPTIONS]\n\nCOMMANDS:\n",
    );
    for entry in COMMANDS {
        let _ = writeln!(text, "  {:<13} {}", entry.name, entry.about);
    }
    text.push_str("\nRun 'berylvalve COMMAND --help' for the options of a command.\n");
    text
}

/// Returns the options that a help text names, each once.
pub fn options(help: &str) -> Vec<&str> {
    let mut options = Vec::new();
    for word in help.split(|c: char| !(c.is_ascii_alphanumeric() || c == '-')) {
        let known = options.contains(&word);
        if known || word.len() < 3 || !word.starts_with("--") {
            continue;
        }
        options.push(word);
    }
    options
}

/// Returns completions for a shell; `None` if the shell is not known.
pub fn completions(shell: &str) -> Option<String> {
    match shell {
        "bash" => Some(bash()),
        "fish" => Some(fish()),
        _ => None,
    }
}

fn bash() -> String {
    let mut text = String::from("_berylvalve() {\n  local words\n  case ${COMP_WORDS[1]} in\n");
    for entry in COMMANDS {
        let options = options(entry.help).join(" ");
        let _ = writeln!(text, "    {}) words=\"{options}\" ;;", entry.name);
    }
    let names: Vec<&str> = COMMANDS.iter().map(|entry| entry.name).collect();
    let names = names.join(" ");
    let _ = writeln!(text, "    *) words=\"{names}\" ;;\n  esac");
    text.push_str("  if [ \"$COMP_CWORD\" -eq 1 ]; then\n");
    let _ = writeln!(text, "    words=\"{names}\"\n  fi");
    text.push_str("  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n");
    text.push_str("complete -o default -F _berylvalve berylvalve\n");
    text
}

fn fish() -> String {
    let mut text = String::new();
    for entry in COMMANDS {
        let (name, about) = (entry.name, entry.about);
        let _ = writeln!(
            text,
            "complete -c berylvalve -n __fish_use_subcommand -a {name} -d '{about}'"
        );
        for option in options(entry.help) {
            let option = option.trim_start_matches('-');
            let _ = writeln!(
                text,
                "complete -c berylvalve -n '__fish_seen_subcommand_from {name}' -l {option}"
            );
        }
    }
    text
}

const HELP_DEV: &str = "\
berylvalve dev: start a whole site on loopback with stand-ins

USAGE:
  berylvalve dev [--site NAME]                start a site and serve until interrupted
  berylvalve dev [--site NAME] --seconds N    send the site's mix for N seconds and report
  berylvalve dev --platform                   show the daemons of the users' platform for a minute

OPTIONS:
  --site NAME     haverkamp or dolbom (default: haverkamp)
  --seconds N     time in which requests are sent
  --faults KIND   none, forgetting, outage (of the store, while all is replaced) or rolling
                  (default: none)
  --seed S        seed of the fabric and of the callers (default: 1)
  --load X        send X times what the servers can carry, on connections that stay open
  --burst         send that load in bursts: five times as much for a fifth of the time
  --json          print the report as one JSON object on the last line

With --platform, berylvalve-node processes serve callers on loopback, beside a stand-in of the
platform's store: all balancers restart in turn, then all agents while the store is silent. --node,
--folder, --balancers, --agents, --callers and --seed are as those of 'berylvalve soak'.

EXAMPLE:
  berylvalve dev --site dolbom --seconds 10 --faults rolling --json
";

const HELP_CALL: &str = "\
berylvalve call: send one request as a caller

USAGE:
  berylvalve call --root FILE --service NAME ADDRESS METHOD PATH [BODY]

OPTIONS:
  --root FILE      certificate that signs the service's certificate, in PEM
  --service NAME   name of the service
  --timeout-ms N   time to the request's deadline (default: 5000)
  --feed N         follow a feed for N events
  --id NAME        name of the request for the logs and for explain-flow

EXAMPLE:
  berylvalve call --root root.pem --service wind 127.0.0.1:4433 POST /checkin 'kite 7'
";

const HELP_LOAD: &str = "\
berylvalve load: send a site's mix to a running fleet

The site's file names the services with their addresses and what its callers send.

USAGE:
  berylvalve load --root FILE --seconds N SITE-FILE

OPTIONS:
  --root FILE     certificate that signs the services' certificates, in PEM
  --seconds N     time in which requests are sent
  --rate X        factor on the rates of the site's mix (default: 1)
  --seed S        seed of the gaps between requests (default: 1)
  --json          print the report as one JSON object, and no progress

EXAMPLE:
  berylvalve load --root root.pem --seconds 30 --rate 2 site.json
";

const HELP_CHECK: &str = "\
berylvalve check: check a settings file without starting anything

USAGE:
  berylvalve check [--kind daemon|node|site|tree] FILE

EXAMPLE:
  berylvalve check balancer.json
";

const HELP_STATUS: &str = "\
berylvalve status: show the members of a fleet by failure domain

USAGE:
  berylvalve status --fleet FILE

OPTIONS:
  --fleet FILE   fleet keys and control addresses of some daemons, in JSON
  --json         print the members as one JSON array

EXAMPLE:
  berylvalve status --fleet fleet.json
";

const HELP_DRAIN: &str = "\
berylvalve drain: stop one daemon gracefully

The daemon takes no new work, finishes what it holds, and ends.

USAGE:
  berylvalve drain --fleet FILE CONTROL-ADDRESS

OPTIONS:
  --fleet FILE   fleet keys and control addresses of some daemons, in JSON

EXAMPLE:
  berylvalve drain --fleet fleet.json 10.0.3.7:7000
";

const HELP_EXPLAIN_LOGS: &str = "\
berylvalve explain: find all decisions about a request or a flow in log files

USAGE:
  berylvalve explain SUBJECT FILE...

SUBJECT is the id of a request, or a flow as logs show it (caller>address). The lines of all files
about it, and about the flow that carried the request, are printed in the order of time.

EXAMPLE:
  berylvalve explain 2249f706c360af19 logs/*
";

const HELP_TIMELINE: &str = "\
berylvalve timeline: count the decisions in log files by interval

USAGE:
  berylvalve timeline [OPTIONS] FILE...

Prints a line for each interval in which the processes logged something, with the number of lines by
event and reason.

OPTIONS:
  --interval MS   length of an interval in milliseconds (default: 200)
  --from TIME     earliest time of a line, in RFC 3339 as logs show it
  --until TIME    time before which a line is
  --json          print the intervals as one JSON array

EXAMPLE:
  berylvalve timeline --from 2026-09-20T06:07:45Z --until 2026-09-20T06:07:49Z logs/*
";

const HELP_EXPLAIN: &str = "\
berylvalve explain-flow: show where a flow or a request went, and why

All members are asked for the decisions that they remember about a caller's address or the name of
a request (its request-id header).

USAGE:
  berylvalve explain-flow --fleet FILE CALLER-ADDRESS
  berylvalve explain-flow --fleet FILE REQUEST-ID

OPTIONS:
  --fleet FILE   fleet keys and control addresses of some daemons, in JSON
  --json         print the decisions as one JSON array

EXAMPLE:
  berylvalve explain-flow --fleet fleet.json 203.0.113.9:51820
";

const HELP_SOAK: &str = "\
berylvalve soak: run the daemons of the users' platform as processes under faults

Starts berylvalve-node processes on loopback addresses with stand-ins for the platform's store, its
routers, callers and backend servers, disturbs them as the seed says, and checks the promises from
what callers and backend servers see. Ends with status 1 if a promise was broken. Settings, logs,
report.json and report.svg (what callers saw over time, with the faults) stay in the folder.

USAGE:
  berylvalve soak [OPTIONS]

OPTIONS:
  --seed S         seed of the first run (default: 1)
  --runs N         number of runs, each with the next seed (default: 1)
  --failed-seeds   run the seeds that have failed once, each with its own size and plan
  --large          with --failed-seeds, those of large fleets too
  --restarts       planned restarts alone: series and rolls, overlapping
  --seconds N      length of a run, 30 or more; the last 18 have no new faults (default: 60)
  --balancers N    balancers, 3 to 250 (default: 6)
  --agents N       agents, each beside a backend server, 3 to 250 (default: 9)
  --callers N      callers, 3 to 250 (default: 60)
  --node PROGRAM   the daemons' program (default: berylvalve-node beside this program)
  --folder DIR     folder for what a run leaves (default: berylvalve-soak in the temporary folder)
  --json           print the reports as JSON, one a line

EXAMPLE:
  cargo build --release --workspace
  target/release/berylvalve soak --runs 5 --folder /tmp/soak
";

const HELP_TRIAL: &str = "\
berylvalve trial: measure a decision on its state machine

USAGE:
  berylvalve trial                    list the trials
  berylvalve trial NAME [--seed S]    run one and print its figures as JSON

EXAMPLE:
  berylvalve trial flows --seed 7
";

const HELP_STAND_IN: &str = "\
berylvalve stand-in: run one stand-in of the platform as a process, for tests

USAGE:
  berylvalve stand-in fabric SERVICES    spray datagrams for a number of services
  berylvalve stand-in server FILE        run a backend server with options in JSON
  berylvalve stand-in store              run an empty key-value store

The stand-in prints its addresses on standard output. The fabric reads its balancers from standard
input, one list of addresses separated by spaces a line, and ends with its input. So does the store,
which reads what fails from now on: down, up, slow MILLISECONDS, lose N, lapse, save, restore, calls.

EXAMPLE:
  berylvalve stand-in server server.json
";

const HELP_COMPLETIONS: &str = "\
berylvalve completions: print completions for a shell

USAGE:
  berylvalve completions bash|fish

EXAMPLE:
  berylvalve completions bash > /etc/bash_completion.d/berylvalve
";
