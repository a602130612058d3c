//! What a limiter tells its peers of keys, of work in hand and of endpoint lists, as an earlier build wrote it. The test plays both peers of
//! a limiter of today's build, over plain sockets.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/peer.rs"]
mod peer;
#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;
#[path = "common/sockets.rs"]
mod sockets;

use emberpin_failover::{Ballot, FirstAttempt, Member, Message as OfWork, Work, WorkId};
use emberpin_idempotency::claims::{Claim, Message as OfKeys};
use emberpin_idempotency::{Fingerprint, Key};
use emberpin_startup::list_messages::{ListMessage, ListVersion, WatcherHeartbeat};
use peer::{Peer, Told};
use recording::{hex, lines, Recorded};
use serde::{Deserialize, Serialize};
use sockets::*;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::time::Instant;

/// Kinds of data between limiters.
const KEYS: u16 = 1;
const LISTS: u16 = 2;
const WORK: u16 = 3;

/// An answer as a peer gets it; the limiter's own type is private to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Answer {
    Served {
        content_type: Option<Vec<u8>>,
        body: Vec<u8>,
    },
    Refused {
        retry_after: f64,
    },
    Failed,
}

/// A request as a keeper of it gets it, likewise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Carried {
    method: String,
    uri: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
    class: usize,
    plan: usize,
    customer: u64,
    units: f64,
    set_size: u32,
    set_first: u32,
    key: Key,
    fingerprint: Fingerprint,
}

/// A limiter, its one server, and its two peers.
struct Site {
    limiter: Limiter,
    server: Listener,
    peers: [Peer; 2],
}

impl Site {
    /// All three are up and reach each other.
    fn start() -> Site {
        let server = Listener::start();
        let mut limiter = Limiter::prepare(&[target("s-1", server.address, "ready")]);
        limiter.config["settings"]["group-size"] = 3.into();
        // Far from over by the time at which the limiter goes on with a peer's work.
        limiter.config["settings"]["profiles"][1]["dedup-window-ms"] = 600_000.0.into();
        let own_link = free_port(&own_host());
        let listeners =
            [(); 2].map(|()| TcpListener::bind((own_host().as_str(), 0)).expect("bound"));
        let addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("bound"))
            .collect();
        let operator = operator_file(&limiter, &[own_link, addresses[0], addresses[1]]);
        let mut command = limiter.command();
        command
            .arg("--with")
            .arg(limiter.file("operator.toml", &operator));
        limiter.run_as(command);
        let [first, second] = listeners;
        let peers = [
            Peer::start("n1", first, own_link),
            Peer::start("n2", second, own_link),
        ];
        let site = Site {
            limiter,
            server,
            peers,
        };
        site.meet();
        site
    }

    /// Returns once the limiter has asked both peers for a key, which neither grants.
    fn meet(&self) {
        self.peers.iter().for_each(Peer::reaches);
        let (begun, mut heard) = (Instant::now(), [false; 2]);
        for number in 0.. {
            assert!(begun.elapsed() < LONG, "the limiter never reached both");
            let answer = Message::read(&self.ask(&format!("meeting-{number}"))).expect("an answer");
            assert_eq!(answer.status(), 503, "nobody grants it");
            for (heard, peer) in heard.iter_mut().zip(&self.peers) {
                *heard |= std::iter::from_fn(|| peer.soon()).count() > 0;
            }
            if heard == [true, true] {
                return;
            }
        }
    }

    fn ask(&self, key: &str) -> TcpStream {
        let text = request("submit", "1", "wide", 30.0).replace("spread=1", "spread=3");
        self.limiter
            .ask(&text.replace("Idempotency-Key: k-1", &format!("Idempotency-Key: {key}")))
    }

    /// The next data to a peer that this picks; what else comes meanwhile is dropped.
    fn next<T>(&self, peer: usize, pick: impl Fn(&Told) -> Option<T>) -> (Vec<u8>, T) {
        loop {
            let told = self.peers[peer].next();
            if let Some(picked) = pick(&told) {
                return (told.body, picked);
            }
        }
    }

    /// Has the peers grant and note all until this client has an answer and something of each name was told; the first
    /// of each.
    fn play(&self, client: &TcpStream) -> BTreeMap<&'static str, Vec<u8>> {
        let (begun, mut first) = (Instant::now(), BTreeMap::new());
        while first.len() < NAMES.len() || !has_answer(client) {
            assert!(begun.elapsed() < LONG, "only told: {:?}", first.keys());
            for peer in &self.peers {
                let Some(told) = peer.soon() else { continue };
                let Some((name, answer)) = understand(&told) else {
                    continue;
                };
                first.entry(name).or_insert(told.body);
                if let Some(answer) = answer {
                    peer.say(told.kind, answer);
                }
            }
            if let Some(mut arrived) = self.server.poll() {
                arrived.answer("200 OK", "Content-Type: text/plain\r\n", "signed");
            }
        }
        first
    }
}

