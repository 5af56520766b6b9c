//! Operators, what they are told, and the checks of it.

use super::*;

impl ControlSimulation {
    /// The operator sends a change built on `base` to a machine.
    pub fn put(&mut self, to: Ipv4Addr, base: u64, revision: u64) -> usize {
        let unique = self.changes.len();
        let body = format!("{{\"revision\":{revision},\"note\":{unique},\"routes\":[],\"services\":[]}}");
        let body = Rc::new(body.into_bytes());
        self.changes.push(Change { base, revision, body, acknowledged_at: None, is_refused: false });
        self.resend_change(to, unique);
        unique
    }

    /// The operator sends a change again, unchanged.
    pub fn resend_change(&mut self, to: Ipv4Addr, change: usize) {
        let Change { base, body, .. } = self.changes[change].clone();
        self.submit_request(
            to,
            Operation::PutConfiguration { base: Some(base), body },
            Request::Change(change),
        );
    }

    /// The operator reads the configuration at a machine.
    pub fn read(&mut self, from: Ipv4Addr) {
        let began = self.now;
        self.submit_request(from, Operation::GetConfiguration, Request::Read { began });
    }

    pub(super) fn submit_request(&mut self, to: Ipv4Addr, operation: Operation, pending_requests: Request) {
        let Some(machine) = self.machines.get_mut(&to).filter(|machine| machine.controller.is_some()) else {
            return;
        };
        machine.last_number += 1;
        let number = machine.last_number;
        self.pending_requests.insert((to, number), pending_requests);
        self.step(to, Input::Operation { number, operation });
    }

    pub(super) fn reply(&mut self, ip: Ipv4Addr, number: u64, outcome: Outcome) {
        match (self.pending_requests.remove(&(ip, number)), outcome) {
            (Some(Request::Submission(submit)), outcome) => self.outcomes.push((submit, outcome)),
            (Some(Request::Change(change)), Outcome::Done) => self.acknowledged(change),
            (Some(Request::Change(change)), Outcome::Conflict(_) | Outcome::Invalid(_)) => {
                self.changes[change].is_refused = true;
                if self.changes[change].acknowledged_at.is_some() {
                    self.violations
                        .push(format!("{}: change {change} was acknowledged and then refused", self.now));
                }
            }
            (Some(Request::Read { began }), Outcome::Configuration(read)) => {
                let revision = read.as_ref().map_or(0, |read| read.revision);
                self.check_read(began, revision, read.as_ref().map(|read| read.body.as_slice()));
            }
            _ => {}
        }
    }

    pub(super) fn acknowledged(&mut self, change: usize) {
        let now = self.now;
        let base = self.changes[change].base;
        let rival =
            self.changes.iter().enumerate().find(|(index, other)| {
                *index != change && other.base == base && other.acknowledged_at.is_some()
            });
        if let Some((rival, _)) = rival {
            self.violations
                .push(format!("{now}: changes {rival} and {change} on version {base} both acknowledged"));
        }
        if self.changes[change].is_refused {
            self.violations.push(format!("{now}: change {change} was refused and then acknowledged"));
        }
        self.changes[change].acknowledged_at.get_or_insert(now);
    }

    pub(super) fn check_read(&mut self, began: u64, revision: u64, body: Option<&[u8]>) {
        self.reads += 1;
        let acknowledged = self
            .changes
            .iter()
            .filter(|change| change.acknowledged_at.is_some_and(|at| at < began))
            .map(|change| change.revision)
            .max()
            .unwrap_or(0);
        if revision < acknowledged {
            self.violations
                .push(format!("{}: a read gave {revision}, {acknowledged} was acknowledged", self.now));
        }
        if let Some(body) = body {
            let sent = self.changes.iter().position(|change| change.body.as_slice() == body);
            match sent {
                None => self.violations.push(format!("{}: a read gave what nobody sent", self.now)),
                Some(change) if self.changes[change].is_refused => {
                    self.violations.push(format!("{}: change {change} is in force though refused", self.now));
                }
                Some(_) => {}
            }
        }
        self.newest_read = self.newest_read.max(revision);
    }

    /// What machines tell relays as committed never differs under one sequence.
    pub(super) fn check_committed(&mut self) {
        let mut seen = BTreeSet::new();
        for machine in self.machines.values() {
            let Some(state) = machine.controller.as_ref().and_then(Controller::committed_state) else {
                continue;
            };
            seen.insert((state.sequence, state.revision()));
        }
        for (sequence, revision) in seen {
            let held = *self.committed.entry(sequence).or_insert(revision);
            if held != revision {
                let now = self.now;
                self.violations
                    .push(format!("{now}: sequence {sequence} is {held} here and {revision} there"));
            }
        }
    }

    /// The newest revision that some relay may have been told of.
    pub fn newest_committed(&self) -> u64 {
        self.committed.values().copied().max().unwrap_or(0)
    }

    /// How far each machine is, for the report of a failed history.
    pub fn describe(&self) -> String {
        let describe = |(ip, machine): (&Ipv4Addr, &Machine)| {
            let view = machine.disk.view.as_ref().map(|view| {
                let ids = |ids: &[ElectorId]| {
                    ids.iter()
                        .map(|id| format!("{}/{:x}", id.ip[3], id.disk % 0x10000))
                        .collect::<Vec<_>>()
                        .join(" ")
                };
                format!(
                    "view {} electors [{}] chain [{}]",
                    view.number,
                    ids(&view.electors),
                    ids(&view.chain)
                )
            });
            format!(
                "{} disk {:x} gone {} disk lost {} sequence {} promised {:?} accepted {:?}: {}",
                ip.octets()[3],
                machine.disk.disk % 0x10000,
                machine.is_gone,
                machine.is_disk_lost,
                machine.disk.state.sequence,
                machine.disk.promised,
                machine.disk.accepted.as_ref().map(|(ballot, view)| (ballot.round, view.number)),
                view.unwrap_or_else(|| "no view".into())
            )
        };
        self.machines.iter().map(describe).collect::<Vec<_>>().join("\n")
    }

    /// Whether a change sent now to any machine is acknowledged within `for_ms`.
    pub fn serves_within(&mut self, for_ms: u64) -> bool {
        let end = self.now + for_ms;
        while self.now < end {
            let base = self.newest_committed();
            let to = self.random_machine();
            let change = self.put(to, base, base + 1);
            self.run(300);
            if self.changes[change].acknowledged_at.is_some() {
                return true;
            }
        }
        false
    }
}
