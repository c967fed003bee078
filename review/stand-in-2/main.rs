//! Stand-ins of the second review: the platform's store, backend servers, a consumer with its router, and
//! the cases that drive the project's own processes against them. Only the standard library is used.
//!
//! Usage: `review-2 CASE FOLDER` in the repository's root. Writes FOLDER/record.txt. Exit status: 0 if the
//! rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the disruption out.

mod cases;
mod consumer;
mod fleet;
mod json;
mod packet;
mod record;
mod server;
mod store;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 3 {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match cases::run(&args[1], &args[2], trouble) {
        Ok(true) => println!("held"),
        Ok(false) => {
            println!("broken");
            exit(1)
        }
        Err(reason) => {
            println!("could not run: {reason}");
            exit(2)
        }
    }
}
