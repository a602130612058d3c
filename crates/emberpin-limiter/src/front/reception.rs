//! Accepts clients' connections, reads their requests and writes the responses of a [`RequestHandler`].

use crate::front::connections::{
    ClientLimits, Connection, ConnectionSlot, Connections, ObservedStream,
};
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

/// Pause after a failed accept: without free descriptors, an immediate retry would only spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// While the listener closes, how often a connection with a partly received request is checked again.
const PENDING_REQUEST_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The phase of a client listener, from its start to its shutdown.
#[derive(Clone, Copy, PartialEq)]
pub enum Phase {
    /// Not ready yet, but answers requests that arrive.
    Starting,
    /// Ready.
    Serving,
    /// Draining: no longer ready, but still answers requests that arrive.
    Draining,
    /// Accepts no new connections and closes the idle ones.
    Closing,
}

/// Computes the responses to clients' requests.
pub trait RequestHandler: 'static {
    /// Returns the only response to a request.
    fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<Connection>,
    ) -> impl Future<Output = Response<Content>>;
}

/// The listener for clients at one address, with all its connections.
pub struct ClientListener {
    phase: watch::Sender<Phase>,
    connections: Rc<Connections>,
}

impl ClientListener {
    /// Creates a listener for at most `max_connections` connections.
    pub fn new(
        phase: Phase,
        max_connections: usize,
        limits: ClientLimits,
        socket_budget: Rc<SocketBudget>,
    ) -> Rc<ClientListener> {
        let connections = Rc::new(Connections::new(max_connections, limits, socket_budget));
        Rc::new(ClientListener {
            phase: watch::Sender::new(phase),
            connections,
        })
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Replaces the limits of clients' connections.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.connections.set_limits(limits);
    }

    /// Becomes ready, unless it is draining or closing.
    pub fn open(&self) {
        self.phase.send_if_modified(|phase| {
            let starts = *phase == Phase::Starting;
            *phase = if starts { Phase::Serving } else { *phase };
            starts
        });
    }

    /// Begins to drain: no longer ready, and each connection is closed after its next response.
    pub fn begin_draining(&self) {
        self.phase.send_replace(Phase::Draining);
    }

    /// Stops accepting connections, and closes the present ones once they are idle.
    pub fn begin_closing(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Returns once all connections are closed.
    pub async fn all_closed(&self) {
        self.connections.all_closed().await;
    }

    /// Accepts connections until [`Self::begin_closing`]. If `shared`, other processes listen on the same socket and
    /// accept the later connections, so this one stops accepting at [`Self::begin_draining`].
    pub async fn accept<D: RequestHandler>(
        self: Rc<Self>,
        handler: Rc<D>,
        listener: TcpListener,
        shared: bool,
    ) {
        spawn_local(self.connections.clone().sweep());
        let mut phase = self.phase.subscribe();
        loop {
            self.connections.slot_available().await;
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase == Phase::Closing || shared && *phase == Phase::Draining) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    let slot = self.connections.occupy_slot();
                    drop(spawn_local(self.clone().serve_connection(
                        handler.clone(),
                        stream,
                        slot,
                    )));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        // `select!` is biased, so the backlog is empty when the listener closes: every connection that the operating
        // system had completed was accepted above.
        drop(listener);
        std::future::pending::<()>().await;
    }

    async fn serve_connection<D: RequestHandler>(
        self: Rc<Self>,
        handler: Rc<D>,
        stream: TcpStream,
        slot: ConnectionSlot,
    ) {
        _ = stream.set_nodelay(true);
        let max_head_bytes = self.connections.limits().max_head_bytes;
        let service = service_fn(|request| {
            let (client_listener, handler, connection) =
                (self.clone(), handler.clone(), slot.connection.clone());
            async move {
                let mut response = client_listener.respond(handler, request, &connection).await;
                // The limit on heads has been raised since this connection was accepted: on this connection, heads that
                // are allowed now would still be rejected.
                if max_head_bytes < client_listener.connections.limits().max_head_bytes {
                    response
                        .headers_mut()
                        .insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                if let Content::Buffered(_) = response.body() {
                    connection.end_request();
                }
                Ok::<_, Infallible>(response)
            }
        });
        let stream = TokioIo::new(ObservedStream {
            stream,
            connection: slot.connection.clone(),
        });
        let mut served = pin!(http1::Builder::new()
            .max_buf_size(max_head_bytes)
            .serve_connection(stream, service));
        let mut closing_due = pin!(slot.connection.closing_due());
        tokio::select! {
            biased;
            _ = served.as_mut() => return,
            () = closing_due.as_mut() => return,
            () = self.idle_while_closing(&slot.connection) => {}
        }
        if !slot.connection.has_requested() {
            // hyper's graceful shutdown would wait for the first request, for as long as the client stays silent.
            return;
        }
        served.as_mut().graceful_shutdown();
        tokio::select! {
            biased;
            _ = served => {}
            () = closing_due => {}
        }
    }

    /// Returns when the listener is closing and no request is partly received on the connection.
    async fn idle_while_closing(&self, connection: &Connection) {
        _ = self
            .phase
            .subscribe()
            .wait_for(|phase| *phase == Phase::Closing)
            .await;
        while connection.may_have_request_under_way() {
            tokio::time::sleep(PENDING_REQUEST_CHECK_INTERVAL).await;
        }
    }

    async fn respond<D: RequestHandler>(
        &self,
        handler: Rc<D>,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
    ) -> Response<Content> {
        connection.begin_request();
        let mut response = handler.respond(request, connection.clone()).await;
        // The bytes after a body that was not read completely are not a request.
        let out_of_sync = connection.has_ambiguous_framing()
            || matches!(
                response.status(),
                StatusCode::PAYLOAD_TOO_LARGE
                    | StatusCode::REQUEST_TIMEOUT
                    | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            );
        let crowded = connection.is_first_request() && self.connections.are_crowded();
        if out_of_sync || crowded || matches!(self.phase(), Phase::Draining | Phase::Closing) {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
