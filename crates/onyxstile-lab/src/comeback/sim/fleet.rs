//! What relays tell each other, and the order of their return.

use super::*;

pub(super) struct View<'a>(pub(super) &'a [Fact], pub(super) u32, pub(super) u32);

impl Own for View<'_> {
    fn about(&self) -> About {
        About { life: Life::UNKNOWN, up_s: self.1, sound_s: self.2, list_rev: 7, clock_ms: 0 }
    }
    fn facts(&self) -> Vec<Fact> {
        self.0.to_vec()
    }
    fn fate(&self, _: u64) -> Option<Fate> {
        None
    }
    fn whole_s(&self) -> u32 {
        self.1
    }
}

impl Sim {
    /// What the relay knows of partners, for others who ask.
    pub(super) fn see(&mut self, i: usize) {
        let (now, r) = (self.now, &mut self.relays[i]);
        if r.peers.is_none() || !r.kept {
            return;
        }
        r.facts = r
            .core
            .health_records()
            .flat_map(|(no, health, heard, told)| {
                let sight = match health {
                    onyxstile::api::Health::Well => Sight::Well,
                    onyxstile::api::Health::Warming(_) => Sight::Warming,
                    onyxstile::api::Health::Down => Sight::Down,
                };
                let age_ms = now.saturating_sub(heard).as_millis() as u32;
                let limit = (told > 0.0).then_some(Kind::Limit((told * 1e3) as u32));
                [Some(Kind::Sight(sight)), limit].into_iter().flatten().map(move |kind| Fact {
                    of: no.0,
                    age_ms,
                    kind,
                })
            })
            .filter(|f| f.age_ms < 60_000)
            .collect();
    }

    pub(super) fn heed(&mut self, i: usize, said: Vec<Said>) {
        for said in said {
            match said {
                Said::Send(to, bytes) => {
                    if self.now >= BASE + BACK && !self.relays[i].kept {
                        (self.notes.0, self.notes.1) = (self.notes.0 + 1, self.notes.1 + bytes.len() as u64);
                    }
                    if u64::from(self.rng.next_u32() % 100) >= LOST_PERCENT {
                        let late = 2 + u64::from(self.rng.next_u32()) % NOTE_MS;
                        self.push(
                            self.now + Duration::from_millis(late),
                            What::Note { to: to.0.into(), bytes },
                        );
                    }
                }
                Said::Heard(node, _, heard) => {
                    let r = &mut self.relays[i];
                    match heard {
                        Heard::Answer(Answer::Who(..)) => {
                            r.asked += 1;
                            let patience = Duration::from_millis(500);
                            if let Some(p) = &mut r.peers {
                                p.ask(node, Question::Facts(0), self.now, patience);
                            }
                        }
                        Heard::Answer(Answer::Facts(facts, _)) => {
                            let about =
                                r.peers.as_ref().and_then(|p| p.roster.get(node)).and_then(|s| s.about);
                            r.evidence.take(&facts, about.is_some_and(|(a, _)| a.sound_s >= 14));
                        }
                        _ => {}
                    }
                    r.asked = r.asked.saturating_sub(1);
                    if r.asked == 0 {
                        let sound = r.evidence.any_sound;
                        self.turn(i, Turn::ListHad);
                        self.turn(i, Turn::PeersHeard { sound });
                    }
                }
                Said::Turn(..) | Said::Overtaken(_) => {}
            }
        }
        if let Some(at) = self.relays[i].peers.as_ref().map(Peers::next) {
            self.wake(i, at);
        }
    }

    pub(super) fn turn(&mut self, i: usize, turn: Turn) {
        let Some(orders) = self.relays[i].ret.as_mut().map(|r| r.on(turn, self.now)) else { return };
        for order in orders {
            match order {
                Order::AskPeers(patience) => {
                    let now = self.now;
                    let r = &mut self.relays[i];
                    if let Some(p) = &mut r.peers {
                        let mut others: Vec<_> = p.others().collect();
                        while others.len() > 16 {
                            let no = self.rng.next_u32() as usize % others.len();
                            others.swap_remove(no);
                        }
                        r.asked = others.len();
                        for to in others {
                            p.ask(to, Question::Who, now, patience);
                        }
                        let said = p.tick(now);
                        self.heed(i, said);
                    }
                }
                Order::Entered(_, Stage::Owed, ..) => {
                    let r = &mut self.relays[i];
                    for p in 0..PARTNERS {
                        let w = r.evidence.of(p as u32);
                        if !(r.evidence.any_sound && w.sight.is_some_and(|(s, _)| s == Sight::Well)) {
                            r.core.update_entries(vec![entry(p, ListState::Draining)], false);
                            r.core.update_entries(vec![entry(p, ListState::Live)], false);
                        }
                        if let Some(rate) = w.limit {
                            let report = LimitReport { left: 0.0, rate: f64::from(rate) / 1e3 };
                            r.core.probe_ended(EndpointId(p as u32), Outcome::Success, Some(report));
                        }
                    }
                }
                Order::Admit(length) => self.relays[i].ramp = Some(Ramp::new(self.now, length, &[2.0, 1.0])),
                _ => {}
            }
        }
        if let Some(due) = self.relays[i].ret.as_ref().and_then(Return::due) {
            self.wake(i, due);
        }
    }
}
