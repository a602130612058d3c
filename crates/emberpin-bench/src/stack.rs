//! The alternative that a user could assemble from existing crates: hyper's pooled client under tower's load shedding,
//! concurrency limit, retries and time-out, behind governor's token buckets per account. Its limits apply to one
//! process only.

use crate::bare::listen;
use crate::settings::Settings;
use bytes::Bytes;
use governor::{DefaultKeyedRateLimiter, Quota, RateLimiter};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, COOKIE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::convert::Infallible;
use std::future::Ready;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tower::util::BoxCloneService;
use tower::{BoxError, ServiceBuilder, ServiceExt};

/// The maximum number of retries of a request that is safe to repeat.
const RETRIES: usize = 4;
/// The maximum number of requests in flight.
const MAX_IN_FLIGHT: usize = 512;
/// The time-out of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

type UpstreamRequest = Request<Full<Bytes>>;
type UpstreamResponse = Response<Bytes>;

/// A retry policy: retries failed GET requests, as often as the number of retries that are left.
#[derive(Clone)]
struct RetrySafe(usize);

impl tower::retry::Policy<UpstreamRequest, UpstreamResponse, BoxError> for RetrySafe {
    type Future = Ready<()>;

    fn retry(
        &mut self,
        request: &mut UpstreamRequest,
        result: &mut Result<UpstreamResponse, BoxError>,
    ) -> Option<Ready<()>> {
        let failed = result
            .as_ref()
            .map_or(true, |response| response.status().is_server_error());
        if !failed || request.method() != Method::GET || self.0 == 0 {
            return None;
        }
        self.0 -= 1;
        Some(std::future::ready(()))
    }

    fn clone_request(&mut self, request: &UpstreamRequest) -> Option<UpstreamRequest> {
        Some(request.clone())
    }
}

/// Runs the proxy until the process is killed.
///
/// # Errors
///
/// The reason why the proxy cannot start, in one line.
pub fn run() -> Result<(), String> {
    let settings = Settings::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async move {
        let listener = listen(settings.listen).map_err(|e| format!("{}: {e}", settings.listen))?;
        let service = service(settings.servers);
        let quota = Quota::per_second(NonZeroU32::MAX).allow_burst(NonZeroU32::MAX);
        let limiter: Arc<DefaultKeyedRateLimiter<u64>> = Arc::new(RateLimiter::keyed(quota));
        while let Ok((stream, _)) = listener.accept().await {
            _ = stream.set_nodelay(true);
            let (service, limiter) = (service.clone(), limiter.clone());
            spawn_local(async move {
                let service = service_fn(|request| {
                    let (service, limiter) = (service.clone(), limiter.clone());
                    async move { Ok::<_, Infallible>(respond(request, service, &limiter).await) }
                });
                _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
        Err("no more clients".into())
    })
}

fn service(
    servers: Vec<SocketAddr>,
) -> BoxCloneService<UpstreamRequest, UpstreamResponse, BoxError> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let next = Arc::new(AtomicUsize::new(0));
    let servers: Arc<[SocketAddr]> = servers.into();
    let upstream = tower::service_fn(move |mut request: UpstreamRequest| {
        let (client, index) = (client.clone(), next.fetch_add(1, Ordering::Relaxed));
        let server = servers[index % servers.len()];
        async move {
            let path = request
                .uri()
                .path_and_query()
                .map_or("/", |path| path.as_str());
            *request.uri_mut() = Uri::builder()
                .scheme("http")
                .authority(server.to_string())
                .path_and_query(path)
                .build()?;
            let (parts, body) = client.request(request).await?.into_parts();
            Ok::<_, BoxError>(Response::from_parts(
                parts,
                body.collect().await?.to_bytes(),
            ))
        }
    });
    let layered = ServiceBuilder::new()
        .load_shed()
        .concurrency_limit(MAX_IN_FLIGHT)
        .retry(RetrySafe(RETRIES))
        .timeout(ATTEMPT_TIMEOUT)
        .service(upstream);
    BoxCloneService::new(layered)
}

async fn respond(
    request: Request<Incoming>,
    service: BoxCloneService<UpstreamRequest, UpstreamResponse, BoxError>,
    limiter: &DefaultKeyedRateLimiter<u64>,
) -> Response<Full<Bytes>> {
    let empty_response = |status| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        response
    };
    if request.uri().path() == "/health/ready" {
        return empty_response(StatusCode::OK);
    }
    let cookie = request
        .headers()
        .get(COOKIE)
        .and_then(|value| value.to_str().ok());
    let account = cookie.and_then(|text| text.strip_prefix("account="));
    let Some(account) = account.and_then(|hex| u64::from_str_radix(hex, 16).ok()) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    if limiter.check_key(&account).is_err() {
        let mut rejected = empty_response(StatusCode::TOO_MANY_REQUESTS);
        rejected
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from_static("1"));
        return rejected;
    }
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let request = Request::from_parts(parts, Full::new(body.to_bytes()));
    match service.oneshot(request).await {
        Ok(response) => response.map(Full::new),
        Err(problem) if problem.is::<tower::load_shed::error::Overloaded>() => {
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
        Err(_) => empty_response(StatusCode::BAD_GATEWAY),
    }
}
