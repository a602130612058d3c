//! The clients' side: takes a request in, asks the controller, and words the one answer.

use crate::command::{Ask, Command};
use crate::published_state::View;
use crate::replies::come_back;
use crate::wire::DEADLINE;
use bytes::Bytes;
use emberpin_balancer::{ClassId, RequestId};
use emberpin_limiter::host::{
    headed, passed_on, plain, run_out, strip, take_in, Answer, Connection, Content, Ending,
    Figures, Outgoing, Reply, RequestHandler, Served, Upload, Upstreamed,
};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// A body that comes in pieces: its client is silent for no longer than this.
const UPLOAD_SILENCE: Duration = Duration::from_secs(10);
const UPLOAD_LOOK: Duration = Duration::from_millis(500);
/// An answer that has begun waits so long for others to be passed on.
const PASSING_WAIT: Duration = Duration::from_millis(1_500);

/// Answers clients.
pub struct Front {
    view: Rc<View>,
    commands: mpsc::Sender<Command>,
    next: Cell<u32>,
    figures: Arc<Figures>,
    /// Places for bodies that are passed on in pieces, requests' and answers'.
    uploads: Arc<Semaphore>,
    downloads: Arc<Semaphore>,
}

/// A request that waits: tells the controller if its client goes away before the answer.
struct Waiting {
    commands: mpsc::Sender<Command>,
    id: RequestId,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        if let Err(mpsc::error::TrySendError::Full(gone)) =
            self.commands.try_send(Command::Gone(self.id))
        {
            let commands = self.commands.clone();
            spawn_local(async move { _ = commands.send(gone).await });
        }
    }
}

impl Front {
    /// Answers as the view and the controller behind `commands` have it; so many bodies are passed on in pieces each way.
    pub fn new(
        view: Rc<View>,
        commands: mpsc::Sender<Command>,
        figures: Arc<Figures>,
        passing: usize,
    ) -> Rc<Front> {
        let places = || Arc::new(Semaphore::new(passing.max(4)));
        Rc::new(Front {
            view,
            commands,
            next: Cell::new(0),
            figures,
            uploads: places(),
            downloads: places(),
        })
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
    ) -> Result<Response<Content>, StatusCode> {
        // Guards against requests hidden in bodies, for whoever follows the other framing.
        if connection.is_doubtful() {
            return Err(StatusCode::BAD_REQUEST);
        }
        if head_size(&request) > self.view.head_max() {
            spawn_local(run_out(request.into_body()));
            return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        let arrived = Instant::now();
        let host = host(&request).ok_or(StatusCode::BAD_REQUEST)?;
        let most = self.view.body_max();
        let (parts, body) = request.into_parts();
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > most) {
            spawn_local(run_out(body));
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let deadline = deadline(&parts.headers)?;
        let (held, rest) = if body.is_end_stream() {
            (Bytes::new(), None)
        } else {
            take_in(body).await?
        };
        if held.len() as u64 > most {
            if let Some(rest) = rest {
                spawn_local(run_out(rest));
            }
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let body = match rest {
            None => Upstreamed::Whole(held),
            Some(rest) => {
                let Ok(room) = self.uploads.clone().try_acquire_owned() else {
                    spawn_local(run_out(rest));
                    return Ok(come_back(Duration::from_millis(500)));
                };
                Upstreamed::Coming(Rc::new(Upload::new(held, length, rest, room).bounded(most)))
            }
        };
        let upload = match &body {
            Upstreamed::Whole(_) => None,
            Upstreamed::Coming(upload) => Some(upload.clone()),
        };
        let mut headers = parts.headers;
        strip(&mut headers);
        headers.remove("keep-alive");
        let outgoing = Outgoing {
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            may_pass: true,
            freshness: None,
            gate: None,
            withdrawn: Default::default(),
        };
        let active = self.figures.taken(ClassId(0));
        let reply = self.ask(host, outgoing, arrived, deadline, upload).await?;
        Ok(match reply {
            Reply::Answer(Answer::Served(Served { head, body })) => {
                headed(head, Content::Whole(Some(body)))
            }
            Reply::Answer(Answer::Refused { retry_after }) => {
                come_back(Duration::try_from_secs_f64(retry_after / 1000.0).unwrap_or_default())
            }
            Reply::Answer(Answer::Failed) => plain(StatusCode::BAD_GATEWAY),
            Reply::Passing(passing) => {
                match timeout(PASSING_WAIT, self.downloads.clone().acquire_owned()).await {
                    Ok(Ok(room)) => {
                        return Ok(passed_on(passing, active, connection.clone(), room))
                    }
                    // Too many pass on already: nothing of it was told yet.
                    Ok(Err(_)) | Err(_) => plain(StatusCode::BAD_GATEWAY),
                }
            }
        })
        .inspect(|response| ended(active, response.status()))
    }

    /// Asks the controller and waits for the one answer.
    async fn ask(
        &self,
        host: String,
        outgoing: Outgoing,
        arrived: Instant,
        deadline: Option<Duration>,
        upload: Option<Rc<Upload>>,
    ) -> Result<Reply, StatusCode> {
        let id = RequestId(self.next.replace(self.next.get().wrapping_add(1)));
        let mut waiting = Waiting {
            commands: self.commands.clone(),
            id,
            answered: false,
        };
        let (answer, answered) = oneshot::channel();
        let ask = Ask {
            id,
            host,
            outgoing,
            arrived,
            deadline,
            sends: 0,
            answer,
        };
        let asking = async {
            match self.commands.send(Command::Ask(Box::new(ask))).await {
                Ok(()) => answered.await.unwrap_or(Reply::Answer(Answer::Failed)),
                Err(_) => Reply::Answer(Answer::Failed),
            }
        };
        let reply = match &upload {
            None => Ok(asking.await),
            Some(upload) => {
                // What keeps it from its place is a client's silence, not its slowness.
                let silent = async {
                    while upload.silence() < UPLOAD_SILENCE {
                        tokio::time::sleep(UPLOAD_LOOK).await;
                    }
                };
                tokio::select! {
                    biased;
                    () = upload.exceeded() => Err(StatusCode::PAYLOAD_TOO_LARGE),
                    reply = asking => Ok(reply),
                    () = silent => return Err(StatusCode::BAD_REQUEST),
                }
            }
        };
        // A body that is too long ends its attempt: the controller hears that nobody waits for it.
        waiting.answered = reply.is_ok();
        // Answered before all of it came: the rest runs out, as an end of the connection with something unread on it
        // would take the answer with it.
        if let Some(rest) = upload.and_then(|upload| upload.take_rest()) {
            spawn_local(run_out(rest));
        }
        reply
    }
}

impl RequestHandler for Front {
    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<Connection>,
    ) -> Response<Content> {
        self.serve(request, &connection).await.unwrap_or_else(plain)
    }
}

/// Tells the platform whether this limiter is to get new connections.
pub struct Readiness(pub Rc<View>);

impl RequestHandler for Readiness {
    async fn respond(self: Rc<Self>, _: Request<Incoming>, _: Rc<Connection>) -> Response<Content> {
        plain(if self.0.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        })
    }
}

