//! The limiter's metrics: updated where each event happens, and served by the operator API in the Prometheus text
//! format.
//!
//! All of them are atomics, so that the operator API's thread reads them without involving another thread. Counters
//! start at zero with the process.

use emberpin_balancer::ClassId;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use std::sync::Arc;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was served completely.
    Ok,
    /// It was rejected before any server ran it, so a retry is harmless.
    Shed,
    /// It got any other response, or one that broke off.
    Errors,
}

impl RequestOutcome {
    const ALL: [RequestOutcome; 3] = [
        RequestOutcome::Ok,
        RequestOutcome::Shed,
        RequestOutcome::Errors,
    ];

    fn label(self) -> &'static str {
        match self {
            RequestOutcome::Ok => "ok",
            RequestOutcome::Shed => "shed",
            RequestOutcome::Errors => "errors",
        }
    }
}

/// The metrics of one process.
pub struct LimiterMetrics {
    registry: Registry,
    /// Counters of ended requests, for each class, in the order of [`RequestOutcome::ALL`].
    responses: Vec<[IntCounter; 3]>,
    /// Number of attempts whose last byte was written to a server.
    pub attempts: IntCounter,
    /// Number of requests in flight.
    active: IntGauge,
    /// Number of servers in the endpoint list.
    pub pool_size: IntGauge,
    /// Number of listed servers that receive no requests now.
    pub pool_ejected: IntGauge,
    /// Number of reloaded configurations that were applied.
    pub config_applied: IntCounter,
    /// Number of reloaded configurations that were rejected.
    pub config_rejected: IntCounter,
}

impl LimiterMetrics {
    /// Creates the metrics, all at zero, for classes of these names.
    ///
    /// # Errors
    ///
    /// The metrics library rejected a name.
    pub fn new(classes: &[String]) -> Result<Arc<LimiterMetrics>, String> {
        LimiterMetrics::register(classes)
            .map(Arc::new)
            .map_err(|e| format!("metrics: {e}"))
    }

    fn register(classes: &[String]) -> prometheus::Result<LimiterMetrics> {
        let registry = Registry::new();
        let opts = |name: &str, help: &str| Opts::new(format!("app_{name}"), help);
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let counter = IntCounter::with_opts(opts(name, help))?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::with_opts(opts(name, help))?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let responses = IntCounterVec::new(
            opts("responses", "Requests by class and by how they ended"),
            &["kind", "result"],
        )?;
        registry.register(Box::new(responses.clone()))?;
        let response_counter = |class: &String, outcome: RequestOutcome| {
            responses.get_metric_with_label_values(&[class.as_str(), outcome.label()])
        };
        let mut by_class = Vec::with_capacity(classes.len());
        for class in classes {
            let [ok, shed, errors] = RequestOutcome::ALL;
            by_class.push([
                response_counter(class, ok)?,
                response_counter(class, shed)?,
                response_counter(class, errors)?,
            ]);
        }
        Ok(LimiterMetrics {
            responses: by_class,
            attempts: counter("tries", "Attempts written whole to servers")?,
            active: gauge("active", "Requests taken and not ended")?,
            pool_size: gauge("pool_size", "Servers in the list")?,
            pool_ejected: gauge(
                "pool_ejected",
                "Listed servers that get nothing now, by hand or by choice",
            )?,
            config_applied: counter("config_applied", "Configurations read again and taken")?,
            config_rejected: counter("config_rejected", "Configurations read again and not taken")?,
            registry,
        })
    }

    /// Counts a request of this class as active until the returned value is dropped.
    pub fn start_request(self: &Arc<Self>, class: ClassId) -> ActiveRequest {
        self.active.inc();
        ActiveRequest {
            metrics: self.clone(),
            class,
            outcome: None,
        }
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// The metrics library could not encode the metrics.
    pub fn text(&self) -> Result<String, String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|e| e.to_string())
    }
}

/// Keeps a request counted as active until this value is dropped. A request that has no outcome by then, because its
/// client abandoned it, is not counted in `app_responses`.
pub struct ActiveRequest {
    metrics: Arc<LimiterMetrics>,
    class: ClassId,
    outcome: Option<RequestOutcome>,
}

impl ActiveRequest {
    /// Sets how the request is counted when this value is dropped; the last call wins.
    pub fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.metrics.active.dec();
        if let (Some(outcome), Some(counters)) =
            (self.outcome, self.metrics.responses.get(self.class.0))
        {
            counters[outcome as usize].inc();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_request_is_active_until_it_ends_and_is_counted_once() {
        let metrics = LimiterMetrics::new(&["look".into(), "submit".into()]).expect("sound");
        let mut served = metrics.start_request(ClassId(1));
        let abandoned = metrics.start_request(ClassId(0));
        let text = metrics.text().expect("text");
        assert!(text.contains("\napp_active 2\n"), "{text}");
        assert!(
            text.contains("app_responses{kind=\"submit\",result=\"ok\"} 0\n"),
            "{text}"
        );
        served.set_outcome(RequestOutcome::Errors);
        served.set_outcome(RequestOutcome::Ok);
        drop((served, abandoned));
        let text = metrics.text().expect("text");
        assert!(text.contains("\napp_active 0\n"), "{text}");
        assert!(
            text.contains("app_responses{kind=\"submit\",result=\"ok\"} 1\n"),
            "{text}"
        );
        assert_eq!(
            text.matches("} 0\n").count(),
            5,
            "nothing else was counted: {text}"
        );
    }
}
