//! What a role tells of itself, in the text format of Prometheus and OpenMetrics; made anew each time that somebody asks, so
//! that it costs nothing meanwhile.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// What all names begin with.
const PREFIX: &str = "onyxstile";
/// Most values that one figure has by its label; those beyond are left out.
pub const LABEL_VALUES_MAX: usize = 64;

type Labels = Vec<(&'static str, String)>;

/// The figures of one moment.
pub struct Metrics {
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics { registry: Registry::with_prefix(PREFIX) }
    }
}

impl Metrics {
    /// A value that rises and falls.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) {
        let gauge = Gauge::<f64, AtomicU64>::default();
        gauge.set(value);
        self.registry.register(name, help, gauge);
    }

    /// A yes or no.
    pub fn flag(&mut self, name: &str, help: &str, value: bool) {
        self.gauge(name, help, f64::from(u8::from(value)));
    }

    /// A time that something took, in seconds; -1 while it is not over.
    pub fn time_taken(&mut self, name: &str, help: &str, value: Option<Duration>) {
        self.gauge(name, help, value.map_or(-1.0, |value| value.as_secs_f64()));
    }

    /// A number of events since the start of the process, by a label; its name gets `_total`.
    pub fn counters(&mut self, name: &str, help: &str, label: &'static str, values: &[(&str, u64)]) {
        let family = Family::<Labels, Counter>::default();
        for (value, count) in values.iter().take(LABEL_VALUES_MAX) {
            family.get_or_create(&vec![(label, (*value).to_owned())]).inc_by(*count);
        }
        self.registry.register(name, help, family);
    }

    /// A value for each of several, told apart by a label.
    pub fn gauges(&mut self, name: &str, help: &str, label: &'static str, values: &[(String, f64)]) {
        let family = Family::<Labels, Gauge<f64, AtomicU64>>::default();
        for (value, gauge) in values.iter().take(LABEL_VALUES_MAX) {
            family.get_or_create(&vec![(label, value.clone())]).set(*gauge);
        }
        self.registry.register(name, help, family);
    }

    /// All figures as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = text::encode(&mut text, &self.registry) {
            log::error!("figures could not be written: {error}");
        }
        text
    }
}
