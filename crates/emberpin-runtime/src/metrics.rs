//! Metrics over HTTP, in the Prometheus text format.
//!
//! A scrape never waits for a program's event loop: the loop updates atomics, and [`serve`] encodes their values.
//! [`serve`] accepts few connections at a time and closes slow ones, so that scrapes cannot use up the file
//! descriptors that requests need.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use prometheus::core::Collector;
use prometheus::{
    Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

/// The command line option that names a [`MetricsEndpoint`].
pub const METRICS_OPTION: &str = "metrics";
/// The help text of the option.
pub const METRICS_OPTION_HELP: &str = "serve metrics on this port of the machine's address";
/// The format of the option's value, for the help text.
pub const METRICS_OPTION_HINT: &str = "PORT/PATH";

/// The interval at which programs update their gauges.
pub const GAUGE_PERIOD: Duration = Duration::from_secs(1);
/// The upper bounds of the histogram buckets for latencies, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];
/// The maximum number of connections served at a time; others wait in the listener's queue.
const MAX_CONNECTIONS: usize = 2;
/// The time limit of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay after `accept` has failed, as it does when the process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_secs(1);
/// The content type of the Prometheus text format.
const TEXT_FORMAT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Where a program serves its metrics: `PORT/PATH`, as in `9464/metrics`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsEndpoint {
    /// The port, on the machine's own address.
    pub port: u16,
    /// The path of the URL, with the leading slash.
    pub path: String,
}

/// Why a text is not a [`MetricsEndpoint`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidMetricsEndpoint {
    /// The text has no slash.
    #[error("--metrics {0:?}: expected PORT/PATH, such as 9464/metrics")]
    MissingPath(String),
    /// The text before the slash is not a port.
    #[error("--metrics {0:?}: the port is not a number from 1 to 65535")]
    InvalidPort(String),
}

impl FromStr for MetricsEndpoint {
    type Err = InvalidMetricsEndpoint;

    fn from_str(text: &str) -> Result<MetricsEndpoint, InvalidMetricsEndpoint> {
        let (port, path) = text
            .split_once('/')
            .ok_or_else(|| InvalidMetricsEndpoint::MissingPath(text.into()))?;
        let port = port
            .parse()
            .ok()
            .filter(|port| *port > 0)
            .ok_or_else(|| InvalidMetricsEndpoint::InvalidPort(text.into()))?;
        Ok(MetricsEndpoint {
            port,
            path: format!("/{path}"),
        })
    }
}

/// The metrics of one program. The name of each metric begins with the program's prefix.
///
/// # Panics
///
/// All methods that add a metric panic if its name is invalid or already in the set: both are faults of the program.
#[derive(Clone)]
pub struct MetricSet {
    registry: Registry,
    prefix: &'static str,
}

impl MetricSet {
    /// Creates an empty set, for metrics whose names begin with `prefix` and an underscore.
    pub fn new(prefix: &'static str) -> MetricSet {
        MetricSet {
            registry: Registry::new(),
            prefix,
        }
    }

    /// Adds a counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.add(IntCounter::with_opts(self.options(name, help)))
    }

    /// Adds a counter for each combination of label values. The number of values must be bounded, so a client must not
    /// be able to choose them.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.add(IntCounterVec::new(self.options(name, help), labels))
    }

    /// Adds a gauge whose value is a whole number.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.add(IntGauge::with_opts(self.options(name, help)))
    }

    /// Adds a gauge whose value is a floating-point number.
    pub fn fractional_gauge(&self, name: &str, help: &str) -> Gauge {
        self.add(Gauge::with_opts(self.options(name, help)))
    }

    /// Adds a gauge for each combination of label values, whose number must be bounded.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.add(IntGaugeVec::new(self.options(name, help), labels))
    }

    /// Adds a histogram of latencies, in seconds.
    pub fn latencies(&self, name: &str, help: &str) -> Histogram {
        let options = HistogramOpts::new(format!("{}_{name}", self.prefix), help);
        self.add(Histogram::with_opts(
            options.buckets(LATENCY_BUCKETS.to_vec()),
        ))
    }

    /// Encodes all metrics in the text format; empty if they cannot be encoded.
    pub fn encode(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|error| {
                log::error!("metrics cannot be encoded: error={error}");
                String::new()
            })
    }

    fn options(&self, name: &str, help: &str) -> Opts {
        Opts::new(format!("{}_{name}", self.prefix), help)
    }

    fn add<T: Collector + Clone + 'static>(&self, metric: prometheus::Result<T>) -> T {
        let metric = metric.expect("the names of metrics and labels are valid");
        self.registry
            .register(Box::new(metric.clone()))
            .expect("each metric is added once");
        metric
    }
}

/// Serves the metrics over HTTP for as long as the process runs. If the port cannot be bound, it logs an error and
/// returns, and the program runs without a metrics endpoint.
pub async fn serve(ip: Ipv4Addr, endpoint: MetricsEndpoint, metrics: MetricSet) {
    let listener = match TcpListener::bind((ip, endpoint.port)).await {
        Ok(listener) => listener,
        Err(error) => {
            let port = endpoint.port;
            return log::error!("metrics are not served: ip={ip} port={port} error={error}");
        }
    };
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let (path, metrics) = (Arc::new(endpoint.path), Arc::new(metrics));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let (path, metrics) = (path.clone(), metrics.clone());
        tokio::spawn(async move {
            _ = timeout(CONNECTION_TIMEOUT, serve_connection(stream, path, metrics)).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, path: Arc<String>, metrics: Arc<MetricSet>) {
    let respond = |request: Request<Incoming>| {
        let response = respond(&request, &path, &metrics);
        async { Ok::<_, Infallible>(response) }
    };
    // Ignored: an error means that the scraper has closed the connection early, so nobody waits for a response.
    _ = http1::Builder::new()
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service_fn(respond))
        .await;
}

fn respond(request: &Request<Incoming>, path: &str, metrics: &MetricSet) -> Response<Full<Bytes>> {
    let response_with = |status, text| {
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        response
    };
    if request.uri().path() != path {
        return response_with(StatusCode::NOT_FOUND, String::new());
    }
    if request.method() != Method::GET {
        return response_with(StatusCode::METHOD_NOT_ALLOWED, String::new());
    }
    let mut response = response_with(StatusCode::OK, metrics.encode());
    response.headers_mut().insert(CONTENT_TYPE, TEXT_FORMAT);
    response
}
