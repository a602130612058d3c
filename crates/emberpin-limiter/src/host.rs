//! The parts of the limiter that another program, the proxy, is built from as well: the client listener, the pool of
//! connections to servers, the engine that drives a decision module, and the types that they share.

pub use crate::front::answers::{client_response, empty_response, response_with_head};
pub use crate::front::clients::{buffer_body_start, remove_hop_by_hop_headers, streamed_response};
pub use crate::front::connections::{ClientLimits, Connection, DEFAULT_MAX_HEAD_BYTES};
pub use crate::front::reception::{ClientListener, Phase, RequestHandler};
pub use crate::front::socket_budget::SocketBudget;
pub use crate::front::stream::{Content, StreamedResponse};
pub use crate::front::upload::{discard_body, Upload};
pub use crate::messages::{
    AdmittedRequest, Answer, AttemptEnd, AttemptId, Input, Reply, RequestBody, ResponseHead,
    ServerResponse, UpstreamRequest,
};
pub use crate::operate::clock::Clock;
pub use crate::operate::figures::{ActiveRequest, LimiterMetrics, RequestOutcome};
pub use crate::upstream::engine::{Engine, OverdueAttempts, SentAttempt, TimerGrid};
pub use crate::upstream::roster::ServerInstance;
pub use crate::upstream::server::{Pool, PoolLimits, Upstream, UsedUpstreams};
pub use crate::upstream::wire::{ResponseInfo, Wire};
