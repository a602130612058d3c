//! The readiness endpoint, by which the platform decides whether to direct new connections to this proxy.

use crate::published_state::PublishedState;
use emberpin_limiter::host::{empty_response, Connection, Content, RequestHandler};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;

/// Responds to any request with 200 while the proxy is ready, and with 503 before that and while it drains.
pub struct ReadinessHandler(pub Rc<PublishedState>);

impl RequestHandler for ReadinessHandler {
    async fn respond(self: Rc<Self>, _: Request<Incoming>, _: Rc<Connection>) -> Response<Content> {
        empty_response(if self.0.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        })
    }
}
