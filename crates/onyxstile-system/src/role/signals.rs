//! Process signals, and reloading of the settings file, which may also change without a signal.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::settings::Settings;

/// Interval at which the settings file is read again; it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// SIGXFSZ on Linux, which all its architectures share.
const FILE_SIZE_SIGNAL: i32 = 25;

/// Signals of this process.
pub struct Signals {
    /// SIGTERM.
    pub termination: Termination,
    /// SIGHUP.
    pub hangups: Hangups,
}

impl Signals {
    /// Installs the signal handlers. Until then both signals terminate the process by default, so a process calls this
    /// first: before it reads its command line, sets up logging or reads its settings.
    pub fn listen() -> Signals {
        // With a handler, a write beyond the limit on file sizes fails; the default action ends the process.
        drop(register(SignalKind::from_raw(FILE_SIZE_SIGNAL), "SIGXFSZ"));
        Signals {
            termination: Termination(register(SignalKind::terminate(), "SIGTERM")),
            hangups: Hangups(register(SignalKind::hangup(), "SIGHUP")),
        }
    }

    /// Waits for either signal; for processes without a graceful shutdown.
    pub async fn wait_any(mut self) {
        tokio::select! {
            () = self.termination.received() => {}
            () = self.hangups.next() => {}
        }
    }
}

/// SIGTERM. A signal that arrives before the wait is not lost.
pub struct Termination(Option<Signal>);

impl Termination {
    /// Waits for SIGTERM.
    pub async fn received(&mut self) {
        match &mut self.0 {
            Some(signal) => {
                signal.recv().await;
            }
            None => std::future::pending().await,
        }
    }
}

/// SIGHUP. Signals that arrive while nothing waits are merged into one.
pub struct Hangups(Option<Signal>);

impl Hangups {
    /// Waits for the next SIGHUP.
    async fn next(&mut self) {
        match &mut self.0 {
            Some(signal) => {
                signal.recv().await;
            }
            None => std::future::pending().await,
        }
    }
}

fn register(kind: SignalKind, name: &str) -> Option<Signal> {
    // Logging is not set up yet.
    signal(kind)
        .inspect_err(|error| {
            drop(writeln!(std::io::stderr(), "cannot install the handler for {name}: {error}"))
        })
        .ok()
}

/// Reloads the settings after each SIGHUP and at a regular interval, and calls `changed` with them. A file that cannot be
/// read changes nothing.
pub async fn reload_settings(
    mut hangups: Hangups, settings: Rc<RefCell<Settings>>, changed: impl Fn(&Settings),
) -> Infallible {
    loop {
        tokio::select! {
            () = hangups.next() => log::info!("SIGHUP: reloading the settings"),
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        match Settings::from_environment() {
            Ok(fresh) => {
                // The command line gives the address of the metrics.
                let metrics = settings.borrow().metrics.clone();
                let fresh = Settings { metrics, ..fresh };
                changed(&fresh);
                *settings.borrow_mut() = fresh;
            }
            Err(error) => log::warn!("{error}; keeping the current settings"),
        }
    }
}
