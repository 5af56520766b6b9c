//! Which endpoints a prompt is meant for, so that relays that know nothing of each other agree. Pure.
//!
//! A first part, shared by many programs, has several homes; a program has one of these as its own. So a turn that comes
//! through another relay than the one before it finds its prompt read already.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EndpointKey;

/// The homes of one prompt.
#[derive(Debug, Default)]
pub(super) struct Affinity {
    prefix: Vec<EndpointKey>,
    program: Option<EndpointKey>,
}

impl Affinity {
    /// Chooses `count` homes among endpoints, given with their ids, by rendezvous over the first part, and the program's
    /// own by rendezvous over these.
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

    /// Whether an endpoint is one of the first part's homes.
    pub(super) fn is_preferred_for_prefix(&self, key: EndpointKey) -> bool {
        self.prefix.contains(&key)
    }

    /// Whether an endpoint is the program's own.
    pub(super) fn is_preferred_for_program(&self, key: EndpointKey) -> bool {
        self.program == Some(key)
    }
}
