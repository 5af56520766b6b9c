//! Estimate of the prompt parts in an endpoint's cache. Performs no I/O.

use std::collections::{BTreeMap, HashMap};

/// One part of a prompt, identified together with all parts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Hash over the ids of this part and those before it: a cached part is usable only after the same parts.
    pub chain: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Parses `Prompt-Prefix`: comma-separated `ID:TOKENS` with a hexadecimal ID. An invalid item ends the list.
pub fn parse(header: &str) -> Vec<Part> {
    let mut chain = 0;
    let mut parts = Vec::new();
    for item in header.split(',') {
        let Some((id, tokens)) = item.trim().split_once(':') else { break };
        let Ok(tokens) = tokens.trim().parse() else { break };
        chain = xxhash_rust::xxh3::xxh3_64_with_seed(id.trim().as_bytes(), chain);
        parts.push(Part { chain, tokens });
    }
    parts
}

/// Total number of tokens.
pub fn tokens(parts: &[Part]) -> u64 {
    parts.iter().map(|part| u64::from(part.tokens)).sum()
}

/// Least-recently-used estimate of one endpoint's cache.
#[derive(Debug, Default)]
pub struct Cache {
    parts: HashMap<u64, (u32, u64)>,
    order: BTreeMap<u64, u64>,
    tokens: u64,
    last_use: u64,
}

impl Cache {
    /// Leading tokens of a prompt whose parts are cached. A session's part counts in full although it grows: this value
    /// is used for choosing an endpoint, so that a session stays at its endpoint.
    pub fn held(&self, parts: &[Part]) -> u64 {
        let is_held = |part: &&Part| self.parts.contains_key(&part.chain);
        parts.iter().take_while(is_held).map(|part| u64::from(part.tokens)).sum()
    }

    /// Leading tokens of a prompt that were read before. Of a session's part, which grows from turn to turn under one
    /// id, the previous length counts.
    pub fn read_before(&self, parts: &[Part]) -> u64 {
        let mut held = 0;
        for part in parts {
            let Some((tokens, _)) = self.parts.get(&part.chain) else { break };
            held += u64::from(part.tokens.min(*tokens));
            if *tokens < part.tokens {
                break;
            }
        }
        held
    }

    /// Records a prompt sent to the endpoint; `capacity` is the size of the endpoint's cache in tokens.
    pub fn note(&mut self, parts: &[Part], capacity: u64) {
        for part in parts {
            self.last_use += 1;
            if let Some((tokens, last_use)) = self.parts.insert(part.chain, (part.tokens, self.last_use)) {
                self.order.remove(&last_use);
                self.tokens -= u64::from(tokens);
            }
            self.tokens += u64::from(part.tokens);
            self.order.insert(self.last_use, part.chain);
        }
        while self.tokens > capacity {
            let Some((_, chain)) = self.order.pop_first() else { break };
            if let Some((tokens, _)) = self.parts.remove(&chain) {
                self.tokens -= u64::from(tokens);
            }
        }
    }

    /// Clears the estimate: the endpoint has restarted.
    pub fn clear(&mut self) {
        *self = Cache::default();
    }
}
