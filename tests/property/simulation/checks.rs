//! Kills, steps, and the checks of each effect.

use super::*;

impl Simulation {
    /// The process dies in the middle of a step; the next one starts some time later.
    pub(super) fn kill(&mut self) {
        let how = match self.rng.below(3) {
            0 => Kill::Unwritten,
            1 => Kill::Torn(1 + self.rng.below(60)),
            _ => Kill::Written,
        };
        self.observe("killed with calls in flight", !self.out.is_empty());
        self.observe("killed with a torn journal", matches!(how, Kill::Torn(_)));
        self.step(Some(how));
        // Its connections break with it: calls in flight may have run.
        for o in std::mem::take(&mut self.out) {
            let f = self.flows.get_mut(&o.flow).unwrap();
            (f.out, f.risk) = (None, f.risk.or(Some((o.sent, o.server))));
        }
        self.ended.clear();
        self.probes.clear();
        self.waits.clear();
        self.now += ms(self.rng.below(3000));
        let list: Vec<_> =
            self.listed.iter().filter(|(_, l)| l.1 != ListState::Gone).map(|(s, l)| (s.0, *l)).collect();
        let list = list.into_iter().map(|(s, l)| self.entry(s, l.0, l.1)).collect();
        self.relay.restart(list, self.now);
        // Flows in the journal must be completed; flows without a record were never accepted, or have ended.
        let ledger = self.relay.journal.ledger();
        let (open, notified): (Vec<_>, Vec<_>) =
            (ledger.open.keys().copied().collect(), ledger.owed.keys().copied().collect());
        let mut lost = vec![];
        for (no, f) in &mut self.flows {
            f.accepted |= open.contains(no);
            f.survived |= open.contains(no);
            // The cancellation was not written: the flow continues.
            f.over &= !open.contains(no);
            if !open.contains(no) && !f.over {
                // Ended by a pending notice, delivered in the step that died, or never accepted.
                let accounted = notified.contains(no) || f.risk.is_some() || !f.accepted;
                if !accounted {
                    lost.push(*no);
                }
                f.over = true;
            }
        }
        self.check(Rule::OneAnswer, lost.is_empty(), || format!("{lost:?} lost in a kill"));
        let due = self.flows.values().filter(|f| !f.over && f.deadline < self.now).count();
        self.observe("deadline passed while no process ran", due > 0);
        self.killed = true;
        self.step(None);
    }

    pub(super) fn step(&mut self, kill: Option<Kill>) {
        let Some(effects) = self.relay.step(self.now, kill) else { return };
        for effect in effects {
            match effect {
                RelayEffect::Accepted(no, _) => {
                    let f = self.flows.get_mut(&no).unwrap();
                    assert!(!f.accepted && !f.over, "accepted twice: {no:?}");
                    f.accepted = true;
                }
                RelayEffect::Rejected(no, ..) => self.answered(no, false, "rejected"),
                RelayEffect::Ended(no, _, how) => {
                    let returned = matches!(how, End::Returned(_));
                    let what = match how {
                        End::Delivered => "delivered",
                        End::Returned(_) => "refused",
                        _ => "failed",
                    };
                    self.answered(no, returned, what);
                    if how != End::Delivered {
                        self.relay.notice_delivered(no);
                    }
                }
                RelayEffect::Call { flow, attempt, server, give_up_at, .. } => {
                    self.call(flow, attempt, server, give_up_at)
                }
                RelayEffect::StopCall(flow, attempt) => {
                    let at = self.out.iter().position(|o| (o.flow, o.attempt) == (flow, attempt));
                    if let Some(n) = at {
                        self.observe("a call cancelled for its slot", true);
                        self.end(n, Outcome::Withdrawn);
                    }
                }
                RelayEffect::Probe(server) => {
                    self.sent_to(server);
                    self.probes.push(server);
                }
                _ => {}
            }
        }
        if self.relay.core.has_events() {
            return self.step(None);
        }
        let late: Vec<_> = self
            .flows
            .iter()
            .filter(|(_, f)| f.accepted && !f.over && self.now > f.deadline + ms(20))
            .map(|(no, _)| *no)
            .collect();
        self.check(Rule::OneAnswer, late.is_empty(), || format!("{late:?} without an answer in time"));
    }

