//! Servers that are warming up, and zones whose evacuation has ended.
#![allow(missing_docs, reason = "a test has no public interface")]

mod common;

use common::{instance, item, warming_up, zone, Cluster, HEARTBEAT_INTERVAL_MS};
use emberpin_config::ItemKind;
use emberpin_membership::instance::Instance;
use emberpin_membership::registry::Event;
use emberpin_membership::session::ToProxy;
use googletest::prelude::*;
use std::time::Duration;

/// The remaining warm-up time of an instance at the registry of a machine, in milliseconds.
fn warmup_left_ms(cluster: &Cluster, machine: u8, id: &str) -> u128 {
    cluster
        .entry(machine, id)
        .instance(cluster.timestamp())
        .warmup_left
        .as_millis()
}

#[gtest]
fn warmups_are_replicated_and_their_remaining_time_decreases() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.send_heartbeat(1, warming_up("a", 1, 3_000));
    cluster.run(1_000);
    for machine in 1..=3 {
        verify_that!(
            warmup_left_ms(&cluster, machine, "a"),
            all![ge(1_950), le(2_050)]
        )?;
    }
    // A server may report at any time that it warms up again.
    cluster.run(3_000);
    cluster.send_heartbeat(1, warming_up("a", 2, 2_000));
    cluster.run(50);
    for machine in 1..=3 {
        verify_that!(
            warmup_left_ms(&cluster, machine, "a"),
            all![ge(1_900), le(2_000)]
        )?;
    }
    Ok(())
}

#[gtest]
fn servers_warm_up_after_an_evacuation_until_a_later_heartbeat() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(1);
    let service = item(
        ItemKind::Service,
        "svc",
        1,
        Some("{\"name\":\"svc\",\"warmup\":\"4s\"}"),
    );
    cluster.handle_event(
        1,
        Event::Items(vec![
            service,
            item(ItemKind::Evacuation, &zone(1), 1, Some("{}")),
        ]),
    );
    cluster.send_heartbeat(1, instance("a", 1));
    cluster.send_heartbeat(
        1,
        Instance {
            zone: "elsewhere".into(),
            ..instance("b", 1)
        },
    );
    cluster.open_session(1, 9, None, vec![]);
    cluster.run(50);
    _ = cluster.take_messages(1, 9);
    cluster.handle_event(
        1,
        Event::Items(vec![item(ItemKind::Evacuation, &zone(1), 2, None)]),
    );
    cluster.run(20);
    verify_that!(
        (
            warmup_left_ms(&cluster, 1, "a") > 3_900,
            warmup_left_ms(&cluster, 1, "b")
        ),
        eq((true, 0))
    )?;
    // The item and the instances that warm up again are sent in one message.
    let messages = cluster.take_messages(1, 9);
    let together = |message: &ToProxy| {
        matches!(message, ToProxy::Changes { items, instances, .. }
        if items.len() == 1 && instances.len() == 1 && instances[0].warmup_left > Duration::from_millis(3_900))
    };
    verify_that!(messages.iter().any(together), eq(true))?;
    // A heartbeat that may have been sent before the end of the evacuation does not shorten the warm-up; a later one
    // does.
    cluster.run(HEARTBEAT_INTERVAL_MS / 2);
    cluster.send_heartbeat(1, instance("a", 2));
    verify_that!(warmup_left_ms(&cluster, 1, "a"), gt(3_000))?;
    cluster.run(HEARTBEAT_INTERVAL_MS / 2);
    cluster.send_heartbeat(1, instance("a", 3));
    verify_that!(warmup_left_ms(&cluster, 1, "a"), eq(0))
}

