//! Stores as processes on addresses of this machine: calls, news, the loss of all processes, of a disk, of a
//! machine.

use emberpin_config::{Item, ItemKind};
use emberpin_runtime::frames;
use emberpin_runtime::identity::ProcessIdentity;
use emberpin_store::protocol::{DiskState, StoreReply, StoreRequest, ToStore};
use googletest::prelude::*;
use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::process::{Child, Command};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// All that is waited for comes well before.
const LONG: Duration = Duration::from_secs(30);

const KEEPER: &str = env!("CARGO_BIN_EXE_emberpin-store");

/// A machine with a disk, and its store.
struct Machine {
    ip: Ipv4Addr,
    port: u16,
    folder: TempDir,
    seeds: Vec<Ipv4Addr>,
    store: Option<Child>,
    /// The size of its disk, if it is told.
    disk_mb: Option<u64>,
}

impl Machine {
    fn start(&mut self, bootstrap: bool) {
        self.start_with(bootstrap, Command::new(KEEPER));
    }

    /// No file gets longer than so many blocks of 512 bytes, until [`Machine::make_room`].
    fn start_on_a_full_disk(&mut self, blocks: u64) {
        let mut limited = Command::new("sh");
        let script = format!("trap '' XFSZ; ulimit -S -f {blocks}; exec \"$0\"");
        limited.args(["-c", &script, KEEPER]);
        self.start_with(false, limited);
    }

    fn make_room(&self) {
        let store = self.store.as_ref().expect("a store").id().to_string();
        let done = Command::new("prlimit")
            .args(["--pid", &store, "--fsize=unlimited"])
            .status();
        assert!(done.is_ok_and(|done| done.success()), "no limit was raised");
    }

    /// No sync of its disk ends while [`Machine::stall_file`] exists.
    fn start_with_a_disk_that_may_stall(&mut self, bootstrap: bool) {
        let mut program = Command::new(KEEPER);
        program.env("EMBERPIN_STORE_STALL", self.stall_file());
        self.start_with(bootstrap, program);
    }

    fn stall_file(&self) -> std::path::PathBuf {
        self.folder.path().join("stall")
    }

    fn runs(&mut self) -> bool {
        let store = self.store.as_mut().expect("a store");
        store.try_wait().expect("a process").is_none()
    }

    async fn disk(&self, wanted: DiskState) {
        self.follow(|told| match told {
            StoreReply::Status { disk, .. } if disk.state == wanted => Some(()),
            _ => None,
        })
        .await;
    }

