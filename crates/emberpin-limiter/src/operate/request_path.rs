//! A request's path through the limiter without sockets, to count the instructions it takes: admission, decision and
//! response as the limiter runs them, with simulated servers that answer every request at once.

use crate::front::admission::Admission;
use crate::front::answers::client_response;
use crate::front::clients::remove_hop_by_hop_headers;
use crate::messages::{Answer, ResponseHead, ServerResponse};
use crate::operate::config::Config;
use crate::operate::operator::OperatorSettings;
use crate::upstream::endpoint_list::Entry as ListEntry;
use bytes::Bytes;
use emberpin_balancer::{
    Action, AttemptResult, Event, Gateway, GatewaySet, LoadReport, MembershipUpdate, Millis,
    Outcome, RequestId,
};
use http_body_util::Full;
use hyper::{Request, StatusCode};

/// The response time that the servers simulate, on a clock that only requests advance.
const SERVICE_TIME: Millis = 20.0;
/// How far each request advances the clock.
const REQUEST_INTERVAL: Millis = 1.0;
/// Interval of the decision module's housekeeping timer.
const HOUSEKEEPING_INTERVAL: Millis = 100.0;

/// Admission and decisions of one limiter.
pub struct RequestPath {
    admission: Admission,
    gateway: Gateway,
    now: Millis,
    last_housekeeping: Millis,
    next_id: u32,
    actions: Vec<Action>,
}

impl RequestPath {
    /// Creates a limiter from the file that `GW_CONFIG` names, with the servers listed there.
    ///
    /// # Errors
    ///
    /// Those of [`Config::from_env`].
    pub fn from_env() -> Result<RequestPath, String> {
        let config = Config::from_env(&OperatorSettings::default())?;
        let servers = config
            .initial_list
            .targets
            .iter()
            .filter_map(|entry| match entry {
                ListEntry::Target(target) => target.server(&config.names).ok(),
                ListEntry::Garbled(_) => None,
            });
        let servers = servers.collect();
        let admission = Admission::new(&config);
        let (gateway, now) = (Gateway::new(config.settings, config.seed, 0.0), 0.0);
        let mut path = RequestPath {
            admission,
            gateway,
            now,
            last_housekeeping: now,
            next_id: 0,
            actions: Vec::new(),
        };
        path.handle_event(Event::Membership(MembershipUpdate::Full(servers)));
        Ok(path)
    }

    fn handle_event(&mut self, event: Event) {
        self.actions.clear();
        self.gateway.handle(self.now, event, &mut self.actions);
    }

    /// Handles one request, from its head to the head of its response, and returns the response's status.
    pub fn exchange(&mut self, request: Request<Full<Bytes>>) -> StatusCode {
        self.now += REQUEST_INTERVAL;
        if self.now >= self.last_housekeeping + HOUSEKEEPING_INTERVAL {
            self.last_housekeeping = self.now;
            self.handle_event(Event::Timer { token: 0 });
        }
        let admitted = match self.admission.check(&request) {
            Ok(admitted) => admitted,
            Err(status) => return status,
        };
        let mut headers = request.into_parts().0.headers;
        remove_hop_by_hop_headers(&mut headers);
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        self.handle_event(Event::Request(emberpin_balancer::Request {
            id,
            class: admitted.class,
            plan: admitted.plan,
            customer: admitted.customer,
            remaining: admitted.time_limit.as_secs_f64() * 1000.0,
            units: admitted.units,
            gateways: GatewaySet {
                first: admitted.set_first,
                size: admitted.set_size,
            },
            prior_attempt: None,
        }));
        let sent = self.actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        let Some(server) = sent else {
            return client_response(Answer::Rejected {
                retry_after: SERVICE_TIME,
            })
            .status();
        };
        self.handle_event(Event::AttemptEnded(AttemptResult {
            request: id,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            elapsed: SERVICE_TIME,
            answered: true,
            replayable: true,
            load: LoadReport::default(),
            units: None,
            metered: None,
        }));
        client_response(Answer::Served(ServerResponse {
            head: ResponseHead::default(),
            body: Bytes::new(),
        }))
        .status()
    }
}
