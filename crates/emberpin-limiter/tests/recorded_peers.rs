//! Compatibility with messages that an earlier build sent to its peers: about keys, about requests in flight and about
//! endpoint lists. The test acts as both peers of a limiter of the present build, over plain sockets.
#![allow(missing_docs, reason = "a test has no public interface")]

#[path = "common/peer.rs"]
mod peer;
#[path = "../../emberpin-peering/tests/common/recording.rs"]
mod recording;
#[path = "common/sockets.rs"]
mod sockets;

use emberpin_failover::{Ballot, FirstAttempt, Member, Message as WorkMessage, Work, WorkId};
use emberpin_idempotency::claims::{Claim, Message as KeyMessage};
use emberpin_idempotency::{Fingerprint, Key};
use emberpin_startup::list_messages::{ListMessage, ListVersion, WatcherHeartbeat};
use peer::{Peer, ReceivedMessage};
use recording::{hex, recorded_lines, Recorded};
use serde::{Deserialize, Serialize};
use sockets::*;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::time::Instant;

/// Kinds of messages between limiters.
const KEY_MESSAGES: u16 = 1;
const LIST_MESSAGES: u16 = 2;
const TAKEOVER_MESSAGES: u16 = 3;

/// An answer as a peer receives it; the limiter's own type is private.
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

