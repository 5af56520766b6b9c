//! Preferred endpoints of a prompt, computed so that relays agree without communicating. Performs no I/O.
//!
//! A first prompt part, which many programs share, has several preferred endpoints; each program prefers one of them. A
//! turn that arrives through a different relay than the previous turn is therefore sent to an endpoint that already has
//! the prompt in its cache.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EndpointKey;

/// Preferred endpoints of one prompt.
#[derive(Debug, Default)]
pub(super) struct Affinity {
    prefix: Vec<EndpointKey>,
    program: Option<EndpointKey>,
}

impl Affinity {
    /// Selects `count` preferred endpoints from endpoints with their ids by rendezvous hashing over the first part, and
    /// the program's endpoint from these by rendezvous hashing over the program.
    pub(super) fn rank(
        endpoints: &[(EndpointKey, &str)], prefix: u64, program: Option<&str>, count: usize,
    ) -> Affinity {
        let mut ranked: Vec<(u64, EndpointKey, &str)> =
            endpoints.iter().map(|(key, id)| (xxh3_64_with_seed(id.as_bytes(), prefix), *key, *id)).collect();
        ranked.sort_unstable_by_key(|(weight, _, _)| std::cmp::Reverse(*weight));
        ranked.truncate(count);
        let weight = |program: &str, id: &str| {
            xxh3_64_with_seed(id.as_bytes(), xxh3_64_with_seed(program.as_bytes(), prefix))
        };
        let own = program.and_then(|program| ranked.iter().max_by_key(|(_, _, id)| weight(program, id)));
        Affinity {
            program: own.map(|(_, key, _)| *key),
            prefix: ranked.into_iter().map(|(_, key, _)| key).collect(),
        }
    }

    /// Whether an endpoint is preferred for the first part.
    pub(super) fn is_preferred_for_prefix(&self, key: EndpointKey) -> bool {
        self.prefix.contains(&key)
    }

    /// Whether an endpoint is preferred for the program.
    pub(super) fn is_preferred_for_program(&self, key: EndpointKey) -> bool {
        self.program == Some(key)
    }
}
