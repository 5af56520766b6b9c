//! What runs beside the service of a role from the first moment of the process on: metrics and reloading of the settings.

use std::cell::{OnceCell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;

use super::error::RoleError;
use super::metrics;
use super::signals::{self, Hangups, Termination};
use crate::clock::SteadyClock;
use crate::metrics::Metrics;
use crate::process::StartWaits;
use crate::settings::Settings;

/// The service of a role, once it has started.
pub trait Service {
    /// Current metric values.
    fn metrics(&self) -> Metrics;
    /// Applies settings that were read just now.
    fn apply_settings(&self, settings: &Settings);
}

/// Settings, clock and waits of a process, and its service once that has started.
pub struct Host<S> {
    /// The newest settings that were read.
    pub settings: Rc<RefCell<Settings>>,
    /// The clock of the process.
    pub clock: SteadyClock,
    /// What the start waits for.
    pub waits: StartWaits,
    service: OnceCell<Rc<S>>,
}

impl<S: Service + 'static> Host<S> {
    /// Creates the host of a service that has not started.
    pub fn new(settings: Settings) -> Rc<Host<S>> {
        let clock = SteadyClock::start();
        Rc::new(Host {
            settings: Rc::new(RefCell::new(settings)),
            clock,
            waits: StartWaits::new(clock),
            service: OnceCell::new(),
        })
    }

    /// Notes that the service has started.
    pub fn started(&self, service: S) -> Rc<S> {
        self.service.get_or_init(|| Rc::new(service)).clone()
    }

    /// Serves metrics and reloads the settings while `service` runs.
    pub async fn run(
        self: Rc<Host<S>>, hangups: Hangups, service: impl Future<Output = Result<(), RoleError>>,
    ) -> Result<(), RoleError> {
        let changed = |settings: &Settings| {
            if let Some(service) = self.service.get() {
                service.apply_settings(settings);
            }
        };
        tokio::select! {
            result = service => result,
            never = signals::reload_settings(hangups, self.settings.clone(), changed) => match never {},
            never = self.clone().serve_metrics() => match never {},
        }
    }

    async fn serve_metrics(self: Rc<Host<S>>) -> Infallible {
        let endpoint = self.settings.borrow().metrics.clone();
        let Some(endpoint) = endpoint else { return std::future::pending().await };
        let address = SocketAddrV4::new(self.settings.borrow().ip, endpoint.port);
        let listener = metrics::listen(&self.waits, address).await;
        let clock = self.clock;
        let collect = move || {
            let mut metrics = self.service.get().map_or_else(Metrics::default, |service| service.metrics());
            crate::process::add_metrics(&mut metrics, &self.waits);
            let limit_bytes = self.settings.borrow().limits.memory_bytes() as f64;
            let help = "Memory above which this process may be killed.";
            metrics.gauge("memory_limit_bytes", help, limit_bytes);
            metrics
        };
        metrics::serve(listener, endpoint.path, clock, collect).await
    }
}

/// Runs the start of a role; `None` if SIGTERM comes before its end.
pub async fn start_until_termination<T>(
    termination: &mut Termination, start: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        started = start => Some(started),
        () = termination.received() => {
            log::info!("SIGTERM during the start");
            None
        }
    }
}
