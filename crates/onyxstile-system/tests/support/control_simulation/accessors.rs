//! What a world round the controllers needs of them.

use super::*;

/// What a world round the controllers needs of them.
impl ControlSimulation {
    /// Whether a machine's process runs and is awake.
    pub fn is_up(&self, ip: Ipv4Addr) -> bool {
        let is_awake = |machine: &Machine| machine.controller.is_some() && machine.frozen_until <= self.now;
        self.machines.get(&ip).is_some_and(is_awake)
    }

    /// Whether a machine is cut off from all others that count.
    pub fn is_cut_off(&self, ip: Ipv4Addr) -> bool {
        self.machines
            .get(&ip)
            .is_none_or(|machine| machine.cut_until.max(machine.inbound_blocked_until) > self.now)
    }

    /// Whether two machines reach each other, as far as links are concerned.
    pub fn is_linked(&self, one: Ipv4Addr, other: Ipv4Addr) -> bool {
        !self.is_cut(one, other) && !self.is_cut(other, one)
    }

    /// Whether all machines have been up and in touch for the time that a return takes.
    pub fn is_recovered(&self) -> bool {
        self.now >= self.connected_since + CATCH_UP
    }

    /// The id of a machine's disk.
    pub fn disk(&self, ip: Ipv4Addr) -> u64 {
        self.machines.get(&ip).map_or(0, |machine| machine.disk.disk)
    }

    /// A machine's state machine, if its process runs.
    pub fn controller_at(&self, ip: Ipv4Addr) -> Option<&Controller> {
        self.machines.get(&ip)?.controller.as_ref()
    }

    /// Tells a machine which storage machines membership holds dead.
    pub fn set_dead_storage(&mut self, ip: Ipv4Addr, names: Vec<String>) {
        self.step(ip, Input::DeadStorage(names));
    }

    /// Hands an operation to a machine; its outcome is among [`World::take_outcomes`] under the number returned.
    pub fn submit(&mut self, to: Ipv4Addr, operation: Operation) -> u64 {
        self.last_submission += 1;
        let submit = self.last_submission;
        self.submit_request(to, operation, Request::Submission(submit));
        submit
    }

    /// Outcomes of orders since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(u64, Outcome)> {
        std::mem::take(&mut self.outcomes)
    }
}