#[gtest]
fn servers_warm_up_again_only_where_their_zone_may_have_been_evacuated() -> googletest::Result<()> {
    let ended = |version| Event::Items(vec![item(ItemKind::Evacuation, &zone(1), version, None)]);
    let mut cluster = Cluster::confirmed(1);
    cluster.handle_event(1, ended(2));
    cluster.run(HEARTBEAT_INTERVAL_MS * 2);
    cluster.send_heartbeat(1, instance("a", 1));
    // The evacuation is ended twice in a row, so the zone got requests all the time.
    cluster.handle_event(1, ended(3));
    verify_that!(warmup_left_ms(&cluster, 1, "a"), eq(0))?;
    // Between these two versions the zone may have been evacuated.
    cluster.handle_event(1, ended(5));
    verify_that!(warmup_left_ms(&cluster, 1, "a"), gt(0))
}

/// The delivery of an item that ends the evacuation of the servers' zone.
fn evacuation_ended() -> Event {
    Event::Items(vec![item(ItemKind::Evacuation, &zone(1), 2, None)])
}

#[gtest]
fn a_registry_that_starts_long_after_an_evacuation_restarts_no_warmup() -> googletest::Result<()> {
    let mut cluster = Cluster::confirmed(3);
    cluster.add_server(2, "a");
    cluster.run(2_000);
    cluster.kill(1);
    cluster.start(1);
    cluster.run(300);
    cluster.handle_event(1, evacuation_ended());
    cluster.open_session(1, 9, None, vec![instance("a", 1)]);
    verify_that!(warmup_left_ms(&cluster, 1, "a"), eq(0))
}

#[gtest]
fn a_registry_that_starts_at_the_end_of_an_evacuation_learns_of_warmups() -> googletest::Result<()>
{
    let mut cluster = Cluster::confirmed(3);
    cluster.handle_event(
        2,
        Event::Items(vec![item(ItemKind::Evacuation, &zone(1), 1, Some("{}"))]),
    );
    cluster.send_heartbeat(2, instance("a", 1));
    cluster.run(50);
    cluster.kill(1);
    cluster.start(1);
    cluster.run(300);
    cluster.handle_event(1, evacuation_ended());
    verify_that!(warmup_left_ms(&cluster, 1, "a"), eq(0))?;
    cluster.handle_event(2, evacuation_ended());
    cluster.run(50);
    verify_that!(warmup_left_ms(&cluster, 1, "a"), gt(2_800))
}

#[gtest]
fn instances_learned_from_proxies_warm_up_if_all_registries_have_restarted(
) -> googletest::Result<()> {
    for items_first in [true, false] {
        let mut cluster = Cluster::new(3);
        cluster.run(300);
        if items_first {
            cluster.handle_event(1, evacuation_ended());
        }
        cluster.open_session(
            1,
            9,
            None,
            vec![
                instance("a", 7),
                Instance {
                    zone: "elsewhere".into(),
                    ..instance("b", 7)
                },
            ],
        );
        if !items_first {
            cluster.handle_event(1, evacuation_ended());
        }
        verify_that!(
            (items_first, warmup_left_ms(&cluster, 1, "a") > 2_900),
            eq((items_first, true))
        )?;
        verify_that!(warmup_left_ms(&cluster, 1, "b"), eq(0))?;
        // When a proxy reports the instance once more, its warm-up does not begin anew.
        cluster.run(HEARTBEAT_INTERVAL_MS / 2);
        cluster.open_session(1, 11, None, vec![instance("a", 7), instance("d", 7)]);
        verify_that!(
            (
                warmup_left_ms(&cluster, 1, "a") < 2_500,
                warmup_left_ms(&cluster, 1, "d") > 2_900
            ),
            eq((true, true))
        )?;
        // Reports of the servers themselves are accepted after a heartbeat interval.
        cluster.run(HEARTBEAT_INTERVAL_MS);
        cluster.send_heartbeat(1, instance("a", 8));
        verify_that!(warmup_left_ms(&cluster, 1, "a"), eq(0))?;
        // Reports of proxies that come later do not date from before the end of the evacuation.
        cluster.open_session(1, 10, None, vec![instance("c", 7)]);
        verify_that!(warmup_left_ms(&cluster, 1, "c"), eq(0))?;
    }
    Ok(())
}
