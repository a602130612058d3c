//! The adapter: it hosts gateways and translates between the simulator's wire and the interface.
//! It takes no decision.
#![forbid(unsafe_code)]

mod wire;

use base64::{engine::general_purpose::STANDARD, Engine};
use emberpin_balancer::settings::{stable_hash, Conf, Listed, Names};
use emberpin_balancer::*;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use wire::{Line, Reply};

/// One hosted gateway with the names that its settings gave to the indices.
struct Instance {
    gateway: Gateway,
    names: Names,
}

/// The state of the conversation.
#[derive(Default)]
struct Drill {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<usize, Vec<wire::Host>>,
    batch: Option<(f64, u64)>,
    reply: Vec<u8>,
}

fn main() {
    std::panic::set_hook(Box::new(|_| {}));
    if let Err(problem) = run(std::io::stdin().lock(), std::io::stdout().lock()) {
        eprintln!("emberpin-balancer-adapter: {problem}");
        std::process::exit(2);
    }
}

/// Answers batch after batch until the input ends; the error names the line and what is wrong.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut drill = Drill::default();
    let mut text = Vec::new();
    for number in 1u64.. {
        text.clear();
        let at = |problem: String| format!("line {number}: {problem}");
        if input
            .read_until(b'\n', &mut text)
            .map_err(|e| at(e.to_string()))?
            == 0
        {
            return match drill.batch {
                Some(_) => Err(at("the input ends within a batch".into())),
                None => Ok(()),
            };
        }
        if text.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let line = serde_json::from_slice(&text).map_err(|e| at(e.to_string()))?;
        if drill.take(line).map_err(at)? {
            output
                .write_all(&drill.reply)
                .and_then(|()| output.flush())
                .map_err(|e| at(e.to_string()))?;
            drill.reply.clear();
        }
    }
    Ok(())
}

impl Drill {
    /// Takes one line in; `true` when a reply is complete.
    fn take(&mut self, line: Line) -> Result<bool, String> {
        if let Line::Clock { moment_ms, seq } = line {
            return match self.batch.replace((moment_ms, seq)) {
                Some(_) => Err("'clock' within a batch".into()),
                None => Ok(false),
            };
        }
        let (now, seq) = self.batch.ok_or("no 'clock' opens this batch")?;
        match line {
            Line::Clock { .. } => {}
            Line::End {} => {
                self.batch = None;
                self.say(&Reply::End { seq })?;
                return Ok(true);
            }
            Line::Init {
                limiter_id,
                init_seed,
                conf,
            } => self.start(limiter_id, init_seed, *conf, now)?,
            Line::Halt { limiter_id } => drop(self.instances.remove(&limiter_id)),
            Line::Catalog { buffer, hosts } => drop(self.lists.insert(buffer, hosts)),
            Line::DirectoryUpdate(update) => {
                let event = self.membership(&update)?;
                self.feed(update.limiter_id, now, event)?;
            }
            Line::Call(call) => {
                let event = self.request(&call)?;
                self.feed(call.limiter_id, now, event)?;
            }
            Line::Flowing { limiter_id, handle } => self.feed(
                limiter_id,
                now,
                Event::Streaming {
                    request: RequestId(handle),
                },
            )?,
            Line::LedgerReply {
                limiter_id,
                slot_name,
                sum,
                reason,
            } => {
                let total = if reason == wire::Reason::Ok {
                    Some(sum.unwrap_or(0.0))
                } else {
                    None
                };
                self.feed(
                    limiter_id,
                    now,
                    Event::Counted {
                        name: slot_name,
                        total,
                    },
                )?;
            }
            Line::Abandoned { limiter_id, handle } => self.feed(
                limiter_id,
                now,
                Event::Abandoned {
                    request: RequestId(handle),
                },
            )?,
            Line::Resolved(resolved) => {
                let limiter = resolved.limiter_id;
                self.feed(limiter, now, attempt(resolved))?;
            }
            Line::Timer { limiter_id, label } => {
                self.feed(limiter_id, now, Event::Timer { token: label })?;
            }
            Line::Pong {
                limiter_id,
                reason,
                duration_ms,
                server,
                feedback,
            } => {
                let event = Event::Probed {
                    server: ServerId(server),
                    outcome: outcome(reason),
                    elapsed: duration_ms.unwrap_or(0.0),
                    report: report(feedback),
                };
                self.feed(limiter_id, now, event)?;
            }
            Line::PeerData {
                limiter_id,
                from,
                octets,
            } => {
                let bytes = STANDARD
                    .decode(&octets)
                    .map_err(|e| format!("octets: {e}"))?;
                self.feed(
                    limiter_id,
                    now,
                    Event::Peer {
                        from: GatewayId(from),
                        bytes,
                    },
                )?;
            }
        }
        Ok(false)
    }

