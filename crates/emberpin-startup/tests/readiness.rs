//! Tests when a limiter reports ready.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_startup::readiness::Readiness;
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(10);
const BEFORE: Duration = Duration::from_secs(9);

#[test]
fn a_limiter_is_ready_once_it_knows_a_server_and_stays_so() {
    let mut readiness = Readiness::new(DEADLINE);
    assert!(!readiness.update(BEFORE, 0));
    assert!(readiness.update(BEFORE, 1));
    assert!(
        readiness.update(BEFORE, 0),
        "a limiter stays ready when all servers are removed"
    );
}

#[test]
fn a_limiter_without_servers_is_ready_at_the_deadline() {
    assert!(Readiness::new(DEADLINE).update(DEADLINE, 0));
}
