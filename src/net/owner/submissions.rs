//! Submissions: checks before flows are passed to the core, and their verdicts.

use super::drain::retry_after;
use super::*;

impl Owner {
    /// Immediate verdict on a submission, if there is one.
    pub(super) fn check_submission(&mut self, submission: &Submission) -> Option<Verdict> {
        self.last_submission = self.clock.now();
        let items = &submission.items;
        let known = position(&self.names.classes, &submission.class);
        let tenant = submission.tenant.as_ref().is_none_or(|t| position(&self.names.tenants, t).is_some());
        let Some(class) = known.filter(|_| tenant) else {
            return Some(Verdict::Unknown(if known.is_none() { "the class" } else { "the account" }));
        };
        if let Some(what) = self.unusable(class, submission.deadline, items) {
            return Some(Verdict::Unknown(what));
        }
        let bytes = items.iter().map(|(_, p)| p.body.len() + 1024).sum();
        if items
            .iter()
            .any(|(_, p)| self.ids.get(&p.id).is_some_and(|no| self.pending_submissions.contains_key(no)))
        {
            // A flow with this id still waits for its verdict, so no verdict can be given for this one.
            Some(Verdict::Unknown("the id"))
        } else if items.iter().all(|(_, p)| self.ids.contains_key(&p.id)) {
            // Accepted before, and the answer was lost: this is not a second flow.
            Some(Verdict::Accepted)
        } else if let Some(verdict) = self.earlier_verdict(items) {
            Some(verdict)
        } else if !self.accepts_flows() {
            Some(Verdict::Ending(retry_after(self.draining_since, self.clock.now())))
        } else if let Some(wait) = self.restart_retry_after(class) {
            Some(Verdict::Rejected(wait))
        } else if !self.core.has_capacity(items.len()) || !self.journal.has_room(items.len(), bytes) {
            Some(Verdict::Full)
        } else {
            None
        }
    }

    /// Answers a submission immediately or passes it on.
    pub(super) fn handle_submission(&mut self, submission: Submission) {
        match self.check_submission(&submission) {
            Some(verdict) => {
                self.count_verdict(&submission.class, verdict, submission.items.len());
                self.record_rejection(&submission, None, verdict);
                let _ = submission.reply.send(vec![verdict; submission.items.len()]);
            }
            None => self.submit(submission),
        }
    }

    /// Passes the flows of a submission to the core, except those that scripts reject.
    pub(super) fn submit(&mut self, submission: Submission) {
        let tenant_no =
            submission.tenant.as_ref().and_then(|t| position(&self.names.tenants, t)).map(TenantId);
        let class_no = position(&self.names.classes, &submission.class).unwrap_or_default();
        let mut rejected = vec![None; submission.items.len()];
        let mut views = Vec::new();
        // Scripts run after all other checks and before anything is promised: they can only add rejections. If a single
        // verdict applies to all flows, a rejection does as well.
        if !self.hooks.is_empty() {
            for (i, (destination, parcel)) in submission.items.iter().enumerate() {
                let mut view = view(&submission.class, submission.tenant.as_deref(), *destination, parcel);
                rejected[i] = self.hooks.flow_taken(&mut view);
                views.push(view);
            }
        }
        if let Some(wait) = rejected.iter().flatten().max().copied().filter(|_| submission.together) {
            rejected.fill(Some(wait));
        }
        for (i, wait) in rejected.iter().enumerate().filter_map(|(i, w)| Some((i, (*w)?))) {
            self.record_rejection(&submission, Some(i), Verdict::Rejected(wait));
            self.count_verdict(&submission.class, Verdict::Rejected(wait), 1);
        }
        let Submission { class, tenant, deadline, items, together, reply, .. } = submission;
        let group = self.next;
        // One time for all: flows submitted together have the same urgency and are sent in the given order.
        let remaining = deadline.saturating_sub(self.clock.now());
        let verdicts: Vec<_> = rejected.iter().map(|w| w.map(Verdict::Rejected)).collect();
        if let Some(all) = verdicts.iter().copied().collect() {
            let _ = reply.send(all);
            return;
        }
        self.groups.insert(group, SubmissionGroup { reply, verdicts, together });
        for (index, (destination, parcel)) in items.into_iter().enumerate() {
            if rejected[index].is_some() {
                continue;
            }
            let no = self.number();
            if let Some(view) = views.get(index) {
                self.views.insert(no, view.clone());
            }
            self.ids.insert(parcel.id.clone(), no);
            let terms = FlowTerms { class: ClassId(class_no), tenant: tenant_no, destination, remaining };
            self.flow_infos.insert(no, FlowInfo { destination, class: class_no, resend: false });
            self.routing.flow_opens(no, &parcel);
            self.record_submission(no, &terms, deadline, &parcel);
            self.core.submit(no, terms, parcel.clone());
            let (class, tenant) = (class.clone(), tenant.clone());
            let flow =
                TakenFlow { deadline, class, tenant, destination: destination.0, parcel, resend_of: None };
            self.pending_submissions.insert(no, PendingSubmission { group, index, flow });
        }
    }

