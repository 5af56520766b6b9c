//! Which endpoints a prompt is meant for, so that relays that know nothing of each other agree. Pure.
//!
//! A first part, shared by many programs, has several homes; a program has one of these as its own. So a turn that comes
//! through another relay than the one before it finds its prompt read already.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EndpointKey;

/// The homes of one prompt.
#[derive(Debug, Default)]
pub(super) struct Homes {
    first_part: Vec<EndpointKey>,
    program: Option<EndpointKey>,
}

impl Homes {
    /// Chooses `count` homes among endpoints, given with their ids, by rendezvous over the first part, and the program's
    /// own by rendezvous over these.
    pub(super) fn choose(
        endpoints: &[(EndpointKey, &str)], first_part: u64, program: Option<&str>, count: usize,
    ) -> Homes {
        let mut ranked: Vec<(u64, EndpointKey, &str)> = endpoints
            .iter()
            .map(|(key, id)| (xxh3_64_with_seed(id.as_bytes(), first_part), *key, *id))
            .collect();
        ranked.sort_unstable_by_key(|(weight, _, _)| std::cmp::Reverse(*weight));
        ranked.truncate(count);
        let weight = |program: &str, id: &str| {
            xxh3_64_with_seed(id.as_bytes(), xxh3_64_with_seed(program.as_bytes(), first_part))
        };
        let own = program.and_then(|program| ranked.iter().max_by_key(|(_, _, id)| weight(program, id)));
        Homes {
            program: own.map(|(_, key, _)| *key),
            first_part: ranked.into_iter().map(|(_, key, _)| key).collect(),
        }
    }

    /// Whether an endpoint is one of the first part's homes.
    pub(super) fn has_first_part(&self, key: EndpointKey) -> bool {
        self.first_part.contains(&key)
    }

    /// Whether an endpoint is the program's own.
    pub(super) fn is_of_program(&self, key: EndpointKey) -> bool {
        self.program == Some(key)
    }
}
