//! The clock of a process.

use std::time::Duration;

use berylvalve_core::kernel::Kernel;

/// After a loss of power, the first packets that a balancer reads are copies of openings that their callers
/// began before it started. If they counted as young as the process, they would take the slots of callers
/// who can still be answered in time.
#[test]
fn age_of_what_began_before_the_process_is_kept() {
    let clock = Kernel::new().clock();
    let age = Duration::from_millis(600);
    let now = clock.now();
    assert_eq!(now.since(now - age), age);
    assert!(clock.instant(now - age) <= clock.instant(now));
}
