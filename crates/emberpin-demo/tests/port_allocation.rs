//! Ports that are taken. By themselves: a process that another test starts has a copy of each open socket for a moment.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_demo::deployment::Deployment;
use googletest::prelude::*;
use std::net::TcpListener;

#[gtest]
fn ports_that_are_taken_on_one_machine_are_passed_over() {
    // Of those that the system gives out: nobody else looks for them here.
    let taken = TcpListener::bind("127.0.0.22:0").expect("a port");
    let port = taken.local_addr().expect("an address").port();
    let problem =
        Deployment::on_first_free_ports(3, [port].into_iter()).expect_err("no port is left");
    let expected = format!("the last try: 127.0.0.22:{port}: Address");
    expect_that!(problem.to_string(), contains_substring(expected));
    expect_that!(
        problem.to_string(),
        contains_substring("ports in a row are free on every machine's address")
    );
    // An edge that is not asked for may have it.
    expect_that!(
        Deployment::on_first_free_ports(1, [port].into_iter()).map(drop),
        ok(anything())
    );
    drop(taken);
    expect_that!(
        Deployment::on_first_free_ports(3, [port].into_iter()).map(drop),
        ok(anything())
    );
}
