//! Callers that wait for a write of the registry.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use super::RegistryStore;
use crate::clock::Instant;
use crate::registry::Registry;

/// Guards against callers that have given up and still take memory while the disk does not answer.
#[test]
fn callers_that_no_longer_wait_are_forgotten_with_the_next_write() {
    // Without a thread, as if the disk did not answer.
    let store = RegistryStore {
        shared: Arc::default(),
        submitted: Cell::new(0),
        last_attempt: Cell::new(Instant::default()),
    };
    let registry = Registry::new(1, Duration::from_secs(1));
    for _ in 0..1000 {
        drop(store.write(&registry, true));
    }
    let _waiting = store.write(&registry, true);
    assert_eq!(store.shared.pending().answers.len(), 1);
}
