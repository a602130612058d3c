//! The parts that need no process.
#![allow(missing_docs, reason = "a test has no public interface")]

use emberpin_runtime::settings::Settings;
use emberpin_scale_bench::fit::{extrapolate, line, Line};
use emberpin_scale_bench::process::{kib, read_sent};
use emberpin_scale_bench::report;
use emberpin_scale_bench::run::{Figures, Sample};
use emberpin_scale_bench::size::{self, Dimension, Size, BASE, DESIGN};
use emberpin_scale_bench::texts::{self, Places};
use googletest::prelude::*;
use std::net::Ipv4Addr;
use std::path::Path;

fn places() -> Places {
    let cores = (1..=3).map(|host| Ipv4Addr::new(127, 0, 0, host)).collect();
    Places {
        cores,
        edge: Ipv4Addr::new(127, 0, 0, 9),
        port: 7_000,
    }
}

#[gtest]
fn a_line_through_points_on_it_has_no_error() {
    let line = line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("a line");
    expect_that!((line.start, line.slope), (near(3.0, 1e-9), near(2.0, 1e-9)));
    expect_that!((line.interval, line.points), (near(0.0, 1e-9), eq(3)));
}

#[gtest]
fn a_line_beside_its_points_has_the_interval_of_the_textbook() {
    // Slope 0.6; squares left 2.4 with 3 degrees of freedom, spread 10: 3.182 * sqrt(0.08).
    let line = line(&[(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 4.0), (5.0, 5.0)]).expect("a line");
    expect_that!((line.slope, line.start), (near(0.6, 1e-9), near(2.2, 1e-9)));
    expect_that!(line.interval, near(0.900_005, 1e-5));
}

#[gtest]
fn points_that_tell_no_slope_give_none() {
    expect_that!(line(&[]), none());
    expect_that!(line(&[(3.0, 1.0)]), none());
    expect_that!(line(&[(3.0, 1.0), (3.0, 2.0)]), none());
    expect_that!(
        line(&[(3.0, 1.0), (4.0, 2.0)]).map(|line| line.interval),
        some(eq(f64::INFINITY))
    );
}

#[gtest]
fn errors_add_by_squares_and_only_along_what_differs() {
    let along = |slope, interval| Line {
        start: 0.0,
        slope,
        interval,
        points: 9,
    };
    let there = extrapolate(10.0, &[(along(2.0, 0.3), 10.0), (along(1.0, 0.1), 40.0)]);
    expect_that!(
        (there.value, there.interval),
        (near(70.0, 1e-9), near(5.0, 1e-9))
    );
    let here = extrapolate(10.0, &[(along(2.0, f64::INFINITY), 0.0)]);
    expect_that!((here.value, here.interval), (eq(10.0), eq(0.0)));
}

#[gtest]
fn a_full_run_changes_one_dimension_at_a_time_and_each_at_two_sizes_at_least() {
    let sizes = size::full();
    expect_that!(sizes[0], eq(BASE));
    for size in &sizes[1..] {
        let along = Dimension::ALL
            .into_iter()
            .filter(|dimension| size.only(*dimension, &BASE))
            .count();
        expect_that!(along, eq(1), "{size:?}");
    }
    // Each service has servers at every size.
    expect_that!(
        sizes,
        each(predicate(|size: &Size| size.services <= size.servers))
    );
    for dimension in Dimension::ALL {
        let along = sizes
            .iter()
            .filter(|size| size.only(dimension, &BASE))
            .count();
        expect_that!(along, ge(2), "{dimension:?}");
    }
}

#[gtest]
fn a_size_is_read_whole_or_not_at_all() {
    let size = Size {
        limiters: 480,
        servers: 4_200,
        routes: 860,
        services: 98,
    };
    expect_that!(Size::read("480,4200, 860,98"), some(eq(size)));
    for wrong in [
        "",
        "1,2,3",
        "1,2,3,4,5",
        "1,2,0,4",
        "1,10001,1,1",
        "1,2,x,4",
    ] {
        expect_that!(Size::read(wrong), none(), "{wrong}");
    }
}

