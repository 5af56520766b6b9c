//! The states of a return: what ends each, and what is done as it is entered.

use super::*;

impl Owner {
    /// How long the others may still be asked.
    pub(in crate::net::owner) fn asking_left(&self, now: Duration) -> Option<Duration> {
        let c = self.comeback.as_ref().filter(|c| c.ret.stage() == At::AskingPeers)?;
        Some(c.asked_until.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// All answers may be there.
    pub(in crate::net::owner) fn check_asked(&mut self, now: Duration) {
        let Some(fleet) = self.fleet.as_ref().filter(|f| f.asked.is_empty()) else { return };
        let (sound, told, current) =
            (fleet.evidence.any_sound, fleet.told_rev > 0, self.list_rev >= fleet.told_rev);
        if told && current {
            self.on_return(Event::ListHad, now);
        }
        self.on_return(Event::PeersHeard { sound }, now);
    }

    /// Takes in what happened to the return, and does what follows.
    pub(in crate::net::owner) fn on_return(&mut self, event: Event, now: Duration) {
        let Some(orders) = self.comeback.as_mut().map(|c| c.ret.on(event, now)) else { return };
        for order in orders {
            match order {
                Order::Entered(before, state, why, took) => {
                    let took_ms = took.as_millis() as u64;
                    tracing::info!(%state, %before, ?why, took_ms, "return");
                    if state == At::Owed {
                        self.tell_module(now);
                    }
                }
                Order::AskPeers(patience) => self.ask_others(patience, now),
                Order::GiveUpFolder => self.give_up_folder(),
                Order::TellOwed => self.with_comeback(|c| c.telling = true),
                Order::SettleOnce => self.hand_over_left(|c| c.once.clone()),
                Order::SendKeyed => self.hand_over_left(|c| c.left.clone()),
                Order::Admit(length) => {
                    let worth = self.worth.clone();
                    self.with_comeback(|c| c.ramp = Some(Ramp::new(now, length, &worth)));
                }
                Order::SendKept => self.with_comeback(|c| c.kept = true),
            }
        }
    }

    pub(super) fn with_comeback(&mut self, change: impl FnOnce(&mut Comeback)) {
        if let Some(c) = &mut self.comeback {
            change(c);
        }
    }

    fn ask_others(&mut self, patience: Duration, now: Duration) {
        let Some(mut others) = self.fleet.as_ref().map(|f| f.peers.others().collect::<Vec<NodeNo>>()) else {
            return;
        };
        self.with_comeback(|c| {
            c.asked_until = now + patience;
            while others.len() > ASKED_MOST {
                let no = c.rng.next_u32() as usize % others.len();
                others.swap_remove(no);
            }
        });
        others.into_iter().for_each(|to| self.ask_of_loss(to, Question::Who, patience));
        self.tick_fleet();
    }

    /// The conditions of the present state, as far as they show in what is held.
    pub(in crate::net::owner) fn check_return(&mut self) {
        self.write_start();
        let now = self.clock.now();
        let Some(c) = self.comeback.as_ref().filter(|c| c.ret.stage() != At::Serving) else { return };
        let ledger = self.journal.ledger();
        let over = |flows: &BTreeSet<FlowNo>| flows.iter().all(|no| !ledger.open.contains_key(no));
        let event = match c.ret.stage() {
            At::Owed if c.owed.iter().all(|no| !ledger.owed.contains_key(no)) => Event::OwedTold,
            At::Once if over(&c.once) => Event::OnceSettled,
            At::Keyed if over(&c.others) => Event::KeyedSettled,
            _ => Event::Tick,
        };
        self.on_return(event, now);
        if self
            .comeback
            .as_ref()
            .is_some_and(|c| c.ret.stage() != At::Serving && c.ret.due().is_some_and(|d| d <= now))
        {
            self.on_return(Event::Tick, now);
        }
    }

    pub(in crate::net::owner) fn return_due(&self) -> Option<Duration> {
        self.comeback.as_ref().and_then(|c| c.unstarted.or(c.ret.due()))
    }

    /// The list came in a version: it is had once it is not behind what others have.
    pub(in crate::net::owner) fn list_came(&mut self, rev: u64) {
        let told = self.fleet.as_ref().map_or(0, |f| f.told_rev);
        if rev >= told {
            self.on_return(Event::ListHad, self.clock.now());
        }
        self.end_lent(rev);
    }

    fn hand_over_left(&mut self, which: impl FnOnce(&Comeback) -> BTreeSet<FlowNo>) {
        let Some(c) = &mut self.comeback else { return };
        let flows: BTreeSet<FlowNo> = which(c).intersection(&c.left).copied().collect();
        c.left.retain(|no| !flows.contains(no));
        let loss = c.ret.loss();
        self.recover(&flows, loss);
    }

    /// Whether an offer of a class is turned away because service is still returning, and for how long.
    pub(in crate::net::owner) fn not_yet(&mut self, class: usize) -> Option<Duration> {
        let now = self.clock.now();
        let c = self.comeback.as_mut()?;
        let clamp = |wait: Duration| Some(wait.clamp(STAY_AWAY.0, STAY_AWAY.1));
        let Some(ramp) = c.ramp.as_ref() else {
            return clamp(c.ret.due().map_or(STAY_AWAY.0, |due| due.saturating_sub(now)));
        };
        let share = ramp.share(class, now);
        if share >= 1.0 || f64::from(c.rng.next_u32()) / f64::from(u32::MAX) < share {
            return None;
        }
        clamp(ramp.come_back(now))
    }
}
