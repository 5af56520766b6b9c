//! Reading of the settings at the start of a process. A file that is missing, empty or half written is read again: it may be
//! about to be replaced.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use super::metrics;
use crate::clock::SteadyClock;
use crate::metrics::Metrics;
use crate::process::{self, Resource, StartWaits};
use crate::settings::{MetricsAddress, Settings};

/// Reads the settings until they can be used. Meanwhile the address of the machine is unknown, and metrics are served on
/// loopback.
pub async fn read_settings(endpoint: Option<&MetricsAddress>) -> Settings {
    if let Ok(settings) = Settings::from_environment() {
        return settings;
    }
    let clock = SteadyClock::start();
    let waits = Rc::new(StartWaits::new(clock));
    let read = waits.acquire(Resource::Settings, Settings::from_environment);
    let Some(endpoint) = endpoint else { return read.await };
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, endpoint.port);
    let metrics_waits = waits.clone();
    let collect = move || {
        let mut metrics = Metrics::default();
        process::add_metrics(&mut metrics, &metrics_waits);
        metrics
    };
    let serve_metrics = async {
        let listener = metrics::listen(&waits, address).await;
        metrics::serve(listener, endpoint.path.clone(), clock, collect).await
    };
    tokio::select! {
        settings = read => settings,
        never = serve_metrics => match never {},
    }
}