#[gtest]
fn settings_are_such_as_the_programs_read() {
    let places = places();
    let core = texts::settings(&places, places.cores[1], Some(Path::new("/data")));
    let core = Settings::parse(&core, "core").expect("settings");
    expect_that!(
        (core.store_port(), core.registry_port()),
        eq((7_000, 7_001))
    );
    expect_that!(
        (core.control_address, core.http_address),
        eq((Some(places.ctl(places.cores[1])), None))
    );
    expect_that!(
        (core.zone.as_str(), core.seeds.len(), core.bootstrap),
        eq(("z1", 3, true))
    );
    expect_that!(core.data_dir.is_some(), eq(true));
    let edge =
        Settings::parse(&texts::settings(&places, places.edge, None), "edge").expect("settings");
    expect_that!(
        (edge.http_address, edge.readiness_address),
        eq((Some(places.http()), Some(places.readyz())))
    );
    expect_that!((edge.control_address, edge.data_dir), (none(), none()));
}

#[gtest]
fn a_configuration_has_as_much_as_its_size_says() {
    let text = texts::configuration(&Size {
        limiters: 1,
        servers: 1,
        routes: 7,
        services: 3,
    });
    let body = jzon::parse(&text).expect("JSON");
    // What is followed and what answers stand beside them.
    expect_that!(body["upsert"]["svcs"].len(), eq(4));
    expect_that!(body["upsert"]["vhosts"].len(), eq(9));
    let change = jzon::parse(&texts::change(12)).expect("JSON");
    expect_that!(
        change["upsert"]["vhosts"][0]["locs"][0]["ver"].as_u64(),
        some(eq(12))
    );
    let beat = texts::beat("svc-1", ([127, 1, 0, 1], 9_000).into(), 5, 8);
    let beat = jzon::parse(&beat).expect("JSON");
    expect_that!(
        (beat["sysinfo"]["az"].as_str(), beat["stat"]["seq"].as_u64()),
        eq((Some("z2"), Some(8)))
    );
}

#[gtest]
fn what_the_kernel_prints_is_read() {
    expect_that!(
        kib("VmHWM:\t    9 kB\nVmRSS:\t    7 kB\n", "VmRSS:"),
        eq(7.0)
    );
    expect_that!(kib("", "VmRSS:"), eq(0.0));
    let text =
        "0 0 127.0.0.1:40000 127.0.0.2:7000 users:((\"a\",pid=12,fd=9))\n\t cubic bytes_sent:100 x:1\n\
                0 0 127.0.0.1:40002 127.0.0.3:7000 users:((\"a\",pid=12,fd=8))\n\t cubic bytes_sent:11\n\
                0 0 127.0.0.1:7000 127.0.0.1:40000 users:((\"b\",pid=13,fd=8))\n\t cubic\n\
                0 0 127.0.0.1:7000 127.0.0.1:40009\n\t cubic bytes_sent:5\n";
    let sent: Vec<_> = read_sent(text).into_iter().collect();
    expect_that!(sent, elements_are![eq(&((12, 7_000), 111))]);
}

#[gtest]
fn tables_say_what_is_run_and_what_is_computed() {
    let sample = |limiters: usize, values: [f64; 2]| Sample {
        size: BASE.with(Dimension::Limiters, limiters),
        figures: Figures::from([("proxy: RSS, KiB", values.to_vec())]),
        reached: vec![],
        unheard: 0,
    };
    let samples = [sample(20, [100.0, 100.0]), sample(60, [140.0, 140.0])];
    let there = report::estimate(&samples, &BASE, &DESIGN, "proxy: RSS, KiB").expect("an estimate");
    expect_that!(there.value, near(560.0, 1e-6));
    let text = report::tables(&samples, &BASE, &DESIGN);
    expect_that!(text, contains_substring("| proxy: RSS, KiB | 100 | 140 |"));
    expect_that!(text, contains_substring("none | none | none | 560 ± "));
    expect_that!(text, contains_substring("computed at 480/4200/860/98"));
}
