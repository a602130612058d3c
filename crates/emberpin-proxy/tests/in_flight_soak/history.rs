//! What happened to each request, and the rules that it must keep.

use std::collections::BTreeMap;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEnd {
    /// A complete response.
    Response(ReceivedResponse),
    /// The connection ended without a complete response.
    Disconnected,
    /// The client gave it up.
    GivenUp,
}

/// A complete response, as a client received it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedResponse {
    pub status: u16,
    /// Whether it has a server's seal.
    pub sealed: bool,
    pub body: Vec<u8>,
}

/// One response that a server gives to a request that it began to work on.
#[derive(Clone, Debug, PartialEq)]
struct Run {
    status: u16,
    body: Vec<u8>,
}

/// A request as its client sends it.
#[derive(Clone, Debug, Default)]
pub struct SentRequest {
    /// The request line without the protocol's version.
    pub target: String,
    pub body: Vec<u8>,
}

/// One request, as its client and its servers saw it.
#[derive(Debug, Default)]
struct Record {
    sent: SentRequest,
    /// It was on a mutating route when its client sent it and when a server first received it.
    at_most_once: bool,
    end: Option<ClientEnd>,
    /// The responses of the servers that began to work on it.
    runs: Vec<Run>,
    /// What of it differed from what the client had sent, as servers received it.
    differences: Vec<String>,
    /// A head of it reached a server.
    arrived: bool,
    /// A server ended the connection before its response was complete.
    broken_off: bool,
}

/// All requests of a seed, by their ids.
#[derive(Default)]
pub struct History {
    requests: BTreeMap<String, Record>,
    /// Prefixes of the routes that are mutating now.
    mutating_prefixes: Vec<String>,
}

impl History {
    /// Sets which routes are mutating from now on.
    pub fn set_mutating(&mut self, prefixes: Vec<String>) {
        self.mutating_prefixes = prefixes;
    }

    fn is_mutating(&self, target: &str) -> bool {
        let path = target.split(' ').nth(1).unwrap_or_default();
        self.mutating_prefixes
            .iter()
            .any(|prefix| path.starts_with(prefix))
    }

    pub fn on_sent(&mut self, id: &str, sent: SentRequest) {
        let at_most_once = self.is_mutating(&sent.target);
        let record = self.requests.entry(id.into()).or_default();
        (record.sent, record.at_most_once) = (sent, at_most_once);
    }

    pub fn on_ended(&mut self, id: &str, end: ClientEnd) {
        self.requests.entry(id.into()).or_default().end = Some(end);
    }

    /// A server has received a head of the request.
    pub fn on_arrived(&mut self, id: &str, target: &str) {
        let still_mutating = self.is_mutating(target);
        let record = self.requests.entry(id.into()).or_default();
        if !record.arrived {
            record.at_most_once &= still_mutating;
        }
        record.arrived = true;
        if record.sent.target != target {
            record.differences.push(target.to_string());
        }
    }

    /// A server has begun to work on a request, which it will answer like this.
    pub fn on_run(&mut self, id: &str, status: u16, body: Vec<u8>) {
        let record = self.requests.entry(id.into()).or_default();
        record.runs.push(Run { status, body });
    }

    /// A server has received a complete body.
    pub fn on_body(&mut self, id: &str, body: &[u8]) {
        let record = self.requests.entry(id.into()).or_default();
        if record.sent.body != body {
            let difference = format!("{} bytes of {}", body.len(), record.sent.body.len());
            record.differences.push(difference);
        }
    }

    /// A server breaks off its response.
    pub fn on_broken_off(&mut self, id: &str) {
        self.requests.entry(id.into()).or_default().broken_off = true;
    }

    /// Number of requests that clients have begun to send.
    pub fn begun(&self) -> usize {
        self.requests.len()
    }

    pub fn served(&self) -> usize {
        let is_served = |record: &&Record| {
            let Some(ClientEnd::Response(response)) = &record.end else {
                return false;
            };
            (200..=299).contains(&response.status)
        };
        self.requests.values().filter(is_served).count()
    }

    /// How many requests ended with each status (0: without a response), and how many reached a server.
    pub fn summary(&self) -> String {
        let mut ends: BTreeMap<u16, usize> = BTreeMap::new();
        for record in self.requests.values() {
            let status = match &record.end {
                Some(ClientEnd::Response(response)) => response.status,
                _ => 0,
            };
            *ends.entry(status).or_default() += 1;
        }
        let arrived = self.requests.values().filter(|record| record.arrived);
        format!("{ends:?}, {} at servers", arrived.count())
    }

    pub fn violations(&self) -> Vec<String> {
        let all = self.requests.iter();
        all.flat_map(|(id, record)| {
            let violations = record.violations();
            violations
                .into_iter()
                .map(move |violation| format!("{id} ({}): {violation}", record.sent.target))
        })
        .collect()
    }
}

impl Record {
    fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        if self.at_most_once && self.runs.len() > 1 {
            found.push(format!("TWICE: run {} times", self.runs.len()));
        }
        if !self.differences.is_empty() {
            found.push(format!("UNASKED: {:?}", self.differences));
        }
        match &self.end {
            Some(ClientEnd::Response(response)) => found.extend(self.violation_by(response)),
            Some(ClientEnd::Disconnected) if self.arrived && !self.broken_off => {
                found.push("LOST: sent to a server, and not answered".into());
            }
            Some(_) => {}
            None => found.push("not ended".into()),
        }
        found
    }

    fn violation_by(&self, response: &ReceivedResponse) -> Option<String> {
        let ReceivedResponse {
            status,
            sealed,
            body,
        } = response;
        let is_of_a_run = || {
            let mut runs = self.runs.iter();
            runs.any(|run| run.status == *status && run.body == *body)
        };
        if matches!(status, 408 | 421 | 429 | 503) && self.at_most_once && !self.runs.is_empty() {
            return Some(format!("REFUSED: {status}, and run"));
        }
        if (*sealed || (200..=299).contains(status)) && !is_of_a_run() {
            let length = body.len();
            return Some(format!("MIXED: {status}, {length} bytes of no server"));
        }
        None
    }
}
