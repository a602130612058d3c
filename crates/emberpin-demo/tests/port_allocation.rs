//! Allocation of ports when some are in use. This test has its own program, because a process that another test starts
//! briefly has a copy of each open socket, which would keep the port in use.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_demo::deployment::Deployment;
use googletest::prelude::*;
use std::net::TcpListener;

#[gtest]
fn ports_taken_on_one_machine_are_skipped_on_all() {
    // An ephemeral port, because no other run searches for its ports in that range.
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
    // The port may be in use on the address of an edge that is not part of the deployment.
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
