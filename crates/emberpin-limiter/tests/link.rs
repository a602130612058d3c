//! Limiters that ask each other over loopback sockets: mutual TLS, strangers, and keys that any of them serves.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/sockets.rs"]
mod sockets;

use sockets::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

/// Three limiters of one site with one server; each has its own platform file and all one operator file.
struct Site {
    limiters: Vec<Limiter>,
    server: Listener,
    folder: PathBuf,
    links: Vec<SocketAddr>,
    next: u32,
}

impl Drop for Site {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn emberpin(arguments: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_emberpin"))
        .args(arguments)
        .output()
        .expect("runs")
}

impl Site {
    /// Nothing is started yet.
    fn prepare(tls: bool) -> Site {
        let server = Listener::start();
        let known = [target("s-1", server.address, "ready")];
        let limiters: Vec<Limiter> = (0..3)
            .map(|n| {
                let mut limiter = Limiter::prepare(&known);
                limiter.config["name"] = format!("n{n}").into();
                limiter.config["settings"]["my-number"] = n.into();
                limiter.config["settings"]["group-size"] = 3.into();
                limiter
            })
            .collect();
        let links: Vec<SocketAddr> = (0..3).map(|_| free_port(&own_host())).collect();
        let unique = links[0].to_string().replace(':', "-");
        let folder = std::env::temp_dir().join(format!("emberpin-peering-{unique}"));
        std::fs::create_dir_all(&folder).expect("made");
        let keys = folder.join("keys");
        let made = emberpin(&[
            "link",
            "init",
            keys.to_str().expect("text"),
            "n0",
            "n1",
            "n2",
        ]);
        assert!(
            made.status.success(),
            "{}",
            String::from_utf8_lossy(&made.stderr)
        );
        let site = Site {
            limiters,
            server,
            folder,
            links,
            next: 0,
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
        std::fs::write(self.file(), text).expect("written");
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

    /// The answer to work under a key; the server serves what comes. The attempts that came.
    fn ask(&mut self, n: usize, key: &str) -> (Message, u32) {
        self.next += 1;
        let id = format!("{}", self.next);
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
            client.set_nonblocking(true).expect("set");
            let there = client.peek(&mut [0]).is_ok();
            client.set_nonblocking(false).expect("set");
            if there {
                return (Message::read(&client).expect("an answer"), attempts);
            }
        }
    }

    /// The same, again until there are enough limiters to grant it; attempts in all.
    fn served(&mut self, n: usize, key: &str) -> u32 {
        let begun = Instant::now();
        let mut all = 0;
        loop {
            let (answer, attempts) = self.ask(n, key);
            all += attempts;
            match answer.status() {
                200 => {
                    assert_eq!(answer.body, format!("signed {key}").as_bytes());
                    return all;
                }
                503 => assert!(begun.elapsed() < LONG, "never a majority"),
                other => panic!("{other}"),
            }
        }
    }
}

#[test]
fn over_mutual_tls_any_limiter_serves_a_key_and_another_replays_it_also_with_one_gone() {
    let mut site = Site::started(true);
    assert_eq!(site.served(0, "one"), 1);
    for n in 0..3 {
        assert_eq!(site.served(n, "one"), 0, "replayed at {n}");
    }
    site.limiters[2].kill();
    // Whether 2 held it or not: two of three are enough.
    assert_eq!(site.served(0, "two"), 1);
    assert_eq!(site.served(1, "two"), 0);
    assert_eq!(site.served(1, "one"), 0);
    site.limiters[1].kill();
    let (answer, attempts) = site.ask(0, "three");
    assert_eq!((answer.status(), attempts), (503, 0));
    assert!(answer.header("retry-after").is_some());
}

/// Starts with its keys spoilt; the one line that it ends with.
fn refused(spoil: impl FnOnce(&Path)) -> String {
    let site = Site::prepare(true);
    spoil(&site.folder.join("keys"));
    let mut command = site.limiters[0].command();
    let ended = command
        .arg("--with")
        .arg(site.file())
        .stderr(std::process::Stdio::piped())
        .output()
        .expect("runs");
    assert!(!ended.status.success());
    String::from_utf8_lossy(&ended.stderr).into_owned()
}

#[test]
fn keys_that_others_may_read_or_that_are_none_are_refused_with_the_way_out() {
    let open = refused(|keys| {
        let readable = std::os::unix::fs::PermissionsExt::from_mode(0o644);
        std::fs::set_permissions(keys.join("n0.key"), readable).expect("set");
    });
    assert!(
        open.contains("n0.key: others than its owner may read it; chmod 600"),
        "{open}"
    );
    let none = refused(|keys| std::fs::write(keys.join("n0.pem"), "nothing").expect("written"));
    assert!(none.contains("n0.pem: no certificate"), "{none}");
    let short =
        refused(|keys| std::fs::write(keys.join("fingerprint.key"), "abcd").expect("written"));
    assert!(short.contains("expected 64 hexadecimal digits"), "{short}");
    let gone = refused(|keys| std::fs::remove_file(keys.join("n0.key")).expect("removed"));
    assert!(gone.contains("n0.key: No such file"), "{gone}");
}

/// A limiter whose certificate is not what it should be is nobody, and the other two go on without it.
#[test]
fn another_authoritys_certificate_and_one_for_another_name_are_not_taken() {
    for other_authority in [true, false] {
        let mut site = Site::prepare(true);
        let (good, bad) = (site.folder.join("keys"), site.folder.join("bad"));
        let made = emberpin(&["link", "init", bad.to_str().expect("text"), "n2"]);
        assert!(made.status.success());
        std::fs::copy(good.join("fingerprint.key"), bad.join("fingerprint.key")).expect("copied");
        if !other_authority {
            // Of the right authority, but 1's.
            for end in ["pem", "key"] {
                std::fs::copy(
                    good.join(format!("n1.{end}")),
                    bad.join(format!("n2.{end}")),
                )
                .expect("copied");
            }
            std::fs::copy(good.join("authority.pem"), bad.join("authority.pem")).expect("copied");
        }
        site.start(0);
        site.configure(true, &bad);
        site.start(2);
        // Alone, or with one that is not who it says: no majority.
        for _ in 0..20 {
            let (answer, attempts) = site.ask(0, "key");
            assert_eq!((answer.status(), attempts), (503, 0));
        }
        let (answer, attempts) = site.ask(2, "key");
        assert_eq!((answer.status(), attempts), (503, 0));
        site.configure(true, &good);
        site.start(1);
        assert_eq!(site.served(0, "key"), 1);
    }
}

#[test]
fn strangers_garbage_a_huge_frame_and_silent_connections_harm_nobody() {
    for tls in [true, false] {
        let mut site = Site::started(tls);
        assert_eq!(site.served(0, "before"), 1);
        let silent: Vec<TcpStream> = (0..200)
            .map(|_| TcpStream::connect(site.links[0]).expect("connects"))
            .collect();
        for bytes in [
            &b"GET / HTTP/1.1\r\n\r\n"[..],
            &[0xff; 64],
            &[0, 0, 0, 1, 99],
        ] {
            let mut stranger = TcpStream::connect(site.links[1]).expect("connects");
            stranger.write_all(bytes).expect("sent");
            stranger.set_read_timeout(Some(LONG)).expect("set");
            // It is ended, with an alert where there is TLS.
            let mut rest = Vec::new();
            _ = stranger.read_to_end(&mut rest);
            assert!(rest.len() < 100, "{tls}");
        }
        assert_eq!(site.served(1, "after"), 1);
        drop(silent);
    }
}

#[test]
fn a_limiter_that_stood_still_comes_back_and_repeats_nothing() {
    let mut site = Site::started(false);
    assert_eq!(site.served(0, "one"), 1);
    site.limiters[2].signal("-STOP");
    assert_eq!(site.served(0, "two"), 1);
    assert_eq!(site.served(1, "three"), 1);
    site.limiters[2].signal("-CONT");
    for key in ["one", "two", "three"] {
        assert_eq!(site.served(2, key), 0, "{key}");
    }
}

/// Repeats of one key through all three at once: one attempt, one outcome for all.
#[test]
fn hundreds_of_repeats_of_one_key_through_three_limiters_run_once() {
    let mut site = Site::started(false);
    // Once each has served a key it reaches a majority.
    for n in 0..3 {
        site.served(n, &format!("before-{n}"));
    }
    let text = |id: u32| {
        let id = format!("{id}");
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
        let answer = Message::read(client).expect("an answer");
        *counts.entry(answer.status()).or_insert(0) += 1;
    }
    assert!(site.server.is_quiet(), "{counts:?}");
    // Each limiter lets 64 wait; the others are told that the first is in flight.
    assert!(
        counts[&200] >= 3 && counts.keys().all(|status| [200, 409].contains(status)),
        "{counts:?}"
    );
}