fn has_answer(client: &TcpStream) -> bool {
    client.set_nonblocking(true).expect("set");
    let there = client.peek(&mut [0]).is_ok();
    client.set_nonblocking(false).expect("set");
    there
}

/// The names of what is recorded.
const NAMES: [&str; 4] = ["wants", "going", "served", "over"];

/// The name of what is told, and what a peer answers that has no objection.
fn understand(told: &Told) -> Option<(&'static str, Option<Vec<u8>>)> {
    if told.kind == KEYS {
        return match of_keys(&told.body) {
            OfKeys::Request { claim, key, .. } if key.as_str() == "first" => {
                Some(("wants", Some(encode(&OfKeys::<Answer>::Granted(claim)))))
            }
            OfKeys::Served { .. } => Some(("served", None)),
            _ => None,
        };
    }
    match (told.kind == WORK).then(|| of_work(&told.body))? {
        OfWork::Accept {
            work_id: id,
            ballot,
            ..
        } => Some((
            "going",
            Some(encode(&OfWork::Accepted {
                work_id: id,
                ballot,
            })),
        )),
        OfWork::Completed(id) => Some(("over", Some(encode(&OfWork::CompletionAcknowledged(id))))),
        _ => None,
    }
}

/// With a fixed secret, so that fingerprints are the same in every run.
fn operator_file(limiter: &Limiter, links: &[SocketAddr; 3]) -> String {
    let secret = limiter.file("fingerprint.key", &"07".repeat(32));
    std::fs::set_permissions(&secret, PermissionsExt::from_mode(0o600)).expect("set");
    let keys = secret.parent().expect("a folder").display().to_string();
    let mut text = format!("[idempotency]\nquiet_s = 0\n[takeover]\n[start]\ncallers = 1\nlist_service = \"lists\"\n[link]\ncluster = \"norr\"\nplain = true\nkeys = \"{keys}\"\n");
    text += "beat_ms = 20\nsuspect_ms = 400\ndead_ms = 2000\n";
    for (number, address) in links.iter().enumerate() {
        text += &format!(
            "[[link.member]]\nnumber = {number}\nname = \"n{number}\"\naddress = \"{address}\"\n"
        );
    }
    text
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("encoded")
}

fn of_keys(body: &[u8]) -> OfKeys<Answer> {
    postcard::from_bytes(body).expect("of keys")
}

fn of_work(body: &[u8]) -> OfWork {
    postcard::from_bytes(body).expect("of work")
}

fn going(told: &Told) -> Option<(WorkId, Ballot)> {
    match (told.kind == WORK).then(|| of_work(&told.body))? {
        OfWork::Accept {
            work_id: id,
            ballot,
            ..
        } => Some((id, ballot)),
        _ => None,
    }
}

/// What the limiter tells its peers about a request of the key "first" that its server serves.
fn write_told() -> Vec<Recorded> {
    let site = Site::start();
    let client = site.ask("first");
    let mut told = site.play(&client);
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    NAMES
        .map(|name| (name.to_string(), told.remove(name).expect("told")))
        .to_vec()
}

fn find(told: Vec<Recorded>, name: &str) -> Vec<u8> {
    told.into_iter()
        .find(|(found, _)| found == name)
        .expect("recorded")
        .1
}

fn recorded(name: &str) -> Vec<u8> {
    find(lines("peers.txt", write_told), name)
}

fn carried_work(going: &[u8]) -> (Work, FirstAttempt) {
    match of_work(going) {
        OfWork::Accept {
            work,
            first_attempt,
            ..
        } => (work, first_attempt),
        other => panic!("{other:?}"),
    }
}

fn carried(going: &[u8]) -> Carried {
    postcard::from_bytes(&carried_work(going).0.payload).expect("a request")
}

fn claim_of(wants: &[u8]) -> Claim {
    match of_keys(wants) {
        OfKeys::Request { claim, .. } => claim,
        other => panic!("{other:?}"),
    }
}

