//! Drawn changes of routes and of instances of servers.

use crate::common::{item, service, Proxy, RegistrySession, HOST, MUTATING_ROUTE, READONLY_ROUTE};
use crate::history::History;
use crate::responses::{one_in, pick};
use crate::{Servers, SERVICES};
use emberpin_config::{Item, ItemKind};
use emberpin_membership::instance::{Instance, Status};
use oorandom::Rand32;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// A route whose fields are drawn anew with each change.
#[derive(Clone, Copy, Debug)]
struct DrawnRoute {
    name: &'static str,
    prefix: &'static str,
    /// The kinds that it may have.
    kinds: &'static [&'static str],
    /// Whether it may be absent.
    removable: bool,
}

const ROUTES: [DrawnRoute; 5] = [
    DrawnRoute {
        name: MUTATING_ROUTE.name,
        prefix: MUTATING_ROUTE.prefix,
        kinds: &["mutating"],
        removable: false,
    },
    DrawnRoute {
        name: "write-longer",
        prefix: "/write/b/",
        kinds: &["mutating"],
        removable: true,
    },
    DrawnRoute {
        name: READONLY_ROUTE.name,
        prefix: READONLY_ROUTE.prefix,
        kinds: &["readonly"],
        removable: false,
    },
    DrawnRoute {
        name: "pull",
        prefix: "/pull/",
        kinds: &["pull"],
        removable: true,
    },
    DrawnRoute {
        name: "flip",
        prefix: "/flip/",
        kinds: &["mutating", "readonly"],
        removable: true,
    },
];

/// The zone of all servers.
const ZONE: &str = "north";

/// The state of one route after a change.
struct RouteState {
    item: Item,
    is_mutating: bool,
}

impl DrawnRoute {
    fn draw(&self, random: &mut Rand32, version: u64) -> RouteState {
        let kind = pick(random, self.kinds);
        let targets = match random.rand_range(0..5) {
            0 | 1 => "\"svc\":\"s\"".to_string(),
            2 | 3 => "\"svc\":\"t\"".to_string(),
            _ => {
                let weight = random.rand_range(0..100);
                format!(
                    "\"dist\":[{{\"svc\":\"s\",\"wt\":{weight}}},{{\"svc\":\"t\",\"wt\":{}}}]",
                    100 - weight
                )
            }
        };
        let (timeout, target) = (random.rand_range(5..8), random.rand_range(1..10) * 100);
        let (tries, priority) = (random.rand_range(1..5), random.rand_range(0..3));
        let (name, prefix) = (self.name, self.prefix);
        let text = format!(
            "{{\"hostname\":\"{HOST}\",\"loc\":{{\"name\":\"{name}\",\"pfx\":\"{prefix}\",\"type\":\"{kind}\",\"timeout\":\"{timeout}s\",\"target_time\":\"{target}ms\",\"prio\":{priority},{targets},\"tries\":{tries},\"ver\":{version}}}}}"
        );
        let removed = self.removable && one_in(random, 4);
        RouteState {
            item: item(ItemKind::Route, name, version, (!removed).then_some(text)),
            is_mutating: kind == "mutating" && !removed,
        }
    }
}

/// Changes routes, services, evacuations and instances until this future is dropped.
pub struct Changes<'a> {
    pub proxy: &'a Proxy,
    pub session: &'a mut RegistrySession,
    pub random: &'a mut Rand32,
    pub servers: &'a mut Servers,
    pub history: Arc<Mutex<History>>,
    pub version: u64,
    /// Whether each of [`ROUTES`] is mutating now.
    pub mutating: [bool; ROUTES.len()],
    pub is_evacuated: bool,
}