/// A request as its acceptors receive it; the limiter's own type is private.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EncodedRequest {
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
    /// Starts the limiter and both peers, and waits until they are connected.
    fn start() -> Site {
        let server = Listener::start();
        let mut limiter = Limiter::prepare(&[target("s-1", server.address, "ready")]);
        limiter.config["settings"]["group-size"] = 3.into();
        // Much longer than the time after which the limiter takes over a peer's request.
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
        site.wait_for_link();
        site
    }

    /// Returns once the limiter has asked both peers for a key, which neither grants.
    fn wait_for_link(&self) {
        self.peers.iter().for_each(Peer::wait_until_reachable);
        let (started, mut asked) = (Instant::now(), [false; 2]);
        for number in 0.. {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the limiter never reached both"
            );
            let answer = Message::read(&self.ask(&format!("meeting-{number}"))).expect("an answer");
            assert_eq!(answer.status(), 503, "no peer grants it");
            for (asked, peer) in asked.iter_mut().zip(&self.peers) {
                *asked |= std::iter::from_fn(|| peer.poll()).count() > 0;
            }
            if asked == [true, true] {
                return;
            }
        }
    }

    fn ask(&self, key: &str) -> TcpStream {
        let text = request("submit", "1", "wide", 30.0).replace("spread=1", "spread=3");
        self.limiter
            .ask(&text.replace("Idempotency-Key: k-1", &format!("Idempotency-Key: {key}")))
    }

    /// Waits for the next message to a peer for which `pick` returns a value; drops all others.
    fn next<T>(&self, peer: usize, pick: impl Fn(&ReceivedMessage) -> Option<T>) -> (Vec<u8>, T) {
        loop {
            let message = self.peers[peer].next();
            if let Some(picked) = pick(&message) {
                return (message.body, picked);
            }
        }
    }

    /// Lets the peers grant and accept everything until this client has an answer and a message of each of [`NAMES`]
    /// was received. Returns the first message of each name.
    fn serve_as_peers(&self, client: &TcpStream) -> BTreeMap<&'static str, Vec<u8>> {
        let (started, mut first) = (Instant::now(), BTreeMap::new());
        while first.len() < NAMES.len() || !has_answer(client) {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "only received: {:?}",
                first.keys()
            );
            for peer in &self.peers {
                let Some(message) = peer.poll() else { continue };
                let Some((name, answer)) = name_and_reply(&message) else {
                    continue;
                };
                first.entry(name).or_insert(message.body);
                if let Some(answer) = answer {
                    peer.send(message.kind, answer);
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
    let has_answer = client.peek(&mut [0]).is_ok();
    client.set_nonblocking(false).expect("set");
    has_answer
}

/// The names of the messages in the file of recordings.
const NAMES: [&str; 4] = ["wants", "going", "served", "over"];

/// The name of a message, and the reply of a peer that agrees; `None` for messages that are not recorded.
fn name_and_reply(message: &ReceivedMessage) -> Option<(&'static str, Option<Vec<u8>>)> {
    if message.kind == KEY_MESSAGES {
        return match decode_key_message(&message.body) {
            KeyMessage::Request { claim, key, .. } if key.as_str() == "first" => {
                Some(("wants", Some(encode(&KeyMessage::<Answer>::Granted(claim)))))
            }
            KeyMessage::Served { .. } => Some(("served", None)),
            _ => None,
        };
    }
    match (message.kind == TAKEOVER_MESSAGES).then(|| decode_work_message(&message.body))? {
        WorkMessage::Accept {
            work_id: id,
            ballot,
            ..
        } => Some((
            "going",
            Some(encode(&WorkMessage::Accepted {
                work_id: id,
                ballot,
            })),
        )),
        WorkMessage::Completed(id) => Some((
            "over",
            Some(encode(&WorkMessage::CompletionAcknowledged(id))),
        )),
        _ => None,
    }
}

/// The operator file's text. The secret is fixed, so that fingerprints are the same in every run.
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

fn decode_key_message(body: &[u8]) -> KeyMessage<Answer> {
    postcard::from_bytes(body).expect("a message about keys")
}

fn decode_work_message(body: &[u8]) -> WorkMessage {
    postcard::from_bytes(body).expect("a message about work")
}

fn accept_request(message: &ReceivedMessage) -> Option<(WorkId, Ballot)> {
    match (message.kind == TAKEOVER_MESSAGES).then(|| decode_work_message(&message.body))? {
        WorkMessage::Accept {
            work_id: id,
            ballot,
            ..
        } => Some((id, ballot)),
        _ => None,
    }
}

/// The messages that the limiter sends to its peers about a request of the key "first" that its server serves.
fn write_messages() -> Vec<Recorded> {
    let site = Site::start();
    let client = site.ask("first");
    let mut messages = site.serve_as_peers(&client);
    assert_eq!(Message::read(&client).expect("an answer").status(), 200);
    NAMES
        .map(|name| (name.to_string(), messages.remove(name).expect("received")))
        .to_vec()
}

fn find(messages: Vec<Recorded>, name: &str) -> Vec<u8> {
    messages
        .into_iter()
        .find(|(found, _)| found == name)
        .expect("recorded")
        .1
}

fn recorded(name: &str) -> Vec<u8> {
    find(recorded_lines("peers.txt", write_messages), name)
}

fn decode_work(going: &[u8]) -> (Work, FirstAttempt) {
    match decode_work_message(going) {
        WorkMessage::Accept {
            work,
            first_attempt,
            ..
        } => (work, first_attempt),
        other => panic!("{other:?}"),
    }
}

fn decode_request(going: &[u8]) -> EncodedRequest {
    postcard::from_bytes(&decode_work(going).0.payload).expect("a request")
}

fn claim_of(wants: &[u8]) -> Claim {
    match decode_key_message(wants) {
        KeyMessage::Request { claim, .. } => claim,
        other => panic!("{other:?}"),
    }
}

/// A message about keys, with this claim and a fixed time in place of those that differ in each run.
fn with_claim(body: &[u8], new_claim: Claim) -> KeyMessage<Answer> {
    match decode_key_message(body) {
        KeyMessage::Request {
            customer,
            key,
            fingerprint,
            ..
        } => KeyMessage::Request {
            claim: new_claim,
            customer,
            key,
            fingerprint,
            within: 0.0,
        },
        KeyMessage::Served {
            customer,
            key,
            fingerprint,
            answer,
            ..
        } => KeyMessage::Served {
            claim: new_claim,
            customer,
            key,
            fingerprint,
            answer,
        },
        other => other,
    }
}

#[test]
fn every_recorded_message_about_keys_is_encoded_to_the_same_bytes() {
    for name in ["wants", "served"] {
        let body = recorded(name);
        assert_eq!(
            hex(&encode(&decode_key_message(&body))),
            hex(&body),
            "{name}"
        );
    }
}

#[test]
fn every_recorded_message_about_work_is_encoded_to_the_same_bytes() {
    for name in ["going", "over"] {
        let body = recorded(name);
        assert_eq!(
            hex(&encode(&decode_work_message(&body))),
            hex(&body),
            "{name}"
        );
    }
    let (work, _) = decode_work(&recorded("going"));
    assert_eq!(
        hex(&encode(&decode_request(&recorded("going")))),
        hex(&work.payload)
    );
}

#[test]
fn the_recorded_request_and_its_answer_have_the_expected_content() {
    let EncodedRequest {
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
    } = decode_request(&recorded("going"));
    assert_eq!(
        (method.as_str(), uri.as_str(), body.as_slice()),
        ("POST", "/api", b"body".as_slice())
    );
    assert_eq!(
        (class, plan, units, set_size, set_first, key.as_str()),
        (1, 0, 1.0, 3, 0, "first")
    );
    let KeyMessage::Served { answer, .. } = decode_key_message(&recorded("served")) else {
        panic!("not served")
    };
    let expected = Answer::Served {
        content_type: Some(b"text/plain".to_vec()),
        body: b"signed".to_vec(),
    };
    assert_eq!(answer, expected);
}

/// Claims, incarnations and times are not compared, as they differ in each run.
#[test]
fn a_limiters_messages_to_its_peers_equal_the_recorded_ones() {
    let messages = write_messages();
    for name in ["wants", "served"] {
        let (now, then) = (find(messages.clone(), name), recorded(name));
        assert_eq!(
            with_claim(&now, Claim(1)),
            with_claim(&then, Claim(1)),
            "{name}"
        );
    }
    assert_eq!(
        decode_request(&find(messages, "going")),
        decode_request(&recorded("going"))
    );
}

#[test]
fn a_limiter_grants_a_recorded_claim_and_replays_its_recorded_answer() {
    let site = Site::start();
    let wants = recorded("wants");
    let claim = claim_of(&wants);
    site.peers[0].send(KEY_MESSAGES, wants);
    site.next(0, |message| {
        (message.body == encode(&KeyMessage::<Answer>::Granted(claim))).then_some(())
    });
    site.peers[0].send(KEY_MESSAGES, recorded("served"));
    let started = Instant::now();
    let replayed = loop {
        assert!(started.elapsed() < WAIT_TIMEOUT, "never replayed");
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

/// A peer has the recorded request in flight and disconnects: the limiter sends the request itself.
#[test]
fn a_limiter_takes_over_the_recorded_request_of_a_disconnected_peer() {
    let mut site = Site::start();
    let wants = recorded("wants");
    let claim = claim_of(&wants);
    site.peers[0].send(KEY_MESSAGES, wants);
    site.next(0, |message| {
        (message.body == encode(&KeyMessage::<Answer>::Granted(claim))).then_some(())
    });
    let id = WorkId {
        claimant: Member(1),
        incarnation: site.peers[0].incarnation,
        claim_number: claim.0,
    };
    let ballot = Ballot {
        round: 0,
        proposer: Member(1),
    };
    let (work, first_attempt) = decode_work(&recorded("going"));
    let acceptor_incarnation = site.peers[0].limiter_incarnation();
    site.peers[0].send(
        TAKEOVER_MESSAGES,
        encode(&WorkMessage::Accept {
            work_id: id,
            ballot,
            acceptor_incarnation,
            first_attempt,
            work,
        }),
    );
    site.next(0, |message| {
        (message.body
            == encode(&WorkMessage::Accepted {
                work_id: id,
                ballot,
            }))
        .then_some(())
    });
    site.peers[0].stop();
    let prepared = |message: &ReceivedMessage| match (message.kind == TAKEOVER_MESSAGES)
        .then(|| decode_work_message(&message.body))?
    {
        WorkMessage::Prepare {
            work_id: of,
            ballot,
            ..
        } => Some(ballot).filter(|_| of == id),
        _ => None,
    };
    let (_, higher) = site.next(1, prepared);
    site.peers[1].send(
        TAKEOVER_MESSAGES,
        encode(&WorkMessage::Promise {
            work_id: id,
            ballot: higher,
            accepted: None,
        }),
    );
    // A majority must accept where the limiter will send the request before it does so.
    let (_, (_, accepted_ballot)) = site.next(1, |message| {
        accept_request(message).filter(|(of, _)| *of == id)
    });
    site.peers[1].send(
        TAKEOVER_MESSAGES,
        encode(&WorkMessage::Accepted {
            work_id: id,
            ballot: accepted_ballot,
        }),
    );
    let sent = site.server.next();
    assert!(sent.head.starts_with("POST /api "), "{}", sent.head);
    assert_eq!(
        (sent.header("idempotency-key"), sent.body.as_slice()),
        (Some("first"), b"body".as_slice())
    );
}

/// A message about endpoint lists, and the name of the discovery service that it refers to.
fn decode_list_message(body: &[u8]) -> (String, ListMessage) {
    postcard::from_bytes(body).expect("a message about lists")
}

fn heartbeat(message: &ReceivedMessage) -> Option<WatcherHeartbeat> {
    match (message.kind == LIST_MESSAGES).then(|| decode_list_message(&message.body))? {
        (_, ListMessage::Heartbeat(heartbeat)) => Some(heartbeat),
        _ => None,
    }
}

fn list(message: &ReceivedMessage) -> Option<()> {
    (message.kind == LIST_MESSAGES
        && matches!(
            decode_list_message(&message.body),
            (_, ListMessage::List { .. })
        ))
    .then_some(())
}

fn list_request(message: &ReceivedMessage) -> Option<ListVersion> {
    match (message.kind == LIST_MESSAGES).then(|| decode_list_message(&message.body))? {
        (_, ListMessage::Request { version }) => Some(version),
        _ => None,
    }
}

/// The messages that a limiter with a list from the discovery service sends to a peer that requests it.
fn write_lists() -> Vec<Recorded> {
    let site = Site::start();
    site.limiter
        .watch()
        .list(42, true, &[target("s-1", site.server.address, "ready")]);
    let (heartbeat, WatcherHeartbeat { version, .. }) = site.next(0, |message| {
        heartbeat(message).filter(|heartbeat| heartbeat.version.revision == 42)
    });
    site.peers[0].send(
        LIST_MESSAGES,
        encode(&("lists", ListMessage::Request { version })),
    );
    let (list, ()) = site.next(0, list);
    vec![("pulse".into(), heartbeat), ("list".into(), list)]
}

fn recorded_lists(name: &str) -> (String, ListMessage, Vec<u8>) {
    let body = find(recorded_lines("peers-lists.txt", write_lists), name);
    let (service, message) = decode_list_message(&body);
    (service, message, body)
}

#[test]
fn every_recorded_message_about_lists_is_encoded_to_the_same_bytes() {
    for name in ["pulse", "list"] {
        let (service, message, body) = recorded_lists(name);
        assert_eq!(
            (service.as_str(), hex(&encode(&(&service, message)))),
            ("lists", hex(&body)),
            "{name}"
        );
    }
}

/// A peer has a newer list, with the server at another address.
#[test]
fn a_limiter_requests_the_recorded_list_of_a_peer_and_applies_it() {
    let (service, ListMessage::Heartbeat(heartbeat), _) = recorded_lists("pulse") else {
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
    let heartbeat = WatcherHeartbeat {
        watcher: 1,
        ..heartbeat
    };
    site.peers[0].send(
        LIST_MESSAGES,
        encode(&(&service, ListMessage::Heartbeat(heartbeat))),
    );
    assert_eq!(site.next(0, list_request).1, version);
    let list = ListMessage::List {
        version,
        entries: entries.into_bytes(),
    };
    site.peers[0].send(LIST_MESSAGES, encode(&(&service, list)));
    let started = Instant::now();
    while moved.is_quiet() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "never sent to the recorded list's endpoint"
        );
        drop(site.limiter.ask(&request("look", "1", "wide", 30.0)));
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}
