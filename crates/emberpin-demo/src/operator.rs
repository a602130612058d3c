//! The operator: sends configurations, evacuates a zone, and reads back what stands.

use crate::http;
use crate::record::{ConfigItems, Evacuation, Recorder};
use hyper::Method;
use jzon::{array, object, JsonValue};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The service of the readonly routes, and that of the mutating one.
pub const SERVICES: [&str; 2] = ["chartroom", "ledger"];
/// The hosts of both.
pub const HOSTS: [&str; 2] = ["charts.demo.example", "ledger.demo.example"];
/// The prefix of the route that the change adds, and of the one that it removes.
pub const CHANGED: [&str; 2] = ["/notices/", "/almanac/"];
/// Versions before and after the change.
const VERSIONS: [u64; 2] = [7, 9];
/// One second of silence, and the next one is asked, after a pause that grows.
const SILENCE: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(50);
/// An order that nobody has acknowledged by then is given up.
const GIVEN_UP: Duration = Duration::from_secs(10);

/// The operator.
pub struct Operator {
    ctl: Vec<SocketAddr>,
    recorder: Recorder,
}

fn route(name: &str, prefix: &str, service: usize, timeout: &str, ver: u64) -> JsonValue {
    let kind = ["readonly", "mutating"][service];
    object! {
        name: name, pfx: prefix, type: kind, timeout: timeout, target_time: "250ms",
        prio: 1, svc: SERVICES[service], tries: 2, ver: ver,
    }
}

/// The first configuration.
fn first() -> JsonValue {
    let ver = VERSIONS[0];
    let mut services = array![];
    for name in SERVICES {
        _ = services.push(object! {
            name: name, hcheck: "/healthz", maxconn: 120, proto: "h1", tls: false, warmup: "1s",
            warmup_per_s: 20.0, ver: ver,
        });
    }
    object! { upsert: {
        svcs: services,
        limits: {
            hdr_max_bytes: 16384, body_max_bytes: 1048576, hdr_read: "3000ms", idle: "15000ms", ver: ver,
        },
        vhosts: [
            { hostname: HOSTS[0], locs: [
                route("look-up", "/charts/", 0, "1500ms", ver), route("almanac", CHANGED[1], 0, "1500ms", ver),
            ] },
            { hostname: HOSTS[1], locs: [route("commit", "/entries/", 1, "2000ms", ver)] },
        ],
    }, remove: { rtab: [] } }
}

/// The change: a route has another time-out, one comes and one goes.
fn change() -> JsonValue {
    let ver = VERSIONS[1];
    object! { upsert: { vhosts: [{ hostname: HOSTS[0], locs: [
        route("look-up", "/charts/", 0, "1600ms", ver), route("notices", CHANGED[0], 0, "1500ms", ver),
    ] }] }, remove: { rtab: [{ name: "almanac", ver: ver }] } }
}

/// The items in these lists, each under its kind and name.
pub fn items(lists: &JsonValue) -> ConfigItems {
    let name = |item: &JsonValue| item["name"].as_str().unwrap_or_default().to_string();
    let mut items: ConfigItems = lists["svcs"]
        .members()
        .map(|item| (format!("service {}", name(item)), item.clone()))
        .collect();
    for vhost in lists["vhosts"].members() {
        for item in vhost["locs"].members() {
            let mut whole = item.clone();
            whole["hostname"] = vhost["hostname"].clone();
            items.insert(format!("route {}", name(item)), whole);
        }
    }
    if !lists["limits"].is_null() {
        items.insert("limits".into(), lists["limits"].clone());
    }
    items
}

impl Operator {
    /// Calls these addresses.
    pub fn new(ctl: Vec<SocketAddr>, recorder: Recorder) -> Operator {
        Operator { ctl, recorder }
    }

    /// Sends the first configuration until it is taken; returns when it was.
    pub async fn begin(&self) -> Option<Duration> {
        self.patch("the first configuration", &first()).await
    }

    /// Sends the change; returns when it was acknowledged.
    pub async fn change(&self) -> Option<Duration> {
        self.patch("the change", &change()).await
    }

    async fn patch(&self, what: &str, patch: &JsonValue) -> Option<Duration> {
        let acknowledged = self.order(what, "/config/patch", patch.dump()).await?;
        let mut record = self.recorder.lock();
        record.acknowledged_items.extend(items(&patch["upsert"]));
        for removed in patch["remove"]["rtab"].members() {
            record.acknowledged_items.remove(&format!(
                "route {}",
                removed["name"].as_str().unwrap_or_default()
            ));
        }
        Some(acknowledged)
    }

    /// Evacuates a zone; nothing may go there so long after the acknowledgement.
    pub async fn evacuate(&self, zone: &str, bound: Duration) -> Option<Duration> {
        let order = format!("/evac/{zone}/begin");
        let acknowledged = self.order("the evacuation", &order, String::new()).await?;
        let evacuation = Evacuation {
            zone: zone.into(),
            acknowledged_at: acknowledged,
            bound,
            finish_requested_at: None,
        };
        self.recorder.lock().evacuations.push(evacuation);
        Some(acknowledged)
    }

    /// Takes the evacuation of a zone back; returns when that was asked for.
    pub async fn take_back(&self, zone: &str) -> Duration {
        let asked = self.recorder.now();
        for evacuation in self
            .recorder
            .lock()
            .evacuations
            .iter_mut()
            .filter(|one| one.zone == zone)
        {
            evacuation.finish_requested_at = Some(asked);
        }
        self.order(
            "the evacuation's end",
            &format!("/evac/{zone}/finish"),
            String::new(),
        )
        .await;
        asked
    }

    /// Reads the configuration back.
    pub async fn read_back(&self) {
        let read = self.ask(Method::GET, "/config/get", String::new()).await;
        let lists = read.ok().and_then(|body| jzon::parse(&body).ok());
        self.recorder.lock().read_back = lists.map(|lists| items(&lists));
    }

    /// Sends an order until it is acknowledged or refused; returns when it was acknowledged.
    async fn order(&self, what: &str, path: &str, body: String) -> Option<Duration> {
        match self.ask(Method::POST, path, body).await {
            Ok(_) => Some(self.recorder.now()),
            Err(last) => {
                self.recorder
                    .lock()
                    .unacknowledged_commands
                    .push(format!("{what} ({last})"));
                None
            }
        }
    }

    /// Asks one address after the other until one has a clear answer: the body of a success, or else what the last said.
    async fn ask(&self, method: Method, path: &str, body: String) -> Result<String, String> {
        let (began, mut pause) = (Instant::now(), PAUSE);
        let mut last = "nobody was asked".to_string();
        for to in self
            .ctl
            .iter()
            .cycle()
            .take_while(|_| began.elapsed() < GIVEN_UP)
        {
            let answer = http::call(*to, method.clone(), path, body.clone(), SILENCE).await;
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            let said =
                answer.map(|answer| String::from_utf8_lossy(&answer.body).trim().to_string());
            match (status, said) {
                (200..=299, said) => return Ok(said.unwrap_or_default()),
                (0, _) => last = format!("{to} did not answer"),
                (_, said) => last = format!("{to} answered {status}: {}", said.unwrap_or_default()),
            }
            if matches!(status, 400 | 404 | 409 | 412 | 413 | 422) {
                break;
            }
            sleep(pause).await;
            pause = (pause * 2).min(SILENCE);
        }
        Err(last)
    }
}
