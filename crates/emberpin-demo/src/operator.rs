//! The stand-in operator: sends configurations, evacuates a zone, and reads the configuration back.

use crate::configuration::{apply_patch, change_patch, first_patch, items};
use crate::http::{self, HttpResponse};
use crate::record::{Evacuation, Recorder};
use hyper::header::LOCATION;
use hyper::{Method, StatusCode, Uri};
use jzon::JsonValue;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// A registry that does not respond in this time is passed over.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The backoff before the first retry; each is twice the one before, up to the longest.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// How many redirects of one call are followed.
const MAX_REDIRECTS: usize = 2;
/// A command that no registry has acknowledged by then is given up.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls the registries in turn, and records what they acknowledge.
pub struct Operator {
    registries: Vec<SocketAddr>,
    recorder: Recorder,
}

/// Why a command has no success: what the last registry said.
#[derive(Clone, Debug, thiserror::Error)]
enum CommandError {
    #[error("nobody was asked")]
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
    /// Whether every registry would respond so: the command itself is at fault.
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
    /// An operator who calls these registries, the first one first.
    pub fn new(registries: Vec<SocketAddr>, recorder: Recorder) -> Operator {
        Operator {
            registries,
            recorder,
        }
    }

    /// Sends the first configuration; returns when it was acknowledged.
    pub async fn send_first_configuration(&self) -> Option<Duration> {
        self.patch("the first configuration", &first_patch()).await
    }

    /// Sends the configuration change; returns when it was acknowledged.
    pub async fn change_configuration(&self) -> Option<Duration> {
        self.patch("the change", &change_patch()).await
    }

    async fn patch(&self, command: &str, patch: &JsonValue) -> Option<Duration> {
        let acknowledged_at = self.post(command, "/config/patch", patch.dump()).await?;
        apply_patch(&mut self.recorder.lock().acknowledged_items, patch);
        Some(acknowledged_at)
    }

    /// Evacuates a zone, which no request may reach once `bound` has passed since the acknowledgement; returns when
    /// that was.
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

    /// Ends the evacuation of a zone; returns when that was asked for.
    pub async fn finish_evacuation(&self, zone: &str) -> Duration {
        let requested_at = self.recorder.now();
        // Recorded first: requests may reach the zone before the acknowledgement comes.
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

    /// Sends a command until it is acknowledged or rejected; returns when it was acknowledged.
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

    /// Calls one registry after the other until one has a clear answer; returns the body of a success.
    async fn call(&self, method: Method, path: &str, body: String) -> Result<String, CommandError> {
        let began = Instant::now();
        let mut backoff = INITIAL_BACKOFF;
        let mut last_error = CommandError::NotSent;
        for registry in self.registries.iter().cycle() {
            if began.elapsed() >= COMMAND_TIMEOUT {
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

/// Calls a registry, and what it redirects to.
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

/// Where a response redirects to.
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
