//! Metrics of a controller.

use super::ControllerServer;
use crate::metrics::Metrics;

impl ControllerServer {
    /// Current metric values.
    pub(super) fn collect_metrics(&self) -> Metrics {
        let mut metrics = Metrics::default();
        self.add_view_metrics(&mut metrics);
        self.add_state_metrics(&mut metrics);
        self.add_registry_metrics(&mut metrics);
        self.add_relay_metrics(&mut metrics);
        self.load.add_metrics(&mut metrics);
        metrics
    }

    fn add_view_metrics(&self, metrics: &mut Metrics) {
        let controller = self.controller.borrow();
        let view = controller.view();
        metrics.gauge(
            "view",
            "Number of the view that this controller has installed; 0 for none.",
            controller.installed() as f64,
        );
        let electors = view.map_or(0, |view| view.electors.len());
        metrics.gauge("electors", "Core machines that vote on views.", electors as f64);
        let chain = view.map_or(0, |view| view.chain.len());
        metrics.gauge("chain_members", "Core machines that store every write.", chain as f64);
        metrics.flag("head", "Whether this controller accepts writes.", controller.is_head());
        let pending = controller.waiting_writes();
        metrics.gauge("writes_waiting", "Writes that are queued here or in progress.", pending as f64);
        metrics.flag("disk_refuses", "Whether the disk refuses writes.", self.unwritten.borrow().is_some());
    }

    fn add_state_metrics(&self, metrics: &mut Metrics) {
        let controller = self.controller.borrow();
        metrics.flag(
            "sure",
            "Whether this controller is settled, so that relays rely on its data.",
            self.is_settled(),
        );
        let help = "Time from the start until it was first settled; -1 before.";
        metrics.time_taken("sure_after_seconds", help, self.settled_after.get());
        let Some(state) = controller.committed_state() else { return };
        metrics.gauge("sequence", "Number of the newest published write.", state.sequence as f64);
        metrics.gauge("revision", "Revision of the published configuration.", state.revision() as f64);
        metrics.gauge("storage_epoch", "Number of the storage plan.", state.storage.epoch as f64);
        let is_changing = state.storage.is_changing();
        metrics.flag(
            "storage_changing",
            "Whether storage machines are copying data for a change of the plan.",
            is_changing,
        );
    }

    fn add_registry_metrics(&self, metrics: &mut Metrics) {
        let counts: Vec<(String, f64)> = self
            .registry
            .borrow()
            .counts()
            .into_iter()
            .map(|(kind, count)| (kind.to_owned(), count as f64))
            .collect();
        metrics.gauges("endpoints", "Endpoints that this controller knows, by stage.", "stage", &counts);
        let suspects = self.evidence.borrow().suspects(self.clock.now()).len();
        metrics.gauge(
            "suspects",
            "Endpoints that fail calls according to the reports of relays.",
            suspects as f64,
        );
    }

    fn add_relay_metrics(&self, metrics: &mut Metrics) {
        let revision = self.controller.borrow().committed_state().map_or(0, |state| state.revision());
        let relays = self.relays.borrow();
        let relay_count = relays.count(self.clock.now()).unwrap_or(0);
        metrics.gauge(
            "relays",
            "Relays that polled in the last 5 s; 0 in the first 5 s.",
            f64::from(relay_count),
        );
        let behind = relays.behind(revision);
        metrics.gauge("relays_behind", "Relays that use an older configuration.", behind as f64);
    }
}