    pub(super) fn answered(&mut self, no: FlowNo, returned: bool, what: &'static str) {
        let f = self.flows.get_mut(&no).unwrap();
        let (over, risk, class) = (std::mem::replace(&mut f.over, true), f.risk, f.class);
        let early = self.now + ms(30) < f.deadline;
        self.check(Rule::OneAnswer, !over, || format!("{no:?} answered twice, now {what}"));
        let keyed_to_all =
            matches!(self.settings.classes[1].effect, Effect::Keyed { group: RepeatGroup::All, .. });
        let harmless = risk.is_none() || class == 0 || class == 1 && keyed_to_all;
        self.check(Rule::Bounds, !returned || harmless, || format!("{no:?} may have run and was refused"));
        self.observe(what, true);
        self.observe(
            "given up at once, as it may have run",
            what == "failed" && class == 2 && risk.is_some() && early,
        );
        self.observe("ended after a kill", self.killed);
    }

    /// Checks that a send to a real server respects drains and waits.
    pub(super) fn sent_to(&mut self, server: ServerNo) {
        let listed = self.listed.get(&server).is_some_and(|l| l.1 == ListState::Live);
        self.check(Rule::Drains, listed, || format!("{server:?} was sent to, and is not listed"));
        let others = self.listed.values().filter(|l| l.1 == ListState::Draining).count();
        self.observe("sent while others drain", others > 0);
        let its = limiter_of(server, self.listed.get(&server).map_or(ALL[0], |l| l.0));
        let wait = self.waits.get(&its).copied().unwrap_or_default();
        self.check(Rule::Waits, self.now >= wait, || format!("{server:?} was sent to within its wait"));
        let ended = !wait.is_zero() && self.now < wait + ms(300);
        self.observe("sent soon after a wait", ended);
        let now = self.now;
        let elsewhere = self.waits.iter().any(|(b, until)| *b != its && now < *until);
        self.observe("sent during a wait of others", elsewhere);
    }

    pub(super) fn call(&mut self, flow: FlowNo, attempt: u32, server: ServerNo, give_up_at: Duration) {
        self.sent_to(server);
        let f = &self.flows[&flow];
        let (class, risk, calls) = (f.class, f.risk, f.calls);
        let s = &self.settings;
        let open = f.accepted && !f.over && self.now < f.deadline && give_up_at <= f.deadline;
        self.check(Rule::OneAnswer, open, || format!("{flow:?} was sent after its end or its deadline"));
        self.check(Rule::Concurrency, f.out.is_none(), || format!("{flow:?} is in flight twice"));
        self.check(Rule::Drains, self.listed[&server].0 == f.to, || {
            format!("{flow:?} was sent to a server of another destination")
        });
        let zone = |s: ServerNo| s.0 % 2;
        let allowed = match (risk, s.classes[class].effect) {
            (None, _) | (_, Effect::Repeatable) => true,
            (Some(_), Effect::Once) => false,
            (Some((sent, at)), Effect::Keyed { group, window }) => {
                let known = match group {
                    RepeatGroup::All => true,
                    RepeatGroup::Zone => zone(at) == zone(server),
                    RepeatGroup::Endpoint => at == server,
                };
                known && self.now < sent + window
            }
        };
        let most = s.max_attempts;
        self.check(Rule::Bounds, allowed && calls < most, || {
            format!("{flow:?} sent again: {calls} calls, {risk:?}")
        });
        self.observe("once: resent after proof that it was not executed", class == 2 && calls > 0);
        self.observe("keyed: resent within its window", class == 1 && risk.is_some());
        self.observe("repeatable: resent though it may have run", class == 0 && risk.is_some());
        self.observe("resent", calls > 0);
        self.observe("resent by another process", calls > 0 && self.flows[&flow].survived);
        let f = self.flows.get_mut(&flow).unwrap();
        (f.out, f.calls) = (Some(attempt), calls + 1);
        self.out.push(Out { flow, attempt, server, sent: self.now, give_up_at });
    }
}
