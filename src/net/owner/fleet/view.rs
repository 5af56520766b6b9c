//! Local state that is reported to other relays on request.

use super::*;
use crate::api::Health;
use onyxstile_peers::facts::{Kind, Sight};
use onyxstile_peers::{About, Fact, Own};

/// Age at which a health record of a server is no longer reported.
const HEALTH_RECORD_MAX_AGE: Duration = Duration::from_secs(60);

/// Local state at the time of a request.
pub(super) struct View<'a> {
    pub(super) core: &'a Core<Rc<Parcel>>,
    pub(super) directory: &'a Directory,
    pub(super) journal: &'a Journal,
    pub(super) book: &'a Book,
    pub(super) about: About,
    pub(super) now: Duration,
}

impl Own for View<'_> {
    fn about(&self) -> About {
        self.about
    }

    fn facts(&self) -> Vec<Fact> {
        let ms = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
        let mut facts = Vec::new();
        let ledger = self.journal.ledger();
        for (uid, until) in ledger.waits.iter().filter(|(_, until)| **until > self.now) {
            let kind = Kind::Wait(ms(*until - self.now));
            facts.push(Fact { of: name_digest(uid), age_ms: 0, kind });
        }
        facts.extend(ledger.bans.iter().map(|uid| Fact { of: name_digest(uid), age_ms: 0, kind: Kind::Ban }));
        for uid in self.directory.draining() {
            facts.push(Fact { of: name_digest(uid), age_ms: 0, kind: Kind::Drain });
        }
        for (no, health, last_response, limit) in self.core.health_records() {
            let of = name_digest(&self.directory.uid(no));
            let (observed, at) = match health {
                Health::Well => (Sight::Well, last_response),
                Health::Warming(since) => (Sight::Warming, since),
                Health::Down => (Sight::Down, self.now),
            };
            let age = self.now.saturating_sub(at);
            if age <= HEALTH_RECORD_MAX_AGE {
                facts.push(Fact { of, age_ms: ms(age), kind: Kind::Sight(observed) });
                if limit > 0.0 {
                    facts.push(Fact { of, age_ms: ms(age), kind: Kind::Limit((limit * 1e3) as u32) });
                }
            }
        }
        facts
    }

    fn fate(&self, digest: u64) -> Option<FlowFate> {
        self.book.fate(digest)
    }

    fn whole_s(&self) -> u32 {
        self.book.whole_for(self.now).as_secs() as u32
    }
}