    /// Reason why the rules of a class cannot be met for these flows, if any.
    fn unusable(
        &self, class: usize, deadline: Duration, items: &[(DestinationId, Rc<Parcel>)],
    ) -> Option<&'static str> {
        let (effect, longest) = self.classes.get(class)?;
        let keyed = matches!(effect, crate::api::Effect::Keyed { .. });
        let over = deadline.saturating_sub(self.clock.now()) > *longest * 2;
        let plain = |p: &Parcel| p.mail.is_none();
        items.iter().find_map(|(to, p)| match p {
            // A destination that was never listed could only be held until its deadline.
            _ if !self.directory.was_named(*to) => Some("the destination"),
            p if plain(p) && keyed && p.key.is_none() => Some("no key"),
            p if plain(p) && over => Some("the time left"),
            _ => None,
        })
    }

    /// Sets the verdict on one flow; the client receives the verdicts once those of its whole group are known.
    pub(super) fn settle(&mut self, no: FlowNo, verdict: Verdict) {
        let Some(PendingSubmission { group, index, .. }) = self.pending_submissions.remove(&no) else {
            return;
        };
        let Some(g) = self.groups.get_mut(&group) else { return };
        g.verdicts[index] = Some(verdict);
        let verdicts: Option<Vec<_>> = g.verdicts.iter().copied().collect();
        if let Some(verdicts) = verdicts
            && let Some(g) = self.groups.remove(&group)
        {
            // The client may have disconnected; accepted flows stay accepted.
            let _ = g.reply.send(verdicts);
        }
    }

    /// Keeps the single verdict of flows submitted together: if some are accepted, the others are accepted too and end
    /// at once, each with its notice.
    pub(super) fn accept_groups_together(&self, effects: Vec<Effect<Rc<Parcel>>>) -> Vec<Effect<Rc<Parcel>>> {
        let group = |no: &FlowNo| self.pending_submissions.get(no).map(|w| w.group);
        let is_joint = |g: &u64| self.groups.get(g).is_some_and(|g| g.together);
        let taken = |e: &Effect<Rc<Parcel>>| match e {
            Effect::Accepted(no, _) => group(no).filter(is_joint),
            _ => None,
        };
        let taken: BTreeSet<u64> = effects.iter().filter_map(taken).collect();
        let both = |e: Effect<Rc<Parcel>>| match e {
            Effect::Rejected(no, parcel, end) if group(&no).is_some_and(|g| taken.contains(&g)) => {
                vec![Effect::Accepted(no, parcel.clone()), Effect::Ended(no, parcel, end)]
            }
            other => vec![other],
        };
        effects.into_iter().flat_map(both).collect()
    }
}
