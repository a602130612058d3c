//! The stand-in operator: changes the configuration, evacuates a zone, and reads the configuration back.

use crate::configuration::{apply_patch, change_patch, first_patch, items};
use crate::http::{self, HttpResponse};
use crate::record::{Evacuation, Recorder};
use hyper::header::LOCATION;
use hyper::{Method, StatusCode, Uri};
use jzon::JsonValue;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The next registry is called if one does not respond within this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The backoff before the first retry; it doubles with each retry, up to `MAX_BACKOFF`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// The maximum number of redirects that one call follows.
const MAX_REDIRECTS: usize = 2;
/// A command fails if no registry has acknowledged it within this time.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends commands to the registries in turn, and records which ones they acknowledge.
pub struct Operator {
    registries: Vec<SocketAddr>,
    recorder: Recorder,
}

/// Why a command failed: the result of the last attempt.
#[derive(Clone, Debug, thiserror::Error)]
enum CommandError {
    #[error("no registry was called")]
    NotSent,
    #[error("{0} did not answer")]
    NoResponse(SocketAddr),
    #[error("{registry} answered {status}: {body}")]
    Rejected {
        registry: SocketAddr,
        status: u16,
        body: String,
    },
}

impl CommandError {
    /// Whether every registry would reject the command, because the command itself is at fault.
    fn is_final(&self) -> bool {
        match self {
            CommandError::NotSent | CommandError::NoResponse(_) => false,
            CommandError::Rejected { status, .. } => {
                matches!(status, 400 | 404 | 409 | 412 | 413 | 422)
            }
        }
    }
}

impl Operator {
    /// Creates an operator that calls these registries in this order.
    pub fn new(registries: Vec<SocketAddr>, recorder: Recorder) -> Operator {
        Operator {
            registries,
            recorder,
        }
    }

    /// Sends the first configuration; returns the time of the acknowledgement.
    pub async fn send_first_configuration(&self) -> Option<Duration> {
        self.patch("the first configuration", &first_patch()).await
    }

    /// Sends the configuration change; returns the time of the acknowledgement.
    pub async fn change_configuration(&self) -> Option<Duration> {
        self.patch("the change", &change_patch()).await
    }

    async fn patch(&self, command: &str, patch: &JsonValue) -> Option<Duration> {
        let acknowledged_at = self.post(command, "/config/patch", patch.dump()).await?;
        apply_patch(&mut self.recorder.lock().acknowledged_items, patch);
        Some(acknowledged_at)
    }

    /// Begins the evacuation of a zone; returns the time of the acknowledgement. No request may reach the zone once
    /// `bound` has passed since then.
    pub async fn begin_evacuation(&self, zone: &str, bound: Duration) -> Option<Duration> {
        let path = format!("/evac/{zone}/begin");
        let acknowledged_at = self.post("the evacuation", &path, String::new()).await?;
        self.recorder.lock().evacuations.push(Evacuation {
            zone: zone.into(),
            acknowledged_at,
            bound,
            finish_requested_at: None,
        });
        Some(acknowledged_at)
    }

    /// Ends the evacuation of a zone; returns the time of the request.
    pub async fn finish_evacuation(&self, zone: &str) -> Duration {
        let requested_at = self.recorder.now();
        // Recorded before the request is sent, because requests may reach the zone before the acknowledgement is
        // received.
        for evacuation in &mut self.recorder.lock().evacuations {
            if evacuation.zone == zone {
                evacuation.finish_requested_at = Some(requested_at);
            }
        }
        let path = format!("/evac/{zone}/finish");
        self.post("the evacuation's end", &path, String::new())
            .await;
        requested_at
    }

    /// Reads the configuration back into the record.
    pub async fn read_back(&self) {
        let body = self.call(Method::GET, "/config/get", String::new()).await;
        let configuration = body.ok().and_then(|body| jzon::parse(&body).ok());
        self.recorder.lock().read_back = configuration.as_ref().map(items);
    }

    /// Sends a command until it is acknowledged or rejected; returns the time of the acknowledgement.
    async fn post(&self, command: &str, path: &str, body: String) -> Option<Duration> {
        match self.call(Method::POST, path, body).await {
            Ok(_) => Some(self.recorder.now()),
            Err(error) => {
                let mut record = self.recorder.lock();
                let command = format!("{command} ({error})");
                record.unacknowledged_commands.push(command);
                None
            }
        }
    }

    /// Calls one registry after the other until one acknowledges or finally rejects the command; returns the body of
    /// the 2xx response.
    async fn call(&self, method: Method, path: &str, body: String) -> Result<String, CommandError> {
        let started_at = Instant::now();
        let mut backoff = INITIAL_BACKOFF;
        let mut last_error = CommandError::NotSent;
        for registry in self.registries.iter().cycle() {
            if started_at.elapsed() >= COMMAND_TIMEOUT {
                break;
            }
            let (method, body) = (method.clone(), body.clone());
            let response = call_following_redirects(*registry, method, path, body).await;
            match success_body(*registry, response) {
                Ok(body) => return Ok(body),
                Err(error) => last_error = error,
            }
            if last_error.is_final() {
                break;
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        Err(last_error)
    }
}

/// Calls a registry and follows its redirects.
async fn call_following_redirects(
    registry: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> Option<HttpResponse> {
    let (mut registry, mut path) = (registry, path.to_string());
    for _ in 0..MAX_REDIRECTS {
        let (method, body) = (method.clone(), body.clone());
        let response = http::call(registry, method, &path, body, CALL_TIMEOUT).await?;
        let Some(location) = redirect_target(&response) else {
            return Some(response);
        };
        registry = location.authority()?.as_str().parse().ok()?;
        path = location.path_and_query()?.to_string();
    }
    http::call(registry, method, &path, body, CALL_TIMEOUT).await
}

/// The target of a 307 response.
fn redirect_target(response: &HttpResponse) -> Option<Uri> {
    if response.status != StatusCode::TEMPORARY_REDIRECT.as_u16() {
        return None;
    }
    response.header(LOCATION.as_str())?.parse().ok()
}

fn success_body(
    registry: SocketAddr,
    response: Option<HttpResponse>,
) -> Result<String, CommandError> {
    let response = response.ok_or(CommandError::NoResponse(registry))?;
    let body = String::from_utf8_lossy(&response.body).trim().to_string();
    if response.is_success() {
        return Ok(body);
    }
    Err(CommandError::Rejected {
        registry,
        status: response.status,
        body,
    })
}
