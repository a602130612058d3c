//! Translation between the simulator's messages and the events and actions of the decision module.

use crate::adapter::LineError;
use crate::wire::{
    self, AttemptEnded, CounterReply, Host, InstanceId, Output, PeerMessage, ProbeEnded,
    ServerListUpdate, UpdateForm,
};
use base64::{engine::general_purpose::STANDARD, Engine};
use emberpin_balancer::host_config::{self, stable_hash, NameIndex, ServerEntry, UnknownZone};
use emberpin_balancer::{
    Action, AttemptResult, CustomerId, Event, GatewayId, GatewaySet, LoadReport, MembershipUpdate,
    Millis, Outcome, Request, Server,
};
use std::collections::BTreeMap;

/// Translates messages that name classes, plans and zones, by the settings of one gateway.
pub struct Translator {
    names: NameIndex,
}

impl Translator {
    /// Creates a translator for these names.
    pub fn new(names: NameIndex) -> Translator {
        Translator { names }
    }

    /// Translates a request to an event.
    ///
    /// # Errors
    ///
    /// When the settings do not have its class or its plan.
    pub fn request(&self, request: &wire::Request) -> Result<Event, LineError> {
        let class = self
            .names
            .class(&request.class)
            .ok_or_else(|| LineError::UnknownClass(request.class.clone()))?;
        let plan = self
            .names
            .plan(&request.plan)
            .ok_or_else(|| LineError::UnknownPlan(request.plan.clone()))?;
        Ok(Event::Request(Request {
            id: request.request,
            class,
            plan,
            customer: CustomerId(stable_hash(&request.customer)),
            remaining: request.remaining,
            units: request.units.unwrap_or(1.0),
            gateways: GatewaySet {
                first: GatewayId(request.first_gateway.unwrap_or(0)),
                size: request.gateways.unwrap_or(1),
            },
            prior_attempt: None,
        }))
    }

    /// Translates a server list update to an event, with the hosts of the list that it refers to.
    ///
    /// # Errors
    ///
    /// When a host is in a zone that the settings do not list.
    pub fn membership(
        &self,
        update: &ServerListUpdate,
        hosts: &[Host],
    ) -> Result<Event, UnknownZone> {
        let servers: Vec<Server> = hosts
            .iter()
            .map(|host| self.server(host))
            .collect::<Result<_, _>>()?;
        Ok(Event::Membership(match update.form {
            UpdateForm::Changes => MembershipUpdate::Changes(servers),
            _ => MembershipUpdate::Full(servers),
        }))
    }

    fn server(&self, host: &Host) -> Result<Server, UnknownZone> {
        self.names.server(ServerEntry {
            id: host.server,
            zone: &host.zone,
            kind: host.kind.as_deref(),
            cell: host.cell,
            capacity: host.capacity,
            started_at: host.started_at.filter(|at| *at != 0.0),
            status: host.status,
        })
    }
}

/// Translates the end of an attempt to an event.
pub fn attempt_ended(ended: AttemptEnded) -> Event {
    Event::AttemptEnded(AttemptResult {
        request: ended.request,
        attempt: ended.attempt.unwrap_or(0),
        server: ended.server,
        outcome: ended.outcome,
        elapsed: ended.elapsed.unwrap_or(0.0),
        answered: ended.answered.unwrap_or(false),
        replayable: true,
        load: load_report(ended.load),
        units: ended.units.filter(|units| *units > 0.0),
        metered: ended
            .metered
            .filter(|metered| *metered > 0.0)
            .map(metered_share),
    })
}

/// Converts metered use from the wire, where it is in percent plus 1, as 0 stands for no meter.
fn metered_share(metered: f64) -> f64 {
    (metered - 1.0) / 100.0
}

/// Translates the end of a probe to an event.
pub fn probe_ended(ended: ProbeEnded) -> Event {
    Event::ProbeEnded {
        server: ended.server,
        outcome: ended.outcome,
        elapsed: ended.elapsed.unwrap_or(0.0),
        load: load_report(ended.load),
    }
}

/// Translates a reply of the counter service to an event.
pub fn counter_reply(reply: &CounterReply) -> Event {
    let succeeded = reply.outcome == Outcome::Ok;
    Event::CounterReply {
        counter: reply.counter,
        total: succeeded.then(|| reply.total.unwrap_or(0.0)),
    }
}

/// Translates a peer's message to an event.
///
/// # Errors
///
/// When its bytes are not base64.
pub fn peer_message(message: &PeerMessage) -> Result<Event, LineError> {
    Ok(Event::PeerMessage {
        from: message.from,
        bytes: STANDARD.decode(&message.bytes)?,
    })
}

fn load_report(values: Option<BTreeMap<String, f64>>) -> LoadReport {
    let values = values.unwrap_or_default();
    host_config::load_report(|name| values.get(name).copied())
}

/// Translates an action of a gateway to a line of output.
pub fn output(instance: InstanceId, action: &Action) -> Output<'_> {
    match action {
        Action::Send {
            request,
            server,
            timeout,
        } => Output::Send {
            instance,
            request: *request,
            server: *server,
            timeout: *timeout,
        },
        Action::Reject {
            request,
            retry_after,
        } => Output::Reject {
            instance,
            request: *request,
            retry_after: Some(*retry_after).filter(|delay| *delay > 0.0),
        },
        Action::Fail { request } => Output::Fail {
            instance,
            request: *request,
        },
        Action::Cancel { request, attempt } => Output::Cancel {
            instance,
            request: *request,
            attempt: *attempt,
        },
        Action::Probe { server } => Output::Probe {
            instance,
            server: *server,
        },
        Action::CloseIdle { server } => Output::CloseIdle {
            instance,
            server: *server,
        },
        Action::SetTimer { delay, token } => Output::SetTimer {
            instance,
            delay: *delay,
            token: *token,
        },
        Action::SendToPeer { to, bytes } => peer_output(instance, *to, bytes),
        Action::FetchServers => Output::FetchServers { instance },
        Action::WatchServers { on } => Output::WatchServers { instance, on: *on },
        Action::AddToCounter {
            counter,
            amount,
            lifetime,
        } => counter_output(instance, *counter, *amount, *lifetime),
        Action::Log(text) => Output::Log { instance, text },
        // The simulator runs one process of each gateway, so usage is never shared.
        Action::ShareUsage(_) => Output::Log {
            instance,
            text: "usage not shared: this gateway has no second process",
        },
    }
}

fn peer_output(instance: InstanceId, to: Option<GatewayId>, bytes: &[u8]) -> Output<'static> {
    Output::SendToPeer {
        instance,
        to: to.map_or(wire::Recipient::All("*"), wire::Recipient::One),
        bytes: STANDARD.encode(bytes),
    }
}

fn counter_output(
    instance: InstanceId,
    counter: u64,
    amount: f64,
    lifetime: Millis,
) -> Output<'static> {
    Output::AddToCounter {
        instance,
        counter,
        amount,
        lifetime,
    }
}
