//! What happened to each request, and the rules that it must keep.

use std::collections::BTreeMap;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEnd {
    /// A complete response with this status and body.
    Response { status: u16, body: Vec<u8> },
    /// The connection ended without a complete response.
    Disconnected,
    /// The client gave it up.
    GivenUp,
}

/// One request, as its client and its servers saw it.
#[derive(Debug, Default)]
struct Record {
    mutating: bool,
    body: Vec<u8>,
    end: Option<ClientEnd>,
    /// Responses of the servers that began to work on it.
    runs: Vec<Vec<u8>>,
    /// Lengths of complete bodies that are not the client's.
    changed_bodies: Vec<usize>,
    /// A head of it reached a server.
    arrived: bool,
}

/// All requests of a seed, by their ids.
#[derive(Default)]
pub struct History {
    requests: BTreeMap<String, Record>,
}

impl History {
    pub fn on_sent(&mut self, id: &str, mutating: bool, body: Vec<u8>) {
        let record = self.requests.entry(id.into()).or_default();
        (record.mutating, record.body) = (mutating, body);
    }

    pub fn on_ended(&mut self, id: &str, end: ClientEnd) {
        self.requests.entry(id.into()).or_default().end = Some(end);
    }

    pub fn on_arrived(&mut self, id: &str) {
        self.requests.entry(id.into()).or_default().arrived = true;
    }

    /// A server has begun to work on a request, which it will answer like this.
    pub fn on_run(&mut self, id: &str, response: Vec<u8>) {
        let record = self.requests.entry(id.into()).or_default();
        record.runs.push(response);
    }

    /// A server has received a complete body.
    pub fn on_body(&mut self, id: &str, body: &[u8]) {
        let record = self.requests.entry(id.into()).or_default();
        if record.body != body {
            record.changed_bodies.push(body.len());
        }
    }

    /// Number of requests that clients have begun to send.
    pub fn begun(&self) -> usize {
        self.requests.len()
    }

    pub fn served(&self) -> usize {
        let is_served = |record: &&Record| {
            matches!(
                record.end,
                Some(ClientEnd::Response {
                    status: 200..=299,
                    ..
                })
            )
        };
        self.requests.values().filter(is_served).count()
    }

    pub fn violations(&self) -> Vec<String> {
        let all = self.requests.iter();
        all.flat_map(|(id, record)| {
            let violations = record.violations();
            violations
                .into_iter()
                .map(move |violation| format!("{id}: {violation}"))
        })
        .collect()
    }
}

impl Record {
    fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        if self.mutating && self.runs.len() > 1 {
            found.push(format!("TWICE: run {} times", self.runs.len()));
        }
        if !self.changed_bodies.is_empty() {
            let (got, sent) = (&self.changed_bodies, self.body.len());
            found.push(format!("UNASKED: bodies of {got:?} for {sent} bytes"));
        }
        match &self.end {
            Some(ClientEnd::Response {
                status: 408 | 421 | 429 | 503,
                ..
            }) if self.mutating && !self.runs.is_empty() => {
                found.push("REFUSED: turned away, and run".into());
            }
            Some(ClientEnd::Response {
                status: 200..=299,
                body,
            }) if !self.runs.contains(body) => {
                found.push(format!("MIXED: {} bytes of no server", body.len()));
            }
            Some(ClientEnd::Disconnected) if self.arrived => {
                found.push("LOST: sent to a server, and not answered".into());
            }
            Some(_) => {}
            None => found.push("not ended".into()),
        }
        found
    }
}
