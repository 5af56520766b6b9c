//! Metrics of a proxy.

use super::Proxy;
use crate::metrics::Metrics;

impl Proxy {
    /// Current metric values.
    pub(super) fn metric_values(&self) -> Metrics {
        let mut metrics = Metrics::default();
        self.add_phase_metrics(&mut metrics);
        self.add_request_metrics(&mut metrics);
        self.add_answer_metrics(&mut metrics);
        self.add_service_metrics(&mut metrics);
        self.load.add_metrics(&mut metrics);
        metrics
    }

    fn add_phase_metrics(&self, metrics: &mut Metrics) {
        metrics.flag("ready", "Whether the proxy calls itself ready.", self.phase.is_ready());
        let help = "Time from the start until it was ready; -1 before.";
        metrics.time_taken("ready_after_seconds", help, self.phase.ready_after());
        let revision = self.configuration.borrow().as_ref().map_or(0, |held| held.revision);
        metrics.gauge("revision", "Revision of the configuration in force.", revision as f64);
        metrics.gauge("sequence", "Number of the newest control state.", self.sequence.get() as f64);
        let epoch = self.plan.borrow().epoch;
        metrics.gauge("storage_epoch", "Number of the storage plan that it goes by.", epoch as f64);
    }

    fn add_request_metrics(&self, metrics: &mut Metrics) {
        metrics.gauge(
            "requests_open",
            "Requests that are being answered.",
            self.phase.open_requests() as f64,
        );
        let work = self.phase.shutdown().open() as f64;
        metrics.gauge(
            "work_open",
            "The listener, connections of clients, and writes that none waits for.",
            work,
        );
        let requests = [("client", self.counts.requests())];
        metrics.counters("requests", "Requests of clients.", "from", &requests);
        let connections = [("endpoint", self.pools.opened())];
        metrics.counters("connections_opened", "Connections opened by this proxy.", "to", &connections);
        let help = "Sends to endpoints that brought no answer to pass on.";
        metrics.counters("sends_missed", help, "cause", &self.counts.failures());
        let help = "Requests that the proxy answered itself; none of them ran.";
        metrics.counters("refusals", help, "cause", &self.counts.refusals());
    }

    fn add_answer_metrics(&self, metrics: &mut Metrics) {
        self.cut_offs.add_metrics(metrics);
        let memory = self.answers.memory();
        let help = "Memory that answers of endpoints take until they are passed on.";
        metrics.gauge("answer_bytes_held", help, memory.used_bytes() as f64);
        let help = "Memory that answers of endpoints may take.";
        metrics.gauge("answer_bytes_max", help, memory.max_bytes() as f64);
    }

    fn add_service_metrics(&self, metrics: &mut Metrics) {
        let now = self.clock.now();
        let endpoints = self.endpoints.borrow();
        let services = endpoints.services();
        let each = |value: &dyn Fn(&str) -> f64| -> Vec<(String, f64)> {
            services.iter().map(|service| (service.clone(), value(service))).collect()
        };
        let usable = each(&|service| endpoints.usable(service) as f64);
        metrics.gauges("endpoints_usable", "Endpoints that may be called.", "service", &usable);
        let slowdown = each(&|service| endpoints.slowdown(now, service));
        metrics.gauges("stretch", "Time of streams over their time at idle endpoints.", "service", &slowdown);
        let level = each(&|service| endpoints.level(service));
        metrics.gauges("admission_level", "Part of the programs that may begin.", "service", &level);
        let reading = each(&|service| endpoints.token_ms(service));
        metrics.gauges("token_milliseconds", "Learnt time to read a token.", "service", &reading);
        let writing = each(&|service| endpoints.event_ms(service));
        metrics.gauges("event_milliseconds", "Learnt time to write an event.", "service", &writing);
    }
}
