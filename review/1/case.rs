//! Case 1: a server's `leave` is acknowledged, and right after that every process of the core is killed. See claim.txt.

#[path = "../common.rs"]
mod common;

use common::*;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create("review/1/record.txt");
    let code = run(&record, trouble);
    record.say(&format!("exit {code}"));
    exit(code);
}

fn run(record: &Arc<Record>, trouble: bool) -> i32 {
    let deployment = Deployment::new(record, 3);
    let mut core = deployment.start_core(true);
    let _edges = deployment.start_edges(true);
    let seen = Arc::new(Seen::default());
    let config = configuration("zonefinder", "hulo84.example", "/leny950/", "readonly", 7);
    if deployment.order("/config/patch", &config, ms(15_000)).is_none_or(|answer| answer.status != 200) {
        return 2;
    }
    let servers: Vec<_> = (0..6)
        .map(|index| Server::start(&deployment, &seen, "zonefinder", &format!("i-{index}"), index % 3))
        .collect();
    if !deployment.wait_until_ready(ms(15_000)) {
        record.say("the edges did not get ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..18)
        .map(|client| start_clients(&deployment, client % 3, client, "hulo84.example", "/leny950/2f", ms(40), &stop))
        .collect();
    // Calm for longer than `contact`.
    thread::sleep(ms(6_000));

    // One server says `leave` first, as some do. After that it sends no heartbeats, and serves on.
    let leaving = &servers[0];
    leaving.beats.store(false, Ordering::SeqCst);
    thread::sleep(ms(1_500));
    let mut acknowledged = None;
    for core in 0..3 {
        if leaving.leave(core) {
            acknowledged = Some(record.now());
            break;
        }
    }
    let Some(acknowledged) = acknowledged else {
        record.say("the leave was not acknowledged");
        return 2;
    };
    let mut back_at = acknowledged;
    if trouble {
        for process in &core {
            process.signal(SIGKILL);
        }
        record.say(&format!("all processes of the core killed, {} us after the acknowledgement", (record.now() - acknowledged).as_micros()));
        for process in &mut core {
            process.kill_and_wait();
        }
        core.clear();
        thread::sleep(ms(600));
        core = deployment.start_core(false);
        back_at = record.now();
        record.say("all processes of the core started again");
    }
    thread::sleep(ms(12_000));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        _ = client.join();
    }
    drop(core);

    // In touch again `contact` after the core is back; 200 ms more for the starts and for requests under way.
    let judged_from = (acknowledged + DRAIN).max(if trouble { back_at + CONTACT } else { acknowledged }) + ms(200);
    let arrivals = lock(&seen.arrivals).clone();
    let late: Vec<_> = arrivals.iter().filter(|arrival| arrival.instance == "i-0" && arrival.at > judged_from).collect();
    let served = arrivals.iter().filter(|arrival| arrival.at > judged_from).count();
    record.say(&format!(
        "leave acknowledged at {:.3} s; judged from {:.3} s; {served} requests ran from then on, {} of them at the server that left",
        acknowledged.as_secs_f64(), judged_from.as_secs_f64(), late.len()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(&format!(
            "DRAIN broken: {} reached i-0 {:.3} s after the acknowledgement, {} {:.3} s after it",
            first.try_id, (first.at - acknowledged).as_secs_f64(), last.try_id, (last.at - acknowledged).as_secs_f64()
        ));
        return 1;
    }
    if served < 50 {
        record.say("too few requests were served to tell");
        return 2;
    }
    record.say("DRAIN held");
    0
}