/// What is told of keys, with this claim and time in place of those that each run has of its own.
fn at_claim(body: &[u8], now: Claim) -> OfKeys<Answer> {
    match of_keys(body) {
        OfKeys::Request {
            customer,
            key,
            fingerprint,
            ..
        } => OfKeys::Request {
            claim: now,
            customer,
            key,
            fingerprint,
            within: 0.0,
        },
        OfKeys::Served {
            customer,
            key,
            fingerprint,
            answer,
            ..
        } => OfKeys::Served {
            claim: now,
            customer,
            key,
            fingerprint,
            answer,
        },
        other => other,
    }
}

#[test]
fn what_is_told_of_keys_is_read_and_written_as_it_was_recorded() {
    for name in ["wants", "served"] {
        let body = recorded(name);
        assert_eq!(hex(&encode(&of_keys(&body))), hex(&body), "{name}");
    }
}

#[test]
fn what_is_told_of_work_is_read_and_written_as_it_was_recorded() {
    for name in ["going", "over"] {
        let body = recorded(name);
        assert_eq!(hex(&encode(&of_work(&body))), hex(&body), "{name}");
    }
    let (work, _) = carried_work(&recorded("going"));
    assert_eq!(
        hex(&encode(&carried(&recorded("going")))),
        hex(&work.payload)
    );
}

#[test]
fn the_recorded_request_and_its_answer_are_those_of_the_test() {
    let Carried {
        method,
        uri,
        body,
        class,
        plan,
        units,
        set_size,
        set_first,
        key,
        ..
    } = carried(&recorded("going"));
    assert_eq!(
        (method.as_str(), uri.as_str(), body.as_slice()),
        ("POST", "/api", b"body".as_slice())
    );
    assert_eq!(
        (class, plan, units, set_size, set_first, key.as_str()),
        (1, 0, 1.0, 3, 0, "first")
    );
    let OfKeys::Served { answer, .. } = of_keys(&recorded("served")) else {
        panic!("not served")
    };
    let written_down = Answer::Served {
        content_type: Some(b"text/plain".to_vec()),
        body: b"signed".to_vec(),
    };
    assert_eq!(answer, written_down);
}

/// But for claims, lives and times, which each run has of its own.
#[test]
fn a_limiter_tells_its_peers_as_it_was_recorded() {
    let told = write_told();
    for name in ["wants", "served"] {
        let (now, then) = (find(told.clone(), name), recorded(name));
        assert_eq!(
            at_claim(&now, Claim(1)),
            at_claim(&then, Claim(1)),
            "{name}"
        );
    }
    assert_eq!(carried(&find(told, "going")), carried(&recorded("going")));
}

#[test]
fn a_limiter_grants_a_recorded_claim_and_replays_the_answer_that_was_served_under_it() {
    let site = Site::start();
    let wants = recorded("wants");
    let claim = claim_of(&wants);
    site.peers[0].say(KEYS, wants);
    site.next(0, |told| {
        (told.body == encode(&OfKeys::<Answer>::Granted(claim))).then_some(())
    });
    site.peers[0].say(KEYS, recorded("served"));
    let begun = Instant::now();
    let replayed = loop {
        assert!(begun.elapsed() < LONG, "never replayed");
        let answer = Message::read(&site.ask("first")).expect("an answer");
        if answer.status() == 200 {
            break answer;
        }
    };
    assert_eq!(replayed.header("idempotency-replayed"), Some("true"));
    assert_eq!(
        (replayed.header("content-type"), replayed.body.as_slice()),
        (Some("text/plain"), b"signed".as_slice())
    );
    assert!(site.server.is_quiet());
}

