//! Metrics of a role in the text format of Prometheus and OpenMetrics. They are collected on each request, so that they
//! cost nothing in between.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Prefix of all metric names.
const PREFIX: &str = "onyxstile";
/// Maximum number of label values per metric. Further values are omitted.
pub const LABEL_VALUES_MAX: usize = 64;

type Labels = Vec<(&'static str, String)>;

/// A set of metrics, collected at one moment.
pub struct Metrics {
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics { registry: Registry::with_prefix(PREFIX) }
    }
}

impl Metrics {
    /// Adds a value that can rise and fall.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) {
        let gauge = Gauge::<f64, AtomicU64>::default();
        gauge.set(value);
        self.registry.register(name, help, gauge);
    }

    /// Adds a boolean as 0 or 1.
    pub fn flag(&mut self, name: &str, help: &str, value: bool) {
        self.gauge(name, help, f64::from(u8::from(value)));
    }

    /// Adds a duration in seconds; -1 while it is not over.
    pub fn time_taken(&mut self, name: &str, help: &str, value: Option<Duration>) {
        self.gauge(name, help, value.map_or(-1.0, |value| value.as_secs_f64()));
    }

    /// Adds an event counter since the start of the process. `_total` is appended to the name.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter = Counter::<u64>::default();
        counter.inc_by(value);
        self.registry.register(name, help, counter);
    }

    /// Adds event counters since the start of the process, distinguished by a label. `_total` is appended to the name.
    pub fn counters(&mut self, name: &str, help: &str, label: &'static str, values: &[(&str, u64)]) {
        let family = Family::<Labels, Counter>::default();
        for (value, count) in values.iter().take(LABEL_VALUES_MAX) {
            family.get_or_create(&vec![(label, (*value).to_owned())]).inc_by(*count);
        }
        self.registry.register(name, help, family);
    }

    /// Adds gauges, distinguished by a label.
    pub fn gauges(&mut self, name: &str, help: &str, label: &'static str, values: &[(String, f64)]) {
        let family = Family::<Labels, Gauge<f64, AtomicU64>>::default();
        for (value, gauge) in values.iter().take(LABEL_VALUES_MAX) {
            family.get_or_create(&vec![(label, value.clone())]).set(*gauge);
        }
        self.registry.register(name, help, family);
    }

    /// Encodes all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = text::encode(&mut text, &self.registry) {
            log::error!("metrics could not be encoded: {error}");
        }
        text
    }
}
