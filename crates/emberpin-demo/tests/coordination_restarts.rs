//! What applications were told about locks, numbers and cells, after all processes were killed.
#![allow(missing_docs, reason = "a test has no public interface")]

mod core_machines;

use core_machines::{
    begin_body, finish_body, heartbeat_body, number, put_body, CoreMachines, ANSWER_TIMEOUT,
};
use googletest::prelude::*;
use std::time::Duration;
use tokio::time::{sleep, Instant};

const HOLD_MS: u64 = 3_000;
/// Changes of the group before and after the revision that is saved.
const CHANGES: u64 = 20;
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// What an application was told before the processes were killed.
struct Told {
    /// The fence of the lock `l1`, which `holder` holds.
    fence: u64,
    /// The last number of `n1`.
    number: u64,
    /// The revision from which a watch of the group `g1.` is resumed.
    saved: u64,
    /// The values that the cell `g1.a` got after that, with their revisions.
    values: Vec<(String, u64)>,
}

impl Told {
    /// Has a system do some work, one call after the other at each of the machines.
    async fn by(machines: &CoreMachines) -> googletest::Result<Told> {
        let mut told = Told {
            fence: 0,
            number: 0,
            saved: 0,
            values: Vec::new(),
        };
        let mut revision = 0;
        for change in 0..2 * CHANGES {
            let machine = change as usize % machines.count();
            let (status, body) = machines.post(machine, "/numbers/n1", "{}").await;
            verify_that!(
                (status, number(&body, "val") > told.number),
                eq((200, true))
            )?;
            told.number = number(&body, "val");
            let value = format!("v{change}");
            let put = put_body(&value, revision);
            let (status, body) = machines.post(machine, "/cells/g1.a/put", &put).await;
            verify_that!((status, number(&body, "rev") > revision), eq((200, true)))?;
            revision = number(&body, "rev");
            if change < CHANGES {
                told.saved = revision;
            } else {
                told.values.push((value, revision));
            }
            // Each round raises the fence.
            let begin = begin_body("holder", HOLD_MS);
            let (status, body) = machines.post(machine, "/locks/l1/begin", &begin).await;
            verify_that!(
                (status, number(&body, "fence") > told.fence),
                eq((200, true))
            )?;
            told.fence = number(&body, "fence");
            if change + 1 < 2 * CHANGES {
                let finish = finish_body("holder", told.fence);
                let (status, _) = machines.post(machine, "/locks/l1/finish", &finish).await;
                verify_that!(status, eq(200))?;
            }
        }
        Ok(told)
    }

    /// Whether no machine is behind it.
    async fn verify(&self, machines: &CoreMachines) -> googletest::Result<()> {
        let mut last_number = self.number;
        for machine in 0..machines.count() {
            let (status, body) = machines.post(machine, "/numbers/n1", "{}").await;
            verify_that!(
                (status, number(&body, "val") > last_number),
                eq((200, true))
            )?;
            last_number = number(&body, "val");
            let (status, body) = machines.get(machine, "/cells/g1.a/get").await;
            let (value, revision) = self.values.last().expect("a value");
            verify_that!((status, number(&body, "rev")), eq((200, *revision)))?;
            verify_that!(body, contains_substring(format!("\"{value}\"")))?;
            let path = format!("/watch/g1.?after={}&wait_ms=2000", self.saved);
            let (status, body) = machines.get(machine, &path).await;
            verify_that!(status, eq(200))?;
            let watched = jzon::parse(&body).or_fail()?;
            let events: Vec<(String, u64)> = watched["events"]
                .members()
                .map(|event| {
                    let value = event["val"].as_str().unwrap_or_default().to_owned();
                    (value, event["rev"].as_u64().unwrap_or_default())
                })
                .collect();
            verify_that!(events, eq(&self.values))?;
        }
        self.verify_lock(machines).await
    }

    /// Whether the lock is free after its hold, with a higher fence than any before.
    async fn verify_lock(&self, machines: &CoreMachines) -> googletest::Result<()> {
        let since = Instant::now();
        let begin = begin_body("successor", HOLD_MS);
        for machine in (0..machines.count()).cycle() {
            let (status, body) = machines.post(machine, "/locks/l1/begin", &begin).await;
            if status == 200 {
                verify_that!(number(&body, "fence"), gt(self.fence))?;
                break;
            }
            verify_that!(status, eq(409))?;
            verify_that!(since.elapsed(), lt(ANSWER_TIMEOUT))?;
            sleep(RETRY_BACKOFF).await;
        }
        // The former holder has lost it.
        let heartbeat = heartbeat_body("holder", self.fence, HOLD_MS);
        let (status, _) = machines.post(0, "/locks/l1/heartbeat", &heartbeat).await;
        verify_that!(status, eq(409))
    }
}

// Guards against SHORT of issue 62: of the calls for locks, numbers and cells, none was served.
#[tokio::test]
async fn a_calm_system_answers_each_kind_of_call_of_applications() -> googletest::Result<()> {
    let machines = CoreMachines::start_three(91);
    machines.wait_until_served().await;
    let told = Told::by(&machines).await?;
    let heartbeat = heartbeat_body("holder", told.fence, HOLD_MS);
    let (status, _) = machines.post(1, "/locks/l1/heartbeat", &heartbeat).await;
    verify_that!(status, eq(200))?;
    told.verify(&machines).await
}

// Guards against LOST of issue 62: what applications were told was not there after a loss of power.
#[tokio::test]
async fn what_applications_were_told_outlives_a_kill_of_all_processes() -> googletest::Result<()> {
    let mut machines = CoreMachines::start_three(92);
    machines.wait_until_served().await;
    let told = Told::by(&machines).await?;
    machines.kill_all();
    machines.restart_all();
    told.verify(&machines).await
}

// Guards against LOST of issue 62, when one of the disks is lost together with the power.
#[tokio::test]
async fn what_applications_were_told_outlives_a_kill_of_all_processes_and_the_loss_of_a_disk(
) -> googletest::Result<()> {
    let mut machines = CoreMachines::start_three(93);
    machines.wait_until_served().await;
    let told = Told::by(&machines).await?;
    machines.kill_all();
    // That of the machine that is asked first for the lead.
    machines.remove_disk(0);
    machines.restart_all();
    told.verify(&machines).await
}
