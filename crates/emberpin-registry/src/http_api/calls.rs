//! Carries out the calls of the HTTP API.
//!
//! The event loop answers heartbeats and status calls. Changes and reads of the configuration are forwarded to the
//! stores, or redirected to another registry if no majority has recently confirmed this one's store. Operations of
//! applications are sent to the stores.

use super::call_query::CallQuery;
use super::coordination::{self, ApplicationCall, InvalidOperation};
use super::heartbeat_body::{self, InvalidHeartbeat};
use super::request_body::{self, RequestBodyError};
use super::response::{self, HttpResponse};
use super::route::Route;
use crate::commands::{Command, CommandSender};
use crate::coordination_client::CoordinationClient;
use crate::store_client::StoreClient;
use emberpin_config::Version;
use emberpin_consensus::EvacuationChange;
use emberpin_membership::registry::{EvacuationStep, OperatorCallTarget, ServerReply};
use emberpin_membership::timing::OPERATOR_CALL_TIMEOUT;
use emberpin_store::protocol::{RequestId, StoreRequest};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, HOST, LOCATION};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode, Uri};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, Semaphore};
use tokio::time::timeout;

/// The most bytes of a configuration change's body: with the rest of its request, it fits into one message to a store.
const MAX_CHANGE_BYTES: usize = (8 << 20) - 1024;
/// The most bytes of any other call's body.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The time-out of a server's call: after a second without a response the server calls another registry.
const HEARTBEAT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// The time-out of a large change, in place of [`OPERATOR_CALL_TIMEOUT`]; clients wait longer for such changes.
const LARGE_CHANGE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// A change whose body has this many bytes or more is large.
const LARGE_CHANGE_BYTES: usize = 16 << 10;
/// The most KiB of changes in flight, that is, being read or forwarded to the stores: enough for two changes of the
/// maximum length, and for one of less than 6 KiB on every connection, so that small changes never wait for one
/// another.
const MAX_CHANGE_KIB_IN_FLIGHT: usize = 20 << 10;

/// Carries out calls.
pub struct CallHandler {
    commands: CommandSender,
    store_client: Arc<StoreClient>,
    /// The port of the HTTP API, the same on all machines that run a registry.
    ctl_port: u16,
    /// Carries out the calls of applications; `None` if the settings do not enable coordination.
    coordination: Option<CoordinationClient>,
    /// One permit for each KiB of changes that may be in flight.
    change_permits: Semaphore,
}

/// Why a call is rejected.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The body could not be read.
    #[error(transparent)]
    Body(#[from] RequestBodyError),
    /// The body is not a heartbeat.
    #[error(transparent)]
    Heartbeat(#[from] InvalidHeartbeat),
    /// The body or query is not an operation on a lock, a counter or a cell.
    #[error(transparent)]
    Operation(#[from] InvalidOperation),
    /// The settings do not enable coordination, so there are no calls for locks, counters and cells.
    #[error("there is no such call")]
    NoCoordination,
}

impl CallError {
    /// The status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            CallError::Body(error) => error.status(),
            CallError::Heartbeat(_) | CallError::Operation(_) => StatusCode::BAD_REQUEST,
            CallError::NoCoordination => StatusCode::NOT_FOUND,
        }
    }
}

impl CallHandler {
    /// Creates a handler that sends calls to the event loop with `commands`, and forwards them with `store_client` or,
    /// those of applications, with `coordination`. `ctl_port` is the port of the HTTP API, the same on all machines
    /// that run a registry.
    pub fn new(
        commands: CommandSender,
        store_client: Arc<StoreClient>,
        coordination: Option<CoordinationClient>,
        ctl_port: u16,
    ) -> CallHandler {
        CallHandler {
            commands,
            store_client,
            ctl_port,
            coordination,
            change_permits: Semaphore::new(MAX_CHANGE_KIB_IN_FLIGHT),
        }
    }