    fn instance(&self, id: u64) -> Result<&Instance, String> {
        self.instances
            .get(&id)
            .ok_or_else(|| format!("limiter {id} was not started"))
    }

    fn start(&mut self, id: u64, seed: u64, conf: Conf, now: f64) -> Result<(), String> {
        let (settings, names) = conf.translate()?;
        match catch_unwind(AssertUnwindSafe(|| Gateway::new(settings, seed, now))) {
            Ok(gateway) => {
                self.instances.insert(id, Instance { gateway, names });
                Ok(())
            }
            Err(_) => self.say(&Reply::Fault {
                limiter_id: id,
                note_text: "the module panicked at its start",
            }),
        }
    }

    fn membership(&self, update: &wire::Update) -> Result<Event, String> {
        if update.form == wire::Form::Refused {
            return Ok(Event::Membership(Membership::Unavailable));
        }
        let instance = self.instance(update.limiter_id)?;
        let number = update.buffer.ok_or("missing field `buffer`")?;
        let hosts = self
            .lists
            .get(&number)
            .ok_or_else(|| format!("no list has number {number}"))?;
        let servers: Result<Vec<Server>, String> = hosts
            .iter()
            .map(|host| {
                instance.names.server(Listed {
                    id: ServerId(host.server),
                    zone: &host.zone,
                    kind: host.class_of_host.as_deref(),
                    cell: host.pod,
                    size: host.scale,
                    started: host.last_start_ms.filter(|at| *at != 0.0),
                    condition: match host.condition {
                        wire::Condition::InService => Condition::InService,
                        wire::Condition::Terminating => Condition::Draining,
                        wire::Condition::Terminated => Condition::Gone,
                    },
                })
            })
            .collect();
        Ok(Event::Membership(match update.form {
            wire::Form::Changes => Membership::Changes(servers?),
            _ => Membership::Full(servers?),
        }))
    }

    fn request(&self, call: &wire::Call) -> Result<Event, String> {
        let instance = self.instance(call.limiter_id)?;
        let (class, plan) = (
            instance.names.class(&call.service),
            instance.names.plan(&call.plan),
        );
        Ok(Event::Request(Request {
            id: RequestId(call.handle),
            class: class.ok_or_else(|| format!("unknown service '{}'", call.service))?,
            plan: plan.ok_or_else(|| format!("unknown plan '{}'", call.plan))?,
            customer: CustomerId(stable_hash(&call.customer)),
            remaining: call.remaining_ms,
            units: call.weight.unwrap_or(1.0),
            set_size: call.set_size.unwrap_or(1),
            set_first: GatewayId(call.from_no.unwrap_or(0)),
            ran: None,
        }))
    }

