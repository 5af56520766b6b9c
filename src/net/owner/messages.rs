//! Messages to the owner, handled before the next step.

use super::*;

impl Owner {
    pub(super) fn handle_message(&mut self, message: OwnerMessage) {
        self.record_input(&message);
        match message {
            OwnerMessage::Submission(submission) => {
                if let Err(submission) = self.claim(submission) {
                    self.handle_submission(submission);
                }
            }
            OwnerMessage::Synced(made) => self.synced(made),
            OwnerMessage::CallEnded(end, detail) => {
                let line = FlowEvent::CallEnded(end.attempt, outcome_name(end.outcome));
                self.watchdog.record(end.flow, self.clock.now(), line);
                self.calls.remove(&(end.flow, end.attempt));
                let (uid, to) = (self.directory.uid(end.server), self.directory.destination(end.server).0);
                let CallEnd { attempt, outcome, elapsed, limit, .. } = end;
                tracing::debug!(
                    flow = end.flow.0,
                    attempt,
                    uid,
                    to,
                    ?outcome,
                    ?elapsed,
                    ?limit,
                    "call ended"
                );
                // HTTP calls count what they send themselves; a mail call can carry several flows, so these are counted
                // here.
                let mail = self.directory.get(end.server).is_some_and(|s| s.wire != Wire::Http);
                if mail && !end.outcome.never_ran() {
                    self.metrics.sent();
                }
                self.record_traffic(&end);
                // If this record is never written, a restart treats the call as one that may have run.
                self.unwritten.push(Record::CallEnded(end.flow, end.outcome.never_ran()));
                if let Some(view) = self.views.get(&end.flow) {
                    let server = self.directory.uid(end.server);
                    let outcome = outcome_name(end.outcome);
                    self.hooks.attempt_ended(view, end.attempt, &server, outcome, end.elapsed);
                }
                if let (true, Outcome::Overloaded { wait: Some(wait) }) = (self.times_written, end.outcome) {
                    let uid = self.directory.uid(end.server);
                    self.unwritten.push(Record::Wait(uid, self.clock.now() + wait));
                }
                if let Some(text) = detail {
                    self.replies.insert(end.flow, text);
                }
                self.core.call_ended(end);
            }
            OwnerMessage::Probed(server, outcome, limit) => {
                if matches!(outcome, Outcome::Overloaded { wait: Some(_) }) {
                    // A wait reported outside the end of a call has the same effect.
                    self.hold_destination(self.directory.destination(server));
                }
                self.core.probe_ended(server, outcome, limit);
            }
            OwnerMessage::Operator(servers, routing) => self.take_operator(servers, routing),
            OwnerMessage::Control(order, reply) => {
                let _ = reply.send(self.control(order));
            }
            OwnerMessage::Admin(order, reply) => {
                let _ = reply.send(self.admin(order));
            }
            // A handover is only possible at the top of the loop; a process that requests one at another time retries.
            OwnerMessage::HandOver(_) => {}
            OwnerMessage::Rules(rules) => {
                if let Some(undelivered) = &mut self.undelivered {
                    undelivered.planner.set_rules(rules);
                    undelivered.look_soon();
                }
            }
            OwnerMessage::Gone(gone) => self.set_gone_relays(gone),
            OwnerMessage::List(list) => self.take_list(&list),
            OwnerMessage::NoticesAcknowledged(flows) => {
                self.notifying = false;
                let now = self.clock.now();
                flows
                    .iter()
                    .filter_map(|no| self.watchdog.resolve(*no, now))
                    .for_each(|history| tracing::error!("{history}"));
                self.unwritten.extend(flows.into_iter().map(Record::Noticed));
            }
        }
    }

    pub(super) fn take_list(&mut self, list: &RawList) {
        let before = if self.restart.is_some() { self.directory.listed() } else { Vec::new() };
        self.list_rev = list.rev;
        self.scribe();
        if list.all {
            self.directory.begin_full_list();
        }
        let of_list = list.targets.iter().map(|raw| (raw, Wire::Http));
        // Servers from the operator's file are not part of the discovery list and remain when a list omits them.
        let own = self.fixed.iter().filter(|_| list.all).map(|f| (&f.entry, f.wire));
        if let Some(StepRecorder { scribe, .. }) = &mut self.recorder {
            let entries = of_list.clone().chain(own.clone()).map(|(raw, _)| raw);
            scribe.listed(entries, list.all, self.clock.now());
        }
        let entries =
            of_list.chain(own).flat_map(|(raw, wire)| self.directory.entry(raw, wire, &self.names)).collect();
        self.core.update_entries(entries, list.all);
        self.hold_leaving();
        self.sweep_servers();
        self.routing.name_servers(&self.directory);
        if self.restart.is_some() {
            self.listed_after_loss(&before);
            self.list_received(list.rev);
        }
    }

    /// Holds calls to servers that accept no new ones: a connection that was being established when the list changed
    /// may complete long after the time that a drain grants, and its call was assigned before the drain.
    fn hold_leaving(&self) {
        self.hold_unsent(|no| !self.directory.get(no).is_some_and(|s| s.accepts_calls()));
    }

    pub(super) fn sweep_servers(&mut self) {
        let calls = &self.calls;
        for no in self.directory.sweep(|no| calls.values().any(|c| c.server == no)) {
            self.upstream.release(no);
            if let Some((_, mail)) = &self.mail {
                mail.release(no);
            }
        }
    }

    /// Applies the reloaded operator's file completely within one step.
    fn take_operator(&mut self, servers: Vec<FixedServer>, routing: Option<Box<Staged>>) {
        if let Some(staged) = routing {
            self.routing.replace(*staged);
            if !self.routing.is_empty() {
                self.core.set_proposer(self.routing.proposer());
            }
        }
        self.take_servers(servers);
    }

    pub(super) fn take_servers(&mut self, servers: Vec<FixedServer>) {
        self.scribe();
        let old = std::mem::replace(&mut self.fixed, servers);
        let stays = |f: &FixedServer| self.fixed.iter().any(|n| n.entry.uid == f.entry.uid);
        let gone = old.into_iter().filter(|f| !stays(f)).map(|mut f| {
            f.entry.state = "removed".into();
            f
        });
        let gone: Vec<_> = gone.collect();
        let changed = self.fixed.iter().chain(&gone);
        if let Some(StepRecorder { scribe, .. }) = &mut self.recorder {
            scribe.listed(changed.clone().map(|f| &f.entry), false, self.clock.now());
        }
        let entries = changed.flat_map(|f| self.directory.entry(&f.entry, f.wire, &self.names)).collect();
        self.core.update_entries(entries, false);
        self.hold_leaving();
        self.sweep_servers();
        self.routing.name_servers(&self.directory);
    }
}
