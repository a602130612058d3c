//! Takes requests off clients' connections and writes the answers, whoever gives those.

use crate::front::connections::{ClientLimits, Connection, Connections, Place, Watched};
use crate::front::socket_budget::SocketBudget;
use crate::front::stream::Content;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Pause after a failed accept: out of descriptors, trying again at once would only spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often a connection on which a request is on its way is looked at when it is to end.
const EXPECTING_LOOK: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, PartialEq)]
/// How far a reception is in its life.
pub enum Phase {
    /// Not ready yet, but answers what comes.
    Starting,
    /// Ready.
    Serving,
    /// Not ready any more, but answers what still comes.
    Leaving,
    /// Takes no new connections and ends the idle ones.
    Closing,
}

/// Who gives the answers.
pub trait RequestHandler: 'static {
    /// The one answer to a request.
    fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<Connection>,
    ) -> impl Future<Output = Response<Content>>;
}

/// All connections of clients to one address.
pub struct Reception {
    phase: watch::Sender<Phase>,
    connections: Rc<Connections>,
}

impl Reception {
    /// For so many connections at most.
    pub fn new(
        phase: Phase,
        most: usize,
        limits: ClientLimits,
        socket_budget: Rc<SocketBudget>,
    ) -> Rc<Reception> {
        let connections = Rc::new(Connections::new(most, limits, socket_budget));
        Rc::new(Reception {
            phase: watch::Sender::new(phase),
            connections,
        })
    }

    /// How far it is.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Other limits on clients' time hold from now on.
    pub fn limit(&self, limits: ClientLimits) {
        self.connections.limit(limits);
    }

    /// Ready from now on, if it was not leaving.
    pub fn open(&self) {
        self.phase.send_if_modified(|phase| {
            let starts = *phase == Phase::Starting;
            *phase = if starts { Phase::Serving } else { *phase };
            starts
        });
    }

    /// Readiness goes off; everything else goes on, on connections that close after their answer.
    pub fn leave(&self) {
        self.phase.send_replace(Phase::Leaving);
    }

    /// No new connections; those that there are end once idle.
    pub fn close(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Returns once no connection is left.
    pub async fn empty(&self) {
        self.connections.empty().await;
    }

    /// Accepts connections until told to close; or, where other processes listen on the same socket, until told to
    /// leave: they take those that still come.
    pub async fn accept<D: RequestHandler>(
        self: Rc<Self>,
        handler: Rc<D>,
        listener: TcpListener,
        shared: bool,
    ) {
        spawn_local(self.connections.clone().sweep());
        let mut phase = self.phase.subscribe();
        loop {
            self.connections.room().await;
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase == Phase::Closing || shared && *phase == Phase::Leaving) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    let place = self.connections.enter();
                    drop(spawn_local(self.clone().connection(
                        handler.clone(),
                        stream,
                        place,
                    )));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        // Closed with its backlog empty: whatever the machine had accepted was taken off above.
        drop(listener);
        std::future::pending::<()>().await;
    }

    async fn connection<D: RequestHandler>(
        self: Rc<Self>,
        handler: Rc<D>,
        stream: TcpStream,
        place: Place,
    ) {
        _ = stream.set_nodelay(true);
        let head_bytes = self.connections.limits().head_bytes;
        let service = service_fn(|request| {
            let (reception, handler, connection) =
                (self.clone(), handler.clone(), place.connection.clone());
            async move {
                let mut response = reception.answered(handler, request, &connection).await;
                // Heads may be longer by now than this connection reads.
                if head_bytes < reception.connections.limits().head_bytes {
                    response
                        .headers_mut()
                        .insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                if let Content::Buffered(_) = response.body() {
                    connection.close();
                }
                Ok::<_, Infallible>(response)
            }
        });
        let stream = TokioIo::new(Watched {
            stream,
            connection: place.connection.clone(),
        });
        let mut served = pin!(http1::Builder::new()
            .max_buf_size(head_bytes)
            .serve_connection(stream, service));
        let mut must_go = pin!(place.connection.must_go());
        tokio::select! {
            biased;
            _ = served.as_mut() => return,
            () = must_go.as_mut() => return,
            () = self.ends_idle(&place.connection) => {}
        }
        if !place.connection.has_requested() {
            // hyper's graceful shutdown would wait for the first request, for as long as the client stays silent.
            return;
        }
        served.as_mut().graceful_shutdown();
        tokio::select! {
            biased;
            _ = served => {}
            () = must_go => {}
        }
    }

    /// Returns when the connection is to end once idle: not while a request is on its way on it.
    async fn ends_idle(&self, connection: &Connection) {
        _ = self
            .phase
            .subscribe()
            .wait_for(|phase| *phase == Phase::Closing)
            .await;
        while connection.is_expecting() {
            tokio::time::sleep(EXPECTING_LOOK).await;
        }
    }

    async fn answered<D: RequestHandler>(
        &self,
        handler: Rc<D>,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
    ) -> Response<Content> {
        connection.open();
        let mut response = handler.respond(request, connection.clone()).await;
        // What follows a body that was not taken in is no request.
        let spoilt = connection.is_doubtful()
            || matches!(
                response.status(),
                StatusCode::PAYLOAD_TOO_LARGE
                    | StatusCode::REQUEST_TIMEOUT
                    | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            );
        let crowded = connection.is_first_request() && self.connections.are_crowded();
        if spoilt || crowded || matches!(self.phase(), Phase::Leaving | Phase::Closing) {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
