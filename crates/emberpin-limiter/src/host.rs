//! The building blocks that another program (the proxy) reuses to run its own decisions on the same kind of sockets: the
//! client listener, the pool of connections to servers, the engine that drives a decision module, and the types that
//! they share.

pub use crate::front::answers::{client_response, headed, plain};
pub use crate::front::clients::{passed_on, run_out, strip, take_in};
pub use crate::front::connections::{ClientLimits, Connection, HEAD_BYTES};
pub use crate::front::reception::{Phase, Reception, RequestHandler};
pub use crate::front::socket_budget::SocketBudget;
pub use crate::front::stream::{Content, StreamedResponse, Upload};
pub use crate::messages::{
    AdmittedRequest, Answer, AttemptEnd, Input, Reply, RequestBody, ResponseHead, ServerResponse,
    UpstreamRequest,
};
pub use crate::operate::clock::Clock;
pub use crate::operate::figures::{Active, Ending, Figures};
pub use crate::upstream::engine::{Engine, OverdueAttempts, SentAttempt, TimerGrid};
pub use crate::upstream::roster::ServerInstance;
pub use crate::upstream::server::{Pool, PoolLimits, Upstream};
pub use crate::upstream::wire::{Described, Wire};
