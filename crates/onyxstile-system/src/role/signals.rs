//! Signals of the platform, and settings files that change without one.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::settings::Settings;

/// How often the settings file is read again; it may change without a signal.
const REREAD_EVERY: Duration = Duration::from_secs(2);

/// Waits for SIGTERM.
pub async fn terminated() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            terminate.recv().await;
        }
        Err(error) => {
            log::error!("SIGTERM can't be heard: {error}");
            std::future::pending::<()>().await;
        }
    }
}

/// Calls `changed` with the settings after each SIGHUP and now and then; a file that can't be read changes nothing.
pub async fn reread(settings: Rc<RefCell<Settings>>, changed: impl Fn(&Settings)) {
    let mut hangups = signal(SignalKind::hangup()).ok();
    loop {
        let hung_up = async {
            match &mut hangups {
                Some(hangups) => {
                    hangups.recv().await;
                }
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = hung_up => log::info!("SIGHUP: reading the settings again"),
            () = tokio::time::sleep(REREAD_EVERY) => {}
        }
        match Settings::from_environment() {
            Ok(fresh) => {
                changed(&fresh);
                *settings.borrow_mut() = fresh;
            }
            Err(error) => log::warn!("{error}; the settings stay as they are"),
        }
    }
}
