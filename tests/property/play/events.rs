//! What happens: clients, ends of calls, lists and waits.

use super::*;

impl Play {
    pub(super) fn events(&mut self) {
        let now = self.now;
        for _ in 0..self.dice.below(4) {
            let (class, to) = (self.dice.below(3) as usize, self.dice.pick(&ALL));
            let life = self.settings.classes[class].deadline;
            let life = if self.dice.percent(10) { ms(self.dice.below(30)) } else { life };
            if let Some(no) = self.relay.offer(class, to, now + life, now) {
                let deadline = now + life;
                let (taken, out, calls, risk, over, survived) = (false, None, 0, None, false, false);
                self.owed.insert(no, Owed { class, to, deadline, taken, out, calls, risk, over, survived });
            }
        }
        for _ in 0..self.dice.below(4).min(self.out.len() as u64) {
            let n = self.dice.below(self.out.len() as u64) as usize;
            if let Some(outcome) = self.answer(self.out[n].server) {
                self.end(n, outcome);
            }
        }
        for server in std::mem::take(&mut self.probes) {
            let outcome = self.answer(server).unwrap_or(Outcome::TimedOut);
            // A wait that a probe is told binds as any.
            let to = self.listed[&server].0;
            self.told(server, to, outcome);
            self.relay.core.probe_ended(server, outcome, None);
        }
        match self.dice.below(16) {
            0 | 1 => {
                let moods = [
                    None,
                    Some((Away::Errs, 0)),
                    Some((Away::Silent, 0)),
                    Some((Away::Refuses, 0)),
                    Some((Away::Shut, 0)),
                    Some((Away::Told, 700)),
                    Some((Away::Told, 4000)),
                ];
                let (to, mood) = (self.dice.pick(&ALL), self.dice.pick(&moods));
                self.moods.insert(to, mood);
            }
            2 | 3 => {
                let (server, state) = (
                    1 + self.dice.below(7) as u32,
                    self.dice.pick(&[ListState::Live, ListState::Draining, ListState::Gone]),
                );
                let mut news = vec![self.entry(server, place(server).0, state)];
                if self.dice.percent(20) {
                    // A list that contradicts itself: its last word holds.
                    let other = self.dice.pick(&[ListState::Live, ListState::Draining]);
                    news.push(self.entry(server, place(server).0, other));
                }
                self.list(news, false);
            }
            4 => {
                // The one that is alone, or one of three, belongs to somebody else now.
                let (server, to) = (self.dice.pick(&[3, 7]), self.dice.pick(&[ALL[0], ALL[2]]));
                let moved = self.entry(server, to, ListState::Live);
                self.list(vec![moved], false);
            }
            5 => {
                let kept: Vec<u32> = (1..=SERVERS).filter(|_| self.dice.percent(80)).collect();
                let whole = kept.into_iter().map(|s| self.entry(s, place(s).0, ListState::Live)).collect();
                self.list(whole, true);
            }
            6 => {
                let open: Vec<FlowNo> =
                    self.owed.iter().filter(|(_, f)| f.taken && !f.over).map(|(no, _)| *no).collect();
                if let Some(no) = open.get(self.dice.below(open.len() as u64) as usize).copied() {
                    let flow = self.owed.get_mut(&no).unwrap();
                    flow.over = true;
                    let out = flow.out.is_some();
                    self.saw(if out { "called off in flight" } else { "called off while held" }, true);
                    self.relay.cancel(no);
                }
            }
            7 | 8 if !self.ended.is_empty() => {
                // Late and doubled: what was heard already comes again.
                let out = |e: &CallEnd| self.owed.get(&e.flow).is_some_and(|f| f.out.is_some());
                let old: Vec<CallEnd> = self.ended.iter().copied().filter(out).collect();
                let newer = !old.is_empty();
                let again = self.dice.pick(if newer { &old } else { &self.ended });
                self.saw("an old end while another attempt is out", newer);
                self.saw("a doubled end", true);
                self.relay.core.call_ended(again);
            }
            9 => {
                let open = self.owed.iter().filter(|(_, f)| f.taken && !f.over).map(|(no, _)| no.0);
                let known: Vec<u64> = open.chain([1 << 40]).collect();
                let flow = self.dice.pick(&known);
                let outcome = self.dice.pick(&[
                    Outcome::Failure,
                    Outcome::TimedOut,
                    Outcome::Overloaded { wait: None },
                ]);
                let open = self.owed.get(&FlowNo(flow)).is_some_and(|f| f.taken && !f.over);
                self.saw("an unknown end of an open flow", open);
                self.relay.core.call_ended(stage::end(FlowNo(flow), 77, ServerNo(99), outcome, ms(1)));
            }
            10 if self.dice.percent(50) => return self.kill(),
            11 => {
                // A ban begins or ends; the list has not changed.
                let any = 1 + self.dice.below(u64::from(SERVERS)) as u32;
                let server = self.banned.first().copied().unwrap_or(any);
                let listed = self.listed.get(&ServerNo(server)).copied();
                let began = self.banned.insert(server) || !self.banned.remove(&server);
                if let Some((to, state)) = listed.filter(|l| l.1 != ListState::Gone) {
                    self.saw(
                        "banned with a call out",
                        began && self.out.iter().any(|o| o.server.0 == server),
                    );
                    let state = if state == ListState::Draining && !began { ListState::Live } else { state };
                    let entry = self.entry(server, to, state);
                    self.list(vec![entry], false);
                }
            }
            12 | 13 => {
                self.step(None);
                let upgraded = self.relay.upgrade();
                self.saw("upgraded", upgraded);
                self.saw("upgraded with calls out", upgraded && !self.out.is_empty());
                self.saw("upgraded within a wait", upgraded && self.waits.values().any(|w| *w > self.now));
                let held = self.listed.iter().any(|(s, l)| {
                    self.banned.contains(&s.0)
                        && self.owed.values().any(|f| f.taken && !f.over && f.to == l.0)
                });
                self.saw("upgraded with messages for one that is banned", upgraded && held);
            }
            _ => {}
        }
        self.step(None);
    }

    /// What a real server says now, if anything.
    pub(super) fn answer(&mut self, server: ServerNo) -> Option<Outcome> {
        let mood = self.listed.get(&server).and_then(|l| self.moods[&l.0]);
        match mood {
            None if self.dice.percent(80) => Some(Outcome::Success),
            None | Some((Away::Errs, _)) => {
                let errors = [Outcome::Failure, Outcome::Broken, Outcome::Overloaded { wait: None }];
                Some(self.dice.pick(&errors))
            }
            Some((away, wait)) => away.says(ms(wait)),
        }
    }

    pub(super) fn told(&mut self, server: ServerNo, to: DestinationId, outcome: Outcome) {
        let Outcome::Overloaded { wait: Some(wait) } = outcome else { return };
        let until = self.waits.entry(bound(server, to)).or_default();
        *until = (*until).max(self.now + wait);
        let others = self.owed.values().any(|f| f.taken && !f.over && f.out.is_none() && f.to == to);
        self.saw("a wait told while others wait", others);
    }

    pub(super) fn end(&mut self, n: usize, outcome: Outcome) {
        let Out { flow, attempt, server, sent, .. } = self.out.remove(n);
        let end = stage::end(flow, attempt, server, outcome, self.now - sent);
        let f = self.owed.get_mut(&flow).unwrap();
        f.out = None;
        if !outcome.never_ran() {
            f.risk = f.risk.or(Some((sent, server)));
        }
        let to = f.to;
        self.told(server, to, outcome);
        self.ended.push(end);
        self.relay.call_ended(end);
    }
}
