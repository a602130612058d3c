//! Plays scenarios.

use crate::builds::Build;
use crate::text::{Machine, Operation, Scenario, Stand, Way};
use crate::world::World;
use emberpin_routing::Availability;

/// After all trouble, so long until a call must be acknowledged.
const CALM: u64 = 14_000;
/// And so long until it is, and all limiters have it.
const SERVES: u64 = 10_000;
const APPLY: u64 = 2_500;

/// What a run did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Played {
    /// Events that were played.
    pub events: u64,
    /// Requests that went to cold servers.
    pub cold_sent: usize,
    /// Acknowledgements that were looked up on limiters in touch.
    pub applied: usize,
    /// Calls that were acknowledged.
    pub acknowledged: usize,
    /// Operations in histories that were checked for linearizability.
    pub linearized: usize,
    /// Operations in histories that were too long to be checked.
    pub unchecked: usize,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{scenario}, seed {seed}: {what}")]
pub struct Failure {
    /// Which scenario.
    pub scenario: String,
    /// With which seed.
    pub seed: u64,
    /// When and what.
    pub what: String,
}

/// Plays a scenario on a build.
///
/// # Errors
///
/// [`Failure`]: what went wrong first.
pub fn play(scenario: &Scenario, build: Build) -> Result<Played, Failure> {
    let mut world = World::new(scenario, build);
    for step in &scenario.steps {
        world.run(step.at);
        if world.wrong.is_none() {
            world.step(step.line, &step.operation);
        }
    }
    world.run(scenario.end);
    world.settle();
    match world.wrong.take() {
        Some(what) => Err(Failure {
            scenario: scenario.name.clone(),
            seed: scenario.seed,
            what,
        }),
        None => Ok(Played {
            events: world.events,
            cold_sent: world.ledger.cold_sent,
            applied: world.ledger.applied,
            linearized: world.ledger.linearized,
            unchecked: world.ledger.unchecked,
            acknowledged: world
                .operators
                .calls
                .iter()
                .filter(|call| call.status == Some(200))
                .count(),
        }),
    }
}

