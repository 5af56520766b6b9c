//! What relays ask quorums for, and the checks of what they are told.

use super::*;

/// What one relay asks a quorum for.
pub(super) enum Question {
    /// To keep a turn.
    Keep(String),
    /// To find one; whether it was kept when the question was asked.
    Find(String, bool),
    /// To let a turn of a program run.
    Claim { program: String, entry: ClaimEntry },
    /// To settle a claim.
    Settle { program: String, entry: ClaimEntry },
}

impl Question {
    pub(super) fn record(&self) -> Option<Record> {
        match self {
            Question::Keep(id) => Some(Record::Turn(turn(id))),
            Question::Find(..) => None,
            Question::Claim { program, entry } | Question::Settle { program, entry } => {
                Some(Record::ClaimEntry { program: program.clone(), entry: entry.clone() })
            }
        }
    }

    pub(super) fn placed_by(&self) -> &str {
        match self {
            Question::Keep(id) | Question::Find(id, _) => id,
            Question::Claim { program, .. } | Question::Settle { program, .. } => program,
        }
    }
}

/// A question that is out at the members of a key's groups.
pub(super) struct Asked {
    question: Question,
    epoch: u64,
    quorum: Quorum,
    until: u64,
    /// When each member gets it; then when what it did there is on its disk; then when its answer is back.
    arriving: Vec<(u64, Ipv4Addr)>,
    written: Vec<(u64, Ipv4Addr, u64)>,
    summaries: Vec<ClaimSummary>,
    claims: Vec<ClaimEntry>,
}

impl Tier {
    /// A relay puts a question to a quorum.
    pub(super) fn ask(&mut self, question: Question) {
        let relay = self.roll(RELAYS as u32) as usize;
        let plan = self.relays[relay].clone();
        if plan.epoch == 0 {
            return;
        }
        let now = self.now();
        let quorum = Quorum::new(&plan, question.placed_by(), self.tolerance);
        let arriving =
            quorum.members().into_iter().map(|ip| (now + u64::from(self.roll(8)) * STEP, ip)).collect();
        self.asked.push(Asked {
            question,
            epoch: plan.epoch,
            quorum,
            until: now + PATIENCE,
            arriving,
            written: Vec::new(),
            summaries: Vec::new(),
            claims: Vec::new(),
        });
    }

    /// A turn ends and is to be kept.
    pub fn keep_turn(&mut self) {
        self.next += 1;
        self.ask(Question::Keep(format!("t{}", self.next)));
    }

    /// A turn goes on from another, mostly one of the newest.
    pub fn find_turn(&mut self) {
        let most = self.next.max(1) as u32;
        let back = if self.roll(4) == 0 { self.roll(most) } else { self.roll(10).min(most - 1) };
        let id = format!("t{}", most - back);
        let is_kept = self.kept.contains(&id);
        self.ask(Question::Find(id, is_kept));
    }

    /// A turn of a program is to run.
    pub fn run_turn(&mut self) {
        self.next += 1;
        let program = format!("p{}", self.next / 60);
        let entry = ClaimEntry {
            request: format!("r{}", self.next),
            max_tokens: 1 + u64::from(self.roll(100)),
            settled: None,
        };
        self.ask(Question::Claim { program, entry });
    }

    pub(super) fn serve(&mut self) {
        for mut asked in std::mem::take(&mut self.asked) {
            if self.advance(&mut asked) && asked.until > self.now() {
                self.asked.push(asked);
            }
        }
    }

    /// Lets what is due of a question happen; false once it has ended.
    pub(super) fn advance(&mut self, asked: &mut Asked) -> bool {
        let now = self.now();
        let (due, arriving) = asked.arriving.iter().copied().partition(|(at, _)| *at <= now);
        asked.arriving = arriving;
        let due: Vec<(u64, Ipv4Addr)> = due;
        for (_, ip) in due {
            if !self.is_served_by(ip) || self.roll(30) == 0 {
                // It is asked again.
                asked.arriving.push((now + 125 + u64::from(self.roll(8)) * STEP, ip));
            } else if self.refuses_epoch(asked, ip) {
                return false;
            } else {
                let at = now + u64::from(self.roll(4)) * STEP;
                asked.written.push((at, ip, self.stores[&ip].incarnation()));
            }
        }
        let (due, written) = asked.written.iter().copied().partition(|(at, _, _)| *at <= now);
        asked.written = written;
        let due: Vec<(u64, Ipv4Addr, u64)> = due;
        due.into_iter().all(|(_, ip, life)| self.answer(asked, ip, life))
    }