impl<'a> Changes<'a> {
    pub fn new(
        proxy: &'a Proxy,
        session: &'a mut RegistrySession,
        random: &'a mut Rand32,
        servers: &'a mut Servers,
        history: Arc<Mutex<History>>,
    ) -> Changes<'a> {
        Changes {
            proxy,
            session,
            random,
            servers,
            history,
            version: 1,
            mutating: [false; ROUTES.len()],
            is_evacuated: false,
        }
    }

    fn draw_item(&mut self) -> Item {
        self.version += 1;
        // An evacuation ends with the next change, as all servers are in one zone.
        if self.is_evacuated || one_in(self.random, 40) {
            self.is_evacuated = !self.is_evacuated;
            let body = self.is_evacuated.then(|| "{}".to_string());
            return item(ItemKind::Evacuation, ZONE, self.version, body);
        }
        match one_in(self.random, 12) {
            true => service(pick(self.random, &SERVICES), self.version, 10.0),
            false => self.draw_route(),
        }
    }

    fn draw_route(&mut self) -> Item {
        let number = self.random.rand_range(0..ROUTES.len() as u32) as usize;
        let state = ROUTES[number].draw(self.random, self.version);
        self.mutating[number] = state.is_mutating;
        state.item
    }

    /// Sends some changes, together or one right after the other.
    async fn change(&mut self) {
        let before = self.mutating;
        let count = self.random.rand_range(1..4);
        let items: Vec<Item> = (0..count).map(|_| self.draw_item()).collect();
        // From here to the end of the change, a route whose kind changes has either kind.
        self.set_mutating(before);
        // An instance that seemed to be another one is used again once a later heartbeat of it comes.
        let mut instances = self.servers.heartbeats();
        if one_in(self.random, 3) {
            instances.extend(self.servers.change_one(self.random));
        }
        if one_in(self.random, 2) {
            for item in items {
                self.session.queue_changes(vec![item], vec![]);
            }
            self.session.queue_changes(vec![], instances);
        } else {
            self.session.queue_changes(items, instances);
        }
        self.session.wait_applied().await;
        self.set_mutating(self.mutating);
    }

    /// The routes that are mutating both now and as `other` says.
    fn set_mutating(&self, other: [bool; ROUTES.len()]) {
        let is_mutating = |number: &usize| self.mutating[*number] && other[*number];
        let prefixes = (0..ROUTES.len()).filter(is_mutating);
        let prefixes = prefixes.map(|number| ROUTES[number].prefix.to_string());
        let mut history = self.history.lock().expect("no panic");
        history.set_mutating(prefixes.collect());
    }

    /// Sends all routes, each in a drawn form.
    pub async fn send_all(&mut self) {
        self.version += 1;
        let mut items = vec![service("s", 1, 10.0), service("t", 1, 10.0)];
        for (number, route) in ROUTES.iter().enumerate() {
            let state = route.draw(self.random, self.version);
            self.mutating[number] = state.is_mutating;
            items.push(state.item);
        }
        self.session.send_changes(items, vec![]).await;
        self.set_mutating(self.mutating);
    }

    /// Goes on until this future is dropped. SIGHUP comes in between.
    pub async fn run(&mut self) {
        loop {
            self.change().await;
            if one_in(self.random, 10) {
                self.proxy.signal("-HUP");
            }
            let pause = self.random.rand_range(0..120);
            sleep(Duration::from_millis(u64::from(pause))).await;
        }
    }
}

impl Servers {
    /// All instances, each with its next heartbeat.
    fn heartbeats(&mut self) -> Vec<Instance> {
        for instance in &mut self.instances {
            instance.seq += 1;
        }
        self.instances.clone()
    }

    /// Draws a change of one server: it drains, is back in service, or ends and another instance takes its address.
    fn change_one(&mut self, random: &mut Rand32) -> Vec<Instance> {
        let number = random.rand_range(0..self.instances.len() as u32) as usize;
        let instance = &mut self.instances[number];
        instance.seq += 1;
        if one_in(random, 3) {
            let mut ended = instance.clone();
            ended.status = Status::Removed;
            self.replaced += 1;
            instance.id = format!("i-{}-{number}", self.replaced);
            instance.status = Status::Up;
            if let Some(id) = &self.ids[number] {
                id.lock().expect("no panic").clone_from(&instance.id);
            }
            return vec![ended, instance.clone()];
        }
        // Of all servers, one drains at a time.
        let was_up = instance.status == Status::Up;
        instance.status = if was_up { Status::Draining } else { Status::Up };
        let mut changed = vec![instance.clone()];
        if was_up {
            if let Some(earlier) = self
                .draining
                .replace(number)
                .filter(|earlier| *earlier != number)
            {
                let instance = &mut self.instances[earlier];
                instance.seq += 1;
                instance.status = Status::Up;
                changed.push(instance.clone());
            }
        }
        changed
    }
}