impl World {
    fn step(&mut self, line: usize, operation: &Operation) {
        match operation {
            Operation::Kill(machines)
            | Operation::Power { machines, .. }
            | Operation::Wipe(machines)
            | Operation::Start(machines)
            | Operation::Bootstrap(machines)
            | Operation::Freeze(machines)
            | Operation::Thaw(machines) => self.troubled(machines),
            Operation::Clock(machine, _) => self.troubled(&[*machine]),
            Operation::Cut { from, to, .. }
            | Operation::Slow { from, to, .. }
            | Operation::Lose { from, to, .. } => {
                // A cut between a limiter and a core machine is no trouble among the latter.
                let limiter = |machine: &&Machine| matches!(machine, Machine::Limiter(_));
                let core = |machine: &&Machine| !limiter(machine);
                let all = || from.iter().chain(to);
                self.troubled(&all().filter(limiter).copied().collect::<Vec<_>>());
                if from.iter().any(|machine| core(&machine))
                    && to.iter().any(|machine| core(&machine))
                {
                    self.troubled(&all().filter(core).copied().collect::<Vec<_>>());
                }
            }
            _ => {}
        }
        match operation {
            Operation::Operator { who, way, order } => {
                self.operator(who, *way, Some(order.clone()), None);
            }
            Operation::Again { who, way } => {
                let last = self
                    .operators
                    .latest
                    .get(who)
                    .and_then(|call| self.operators.calls.get(*call));
                match last.and_then(|call| call.order.clone()) {
                    Some(order) => self.operator(who, *way, Some(order), None),
                    None => self.fail(format!("line {line}: operator {who} asked nothing")),
                }
            }
            Operation::Read { who, way } => self.operator(who, *way, None, None),
            Operation::AnswersLost(percent) => self.answers_lost = *percent,
            Operation::Up {
                server,
                service,
                zone,
                address,
                cold,
            } => {
                self.server_up(server, service, zone, *address, *cold);
            }
            Operation::Drain(server) => {
                self.servers
                    .get_mut(server)
                    .into_iter()
                    .for_each(|server| server.drains |= server.up);
                self.server_speaks(server);
            }
            Operation::Leave(server) => {
                self.servers
                    .get_mut(server)
                    .into_iter()
                    .for_each(|server| server.leaves |= server.up);
                self.server_speaks(server);
            }
            Operation::Crash(server) => {
                self.servers
                    .get_mut(server)
                    .into_iter()
                    .for_each(|server| server.up = false);
            }
            Operation::Cold(server, span) => {
                let until = self.now + span;
                self.servers
                    .get_mut(server)
                    .into_iter()
                    .for_each(|server| server.cold_until = until);
                self.load_from_now();
            }
            Operation::Says {
                server,
                drains,
                seq,
                to,
            } => self.server_says(server, *drains, *seq, *to),
            Operation::Kill(machines) => machines
                .iter()
                .for_each(|machine| self.stop(*machine, false)),
            Operation::Power { machines, hard } => machines
                .iter()
                .for_each(|machine| self.power(*machine, *hard)),
            Operation::Wipe(machines) => machines.iter().for_each(|machine| self.wipe(*machine)),
            Operation::Start(machines) => machines.iter().for_each(|machine| self.start(*machine)),
            Operation::Bootstrap(machines) => {
                machines.iter().for_each(|machine| self.bootstrap(*machine));
            }
            Operation::Seeds(machines) => {
                let core = |machine: &Machine| match machine {
                    Machine::Core(number) => Some(*number),
                    Machine::Limiter(_) => None,
                };
                self.seeds = Some(machines.iter().filter_map(core).collect());
            }
            Operation::Stall { machines, span } => {
                let until = self.now + span;
                for machine in machines {
                    self.stall(*machine, until);
                }
            }
            Operation::Replace { old, new } => self.replace(*old, *new),
            Operation::Freeze(machines) => {
                machines.iter().for_each(|machine| self.freeze(*machine));
            }
            Operation::Thaw(machines) => machines.iter().for_each(|machine| self.thaw(*machine)),
            Operation::Clock(machine, rate) => {
                let now = self.now;
                self.process(*machine)
                    .into_iter()
                    .for_each(|process| process.runs_at(now, *rate));
            }
            Operation::Cut { from, to, one_way } => self.cut(from, to, *one_way),
            Operation::Slow {
                from,
                to,
                one_way,
                by,
            } => self.slow(from, to, *one_way, *by),
            Operation::Lose { sort, from, to } => {
                for one in from {
                    to.iter()
                        .for_each(|other| self.net.lose(*sort, *one, *other));
                }
            }
            Operation::Heal(machines) => self.heal(machines),
            Operation::Found => self.net.lose_nothing(),
            Operation::Network { delay, late, twice } => {
                (self.net.delay, self.net.late, self.net.twice) = (*delay, *late, *twice);
                self.ledger.slow |= *late > 0 || delay.1 > 20;
            }
            Operation::Disk(low, high) => {
                self.disk = (*low, *high);
                self.ledger.slow |= *high > 50;
            }
            Operation::GetHolds { .. } | Operation::GetLacks { .. } => {
                self.operator(
                    &format!("line {line}"),
                    Way::Any,
                    None,
                    Some((line, operation.clone())),
                );
            }
            hope => {
                if let Err(found) = self.expect(hope) {
                    self.fail(format!("line {line}: {found}"));
                }
            }
        }
    }

