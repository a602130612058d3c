//! Three limiters that replicate idempotency keys over the link, on loopback sockets: mutual TLS, unauthorized
//! connections, and keyed requests, which any of the three limiters can answer.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use sockets::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

/// Three limiters of one site with one server. Each has its own platform file, and all share one operator file.
struct Site {
    limiters: Vec<Limiter>,
    server: Listener,
    folder: PathBuf,
    links: Vec<SocketAddr>,
    /// Id of the last request.
    last_request: u32,
}

impl Drop for Site {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs the program with these arguments until it exits.
fn emberpin(arguments: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_emberpin"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

impl Site {
    /// Creates the files and keys; starts nothing.
    fn prepare(tls: bool) -> Site {
        let server = Listener::start();
        let endpoints = [target("s-1", server.address, "ready")];
        let limiters: Vec<Limiter> = (0..3)
            .map(|n| {
                let mut limiter = Limiter::prepare(&endpoints);
                limiter.config["name"] = format!("n{n}").into();
                limiter.config["settings"]["my-number"] = n.into();
                limiter.config["settings"]["group-size"] = 3.into();
                limiter
            })
            .collect();
        let links: Vec<SocketAddr> = (0..3).map(|_| free_port(&own_host())).collect();
        let unique = links[0].to_string().replace(':', "-");
        let folder = std::env::temp_dir().join(format!("emberpin-peering-{unique}"));
        std::fs::create_dir_all(&folder).expect("the folder is created");
        let keys = folder.join("keys");
        let init = emberpin(&[
            "link",
            "init",
            keys.to_str().expect("the folder's path is UTF-8"),
            "n0",
            "n1",
            "n2",
        ]);
        assert!(
            init.status.success(),
            "{}",
            String::from_utf8_lossy(&init.stderr)
        );
        let site = Site {
            limiters,
            server,
            folder,
            links,
            last_request: 0,
        };
        site.configure(tls, &keys);
        site
    }

    fn configure(&self, tls: bool, keys: &Path) {
        let mut text = format!(
            "[idempotency]\nquiet_s = 0\n[link]\ncluster = \"norr\"\nplain = {}\nkeys = \"{}\"\n",
            !tls,
            keys.display()
        );
        text += "beat_ms = 20\nsuspect_ms = 400\ndead_ms = 2000\n";
        for (n, address) in self.links.iter().enumerate() {
            text += &format!(
                "[[link.member]]\nnumber = {n}\nname = \"n{n}\"\naddress = \"{address}\"\n"
            );
        }
        std::fs::write(self.file(), text).expect("the operator file is written");
    }

    fn file(&self) -> PathBuf {
        self.folder.join("link.toml")
    }

    fn start(&mut self, n: usize) {
        let mut command = self.limiters[n].command();
        command.arg("--with").arg(self.file());
        self.limiters[n].run_as(command);
    }

    fn started(tls: bool) -> Site {
        let mut site = Site::prepare(tls);
        (0..3).for_each(|n| site.start(n));
        site
    }

    /// Sends a request with this key to limiter `n`, while the server serves every attempt. Returns the response and
    /// the number of attempts.
    fn ask(&mut self, n: usize, key: &str) -> (Message, u32) {
        self.last_request += 1;
        let id = format!("{}", self.last_request);
        // A customer of the plan `wide`, whose rate the test does not reach; `spread=3` lets all three limiters admit
        // it.
        let text = request("submit", &id, "wide", 30.0).replace("spread=1", "spread=3");
        let text = text.replace(
            &format!("Idempotency-Key: k-{id}"),
            &format!("Idempotency-Key: {key}"),
        );
        let client = self.limiters[n].ask(&text);
        let mut attempts = 0;
        loop {
            if let Some(mut arrived) = self.server.poll() {
                attempts += 1;
                arrived.answer("200 OK", "", &format!("signed {key}"));
            }
            client
                .set_nonblocking(true)
                .expect("the socket becomes non-blocking");
            let has_response = client.peek(&mut [0]).is_ok();
            client
                .set_nonblocking(false)
                .expect("the socket becomes blocking");
            if has_response {
                return (
                    Message::read(&client).expect("the response is read"),
                    attempts,
                );
            }
        }
    }

    /// Repeats a request with this key at limiter `n` until it is served, which needs a majority of limiters that grant
    /// the key. Returns the number of attempts that the server received.
    fn ask_until_served(&mut self, n: usize, key: &str) -> u32 {
        let started = Instant::now();
        let mut all_attempts = 0;
        loop {
            let (answer, attempts) = self.ask(n, key);
            all_attempts += attempts;
            match answer.status() {
                200 => {
                    assert_eq!(answer.body, format!("signed {key}").as_bytes());
                    return all_attempts;
                }
                503 => assert!(
                    started.elapsed() < WAIT_TIMEOUT,
                    "the key was not granted in time"
                ),
                other => panic!("unexpected status {other}"),
            }
        }
    }
}

#[test]
fn over_mutual_tls_any_limiter_serves_a_key_and_replays_it_with_one_limiter_down() {
    let mut site = Site::started(true);
    assert_eq!(site.ask_until_served(0, "one"), 1);
    for n in 0..3 {
        assert_eq!(site.ask_until_served(n, "one"), 0, "replayed at {n}");
    }
    site.limiters[2].kill();
    // Two of three limiters are enough, whether or not limiter 2 had a copy.
    assert_eq!(site.ask_until_served(0, "two"), 1);
    assert_eq!(site.ask_until_served(1, "two"), 0);
    assert_eq!(site.ask_until_served(1, "one"), 0);
    site.limiters[1].kill();
    let (answer, attempts) = site.ask(0, "three");
    assert_eq!((answer.status(), attempts), (503, 0));
    assert!(answer.header("retry-after").is_some());
}

/// Starts a limiter whose keys were damaged, and returns its standard error.
fn start_error(damage: impl FnOnce(&Path)) -> String {
    let site = Site::prepare(true);
    damage(&site.folder.join("keys"));
    let mut command = site.limiters[0].command();
    let output = command
        .arg("--with")
        .arg(site.file())
        .stderr(std::process::Stdio::piped())
        .output()
        .expect("the limiter's process starts");
    assert!(!output.status.success());
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn missing_invalid_and_world_readable_key_files_stop_the_start_with_an_error_that_names_them() {
    let readable_error = start_error(|keys| {
        let readable = std::os::unix::fs::PermissionsExt::from_mode(0o644);
        std::fs::set_permissions(keys.join("n0.key"), readable).expect("the file mode is set");
    });
    assert!(
        readable_error.contains("n0.key: others than its owner may read it; chmod 600"),
        "{readable_error}"
    );
    let none = start_error(|keys| std::fs::write(keys.join("n0.pem"), "nothing").expect("written"));
    assert!(none.contains("n0.pem: no certificate"), "{none}");
    let short =
        start_error(|keys| std::fs::write(keys.join("fingerprint.key"), "abcd").expect("written"));
    assert!(short.contains("expected 64 hexadecimal digits"), "{short}");
    let gone =
        start_error(|keys| std::fs::remove_file(keys.join("n0.key")).expect("the file is removed"));
    assert!(gone.contains("n0.key: No such file"), "{gone}");
}

/// A limiter without a valid certificate for its name is not accepted as a member, and the other two work without it.
#[test]
fn certificates_of_another_authority_or_for_another_name_are_rejected() {
    for other_authority in [true, false] {
        let mut site = Site::prepare(true);
        let (good, bad) = (site.folder.join("keys"), site.folder.join("bad"));
        let init = emberpin(&[
            "link",
            "init",
            bad.to_str().expect("the folder's path is UTF-8"),
            "n2",
        ]);
        assert!(init.status.success());
        std::fs::copy(good.join("fingerprint.key"), bad.join("fingerprint.key"))
            .expect("the file is copied");
        if !other_authority {
            // Of the right authority, but for limiter 1.
            for end in ["pem", "key"] {
                std::fs::copy(
                    good.join(format!("n1.{end}")),
                    bad.join(format!("n2.{end}")),
                )
                .expect("the file is copied");
            }
            std::fs::copy(good.join("authority.pem"), bad.join("authority.pem"))
                .expect("the file is copied");
        }
        site.start(0);
        site.configure(true, &bad);
        site.start(2);
        // Limiter 0 has no majority: only limiter 2, whose certificate is invalid, runs beside it.
        for _ in 0..20 {
            let (answer, attempts) = site.ask(0, "key");
            assert_eq!((answer.status(), attempts), (503, 0));
        }
        let (answer, attempts) = site.ask(2, "key");
        assert_eq!((answer.status(), attempts), (503, 0));
        site.configure(true, &good);
        site.start(1);
        assert_eq!(site.ask_until_served(0, "key"), 1);
    }
}

#[test]
fn unauthorized_malformed_and_silent_connections_do_not_disturb_the_link() {
    for tls in [true, false] {
        let mut site = Site::started(tls);
        assert_eq!(site.ask_until_served(0, "before"), 1);
        let silent: Vec<TcpStream> = (0..200)
            .map(|_| TcpStream::connect(site.links[0]).expect("the limiter accepts a connection"))
            .collect();
        for bytes in [
            &b"GET / HTTP/1.1\r\n\r\n"[..],
            &[0xff; 64],
            &[0, 0, 0, 1, 99],
        ] {
            let mut unauthorized =
                TcpStream::connect(site.links[1]).expect("the limiter accepts a connection");
            unauthorized.write_all(bytes).expect("the bytes are sent");
            unauthorized
                .set_read_timeout(Some(WAIT_TIMEOUT))
                .expect("the read time-out is set");
            // The limiter closes it, with an alert where TLS is used.
            let mut rest = Vec::new();
            _ = unauthorized.read_to_end(&mut rest);
            assert!(rest.len() < 100, "TLS: {tls}");
        }
        assert_eq!(site.ask_until_served(1, "after"), 1);
        drop(silent);
    }
}

#[test]
fn a_limiter_resumed_after_sigstop_replays_keys_without_new_attempts() {
    let mut site = Site::started(false);
    assert_eq!(site.ask_until_served(0, "one"), 1);
    site.limiters[2].signal("-STOP");
    assert_eq!(site.ask_until_served(0, "two"), 1);
    assert_eq!(site.ask_until_served(1, "three"), 1);
    site.limiters[2].signal("-CONT");
    for key in ["one", "two", "three"] {
        assert_eq!(site.ask_until_served(2, key), 0, "{key}");
    }
}

/// Repeats of one key through all three limiters at once lead to one attempt and one outcome.
#[test]
fn hundreds_of_repeats_of_one_key_through_three_limiters_run_once() {
    let mut site = Site::started(false);
    // Waits until the links are up: a limiter forwards a keyed request only once it is connected to a majority.
    for n in 0..3 {
        site.ask_until_served(n, &format!("before-{n}"));
    }
    let text = |id: u32| {
        let id = format!("{id}");
        // A customer of the plan `wide`, whose rate the test does not reach; `spread=3` lets all three limiters admit
        // it.
        let text = request("submit", &id, "wide", 30.0).replace("spread=1", "spread=3");
        text.replace(&format!("Idempotency-Key: k-{id}"), "Idempotency-Key: key")
    };
    let clients: Vec<TcpStream> = (0..300)
        .map(|n| site.limiters[n as usize % 3].ask(&text(1000 + n)))
        .collect();
    let mut first = site.server.next();
    first.answer("200 OK", "", "signed");
    let mut counts = std::collections::BTreeMap::new();
    for client in &clients {
        let answer = Message::read(client).expect("the response is read");
        *counts.entry(answer.status()).or_insert(0) += 1;
    }
    assert!(site.server.is_quiet(), "{counts:?}");
    // At each limiter, 64 repeats wait for the answer; further ones receive 409, as the first request is in flight.
    assert!(
        counts[&200] >= 3 && counts.keys().all(|status| [200, 409].contains(status)),
        "{counts:?}"
    );
}
