//! What goes into and comes out of the decision module: settings, events, actions and the types they are made of.
//!
//! Classes, plans, zones and machine kinds are indices into [`Settings`]; no name reaches the decisions.

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
