//! Stand-ins of the third review: the platform's store, backend servers and callers, and the cases that
//! start the project's programs with them. Only the standard library is used.
//!
//! Usage: standin CASE NODE_PROGRAM RECORD. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. With TROUBLE=0 in the environment, the disruption is left out.

mod case;
mod platform;
mod site;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, program, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE NODE_PROGRAM RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match name.as_str() {
        "replaced-balancers" => case::replaced_balancers(program, record, trouble),
        "reset-flows" => case::reset_flows(program, record, trouble),
        "unnoticed-loss" => case::unnoticed_loss(program, record, trouble),
        _ => Err(format!("no case {name}")),
    };
    match result {
        Ok(false) => println!("held"),
        Ok(true) => {
            println!("broken");
            exit(1);
        }
        Err(reason) => {
            println!("could not run: {reason}");
            exit(2);
        }
    }
}
