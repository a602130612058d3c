//! `emberpin-registry --check` must print which bounds of the settings are below the sum of the delays that they bound.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::RegistryProcess;
use googletest::prelude::*;

#[gtest]
fn check_prints_the_bounds_that_control_may_exceed() {
    expect_that!(
        RegistryProcess::check("2500ms"),
        eq(&(String::new(), Some(0)))
    );
    let expected =
        "defs.bounds.apply is 1500 ms, but the delays of the control plane may add up to 2000 ms\n";
    expect_that!(
        RegistryProcess::check("1500ms"),
        eq(&(expected.to_string(), Some(0)))
    );
}
