//! A request's way without sockets, for counting its instructions: admission, decision and answer as the limiter
//! runs them, with servers that answer everything at once.

use crate::front::admission::Admission;
use crate::front::answers::written;
use crate::front::clients::strip;
use crate::messages::{Answer, ResponseHead, ServerResponse};
use crate::operate::config::Config;
use crate::operate::operator::Operator;
use crate::upstream::listing::Entry as Listed;
use bytes::Bytes;
use emberpin_balancer::{
    Action, AttemptResult, Event, Gateway, GatewaySet, LoadReport, MembershipUpdate, Millis,
    Outcome, RequestId,
};
use http_body_util::Full;
use hyper::{Request, StatusCode};

/// How long the servers take, on the clock that only requests move.
const SERVICE: Millis = 20.0;
/// Between two requests.
const GAP: Millis = 1.0;
/// The module's housekeeping comes as often as that.
const HOUSEKEEPING: Millis = 100.0;

/// Admission and decisions of one limiter.
pub struct Entry {
    admission: Admission,
    gateway: Gateway,
    now: Millis,
    kept_house: Millis,
    next: u32,
    actions: Vec<Action>,
}

impl Entry {
    /// A limiter as `GW_CONFIG` has it, with the servers that it knows from the start.
    ///
    /// # Errors
    ///
    /// Those of [`Config::from_env`].
    pub fn from_env() -> Result<Entry, String> {
        let config = Config::from_env(&Operator::default())?;
        let servers = config.known.targets.iter().filter_map(|entry| match entry {
            Listed::Target(target) => target.server(&config.names).ok(),
            Listed::Garbled(_) => None,
        });
        let servers = servers.collect();
        let admission = Admission::new(&config);
        let (gateway, now) = (Gateway::new(config.settings, config.seed, 0.0), 0.0);
        let mut entry = Entry {
            admission,
            gateway,
            now,
            kept_house: now,
            next: 0,
            actions: Vec::new(),
        };
        entry.tell(Event::Membership(MembershipUpdate::Full(servers)));
        Ok(entry)
    }

    fn tell(&mut self, event: Event) {
        self.actions.clear();
        self.gateway.handle(self.now, event, &mut self.actions);
    }

    /// One request, from its head to the head of its answer.
    pub fn exchange(&mut self, request: Request<Full<Bytes>>) -> StatusCode {
        self.now += GAP;
        if self.now >= self.kept_house + HOUSEKEEPING {
            self.kept_house = self.now;
            self.tell(Event::Timer { token: 0 });
        }
        let asked = match self.admission.check(&request) {
            Ok(asked) => asked,
            Err(status) => return status,
        };
        let mut headers = request.into_parts().0.headers;
        strip(&mut headers);
        let id = RequestId(self.next);
        self.next = self.next.wrapping_add(1);
        self.tell(Event::Request(emberpin_balancer::Request {
            id,
            class: asked.class,
            plan: asked.plan,
            customer: asked.customer,
            remaining: asked.patience.as_secs_f64() * 1000.0,
            units: asked.units,
            gateways: GatewaySet {
                first: asked.set_first,
                size: asked.set_size,
            },
            prior_attempt: None,
        }));
        let sent = self.actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        let Some(server) = sent else {
            return written(Answer::Refused {
                retry_after: SERVICE,
            })
            .status();
        };
        self.tell(Event::AttemptEnded(AttemptResult {
            request: id,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            elapsed: SERVICE,
            answered: true,
            replayable: true,
            load: LoadReport::default(),
            units: None,
            metered: None,
        }));
        written(Answer::Served(ServerResponse {
            head: ResponseHead::default(),
            body: Bytes::new(),
        }))
        .status()
    }
}
