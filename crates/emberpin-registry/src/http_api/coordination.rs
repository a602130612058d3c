//! The calls of applications for locks, counters and cells: parses their bodies and queries into operations, and turns
//! the outcomes of operations into responses.
//!
//! In bodies, `hold` is the lease of a lock, `fence` its fencing token, `val` a value and `rev` a revision.

use super::response::{self, HttpResponse};
use super::route::percent_decode;
use crate::coordination_client::OperationResult;
use emberpin_coordination::{CellEvent, FencingToken, HeldLock, Operation, Outcome, Revision};
use emberpin_runtime::settings::parse_duration;
use hyper::{StatusCode, Uri};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The most bytes of a cell's value, and of an owner's name.
const MAX_TEXT_BYTES: usize = 512;
/// The longest lease of a lock.
const MAX_LEASE: Duration = Duration::from_secs(3_600);
/// The longest time that a watch waits.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Why a call of an application is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidOperation {
    /// The body is not JSON with the fields of the call.
    #[error("body: {0}")]
    Body(#[from] serde_json::Error),
    /// The value of a field is invalid.
    #[error("{field}: expected {expected}")]
    Field {
        /// The field's name.
        field: &'static str,
        /// The values that are valid.
        expected: &'static str,
    },
}

#[derive(Deserialize)]
struct BeginBody {
    owner: String,
    #[serde(rename = "hold")]
    lease: String,
}

#[derive(Deserialize)]
struct HeartbeatBody {
    owner: String,
    fence: FencingToken,
    #[serde(rename = "hold")]
    lease: String,
}

#[derive(Deserialize)]
struct FinishBody {
    owner: String,
    fence: FencingToken,
}

#[derive(Deserialize)]
struct PutBody {
    val: String,
    /// If present, the cell is written only while it has this revision.
    when: Option<Revision>,
}

/// A call of an application.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplicationCall {
    /// `POST /locks/ID/begin`.
    AcquireLock,
    /// `POST /locks/ID/heartbeat`.
    RenewLock,
    /// `POST /locks/ID/finish`.
    ReleaseLock,
    /// `POST /numbers/ID`.
    NextNumber,
    /// `POST /cells/ID/put`.
    PutCell,
    /// `GET /cells/ID/get`.
    GetCell,
    /// `GET /watch/ID`.
    WatchGroup,
    /// `GET /locks`, of operators.
    ListLocks,
}

impl ApplicationCall {
    /// The call's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ApplicationCall::AcquireLock => "lock_begin",
            ApplicationCall::RenewLock => "lock_heartbeat",
            ApplicationCall::ReleaseLock => "lock_finish",
            ApplicationCall::NextNumber => "number",
            ApplicationCall::PutCell => "cell_put",
            ApplicationCall::GetCell => "cell_get",
            ApplicationCall::WatchGroup => "watch",
            ApplicationCall::ListLocks => "lock_list",
        }
    }
}

