//! States of the restart recovery: their end conditions and entry actions.

use super::*;

impl Owner {
    /// Remaining time for requests to other relays.
    pub(in crate::net::owner) fn asking_left(&self, now: Duration) -> Option<Duration> {
        let c = self.restart.as_ref().filter(|c| c.ret.stage() == RecoveryStage::AskingPeers)?;
        Some(c.asked_until.saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// Checks whether all answers have arrived.
    pub(in crate::net::owner) fn check_asked(&mut self, now: Duration) {
        let Some(fleet) = self.fleet.as_ref().filter(|f| f.asked.is_empty()) else { return };
        let (sound, has_rev, current) =
            (fleet.evidence.any_sound, fleet.peer_list_rev > 0, self.list_rev >= fleet.peer_list_rev);
        if has_rev && current {
            self.on_restart_event(Event::ListHad, now);
        }
        self.on_restart_event(Event::PeersHeard { sound }, now);
    }

    /// Applies an event to the recovery and carries out the resulting effects.
    pub(in crate::net::owner) fn on_restart_event(&mut self, event: Event, now: Duration) {
        let Some(effects) = self.restart.as_mut().map(|c| c.ret.on(event, now)) else { return };
        for effect in effects {
            match effect {
                RecoveryEffect::Entered(before, state, why, took) => {
                    let took_ms = took.as_millis() as u64;
                    tracing::info!(%state, %before, ?why, took_ms, "return");
                    if state == RecoveryStage::Owed {
                        self.pass_peer_facts(now);
                    }
                }
                RecoveryEffect::AskPeers(timeout) => self.ask_others(timeout, now),
                RecoveryEffect::GiveUpFolder => self.give_up_folder(),
                RecoveryEffect::TellOwed => self.with_restart(|c| c.notifying = true),
                RecoveryEffect::SettleOnce => self.recover_remaining(|c| c.once.clone()),
                RecoveryEffect::SendKeyed => self.recover_remaining(|c| c.left.clone()),
                RecoveryEffect::Admit(length) => {
                    let worth = self.worth.clone();
                    self.with_restart(|c| c.ramp = Some(Ramp::new(now, length, &worth)));
                }
                RecoveryEffect::SendKept => self.with_restart(|c| c.kept = true),
            }
        }
    }

    pub(super) fn with_restart(&mut self, change: impl FnOnce(&mut RestartRecovery)) {
        if let Some(c) = &mut self.restart {
            change(c);
        }
    }

    fn ask_others(&mut self, timeout: Duration, now: Duration) {
        let Some(mut others) = self.fleet.as_ref().map(|f| f.peers.others().collect::<Vec<NodeNo>>()) else {
            return;
        };
        self.with_restart(|c| {
            c.asked_until = now + timeout;
            while others.len() > MAX_PEERS_ASKED {
                let no = c.rng.next_u32() as usize % others.len();
                others.swap_remove(no);
            }
        });
        others.into_iter().for_each(|to| self.ask_about_loss(to, Question::Who, timeout));
        self.tick_fleet();
    }

    /// Checks the end conditions of the current state that depend on the journal.
    pub(in crate::net::owner) fn check_restart(&mut self) {
        self.write_start();
        let now = self.clock.now();
        let Some(c) = self.restart.as_ref().filter(|c| c.ret.stage() != RecoveryStage::Serving) else {
            return;
        };
        let ledger = self.journal.ledger();
        let over = |flows: &BTreeSet<FlowNo>| flows.iter().all(|no| !ledger.open.contains_key(no));
        let event = match c.ret.stage() {
            RecoveryStage::Owed if c.owed.iter().all(|no| !ledger.owed.contains_key(no)) => Event::OwedTold,
            RecoveryStage::Once if over(&c.once) => Event::OnceSettled,
            RecoveryStage::Keyed if over(&c.others) => Event::KeyedSettled,
            _ => Event::Tick,
        };
        self.on_restart_event(event, now);
        if self
            .restart
            .as_ref()
            .is_some_and(|c| c.ret.stage() != RecoveryStage::Serving && c.ret.due().is_some_and(|d| d <= now))
        {
            self.on_restart_event(Event::Tick, now);
        }
    }

    pub(in crate::net::owner) fn restart_due(&self) -> Option<Duration> {
        self.restart.as_ref().and_then(|c| c.start_retry_at.or(c.ret.due()))
    }

    /// A list version was received; it is current once it is not behind the versions of the other relays.
    pub(in crate::net::owner) fn list_received(&mut self, rev: u64) {
        let peer_rev = self.fleet.as_ref().map_or(0, |f| f.peer_list_rev);
        if rev >= peer_rev {
            self.on_restart_event(Event::ListHad, self.clock.now());
        }
        self.end_peer_holds(rev);
    }

    fn recover_remaining(&mut self, which: impl FnOnce(&RestartRecovery) -> BTreeSet<FlowNo>) {
        let Some(c) = &mut self.restart else { return };
        let flows: BTreeSet<FlowNo> = which(c).intersection(&c.left).copied().collect();
        c.left.retain(|no| !flows.contains(no));
        let loss = c.ret.loss();
        self.recover(&flows, loss);
    }

    /// Retry-after time if submissions of a class are rejected because service is still being restored.
    pub(in crate::net::owner) fn restart_retry_after(&mut self, class: usize) -> Option<Duration> {
        let now = self.clock.now();
        let c = self.restart.as_mut()?;
        let clamp = |wait: Duration| Some(wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1));
        let Some(ramp) = c.ramp.as_ref() else {
            return clamp(c.ret.due().map_or(RETRY_AFTER_RANGE.0, |due| due.saturating_sub(now)));
        };
        let share = ramp.share(class, now);
        if share >= 1.0 || f64::from(c.rng.next_u32()) / f64::from(u32::MAX) < share {
            return None;
        }
        clamp(ramp.come_back(now))
    }
}
