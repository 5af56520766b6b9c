//! A step: turns the module's decisions into effects.

use super::*;
use crate::api::Action;

impl<P: Clone> Core<P> {
    /// Lets the module decide on all pending events and appends the resulting effects.
    pub fn step(&mut self, now: Duration, effects: &mut Vec<Effect<P>>) {
        let mut actions = Vec::new();
        let events = std::mem::take(&mut self.events);
        self.controller.step(now, &events, &mut actions);
        for (flow, end) in std::mem::take(&mut self.ended) {
            if let Some(f) = self.flows.remove(&flow) {
                effects.push(Effect::Ended(flow, f.payload, end));
            }
        }
        // Guarantees that no call of a flow starts before its submission can be confirmed: accepted flows come
        // before all calls, and a flow that ends in its first step was never accepted.
        let over = |a: &Action| match a {
            Action::Refuse { id, .. } | Action::Fail(id) => Some(*id),
            _ => None,
        };
        let over: BTreeSet<FlowNo> = actions.iter().filter_map(over).collect();
        let submitted: BTreeSet<FlowNo> = std::mem::take(&mut self.submitted).into_iter().collect();
        for flow in submitted.iter().filter(|f| !over.contains(f)) {
            if let Some(f) = self.flows.get(flow) {
                effects.push(Effect::Accepted(*flow, f.payload.clone()));
            }
        }
        effects.extend(std::mem::take(&mut self.new_waits).into_iter().map(Effect::HoldUnsent));
        for action in actions {
            self.apply(action, &submitted, effects);
        }
    }

    fn apply(&mut self, action: Action, submitted: &BTreeSet<FlowNo>, effects: &mut Vec<Effect<P>>) {
        match action {
            Action::Send { id, endpoint, give_up_at } => {
                let Some(f) = self.flows.get_mut(&id) else { return };
                let attempt = f.attempts;
                f.attempts += 1;
                // Preserves the attempts of flows that wait for the next process: if the module received the
                // outcome of a call that was not sent, it would retry until the flow had no attempts left.
                if self.closing {
                    return;
                }
                // Prevents two concurrent calls of one flow, whatever the module requests.
                if f.out.is_some() {
                    let (outcome, elapsed) = (Outcome::Void, Duration::ZERO);
                    let end =
                        AttemptEnd { id, attempt, endpoint, outcome, elapsed, terminal: false, limit: None };
                    self.events.push(Event::Outcome(end));
                    return;
                }
                f.out = Some(attempt);
                let payload = f.payload.clone();
                effects.push(Effect::Call { flow: id, attempt, server: endpoint, give_up_at, payload });
            }
            Action::Refuse { id, wait } => self.finish(id, End::Returned(wait), submitted, effects),
            Action::Fail(id) => self.finish(id, End::Failed, submitted, effects),
            Action::Cancel { id, attempt } => effects.push(Effect::StopCall(id, attempt)),
            Action::Wake { after, .. } => effects.push(Effect::Wake(after)),
            Action::Release(server) => effects.push(Effect::Release(server)),
            Action::Probe(server) => effects.push(Effect::Probe(server)),
            // Lists arrive unrequested here: discovery keeps its own watch.
            Action::Subscribe => {}
            Action::Log(line) => effects.push(Effect::Log(line)),
            Action::Note(note) => effects.push(Effect::Note(note)),
        }
    }

    fn finish(&mut self, id: FlowNo, end: End, submitted: &BTreeSet<FlowNo>, effects: &mut Vec<Effect<P>>) {
        let Some(f) = self.flows.remove(&id) else { return };
        effects.push(if submitted.contains(&id) {
            Effect::Rejected(id, f.payload, end)
        } else {
            Effect::Ended(id, f.payload, end)
        });
    }
}
