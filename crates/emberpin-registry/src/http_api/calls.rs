//! The calls of the HTTP API.
//!
//! Heartbeats and the status are answered by the event loop; changes and reads of the configuration are passed to the
//! stores, or redirected to a registry that can have them confirmed.

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

/// The longest body of a configuration change: with its request, it fits into one frame to a store.
const MAX_CHANGE_BYTES: usize = (8 << 20) - 1024;
/// The longest body of any other call.
const MAX_BODY_BYTES: usize = 64 << 10;
/// A server's call is answered within this time: after a second without a response the server calls another registry.
const HEARTBEAT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// As [`OPERATOR_CALL_TIMEOUT`], for changes with a body of [`LARGE_CHANGE_BYTES`] or more, for which clients wait longer.
const LARGE_CHANGE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
const LARGE_CHANGE_BYTES: usize = 16 << 10;
/// KiB of changes that may be in flight at once, being read or passed on: enough for two of the largest, and for one of
/// less than 6 KiB on every connection, so that small ones never wait for one another.
const MAX_CHANGE_KIB_IN_FLIGHT: usize = 20 << 10;

/// Carries calls out.
pub struct Calls {
    commands: CommandSender,
    stores: Arc<StoreClient>,
    /// The port of the HTTP API, the same on all core machines.
    ctl_port: u16,
    /// Carries out the calls of applications; `None` if there are none in this deployment.
    coordination: Option<CoordinationClient>,
    /// A permit for each KiB of changes in flight.
    change_permits: Semaphore,
}

/// Why a call is rejected.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Its body could not be read.
    #[error(transparent)]
    Body(#[from] RequestBodyError),
    /// Its body is no heartbeat.
    #[error(transparent)]
    Heartbeat(#[from] InvalidHeartbeat),
    /// Its body or query is no operation on a lock, a counter or a cell.
    #[error(transparent)]
    Operation(#[from] InvalidOperation),
    /// Applications cannot call for locks, counters and cells in this deployment.
    #[error("there is no such call")]
    NoCoordination,
}

impl CallError {
    /// The status that the client is answered with.
    pub fn status(&self) -> StatusCode {
        match self {
            CallError::Body(error) => error.status(),
            CallError::Heartbeat(_) | CallError::Operation(_) => StatusCode::BAD_REQUEST,
            CallError::NoCoordination => StatusCode::NOT_FOUND,
        }
    }
}

impl Calls {
    /// Calls that go to the event loop by `commands`, and to `stores`; those of applications by `coordination`.
    pub fn new(
        commands: CommandSender,
        stores: Arc<StoreClient>,
        coordination: Option<CoordinationClient>,
        ctl_port: u16,
    ) -> Calls {
        Calls {
            commands,
            stores,
            ctl_port,
            coordination,
            change_permits: Semaphore::new(MAX_CHANGE_KIB_IN_FLIGHT),
        }
    }

    /// Carries a call out. `subject` is the instance's id or the zone in its path.
    ///
    /// # Errors
    ///
    /// `CallError` if the body of the request cannot be used.
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
        let (response, answer) = oneshot::channel();
        self.commands
            .send(Command::Heartbeat { instance, response })
            .await;
        Ok(match timeout(HEARTBEAT_RESPONSE_TIMEOUT, answer).await {
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
        let (response, answer) = oneshot::channel();
        self.commands
            .send(Command::Leave {
                instance_id,
                response,
            })
            .await;
        Ok(match timeout(HEARTBEAT_RESPONSE_TIMEOUT, answer).await {
            Ok(Ok(ServerReply::Acknowledged { .. })) => response::empty(),
            _ => response::unavailable(),
        })
    }

    async fn patch_config(&self, uri: &Uri, body: Incoming) -> Result<HttpResponse, CallError> {
        // Held until the stores have responded, and taken before the body is read: it bounds the memory that
        // bodies take.
        let permits = self.change_permits.acquire_many(change_permits(&body));
        let Ok(Ok(_permits)) = timeout(OPERATOR_CALL_TIMEOUT, permits).await else {
            return Ok(response::unavailable());
        };
        let body = request_body::read(body, MAX_CHANGE_BYTES).await?;
        if let Some(response) = self.redirect(uri).await {
            return Ok(response);
        }
        let within = if body.len() < LARGE_CHANGE_BYTES {
            OPERATOR_CALL_TIMEOUT
        } else {
            LARGE_CHANGE_RESPONSE_TIMEOUT
        };
        let request = |id| StoreRequest::Patch {
            id,
            body: body.clone(),
        };
        Ok(self
            .call_stores(within, response::plain_text, request)
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

    /// Has an operation of an application carried out.
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
        let operation = coordination::operation(call, subject, uri, &body)?;
        Ok(coordination::respond(client.call(operation).await))
    }

    async fn status(&self) -> HttpResponse {
        let (response, status) = oneshot::channel();
        self.commands
            .send(Command::Status {
                local_disk: self.stores.local_disk(),
                response,
            })
            .await;
        match status.await {
            Ok(status) => response::json(StatusCode::OK, status),
            Err(_) => response::unavailable(),
        }
    }

    /// The response to a call that this registry cannot serve, as its store has confirmed nothing recently: 307 to a
    /// peer that could at its last heartbeat; 503 if there is none, or if the call was redirected already. `None` if
    /// this registry serves it.
    async fn redirect(&self, uri: &Uri) -> Option<HttpResponse> {
        let (response, target) = oneshot::channel();
        self.commands
            .send(Command::FindOperatorCallTarget { response })
            .await;
        match target.await {
            Ok(OperatorCallTarget::Local) => None,
            Ok(OperatorCallTarget::Peer(peer)) if !CallQuery::of(uri).is_redirected() => {
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

    async fn evacuation_step(&self, uri: &Uri, zone: &str) -> Option<EvacuationStep> {
        let (response, step) = oneshot::channel();
        self.commands
            .send(Command::FindEvacuationStep {
                zone: zone.to_string(),
                stated: CallQuery::of(uri).evacuation_version,
                response,
            })
            .await;
        step.await.ok()
    }

    /// Passes a call to the stores. `on_success` makes the response of a 200; other responses are plain text.
    async fn call_stores(
        &self,
        within: Duration,
        on_success: fn(StatusCode, String) -> HttpResponse,
        build_request: impl Fn(RequestId) -> StoreRequest,
    ) -> HttpResponse {
        let Some(stored) = self.stores.call(within, build_request).await else {
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

/// 307 to the address that the caller has called, with the version of the zone's evacuation.
fn redirect_with_version(head: &Parts, version: Version) -> HttpResponse {
    let called = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let Some(called) = called else {
        return response::unavailable();
    };
    let query = CallQuery::of(&head.uri).with_evacuation_version(version);
    redirect_to(called, &head.uri, query, "send it with this version\n")
}

/// 307 to a registry.
fn redirect_to(registry: &str, uri: &Uri, query: CallQuery, reason: &str) -> HttpResponse {
    let location = format!("http://{registry}{}?{query}", uri.path());
    let Ok(location) = HeaderValue::try_from(location) else {
        return response::unavailable();
    };
    let mut response = response::plain_text(StatusCode::TEMPORARY_REDIRECT, reason.into());
    response.headers_mut().insert(LOCATION, location);
    response
}

/// How many permits a change needs: one for each begun KiB of its announced length, or of the longest one.
fn change_permits(body: &Incoming) -> u32 {
    let announced = body.size_hint().upper();
    let length = announced
        .map_or(MAX_CHANGE_BYTES, |length| length as usize)
        .min(MAX_CHANGE_BYTES);
    length as u32 / 1024 + 1
}