    fn start_with(&mut self, bootstrap: bool, mut program: Command) {
        let file = self.folder.path().join("boot.toml");
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}:1\""))
            .collect();
        let disk = self
            .disk_mb
            .map(|mb| format!("disk_mb = {mb}\n"))
            .unwrap_or_default();
        let text = format!(
            "[self]\nnodename = \"core\"\nip = \"{ip}\"\naz = \"z1\"\nrgn = \"r\"\nbootstrap = {bootstrap}\n\
             datadir = \"{data}\"\n[self.limits]\nmem_mb = 256\nnofile = 1024\n{disk}\
             [network]\nport_range = [{port},{last}]\nseeds = [{seeds}]\n[network.listen]\n\
             [network.zones]\nz1 = \"r\"\nz2 = \"r\"\n[infra]\nhb = \"1s\"\n[defs.tolerance]\nnodes = 1\n\
             [defs.bounds]\ndrain = \"2s\"\ngrace = \"6s\"\napply = \"2s\"\nevac = \"2s\"\nack = \"5s\"\n\
             contact = \"3s\"\nretry_ratio = 0.2\nretry_win = \"10s\"\nretry_extra = 60\nwarm_excess = 1.5\n\
             warm_extra = 5\n",
            ip = self.ip,
            port = self.port,
            last = self.port + 1,
            seeds = seeds.join(","),
            data = self.data().display(),
        );
        std::fs::write(&file, text).expect("a settings file");
        let store = program
            .env("EMBERPIN_NODE_FILE", &file)
            .spawn()
            .expect("a store");
        self.store = Some(store);
    }

    fn data(&self) -> std::path::PathBuf {
        self.folder.path().join("data")
    }

    fn kill(&mut self) {
        if let Some(mut store) = self.store.take() {
            _ = store.kill();
            _ = store.wait();
        }
    }

    /// Has it end by SIGTERM; its exit code.
    fn terminate(&mut self) -> Option<i32> {
        let mut store = self.store.take().expect("a store");
        let told = Command::new("kill").arg(store.id().to_string()).status();
        assert!(told.is_ok_and(|told| told.success()), "no signal was sent");
        store.wait().expect("an end").code()
    }

    fn lose_disk(&mut self) {
        self.kill();
        std::fs::remove_dir_all(self.data()).expect("a folder to remove");
    }

    /// A connection, as soon as the store takes one.
    async fn connect(&self) -> TcpStream {
        let until = Instant::now() + LONG;
        loop {
            let mut stream = self.connect_without_preamble().await;
            let (mut from, mut to) = stream.split();
            // One that was about to end may have taken the connection.
            let process = ProcessIdentity::new(1);
            if matches!(
                timeout(LONG, process.handshake(&mut from, &mut to)).await,
                Ok(Ok(_))
            ) {
                return stream;
            }
            assert!(Instant::now() < until, "{} is not greeted", self.ip);
        }
    }

    async fn connect_without_preamble(&self) -> TcpStream {
        let until = Instant::now() + LONG;
        loop {
            if let Ok(stream) = TcpStream::connect((self.ip, self.port)).await {
                return stream;
            }
            assert!(Instant::now() < until, "{} takes no connections", self.ip);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The answer to one call, sent again as the operator does.
    async fn call(&self, ask: StoreRequest) -> (u16, String) {
        let until = Instant::now() + LONG;
        loop {
            let mut stream = self.connect().await;
            if frames::write(&mut stream, &ToStore::Request(ask.clone()))
                .await
                .is_ok()
            {
                if let Ok(Ok(StoreReply::Response { status, body, .. })) =
                    timeout(LONG, frames::read(&mut stream)).await
                {
                    if status != 503 {
                        return (status, body);
                    }
                }
            }
            assert!(Instant::now() < until, "no answer");
        }
    }

    /// One try of a call, once the store takes connections; `None`, if it ends without an answer.
    async fn once(&self, stream: &mut TcpStream, ask: StoreRequest) -> Option<(u16, String)> {
        frames::write(stream, &ToStore::Request(ask)).await.ok()?;
        match timeout(LONG, frames::read(stream)).await {
            Ok(Ok(StoreReply::Response { status, body, .. })) => Some((status, body)),
            _ => None,
        }
    }

    async fn patch(&self, body: &str) -> u16 {
        self.call(StoreRequest::Patch {
            id: 7,
            body: body.into(),
        })
        .await
        .0
    }

    async fn get(&self) -> String {
        self.call(StoreRequest::Get { id: 8 }).await.1
    }

    /// Waits until a follower is told what is looked for.
    async fn follow<T>(&self, mut look: impl FnMut(StoreReply) -> Option<T>) -> T {
        let mut stream = self.connect().await;
        frames::write(&mut stream, &ToStore::Request(StoreRequest::Subscribe))
            .await
            .expect("a store that hears");
        let found = async {
            loop {
                let told = frames::read(&mut stream).await.expect("a store that tells");
                if let Some(found) = look(told) {
                    return found;
                }
            }
        };
        timeout(LONG, found).await.expect("not told in time")
    }

    async fn voters(&self, wanted: &[Ipv4Addr]) {
        self.follow(|told| match told {
            StoreReply::Status {
                up_to_date: true,
                voters,
                ..
            } if voters == wanted => Some(()),
            _ => None,
        })
        .await;
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A port that is free on all addresses of a net, below those that the system gives to whoever connects: one of
/// these may be taken between this check and the start of a store.
fn free_port(net: u8) -> u16 {
    let first = (std::process::id() * 41 + u32::from(net) * 97) % 20_000;
    let ports = (0..20_000).map(|nth| 10_000 + ((first + nth) % 20_000) as u16);
    let is_free = |port: &u16| {
        (1..=4).all(|host| TcpListener::bind((Ipv4Addr::new(127, 9, net, host), *port)).is_ok())
    };
    ports.into_iter().find(is_free).expect("a port")
}

/// Machines on addresses of their own; the first three are the seeds.
fn machines(net: u8, count: u8) -> Vec<Machine> {
    let seeds: Vec<Ipv4Addr> = (1..=3)
        .map(|host| Ipv4Addr::new(127, 9, net, host))
        .collect();
    let port = free_port(net);
    let machine = |host| Machine {
        ip: Ipv4Addr::new(127, 9, net, host),
        port,
        folder: tempfile::tempdir().expect("a folder"),
        seeds: seeds.clone(),
        store: None,
        disk_mb: None,
    };
    (1..=count).map(machine).collect()
}

fn service(name: &str, ver: u64) -> String {
    format!(
        "{{\"upsert\":{{\"svcs\":[{{\"name\":\"{name}\",\"hcheck\":\"/h\",\"maxconn\":9,\"proto\":\"h1\",\
         \"tls\":false,\"warmup\":\"3s\",\"warmup_per_s\":10.0,\"ver\":{ver}}}]}}}}"
    )
}

/// A change of 60 services, with 12 KB more or less.
fn many(number: u64) -> String {
    let one = service("x", 1)
        .replace("{\"upsert\":{\"svcs\":[", "")
        .replace("]}}", "");
    let each = |nth| one.replace("\"x\"", &format!("\"s-{number}-{nth}-{}\"", "n".repeat(90)));
    let services: Vec<String> = (0..60).map(each).collect();
    format!("{{\"upsert\":{{\"svcs\":[{}]}}}}", services.join(","))
}

/// One machine, which is the whole roster.
fn alone(net: u8) -> Machine {
    let mut machine = machines(net, 1).remove(0);
    machine.seeds.truncate(1);
    machine
}

/// Changes until one is not acknowledged: how many were, and what came of that one.
async fn changes(machine: &Machine, from: u64) -> (u64, Option<(u16, String)>) {
    let mut stream = machine.connect().await;
    for number in from.. {
        let body = many(number).into_bytes();
        match machine
            .once(&mut stream, StoreRequest::Patch { id: number, body })
            .await
        {
            Some((200, _)) => {}
            other => return (number, other),
        }
    }
    (from, None)
}

fn run(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test);
}

#[gtest]
fn a_call_is_told_everywhere_and_outlasts_the_end_of_all_processes() {
    run(async {
        let mut machines = machines(1, 3);
        machines.iter_mut().for_each(|machine| machine.start(true));
        expect_that!(machines[0].patch(&service("a", 7)).await, eq(200));
        expect_that!(machines[1].patch(&service("a", 7)).await, eq(200));
        expect_that!(machines[2].patch(&service("a", 6)).await, eq(409));
        expect_that!(machines[2].patch("{\"upsert\":").await, eq(400));
        let evacuate = |begin| StoreRequest::Evacuate {
            id: 1,
            zone: "z2".into(),
            begin,
        };
        expect_that!(machines[1].call(evacuate(true)).await.0, eq(200));
        let nowhere = StoreRequest::Evacuate {
            id: 1,
            zone: "z9".into(),
            begin: true,
        };
        expect_that!(machines[1].call(nowhere).await.0, eq(404));
        for machine in &machines {
            let mut seen: Vec<Item> = Vec::new();
            machine
                .follow(|told| {
                    if let StoreReply::Items { items } = told {
                        seen.extend(items);
                    }
                    let has = |kind| {
                        seen.iter()
                            .any(|item| item.key.kind == kind && item.body.is_some())
                    };
                    (has(ItemKind::Service) && has(ItemKind::Evacuation)).then_some(())
                })
                .await;
        }
        machines.iter_mut().for_each(Machine::kill);
        machines.iter_mut().for_each(|machine| machine.start(false));
        expect_that!(
            machines[2].get().await,
            contains_substring("\"name\":\"a\"")
        );
        expect_that!(machines[0].call(evacuate(true)).await.0, eq(200));
    });
}

#[gtest]
fn what_was_acknowledged_outlasts_a_lost_disk() {
    run(async {
        let mut machines = machines(2, 3);
        machines.iter_mut().for_each(|machine| machine.start(true));
        // One that is killed before its first sync is a second lost disk, and only one is tolerated.
        let all: Vec<Ipv4Addr> = machines.iter().map(|machine| machine.ip).collect();
        for machine in &machines {
            machine.voters(&all).await;
        }
        expect_that!(machines[0].patch(&service("a", 1)).await, eq(200));
        machines[2].kill();
        expect_that!(machines[0].patch(&service("b", 1)).await, eq(200));
        machines[0].lose_disk();
        machines[1].kill();
        machines.iter_mut().for_each(|machine| machine.start(false));
        expect_that!(
            machines[0].get().await,
            contains_substring("\"name\":\"b\"")
        );
        expect_that!(
            machines[2].get().await,
            contains_substring("\"name\":\"b\"")
        );
    });
}

/// Sends again what was taken, and other contents under its numbers, to all machines.
async fn repeats(machines: &[Machine]) {
    let other = service("x", 5).replace("\"maxconn\":9", "\"maxconn\":8");
    let beside = other.replace(
        "}]}}",
        &format!("}},{}", service("y", 1).split_once('[').expect("a list").1),
    );
    let drop = "{\"remove\":{\"svcs\":[{\"name\":\"x\",\"ver\":7}]}}";
    for machine in machines {
        for order in [&service("x", 5), &service("x", 6), drop] {
            expect_that!(
                machine.patch(order).await,
                eq(200),
                "{order} at {}",
                machine.ip
            );
        }
        for order in [&other, &beside] {
            expect_that!(
                machine.patch(order).await,
                eq(409),
                "{order} at {}",
                machine.ip
            );
        }
    }
}

#[gtest]
fn a_repeat_is_acknowledged_and_another_content_refused_however_many_came_after() {
    run(async {
        let mut machines = machines(12, 3);
        machines.iter_mut().for_each(|machine| machine.start(true));
        expect_that!(machines[0].patch(&service("x", 5)).await, eq(200));
        expect_that!(machines[1].patch(&service("x", 6)).await, eq(200));
        repeats(&machines).await;
        machines.iter_mut().for_each(Machine::kill);
        machines.iter_mut().for_each(|machine| machine.start(false));
        repeats(&machines).await;
        machines[2].lose_disk();
        machines[2].start(false);
        repeats(&machines).await;
        // Of no use to others than stores.
        let told = machines[1].follow(|told| match told {
            StoreReply::Items { items } => Some(items),
            _ => None,
        });
        let told = told.await;
        expect_that!(told.iter().any(|item| item.key.name == "x"), eq(true));
        expect_that!(
            told.iter().any(|item| item.key.kind == ItemKind::History),
            eq(false)
        );
    });
}

#[gtest]
fn a_machine_at_another_address_takes_the_place_of_one_that_is_gone() {
    run(async {
        let mut machines = machines(3, 4);
        machines[..3]
            .iter_mut()
            .for_each(|machine| machine.start(true));
        expect_that!(machines[0].patch(&service("a", 1)).await, eq(200));
        machines[1].kill();
        machines[3].start(false);
        let voters = [machines[0].ip, machines[2].ip, machines[3].ip];
        machines[3].voters(&voters).await;
        machines[2].kill();
        expect_that!(machines[3].patch(&service("b", 1)).await, eq(200));
        expect_that!(
            machines[0].get().await,
            contains_substring("\"name\":\"b\"")
        );
    });
}

#[gtest]
fn a_store_that_is_told_to_end_leaves_its_place_if_enough_stay() {
    run(async {
        let mut machines = machines(7, 4);
        machines[..3]
            .iter_mut()
            .for_each(|machine| machine.start(true));
        expect_that!(machines[0].patch(&service("a", 1)).await, eq(200));
        machines[3].start(false);
        let all: Vec<Ipv4Addr> = machines.iter().map(|machine| machine.ip).collect();
        machines[3].voters(&all).await;
        // One that doesn't know of the new machine yet keeps its place.
        machines[1].voters(&all).await;
        expect_that!(machines[1].terminate(), some(eq(0)));
        // Right away, and not as one that stays silent for 12 s.
        let ended = Instant::now();
        machines[3].voters(&[all[0], all[2], all[3]]).await;
        expect_that!(ended.elapsed(), lt(Duration::from_secs(9)));
        expect_that!(machines[0].terminate(), some(eq(0)));
        machines[3].voters(&[all[0], all[2], all[3]]).await;
        expect_that!(machines[3].patch(&service("b", 1)).await, eq(200));
    });
}

#[gtest]
fn a_first_call_with_many_routes_is_taken_whole() {
    run(async {
        let mut machines = machines(5, 3);
        machines.iter_mut().for_each(|machine| machine.start(true));
        let locs: Vec<String> = (0..800)
            .map(|number| {
                format!(
                    "{{\"name\":\"r-{number}\",\"pfx\":\"/p{number}/\",\"type\":\"readonly\",\"timeout\":\"1500ms\",\
                     \"target_time\":\"250ms\",\"prio\":2,\"svc\":\"a\",\"tries\":2,\"ver\":7}}"
                )
            })
            .collect();
        let routes = format!(
            ",\"vhosts\":[{{\"hostname\":\"h.example\",\"locs\":[{}]}}]}}}}",
            locs.join(",")
        );
        let body = service("a", 7).replace("]}}", &format!("]{routes}"));
        let began = Instant::now();
        expect_that!(machines[1].patch(&body).await, eq(200));
        println!("{} bytes taken in {:?}", body.len(), began.elapsed());
        let began = Instant::now();
        expect_that!(machines[1].patch(&service("b", 8)).await, eq(200));
        println!("one more item taken in {:?}", began.elapsed());
        for machine in &machines {
            let got = machine.get().await;
            expect_that!(got.matches("\"name\":\"r-").count(), eq(800));
        }
    });
}

#[gtest]
fn on_a_full_disk_nothing_is_acknowledged_that_is_not_there_later() {
    run(async {
        // The end of the disk comes at other places of a write.
        for blocks in [400, 411, 425, 438] {
            let mut machine = alone(8);
            machine.start(true);
            expect_that!(machine.patch(&many(0)).await, eq(200));
            machine.kill();
            machine.start_on_a_full_disk(blocks);
            let (taken, other) = changes(&machine, 1).await;
            expect_that!(taken, gt(2));
            expect_that!(other, some(eq(&(503, "the disk is full".to_string()))));
            machine.disk(DiskState::Full).await;
            let mut stream = machine.connect().await;
            let again = StoreRequest::Patch {
                id: 9,
                body: many(taken).into_bytes(),
            };
            let refused = machine.once(&mut stream, again).await;
            expect_that!(refused, some(eq(&(503, "the disk is full".to_string()))));
            expect_that!(machine.runs(), eq(true));
            machine.make_room();
            machine.disk(DiskState::Writable).await;
            expect_that!(machine.patch(&many(taken)).await, eq(200));
            expect_that!(machine.runs(), eq(true));
            machine.kill();
            machine.start(false);
            let got = machine.get().await;
            for number in 0..=taken {
                let here = got.matches(&format!("\"s-{number}-")).count();
                expect_that!(here, eq(60), "change {number} of {taken}");
            }
        }
    });
}

#[gtest]
fn a_store_that_ends_on_a_full_disk_has_all_that_was_acknowledged() {
    run(async {
        for blocks in [400, 425] {
            let mut machine = alone(11);
            machine.start(true);
            expect_that!(machine.patch(&many(0)).await, eq(200));
            machine.kill();
            machine.start_on_a_full_disk(blocks);
            let (taken, _) = changes(&machine, 1).await;
            machine.disk(DiskState::Full).await;
            machine.kill();
            machine.start(false);
            let got = machine.get().await;
            for number in 0..taken {
                let here = got.matches(&format!("\"s-{number}-")).count();
                expect_that!(here, eq(60), "change {number} of {taken}");
            }
        }
    });
}

#[gtest]
fn others_go_on_beside_a_full_disk_and_its_store_hears_what_is_chosen() {
    run(async {
        let mut machines = machines(12, 3);
        machines.iter_mut().for_each(|machine| machine.start(true));
        expect_that!(machines[0].patch(&many(0)).await, eq(200));
        machines[0].kill();
        machines[0].start_on_a_full_disk(200);
        for number in 1..20 {
            expect_that!(machines[1].patch(&many(number)).await, eq(200));
        }
        machines[0].disk(DiskState::Full).await;
        let mut seen = 0;
        machines[0]
            .follow(|told| {
                if let StoreReply::Items { items } = told {
                    seen += items
                        .iter()
                        .filter(|item| item.key.name.starts_with("s-"))
                        .count();
                }
                (seen == 20 * 60).then_some(())
            })
            .await;
        machines[0].make_room();
        machines[0].disk(DiskState::Writable).await;
        // It counts again: with 1 it is a majority.
        machines[2].kill();
        expect_that!(machines[0].patch(&many(20)).await, eq(200));
        expect_that!(machines[0].runs(), eq(true));
    });
}

#[gtest]
fn a_disk_that_stalls_holds_up_nothing_that_needs_no_write() {
    run(async {
        let mut machines = machines(13, 3);
        machines
            .iter_mut()
            .for_each(|machine| machine.start_with_a_disk_that_may_stall(true));
        expect_that!(machines[0].patch(&service("a", 1)).await, eq(200));
        std::fs::write(machines[0].stall_file(), "").expect("a file");
        expect_that!(machines[1].patch(&service("b", 1)).await, eq(200));
        machines[0].disk(DiskState::Stalled).await;
        let heard = |told| match told {
            StoreReply::Items { items } => {
                items.iter().any(|item| item.key.name == "b").then_some(())
            }
            _ => None,
        };
        machines[0].follow(heard).await;
        let mut stream = machines[0].connect().await;
        let patch = StoreRequest::Patch {
            id: 1,
            body: service("c", 1).into_bytes(),
        };
        let refused = machines[0].once(&mut stream, patch).await;
        expect_that!(
            refused,
            some(eq(&(503, "the disk does not answer".to_string())))
        );
        expect_that!(
            machines[0].get().await,
            contains_substring("\"name\":\"b\"")
        );
        std::fs::remove_file(machines[0].stall_file()).expect("a file");
        machines[0].disk(DiskState::Writable).await;
        expect_that!(machines[0].patch(&service("c", 1)).await, eq(200));
    });
}

#[gtest]
fn disks_that_are_thirty_times_as_slow_take_changes() {
    run(async {
        let mut machines = machines(14, 3);
        for machine in &mut machines {
            let mut program = Command::new(KEEPER);
            program.env("EMBERPIN_STORE_SYNC_MS", "150");
            machine.start_with(true, program);
        }
        for number in 0..5 {
            expect_that!(machines[0].patch(&service("a", 1 + number)).await, eq(200));
        }
    });
}

#[gtest]
fn changes_are_refused_before_the_disk_is_full_and_reads_are_not() {
    run(async {
        let mut machine = alone(9);
        machine.disk_mb = Some(1);
        machine.start(true);
        expect_that!(machine.patch(&many(0)).await, eq(200));
        let (taken, other) = changes(&machine, 1).await;
        expect_that!(
            other,
            some(eq(&(503, "the disk is nearly full".to_string())))
        );
        let got = machine.get().await;
        expect_that!(
            (0..taken).all(|number| got.contains(&format!("\"s-{number}-59-"))),
            eq(true)
        );
        machine.kill();
        machine.start(false);
        expect_that!(machine.get().await, eq(&got));
    });
}

#[gtest]
fn a_damaged_disk_keeps_a_store_from_starting() {
    run(async {
        let mut machine = alone(10);
        machine.start(true);
        expect_that!(machine.patch(&service("a", 1)).await, eq(200));
        machine.kill();
        let journal = machine.data().join("store/journals/0");
        let mut bytes = std::fs::read(&journal).expect("a journal");
        // The tag that begins the second write.
        let end = bytes
            .windows(4)
            .position(|part| part == *b"FJL\x02")
            .expect("an end");
        bytes[end + 4] = 9;
        std::fs::write(&journal, &bytes).expect("a journal");
        machine.start(false);
        let mut store = machine.store.take().expect("a store");
        expect_that!(store.wait().expect("an end").code(), some(eq(2)));
        expect_that!(
            std::fs::read(&journal).expect("a journal") == bytes,
            eq(true)
        );
    });
}

#[gtest]
fn bytes_that_are_no_message_end_their_connection_alone() {
    run(async {
        let mut machines = machines(6, 3);
        machines.iter_mut().for_each(|machine| machine.start(true));
        for bytes in [&[0, 0, 0, 2, 9, 9][..], &[0xff; 64][..]] {
            let mut stream = machines[0].connect().await;
            stream.write_all(bytes).await.expect("a connection");
            let ended = timeout(LONG, stream.read(&mut [0; 1]))
                .await
                .expect("an end in time");
            expect_that!(ended.unwrap_or(0), eq(0));
        }
        expect_that!(machines[0].patch(&service("a", 1)).await, eq(200));
    });
}

#[gtest]
fn frames_of_the_build_before_are_refused_and_counted() {
    run(async {
        let mut machine = alone(15);
        machine.start(true);
        let recorded = include_str!("../../emberpin-runtime/tests/fixtures/protocol-1.txt");
        let frames = recorded
            .lines()
            .filter_map(|line| line.strip_prefix("to-store "));
        let mut refused = 0;
        for hex in frames {
            let digits = (0..hex.len()).step_by(2);
            let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
            let bytes: Vec<u8> = digits.map(byte).collect();
            let mut stream = machine.connect_without_preamble().await;
            stream.write_all(&bytes).await.expect("a connection");
            let ended = timeout(LONG, stream.read(&mut [0; 1]))
                .await
                .expect("an end in time");
            expect_that!(ended.unwrap_or(0), eq(0));
            refused += 1;
        }
        expect_that!(refused, eq(17));
        expect_that!(machine.patch(&service("a", 1)).await, eq(200));
        expect_that!(machine.get().await, not(contains_substring("\"b\"")));
        let told = |told| match told {
            StoreReply::Status { rejected_peers, .. } => Some(rejected_peers),
            _ => None,
        };
        expect_that!(machine.follow(told).await, eq(refused));
    });
}

/// The system that a store tells first, once it knows it.
async fn system(machine: &Machine) -> std::num::NonZeroU64 {
    let until = Instant::now() + LONG;
    loop {
        let mut stream = machine.connect_without_preamble().await;
        let (mut from, mut to) = stream.split();
        let preamble = ProcessIdentity::new(1).handshake(&mut from, &mut to).await;
        if let Some(system) = preamble.ok().and_then(|preamble| preamble.system) {
            return system;
        }
        assert!(Instant::now() < until, "it knows no system");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[gtest]
fn a_store_refuses_another_system_and_one_that_joins_learns_its_own() {
    run(async {
        let mut machines = machines(16, 4);
        machines[..3]
            .iter_mut()
            .for_each(|machine| machine.start(true));
        let ours = system(&machines[0]).await;
        machines[3].start(false);
        for machine in &machines {
            expect_that!(system(machine).await, eq(ours));
        }
        let foreign = ProcessIdentity::new(1);
        foreign.learn_system(std::num::NonZeroU64::new(ours.get() ^ 1).expect("a system"));
        let mut stream = machines[3].connect_without_preamble().await;
        let (mut from, mut to) = stream.split();
        expect_that!(
            foreign.handshake(&mut from, &mut to).await.is_err(),
            eq(true)
        );
        expect_that!(machines[0].patch(&service("a", 1)).await, eq(200));
        // It is kept.
        machines[..3].iter_mut().for_each(Machine::kill);
        machines[3].kill();
        machines[3].start(false);
        expect_that!(system(&machines[3]).await, eq(ours));
    });
}

#[gtest]
fn another_machines_disk_is_refused() {
    let mut machines = machines(4, 2);
    run(async {
        machines[0].start(true);
        machines[0]
            .follow(|told| matches!(told, StoreReply::Items { .. }).then_some(()))
            .await;
    });
    machines[0].kill();
    copy(&machines[0].data(), &machines[1].data());
    machines[1].start(false);
    let mut store = machines[1].store.take().expect("a store");
    expect_that!(store.wait().expect("an end").code(), some(eq(2)));
}

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("a folder") {
        let entry = entry.expect("an entry");
        match entry.file_type().expect("a type").is_dir() {
            true => copy(&entry.path(), &to.join(entry.file_name())),
            false => _ = std::fs::copy(entry.path(), to.join(entry.file_name())).expect("a copy"),
        }
    }
}