    fn expect(&self, hope: &Operation) -> Result<(), String> {
        match hope {
            Operation::ToldStatus { who, status } => {
                let call = self
                    .operators
                    .latest
                    .get(who)
                    .map(|call| &self.operators.calls[*call]);
                let found = call.ok_or_else(|| format!("operator {who} asked nothing"))?;
                match found.status == *status {
                    true => Ok(()),
                    false => {
                        let (told, body) = (found.status, &found.body);
                        Err(format!(
                            "expected that operator {who} was told {status:?}, found {told:?} {body}"
                        ))
                    }
                }
            }
            Operation::Voters(count) => {
                for (core, machine) in &self.cores {
                    let Some(up) = &machine.up else { continue };
                    let found = up.store.voters();
                    if found.len() != *count {
                        return Err(format!(
                            "expected {count} voters on core-{core}, found {found:?}"
                        ));
                    }
                }
                Ok(())
            }
            Operation::Votes { core, votes } => {
                let up = self.cores.get(core).and_then(|core| core.up.as_ref());
                match up.is_some_and(|up| up.store.is_voter()) == *votes {
                    true => Ok(()),
                    false => Err(format!("expected that core-{core} votes: {votes}")),
                }
            }
            Operation::Routed {
                limiters,
                host,
                path,
                ver,
            } => self.each(limiters, |proxy| {
                let found = proxy
                    .router
                    .routes
                    .find(host, path)
                    .map(|route| route.version.0);
                match found == *ver {
                    true => Ok(()),
                    false => Err(format!(
                        "expected version {ver:?} of the route of {host}{path}, found {found:?}"
                    )),
                }
            }),
            Operation::Stands {
                limiters,
                server,
                stand,
            } => {
                let server = self
                    .servers
                    .get(server)
                    .ok_or(format!("there is no server {server}"))?;
                let expected = match stand {
                    Stand::Usable => Availability::Available,
                    Stand::Held => Availability::Draining,
                    Stand::Gone => Availability::Removed,
                };
                self.each(limiters, |proxy| match proxy.work(&server.id) {
                    found if found == expected => Ok(()),
                    found => Err(format!(
                        "expected that {} is {expected:?}, found {found:?}",
                        server.id
                    )),
                })
            }
            Operation::Ready { limiters, ready } => {
                self.each(limiters, |proxy| match proxy.ready == *ready {
                    true => Ok(()),
                    false => Err(format!("expected ready: {ready}")),
                })
            }
            _ => Ok(()),
        }
    }

    /// Holds for each of these limiters that runs.
    fn each(
        &self,
        limiters: &[Machine],
        holds: impl Fn(&crate::limiters::Proxy) -> Result<(), String>,
    ) -> Result<(), String> {
        for (number, machine) in &self.limiters {
            let Some(proxy) = machine
                .up
                .as_ref()
                .filter(|_| limiters.contains(&Machine::Limiter(*number)))
            else {
                continue;
            };
            holds(proxy).map_err(|wrong| format!("limiter-{number}: {wrong}"))?;
        }
        Ok(())
    }

    /// All trouble ends, and what must always hold is looked at.
    fn settle(&mut self) {
        if self.wrong.is_some() {
            return;
        }
        self.calm();
        self.run(self.now + CALM);
        let body =
            "{\"upsert\":{\"svcs\":[{\"name\":\"after-all\",\"hcheck\":\"/h\",\"maxconn\":1,\"ver\":1}]}}";
        let order = crate::text::Order::Patch(body.as_bytes().to_vec());
        self.operator("after all", Way::Any, Some(order), None);
        self.await_answer("after all");
        self.run(self.now + APPLY);
        self.operator("at the end", Way::Any, None, None);
        self.await_answer("at the end");
        if self.wrong.is_some() {
            return;
        }
        let unready = self
            .limiters
            .iter()
            .find(|(_, machine)| machine.up.as_ref().is_some_and(|proxy| !proxy.ready));
        if let Some(unready) = unready.map(|(limiter, _)| *limiter) {
            return self.fail(format!(
                "does not serve again: limiter-{unready} is not ready"
            ));
        }
        let unanswered = self
            .operators
            .calls
            .iter()
            .find(|call| call.is_owed() && call.status.is_none());
        if let Some(who) = unanswered.map(|call| call.who.clone()) {
            return self.fail(format!("{who}: a call has no answer"));
        }
        let end = self.operators.latest["at the end"];
        let body = self.operators.calls[end].body.clone();
        self.balance(&body);
        self.linearizable();
    }

    fn await_answer(&mut self, who: &str) {
        let call = self.operators.latest[who];
        let until = self.now + SERVES;
        while self.wrong.is_none()
            && self.operators.calls[call].status.is_none()
            && self.now < until
        {
            self.run(self.now + 50);
        }
        let status = self.operators.calls[call].status;
        if self.wrong.is_none() && status != Some(200) {
            self.fail(format!(
                "does not serve again: {who}, a call was told {status:?}"
            ));
        }
    }
}