    /// Carries out a call. `subject` is the name in the path: the id of an instance, a zone, or the name of a lock,
    /// counter, cell or group of cells.
    ///
    /// # Errors
    ///
    /// `CallError` if the request's body or query is invalid, or coordination is not enabled.
    pub async fn call(
        &self,
        route: Route,
        subject: &str,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, CallError> {
        let (head, body) = request.into_parts();
        match route {
            Route::Heartbeat => self.heartbeat(subject, body).await,
            Route::Leave => self.leave(subject, body).await,
            Route::PatchConfig => self.patch_config(&head.uri, body).await,
            Route::GetConfig => Ok(self.get_config(&head.uri).await),
            Route::BeginEvacuation => {
                self.evacuate(&head, subject, EvacuationChange::Begin, body)
                    .await
            }
            Route::FinishEvacuation => {
                self.evacuate(&head, subject, EvacuationChange::End, body)
                    .await
            }
            Route::Application(call) => self.coordinate(call, subject, &head.uri, body).await,
            Route::Status => Ok(self.status().await),
        }
    }

    async fn heartbeat(
        &self,
        instance_id: &str,
        body: Incoming,
    ) -> Result<HttpResponse, CallError> {
        let body = request_body::read(body, MAX_BODY_BYTES).await?;
        let instance = heartbeat_body::parse(instance_id, &body)?;
        let (responder, reply) = oneshot::channel();
        self.commands
            .send(Command::Heartbeat {
                instance,
                responder,
            })
            .await;
        Ok(match timeout(HEARTBEAT_RESPONSE_TIMEOUT, reply).await {
            Ok(Ok(ServerReply::Acknowledged { heartbeat_target })) => {
                let body = format!("{{\"hb_addr\":\"{heartbeat_target}:{}\"}}", self.ctl_port);
                response::json(StatusCode::OK, body)
            }
            _ => response::unavailable(),
        })
    }

    async fn leave(&self, instance_id: &str, body: Incoming) -> Result<HttpResponse, CallError> {
        request_body::read(body, MAX_BODY_BYTES).await?;
        let instance_id = instance_id.to_string();
        let (responder, reply) = oneshot::channel();
        self.commands
            .send(Command::Leave {
                instance_id,
                responder,
            })
            .await;
        Ok(match timeout(HEARTBEAT_RESPONSE_TIMEOUT, reply).await {
            Ok(Ok(ServerReply::Acknowledged { .. })) => response::empty(),
            _ => response::unavailable(),
        })
    }

    async fn patch_config(&self, uri: &Uri, body: Incoming) -> Result<HttpResponse, CallError> {
        // Acquired before the body is read, and released when the stores have responded: this bounds the memory that
        // bodies use.
        let permits = self.change_permits.acquire_many(change_permits(&body));
        let Ok(Ok(_permits)) = timeout(OPERATOR_CALL_TIMEOUT, permits).await else {
            return Ok(response::unavailable());
        };
        let body = request_body::read(body, MAX_CHANGE_BYTES).await?;
        if let Some(response) = self.redirect(uri).await {
            return Ok(response);
        }
        let time_limit = if body.len() < LARGE_CHANGE_BYTES {
            OPERATOR_CALL_TIMEOUT
        } else {
            LARGE_CHANGE_RESPONSE_TIMEOUT
        };
        let request = |id| StoreRequest::Patch {
            id,
            body: body.clone(),
        };
        Ok(self
            .call_stores(time_limit, response::plain_text, request)
            .await)
    }

    async fn get_config(&self, uri: &Uri) -> HttpResponse {
        if let Some(response) = self.redirect(uri).await {
            return response;
        }
        let request = |id| StoreRequest::Get { id };
        self.call_stores(OPERATOR_CALL_TIMEOUT, response::json, request)
            .await
    }

    async fn evacuate(
        &self,
        head: &Parts,
        zone: &str,
        change: EvacuationChange,
        body: Incoming,
    ) -> Result<HttpResponse, CallError> {
        request_body::read(body, MAX_BODY_BYTES).await?;
        if let Some(response) = self.redirect(&head.uri).await {
            return Ok(response);
        }
        let precondition = match self.evacuation_step(&head.uri, zone).await {
            Some(EvacuationStep::Forward(version)) => version,
            Some(EvacuationStep::Redirect(version)) => {
                return Ok(redirect_with_version(head, version));
            }
            None => return Ok(response::unavailable()),
        };
        let request = |id| StoreRequest::ChangeEvacuation {
            id,
            zone: zone.to_string(),
            change,
            precondition,
        };
        Ok(self
            .call_stores(OPERATOR_CALL_TIMEOUT, response::plain_text, request)
            .await)
    }

    /// Carries out an operation of an application.
    async fn coordinate(
        &self,
        call: ApplicationCall,
        subject: &str,
        uri: &Uri,
        body: Incoming,
    ) -> Result<HttpResponse, CallError> {
        let body = request_body::read(body, MAX_BODY_BYTES).await?;
        let Some(client) = &self.coordination else {
            return Err(CallError::NoCoordination);
        };
        let operation = coordination::parse_operation(call, subject, uri, &body)?;
        Ok(coordination::respond(client.call(operation).await))
    }

    async fn status(&self) -> HttpResponse {
        let (responder, status) = oneshot::channel();
        self.commands
            .send(Command::Status {
                local_disk: self.store_client.local_disk(),
                responder,
            })
            .await;
        match status.await {
            Ok(status) => response::json(StatusCode::OK, status),
            Err(_) => response::unavailable(),
        }
    }

    /// Returns `None` if this registry can serve the call. Otherwise its store has confirmed nothing recently, and the
    /// response is 307 to a peer that could serve calls at its last heartbeat, or 503 if there is none or the call was
    /// already redirected.
    async fn redirect(&self, uri: &Uri) -> Option<HttpResponse> {
        let (responder, target) = oneshot::channel();
        self.commands
            .send(Command::FindOperatorCallTarget { responder })
            .await;
        match target.await {
            Ok(OperatorCallTarget::Local) => None,
            Ok(OperatorCallTarget::Peer(peer)) if !CallQuery::from_uri(uri).is_redirected() => {
                let registry = SocketAddr::from((peer, self.ctl_port));
                let query = CallQuery::redirected_to_peer();
                Some(redirect_to(
                    &registry.to_string(),
                    uri,
                    query,
                    "no majority is heard here\n",
                ))
            }
            _ => Some(response::unavailable()),
        }
    }

    /// Asks the event loop how to proceed with a change of a zone's evacuation; `None` if the loop has ended.
    async fn evacuation_step(&self, uri: &Uri, zone: &str) -> Option<EvacuationStep> {
        let (responder, step) = oneshot::channel();
        self.commands
            .send(Command::FindEvacuationStep {
                zone: zone.to_string(),
                requested_version: CallQuery::from_uri(uri).evacuation_version,
                responder,
            })
            .await;
        step.await.ok()
    }

    /// Forwards a call to the stores, and waits for a response up to `time_limit`. `on_success` builds the response of
    /// status 200; all others are plain text.
    async fn call_stores(
        &self,
        time_limit: Duration,
        on_success: fn(StatusCode, String) -> HttpResponse,
        build_request: impl Fn(RequestId) -> StoreRequest,
    ) -> HttpResponse {
        let Some(stored) = self.store_client.call(time_limit, build_request).await else {
            return response::unavailable();
        };
        let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
        match status {
            StatusCode::SERVICE_UNAVAILABLE => response::unavailable_because(&stored.body),
            StatusCode::OK => on_success(status, stored.body),
            _ => response::plain_text(status, stored.body),
        }
    }
}

/// The response 307 to the address that the caller has used, with the version of the zone's evacuation in the query.
fn redirect_with_version(head: &Parts, version: Version) -> HttpResponse {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let Some(host) = host else {
        return response::unavailable();
    };
    let query = CallQuery::from_uri(&head.uri).with_evacuation_version(version);
    redirect_to(host, &head.uri, query, "send it with this version\n")
}

/// The response 307 to a registry, named by its host and port.
fn redirect_to(host: &str, uri: &Uri, query: CallQuery, reason: &str) -> HttpResponse {
    let location = format!("http://{host}{}?{query}", uri.path());
    let Ok(location) = HeaderValue::try_from(location) else {
        return response::unavailable();
    };
    let mut response = response::plain_text(StatusCode::TEMPORARY_REDIRECT, reason.into());
    response.headers_mut().insert(LOCATION, location);
    response
}

/// The number of permits that a change needs: its announced length in whole KiB, plus one. Without an announced length
/// the maximum counts.
fn change_permits(body: &Incoming) -> u32 {
    let announced = body.size_hint().upper();
    let length = announced
        .map_or(MAX_CHANGE_BYTES, |length| length as usize)
        .min(MAX_CHANGE_BYTES);
    length as u32 / 1024 + 1
}
