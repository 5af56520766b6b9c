//! Which parts of prompts an endpoint is believed to hold in its cache. Pure.

use std::collections::{BTreeMap, HashMap};

/// One part of a prompt with all parts before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// A hash over its id and those before it: a part is of use only behind the same parts.
    pub chain: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// Reads `Prompt-Prefix`: `ID:TOKENS` separated by commas, the ID in hex. What can't be read ends the list.
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

/// Tokens of all parts together.
pub fn tokens(parts: &[Part]) -> u64 {
    parts.iter().map(|part| u64::from(part.tokens)).sum()
}

/// A least-recently-used estimate of one endpoint's cache.
#[derive(Debug, Default)]
pub struct Cache {
    parts: HashMap<u64, (u32, u64)>,
    order: BTreeMap<u64, u64>,
    tokens: u64,
    stamp: u64,
}

impl Cache {
    /// Tokens at the front of a prompt whose parts are held, a session's part counted whole though it grows: what the choice of an
    /// endpoint goes by, so that a session stays where it is.
    pub fn held(&self, parts: &[Part]) -> u64 {
        let is_held = |part: &&Part| self.parts.contains_key(&part.chain);
        parts.iter().take_while(is_held).map(|part| u64::from(part.tokens)).sum()
    }

    /// Tokens at the front of a prompt that were read before: of a session's part, which grows from turn to turn under one id,
    /// as many as it had then.
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

    /// A prompt was sent there; `room` is what the endpoint's memory holds in tokens.
    pub fn note(&mut self, parts: &[Part], capacity: u64) {
        for part in parts {
            self.stamp += 1;
            if let Some((tokens, stamp)) = self.parts.insert(part.chain, (part.tokens, self.stamp)) {
                self.order.remove(&stamp);
                self.tokens -= u64::from(tokens);
            }
            self.tokens += u64::from(part.tokens);
            self.order.insert(self.stamp, part.chain);
        }
        while self.tokens > capacity {
            let Some((_, chain)) = self.order.pop_first() else { break };
            if let Some((tokens, _)) = self.parts.remove(&chain) {
                self.tokens -= u64::from(tokens);
            }
        }
    }

    /// Forgets everything: the endpoint started anew.
    pub fn clear(&mut self) {
        *self = Cache::default();
    }
}
