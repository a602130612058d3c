//! The interface of the decision module: settings, events, actions and the types they consist of.
//!
//! Classes, plans, zones and machine kinds are indices into [`Settings`]; the decisions do not use names.

mod actions;
mod events;
mod ids;
mod servers;
mod settings;

pub use actions::Action;
pub use events::{AttemptResult, Event, PriorAttempt, Request, Usage};
pub use ids::{ClassId, CustomerId, GatewayId, GatewaySet, Millis, PlanId, RequestId, ServerId};
pub use servers::{
    LoadReport, Location, MembershipUpdate, Outcome, PoolSize, Server, ServerStatus,
};
pub use settings::{Class, DedupScope, Idempotency, Plan, Settings, SlowStart};
