//! All parts together, at two small sizes, with real processes.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_scale_bench::report;
use emberpin_scale_bench::run::{measure, Plan, Programs};
use emberpin_scale_bench::size::{self, Dimension};
use googletest::prelude::*;
use std::path::Path;
use std::process::Command;

/// The programs of the same build; they are other packages', so nobody has built them if this package is
/// tested alone.
fn programs() -> Programs {
    let folder = Path::new(env!("CARGO_BIN_EXE_emberpin-scale-bench"))
        .parent()
        .expect("a folder");
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--quiet", "--jobs", "2"]);
    build.args([
        "-p",
        "emberpin-store",
        "-p",
        "emberpin-registry",
        "-p",
        "emberpin-proxy",
    ]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    assert!(build.status().expect("a build").success());
    Programs::within(folder).expect("the programs")
}

#[gtest]
fn two_small_sizes_give_finite_slopes_and_every_limiter_gets_every_change() {
    let programs = programs();
    let (sizes, plan) = (size::quick(), Plan::quick());
    let measured: Vec<_> = sizes
        .iter()
        .map(|size| measure(&programs, *size, &plan).expect("a measured size"))
        .collect();
    for sample in &measured {
        expect_that!(
            sample.reached,
            eq(&vec![sample.size.limiters; 2 * plan.changes])
        );
        for figure in [
            "store: CPU at rest, ms/s",
            "registry: CPU for a change, ms",
            "proxy: CPU for a request, us",
            "proxy: RSS, KiB",
            "limiter: told at rest, bytes/s",
        ] {
            expect_that!(sample.figures.get(figure), some(not(is_empty())));
        }
    }
    let figures = report::figures(&measured);
    for figure in figures {
        let line = report::line(&measured, &sizes[0], Dimension::Limiters, figure);
        expect_that!(
            line.map(|line| line.slope.is_finite()),
            some(eq(true)),
            "{figure}"
        );
        expect_that!(
            report::line(&measured, &sizes[0], Dimension::Routes, figure),
            none()
        );
    }
    println!("{}", report::tables(&measured, &sizes[0], &size::DESIGN));
}