/// Parses the operation that a call requests. `subject` is the name in the path of the call.
///
/// # Errors
///
/// [`InvalidOperation`] names the field that is invalid.
pub fn parse_operation(
    call: ApplicationCall,
    subject: &str,
    uri: &Uri,
    body: &[u8],
) -> Result<Operation, InvalidOperation> {
    let name = subject.to_string();
    Ok(match call {
        ApplicationCall::AcquireLock => {
            let BeginBody { owner, lease } = parse_body(body)?;
            Operation::AcquireLock {
                lock: name,
                owner: check_length("owner", owner)?,
                lease: parse_lease(&lease)?,
            }
        }
        ApplicationCall::RenewLock => {
            let HeartbeatBody {
                owner,
                fence,
                lease,
            } = parse_body(body)?;
            Operation::RenewLock {
                lock: name,
                owner: check_length("owner", owner)?,
                fence,
                lease: parse_lease(&lease)?,
            }
        }
        ApplicationCall::ReleaseLock => {
            let FinishBody { owner, fence } = parse_body(body)?;
            Operation::ReleaseLock {
                lock: name,
                owner: check_length("owner", owner)?,
                fence,
            }
        }
        ApplicationCall::NextNumber => Operation::NextNumber { counter: name },
        ApplicationCall::PutCell => {
            let PutBody { val, when } = parse_body(body)?;
            Operation::PutCell {
                cell: name,
                value: check_length("val", val)?,
                expected: when,
            }
        }
        ApplicationCall::GetCell => Operation::GetCell { cell: name },
        ApplicationCall::WatchGroup => Operation::WatchGroup {
            group: name,
            after: Revision(query_number(uri, "after")?),
            wait: Duration::from_millis(query_number(uri, "wait_ms")?).min(MAX_WATCH_WAIT),
        },
        ApplicationCall::ListLocks => Operation::ListLocks {
            after: query_text(uri, "after")?,
        },
    })
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, InvalidOperation> {
    Ok(serde_json::from_slice(body)?)
}

/// Checks the length of a text.
fn check_length(field: &'static str, text: String) -> Result<String, InvalidOperation> {
    if text.len() > MAX_TEXT_BYTES {
        let expected = "at most 512 bytes";
        return Err(InvalidOperation::Field { field, expected });
    }
    Ok(text)
}

fn parse_lease(text: &str) -> Result<Duration, InvalidOperation> {
    parse_duration(text)
        .filter(|lease| !lease.is_zero() && *lease <= MAX_LEASE)
        .ok_or(InvalidOperation::Field {
            field: "hold",
            expected: "a time such as 3000ms, up to 3600s",
        })
}

/// The value of a query field, with its `%` escapes.
fn query_field<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let mut fields = uri.query().unwrap_or_default().split('&');
    fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

/// The decoded value of a query field; empty if the field is absent.
fn query_text(uri: &Uri, name: &'static str) -> Result<String, InvalidOperation> {
    let value = query_field(uri, name).unwrap_or_default();
    let text = percent_decode(value).ok_or(InvalidOperation::Field {
        field: name,
        expected: "a text in UTF-8 with % escapes",
    })?;
    Ok(text.into_owned())
}

/// The number in a query field; 0 if the field is absent.
fn query_number(uri: &Uri, name: &'static str) -> Result<u64, InvalidOperation> {
    let Some(value) = query_field(uri, name) else {
        return Ok(0);
    };
    value.parse().map_err(|_| InvalidOperation::Field {
        field: name,
        expected: "a whole number",
    })
}

#[derive(Serialize)]
struct TokenBody {
    fence: FencingToken,
}

#[derive(Serialize)]
struct NumberBody {
    val: u64,
}

#[derive(Serialize)]
struct RevisionBody {
    rev: Revision,
}

#[derive(Serialize)]
struct CellBody {
    val: String,
    rev: Revision,
}

#[derive(Serialize)]
struct EventBody {
    name: String,
    val: String,
    rev: Revision,
}

#[derive(Serialize)]
struct EventsBody {
    events: Vec<EventBody>,
    rev: Revision,
}

/// A lock that is held, in the format that `emberpinctl` reads.
#[derive(Serialize)]
struct LockBody {
    name: String,
    owner: String,
    fence: FencingToken,
    hold_ms: u64,
    known_for_ms: u64,
}

#[derive(Serialize)]
struct LocksBody {
    locks: Vec<LockBody>,
    /// The value of `after` in the next call, which lists the locks that follow; absent if there are none.
    #[serde(skip_serializing_if = "Option::is_none")]
    next_after: Option<String>,
}

/// Builds the response to a call. 412, 429 and 503 mean that the operation had no effect and never will; 504 means that
/// this is unknown.
pub fn respond(result: OperationResult) -> HttpResponse {
    match result {
        OperationResult::Done(outcome) => respond_with(outcome),
        OperationResult::Unavailable => response::unavailable(),
        OperationResult::Unknown => response::plain_text(
            StatusCode::GATEWAY_TIMEOUT,
            "no majority of the stores has confirmed it in time\n".into(),
        ),
    }
}

fn respond_with(outcome: Outcome) -> HttpResponse {
    match outcome {
        Outcome::LockGranted { fence } => json(StatusCode::OK, &TokenBody { fence }),
        Outcome::LockRenewed | Outcome::LockReleased => response::empty(),
        Outcome::LockDenied => text(StatusCode::CONFLICT, "the lock is held by another owner\n"),
        Outcome::Number { value } => json(StatusCode::OK, &NumberBody { val: value }),
        Outcome::CellWritten { revision } => json(StatusCode::OK, &RevisionBody { rev: revision }),
        Outcome::CellChanged { revision } => json(
            StatusCode::PRECONDITION_FAILED,
            &RevisionBody { rev: revision },
        ),
        Outcome::Cell { value, revision } => {
            let body = CellBody {
                val: value,
                rev: revision,
            };
            json(StatusCode::OK, &body)
        }
        Outcome::NoCell => text(StatusCode::NOT_FOUND, "there is no such cell\n"),
        Outcome::Events { events, revision } => {
            let body = EventsBody {
                events: events.into_iter().map(EventBody::from).collect(),
                rev: revision,
            };
            json(StatusCode::OK, &body)
        }
        Outcome::EventsDropped => text(StatusCode::GONE, "these changes are no longer kept\n"),
        Outcome::OutOfSpace => text(
            StatusCode::TOO_MANY_REQUESTS,
            "there is no room for another lock, number or cell\n",
        ),
        Outcome::Locks { locks, next_after } => {
            let body = LocksBody {
                locks: locks.into_iter().map(LockBody::from).collect(),
                next_after,
            };
            json(StatusCode::OK, &body)
        }
    }
}

impl From<CellEvent> for EventBody {
    fn from(event: CellEvent) -> EventBody {
        EventBody {
            name: event.name,
            val: event.value,
            rev: event.revision,
        }
    }
}

impl From<HeldLock> for LockBody {
    fn from(lock: HeldLock) -> LockBody {
        LockBody {
            name: lock.name,
            owner: lock.owner,
            fence: lock.fence,
            hold_ms: whole_millis(lock.lease),
            known_for_ms: whole_millis(lock.known_for),
        }
    }
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn text(status: StatusCode, body: &'static str) -> HttpResponse {
    response::plain_text(status, body.into())
}

fn json(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    let body = serde_json::to_string(body).expect("numbers and texts can be expressed in JSON");
    response::json(status, body)
}
