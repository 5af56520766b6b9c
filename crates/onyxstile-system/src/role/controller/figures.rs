//! What a controller tells of itself in figures.

use super::Node;
use crate::metrics::Metrics;

impl Node {
    /// The figures of this moment.
    pub(super) fn figures(&self) -> Metrics {
        let mut figures = Metrics::default();
        self.tell_view(&mut figures);
        self.tell_state(&mut figures);
        self.tell_registry(&mut figures);
        self.tell_relays(&mut figures);
        figures
    }

    fn tell_view(&self, figures: &mut Metrics) {
        let controller = self.controller.borrow();
        let view = controller.view();
        figures.gauge(
            "view",
            "Number of the view that this controller has installed; 0 for none.",
            controller.installed() as f64,
        );
        let electors = view.map_or(0, |view| view.electors.len());
        figures.gauge("electors", "Core machines that vote on views.", electors as f64);
        let chain = view.map_or(0, |view| view.chain.len());
        figures.gauge("chain_members", "Core machines that hold every write.", chain as f64);
        figures.flag("head", "Whether this controller takes writes.", controller.is_head());
        let waiting = controller.waiting_writes();
        figures.gauge("writes_waiting", "Writes that wait here or are under way.", waiting as f64);
        figures.flag("disk_refuses", "Whether the disk refuses a write.", self.unwritten.borrow().is_some());
    }

    fn tell_state(&self, figures: &mut Metrics) {
        let controller = self.controller.borrow();
        figures.flag("sure", "Whether relays count on what this controller holds.", self.is_sure());
        let help = "Time from the start until it was sure first; -1 before.";
        figures.time_taken("sure_after_seconds", help, self.sure_after.get());
        let Some(state) = controller.committed_state() else { return };
        figures.gauge("sequence", "Number of the newest write that is told.", state.sequence as f64);
        figures.gauge("revision", "Revision of the configuration that is told.", state.revision() as f64);
        figures.gauge("storage_epoch", "Number of the storage plan.", state.storage.epoch as f64);
        let is_changing = state.storage.is_changing();
        figures.flag(
            "storage_changing",
            "Whether storage machines copy for a change of the plan.",
            is_changing,
        );
    }

    fn tell_registry(&self, figures: &mut Metrics) {
        let counts: Vec<(String, f64)> = self
            .registry
            .borrow()
            .counts()
            .into_iter()
            .map(|(kind, count)| (kind.to_owned(), count as f64))
            .collect();
        figures.gauges(
            "endpoints",
            "Endpoints that this controller knows, by how far they are.",
            "stage",
            &counts,
        );
        let suspects = self.evidence.borrow().suspects(self.clock.now()).len();
        figures.gauge(
            "suspects",
            "Endpoints that fail calls by what relays tell this controller.",
            suspects as f64,
        );
    }

    fn tell_relays(&self, figures: &mut Metrics) {
        let revision = self.controller.borrow().committed_state().map_or(0, |state| state.revision());
        let relays = self.relays.borrow();
        let heard = relays.count(self.clock.now()).unwrap_or(0);
        figures.gauge("relays", "Relays that asked in the last 5 s; 0 in the first 5 s.", f64::from(heard));
        let behind = relays.behind(revision);
        figures.gauge("relays_behind", "Relays that have an older configuration in force.", behind as f64);
    }
}