/// A peer's work whose request is the recorded one: when the peer is gone, the limiter sends it.
#[test]
fn a_limiter_goes_on_with_the_recorded_work_of_a_peer_that_is_gone() {
    let mut site = Site::start();
    let wants = recorded("wants");
    let claim = claim_of(&wants);
    site.peers[0].say(KEYS, wants);
    site.next(0, |told| {
        (told.body == encode(&OfKeys::<Answer>::Granted(claim))).then_some(())
    });
    let id = WorkId {
        claimant: Member(1),
        incarnation: site.peers[0].life,
        claim_number: claim.0,
    };
    let ballot = Ballot {
        round: 0,
        proposer: Member(1),
    };
    let (work, first_attempt) = carried_work(&recorded("going"));
    let acceptor_incarnation = site.peers[0].life_of_limiter();
    site.peers[0].say(
        WORK,
        encode(&OfWork::Accept {
            work_id: id,
            ballot,
            acceptor_incarnation,
            first_attempt,
            work,
        }),
    );
    site.next(0, |told| {
        (told.body
            == encode(&OfWork::Accepted {
                work_id: id,
                ballot,
            }))
        .then_some(())
    });
    site.peers[0].end();
    let prepared = |told: &Told| match (told.kind == WORK).then(|| of_work(&told.body))? {
        OfWork::Prepare {
            work_id: of,
            ballot,
            ..
        } => Some(ballot).filter(|_| of == id),
        _ => None,
    };
    let (_, higher) = site.next(1, prepared);
    site.peers[1].say(
        WORK,
        encode(&OfWork::Promise {
            work_id: id,
            ballot: higher,
            accepted: None,
        }),
    );
    // The limiter has a majority note where it goes before it sends it.
    let (_, (_, noted)) = site.next(1, |told| going(told).filter(|(of, _)| *of == id));
    site.peers[1].say(
        WORK,
        encode(&OfWork::Accepted {
            work_id: id,
            ballot: noted,
        }),
    );
    let sent = site.server.next();
    assert!(sent.head.starts_with("POST /api "), "{}", sent.head);
    assert_eq!(
        (sent.header("idempotency-key"), sent.body.as_slice()),
        (Some("first"), b"body".as_slice())
    );
}

/// What is told of endpoint lists, with the list service that it is of.
fn of_lists(body: &[u8]) -> (String, ListMessage) {
    postcard::from_bytes(body).expect("of lists")
}

fn pulse(told: &Told) -> Option<WatcherHeartbeat> {
    match (told.kind == LISTS).then(|| of_lists(&told.body))? {
        (_, ListMessage::Heartbeat(pulse)) => Some(pulse),
        _ => None,
    }
}

fn list(told: &Told) -> Option<()> {
    (told.kind == LISTS && matches!(of_lists(&told.body), (_, ListMessage::List { .. })))
        .then_some(())
}

fn want(told: &Told) -> Option<ListVersion> {
    match (told.kind == LISTS).then(|| of_lists(&told.body))? {
        (_, ListMessage::Request { version }) => Some(version),
        _ => None,
    }
}

/// What a limiter that was told a list by the list service tells a peer that wants it.
fn write_lists() -> Vec<Recorded> {
    let site = Site::start();
    site.limiter
        .watch()
        .list(42, true, &[target("s-1", site.server.address, "ready")]);
    let (pulse, WatcherHeartbeat { version, .. }) =
        site.next(0, |told| pulse(told).filter(|it| it.version.revision == 42));
    site.peers[0].say(LISTS, encode(&("lists", ListMessage::Request { version })));
    let (list, ()) = site.next(0, list);
    vec![("pulse".into(), pulse), ("list".into(), list)]
}

fn recorded_lists(name: &str) -> (String, ListMessage, Vec<u8>) {
    let body = find(lines("peers-lists.txt", write_lists), name);
    let (service, said) = of_lists(&body);
    (service, said, body)
}

#[test]
fn what_is_told_of_lists_is_read_and_written_as_it_was_recorded() {
    for name in ["pulse", "list"] {
        let (service, said, body) = recorded_lists(name);
        assert_eq!(
            (service.as_str(), hex(&encode(&(&service, said)))),
            ("lists", hex(&body)),
            "{name}"
        );
    }
}

/// A peer has a later list, which names the server at another address.
#[test]
fn a_limiter_wants_the_recorded_list_of_a_peer_and_goes_by_it() {
    let (service, ListMessage::Heartbeat(pulse), _) = recorded_lists("pulse") else {
        panic!("no pulse")
    };
    let (_, ListMessage::List { version, entries }, _) = recorded_lists("list") else {
        panic!("no list")
    };
    let site = Site::start();
    let moved = Listener::start();
    let entries = String::from_utf8(entries).expect("text");
    let list: serde_json::Value = serde_json::from_str(&entries).expect("JSON");
    let entries = entries.replace(
        list[0]["endpoint"].as_str().expect("an endpoint"),
        &moved.address.to_string(),
    );
    let pulse = WatcherHeartbeat {
        watcher: 1,
        ..pulse
    };
    site.peers[0].say(LISTS, encode(&(&service, ListMessage::Heartbeat(pulse))));
    assert_eq!(site.next(0, want).1, version);
    let list = ListMessage::List {
        version,
        entries: entries.into_bytes(),
    };
    site.peers[0].say(LISTS, encode(&(&service, list)));
    let begun = Instant::now();
    while moved.is_quiet() {
        assert!(
            begun.elapsed() < LONG,
            "never sent to the recorded list's endpoint"
        );
        drop(site.limiter.ask(&request("look", "1", "wide", 30.0)));
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}
