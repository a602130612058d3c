//! Ports that are taken. In a test program of its own: a process that another test starts has a copy of each open
//! socket for a moment.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_demo::deployment::Deployment;
use googletest::prelude::*;
use std::net::TcpListener;

#[gtest]
fn ports_taken_on_one_machine_are_skipped_on_all() {
    // One of those that the system assigns: no other run looks for its ports among them.
    let taken = TcpListener::bind("127.0.0.22:0").expect("a port");
    let port = taken.local_addr().expect("an address").port();
    let error =
        Deployment::on_first_free_ports(3, [port].into_iter()).expect_err("no port is left");
    let expected = format!("the last try: 127.0.0.22:{port}: Address");
    expect_that!(error.to_string(), contains_substring(expected));
    expect_that!(
        error.to_string(),
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