    /// A storage machine's disk has taken a question's record, and its answer goes back; false once the question has ended.
    pub(super) fn answer(&mut self, asked: &mut Asked, ip: Ipv4Addr, life: u64) -> bool {
        let now = self.now();
        let Some(store) =
            self.stores.get_mut(&ip).filter(|store| store.is_up(now) && store.incarnation() == life)
        else {
            asked.arriving.push((now + 125, ip));
            return true;
        };
        if let Some(record) = asked.question.record() {
            store.write(now, &record);
        }
        let (is_newer, dark) = (store.epoch() > asked.epoch, store.isolated_until > now);
        // By an older plan the turn may be looked for where it was never written.
        let is_whole = store.is_complete() && !is_newer;
        if self.refuses_epoch(asked, ip) {
            return false;
        }
        let store = &self.stores[&ip];
        match &asked.question {
            Question::Claim { program, .. } => {
                if !is_whole {
                    asked.arriving.push((now + 125, ip));
                    return true;
                }
                let (summary, claims) = store.claims(program);
                asked.summaries.push(summary);
                merge_claims(&mut asked.claims, claims);
            }
            Question::Find(id, is_kept) => {
                if store.holds_turn(id) {
                    return false;
                }
                if !is_whole || dark {
                    return true;
                }
                if asked.quorum.count(ip) {
                    if *is_kept {
                        self.violations.push(format!("{now}: {id} was kept and is told to be nowhere"));
                    }
                    return false;
                }
                return true;
            }
            Question::Keep(_) | Question::Settle { .. } => {}
        }
        if dark || self.roll(30) == 0 {
            asked.arriving.push((now + 125, ip));
            return true;
        }
        if !asked.quorum.count(ip) {
            return true;
        }
        self.reached(asked);
        false
    }

    /// Whether a machine refuses to write by the relay's plan, for it knows a newer one.
    pub(super) fn refuses_epoch(&mut self, asked: &Asked, ip: Ipv4Addr) -> bool {
        let refuses = self.stores[&ip].epoch() > asked.epoch && !matches!(asked.question, Question::Find(..));
        if refuses {
            self.see("writes refused that went by an older plan");
        }
        refuses
    }

    pub(super) fn reached(&mut self, asked: &Asked) {
        match &asked.question {
            Question::Keep(id) => {
                self.see("turns kept");
                self.kept.insert(id.clone());
            }
            Question::Claim { program, entry } => {
                let fits = match admit(BUDGET, &entry.request, entry.max_tokens, &asked.summaries) {
                    BudgetDecision::Fits => true,
                    BudgetDecision::Exhausted => false,
                    BudgetDecision::Inconclusive => {
                        fits_budget(BUDGET, &entry.request, entry.max_tokens, &asked.claims)
                    }
                };
                let tokens = if fits { u64::from(self.roll(entry.max_tokens as u32 + 1)) } else { 0 };
                *self.received.entry(program.clone()).or_default() += tokens;
                let total = self.received[program];
                if total > BUDGET {
                    self.violations
                        .push(format!("{}: {program} received {total} of {BUDGET}", self.control.now));
                }
                self.see(if fits { "turns let in" } else { "turns refused by their budget" });
                // A relay that dies leaves its claim as it is.
                if self.roll(8) > 0 {
                    let entry = ClaimEntry { settled: Some(tokens), ..entry.clone() };
                    let program = program.clone();
                    self.ask(Question::Settle { program, entry });
                }
            }
            Question::Find(..) | Question::Settle { .. } => {}
        }
    }
}
