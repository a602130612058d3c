//! Generated cases: the requests of clients, and the actions of servers.

use proptest::collection::vec;
use proptest::prelude::*;

/// The bytes of one response: how long its body is, how it is framed and split, and how many interim responses precede
/// it.
#[derive(Clone, Debug)]
pub struct ResponseShape {
    pub size: usize,
    pub chunked: bool,
    pub interim: usize,
    pub pieces: usize,
}

/// The bytes or the reset that a server sends after a complete response.
#[derive(Clone, Debug)]
pub enum Trailing {
    Nothing,
    Duplicate,
    /// A duplicate once the next request has arrived on this connection, before its response.
    LateDuplicate,
    Garbage,
    Reset,
}

/// The action of a server upon a request.
#[derive(Clone, Debug)]
pub enum ServerAction {
    Respond(ResponseShape, Trailing),
    /// Ends the connection after this many thousandths of the response's bytes.
    Truncate(ResponseShape, usize, ConnectionEnding),
    /// A response with this status and `Not-Run`.
    NotRun(u16),
    /// A response with this status, without `Not-Run`.
    StatusWithoutNotRun(u16),
    /// A response with status 200, without a seal.
    WithoutSeal(ResponseShape),
    /// A sealed response with status 200 and a `Content-Encoding`.
    Recoded(ResponseShape),
    /// A complete response with the id of another request.
    ForeignId(ResponseShape),
    Garbage,
    /// Ends the connection once the head has arrived.
    EndAtHead(ConnectionEnding),
    /// Ends the connection once the whole request has arrived.
    EndAtBody(ConnectionEnding),
    /// Sends no response.
    Silence,
}

/// How a server ends a connection.
#[derive(Clone, Copy, Debug)]
pub enum ConnectionEnding {
    Close,
    Reset,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub mutating: bool,
    /// Length of its body in bytes.
    pub body: usize,
    /// Whether the client pauses after the response.
    pub pause: bool,
}

/// One generated case.
#[derive(Clone, Debug)]
pub struct Case {
    /// The requests of each client.
    pub clients: Vec<Vec<ClientRequest>>,
    /// The servers' actions, one for each request in the order in which requests arrive at any server.
    pub actions: Vec<ServerAction>,
}

fn response_shape() -> impl Strategy<Value = ResponseShape> {
    let size = prop_oneof![4 => 0usize..300, 1 => Just(20_000usize), 1 => Just(120_000usize)];
    (size, any::<bool>(), 0usize..3, 1usize..5).prop_map(|(size, chunked, interim, pieces)| {
        ResponseShape {
            size,
            chunked,
            interim,
            pieces,
        }
    })
}

fn ending() -> impl Strategy<Value = ConnectionEnding> {
    prop_oneof![Just(ConnectionEnding::Close), Just(ConnectionEnding::Reset)]
}

fn server_action() -> impl Strategy<Value = ServerAction> {
    let trailing = prop_oneof![
        4 => Just(Trailing::Nothing),
        2 => Just(Trailing::Duplicate),
        4 => Just(Trailing::LateDuplicate),
        1 => Just(Trailing::Garbage),
        1 => Just(Trailing::Reset),
    ];
    prop_oneof![
        10 => (response_shape(), trailing).prop_map(|(shape, trailing)| ServerAction::Respond(shape, trailing)),
        3 => (response_shape(), 0usize..1_000, ending()).prop_map(|(shape, at, ending)| ServerAction::Truncate(shape, at, ending)),
        2 => prop_oneof![Just(503u16), Just(429), Just(421), Just(400)].prop_map(ServerAction::NotRun),
        2 => prop_oneof![Just(503u16), Just(429), Just(408), Just(500), Just(504)].prop_map(ServerAction::StatusWithoutNotRun),
        1 => response_shape().prop_map(ServerAction::WithoutSeal),
        1 => response_shape().prop_map(ServerAction::Recoded),
        2 => response_shape().prop_map(ServerAction::ForeignId),
        1 => Just(ServerAction::Garbage),
        2 => ending().prop_map(ServerAction::EndAtHead),
        1 => ending().prop_map(ServerAction::EndAtBody),
        2 => Just(ServerAction::Silence),
    ]
}

pub fn case() -> impl Strategy<Value = Case> {
    let body = prop_oneof![2 => Just(0usize), 1 => Just(100usize), 1 => Just(300_000usize)];
    let request =
        (any::<bool>(), body, any::<bool>()).prop_map(|(mutating, body, pause)| ClientRequest {
            mutating,
            body,
            pause,
        });
    let clients = vec(vec(request, 1..5), 1..3);
    (clients, vec(server_action(), 1..12)).prop_map(|(clients, actions)| Case { clients, actions })
}