    fn feed(&mut self, id: u64, now: f64, event: Event) -> Result<(), String> {
        self.instance(id)?;
        let Some(instance) = self.instances.get_mut(&id) else {
            return Ok(());
        };
        let mut actions = Vec::new();
        if catch_unwind(AssertUnwindSafe(|| {
            instance.gateway.handle(now, event, &mut actions);
        }))
        .is_err()
        {
            return self.say(&Reply::Fault {
                limiter_id: id,
                note_text: "the module panicked",
            });
        }
        actions
            .iter()
            .try_for_each(|action| self.say(&reply(id, action)))
    }

    fn say(&mut self, line: &Reply) -> Result<(), String> {
        serde_json::to_writer(&mut self.reply, line).map_err(|e| e.to_string())?;
        self.reply.push(b'\n');
        Ok(())
    }
}

fn outcome(reason: wire::Reason) -> Outcome {
    match reason {
        wire::Reason::Ok => Outcome::Ok,
        wire::Reason::Error => Outcome::Error,
        wire::Reason::Full => Outcome::Full,
        wire::Reason::Timeout => Outcome::Timeout,
        wire::Reason::ConnectFailed => Outcome::ConnectFailed,
        wire::Reason::Reset => Outcome::Reset,
        wire::Reason::Cancelled => Outcome::Cancelled,
        wire::Reason::Moot => Outcome::Moot,
    }
}

fn report(feedback: Option<BTreeMap<String, f64>>) -> Report {
    let values = feedback.unwrap_or_default();
    settings::report(|name| values.get(name).copied())
}

fn attempt(resolved: wire::Resolved) -> Event {
    Event::Attempt(Attempt {
        request: RequestId(resolved.handle),
        attempt: resolved.leg.unwrap_or(0),
        server: ServerId(resolved.server),
        outcome: outcome(resolved.reason),
        elapsed: resolved.duration_ms.unwrap_or(0.0),
        ended: resolved.ended.unwrap_or(false),
        repeatable: true,
        report: report(resolved.feedback),
        units: resolved.actual.filter(|units| *units > 0.0),
        metered: resolved
            .quota_use
            .filter(|said| *said > 0.0)
            .map(|said| (said - 1.0) / 100.0),
    })
}

fn reply(limiter_id: u64, action: &Action) -> Reply<'_> {
    match action {
        Action::Send {
            request,
            server,
            timeout,
        } => Reply::Send {
            limiter_id,
            handle: request.0,
            server: server.0,
            allow_for_ms: *timeout,
        },
        Action::Refuse {
            request,
            retry_after,
        } => Reply::NotNow {
            limiter_id,
            handle: request.0,
            retry_after_ms: Some(*retry_after).filter(|wait| *wait > 0.0),
        },
        Action::Fail { request } => Reply::DropRequest {
            limiter_id,
            handle: request.0,
        },
        Action::Cancel { request, attempt } => Reply::Abandon {
            limiter_id,
            handle: request.0,
            leg: *attempt,
        },
        Action::Probe { server } => Reply::Sample {
            limiter_id,
            server: server.0,
        },
        Action::Close { server } => Reply::Release {
            limiter_id,
            server: server.0,
        },
        Action::Schedule { delay, token } => Reply::Schedule {
            limiter_id,
            delay_ms: *delay,
            label: *token,
        },
        Action::Tell { to, bytes } => Reply::Tell {
            limiter_id,
            peer: to.map_or(wire::Peer::All("*"), |peer| wire::Peer::One(peer.0)),
            octets: STANDARD.encode(bytes),
        },
        Action::FetchServers => Reply::GetList { limiter_id },
        Action::WatchServers { on } => Reply::Watch {
            limiter_id,
            on: *on,
        },
        Action::Count {
            name,
            amount,
            lifetime,
        } => Reply::Incr {
            limiter_id,
            slot_name: *name,
            step: *amount,
            lives_ms: *lifetime,
        },
        Action::Log(text) => Reply::Debug {
            limiter_id,
            note_text: text,
        },
        // Only where a second process of the same gateway was told of.
        Action::Share(_) => Reply::Debug {
            limiter_id,
            note_text: "nobody to share with",
        },
    }
}