/// The host that the request is for: as its target names it, else its one `Host`.
fn host<T>(request: &Request<T>) -> Option<String> {
    if let Some(authority) = request.uri().authority() {
        return Some(authority.as_str().to_string());
    }
    let mut named = request.headers().get_all(HOST).iter();
    match (named.next(), named.next()) {
        (Some(host), None) => host.to_str().ok().map(str::to_string),
        _ => None,
    }
}

/// Bytes that the head took on the wire, at the least: spaces that may stand around a value are not counted.
fn head_size<T>(request: &Request<T>) -> u64 {
    const LINE_END: usize = 2;
    const COLON: usize = 1;
    let target = request
        .uri()
        .path_and_query()
        .map_or(1, |target| target.as_str().len());
    let request_line = request.method().as_str().len() + target + "  HTTP/1.1".len() + LINE_END;
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + COLON + value.len() + LINE_END
    };
    let headers: usize = request.headers().iter().map(header).sum();
    (request_line + headers + LINE_END) as u64
}

/// How long the client will wait; nothing where it doesn't say.
fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, StatusCode> {
    let Some(text) = headers.get(DEADLINE) else {
        return Ok(None);
    };
    let millis = text
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok());
    let millis = millis
        .filter(|millis| millis.is_finite() && *millis >= 0.0)
        .ok_or(StatusCode::BAD_REQUEST)?;
    Duration::try_from_secs_f64(millis / 1000.0)
        .map(Some)
        .map_err(|_| StatusCode::BAD_REQUEST)
}

fn ended(mut active: emberpin_limiter::host::Active, status: StatusCode) {
    active.ends(match status {
        status if status.is_success() => Ending::Ok,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Ending::Shed,
        _ => Ending::Errors,
    });
}
