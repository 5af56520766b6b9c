//! Interface for simulations that contain this one.

use super::*;

impl ControlSimulation {
    /// Whether a machine's process is running and not frozen.
    pub fn is_up(&self, ip: Ipv4Addr) -> bool {
        let is_awake = |machine: &Machine| machine.controller.is_some() && machine.frozen_until <= self.now;
        self.machines.get(&ip).is_some_and(is_awake)
    }

    /// Whether a machine is partitioned from all others or receives nothing.
    pub fn is_cut_off(&self, ip: Ipv4Addr) -> bool {
        self.machines
            .get(&ip)
            .is_none_or(|machine| machine.cut_until.max(machine.inbound_blocked_until) > self.now)
    }

    /// Whether two machines can reach each other over the network.
    pub fn is_linked(&self, one: Ipv4Addr, other: Ipv4Addr) -> bool {
        !self.is_cut(one, other) && !self.is_cut(other, one)
    }

    /// Whether all machines have been up and connected for the time that recovery takes.
    pub fn is_recovered(&self) -> bool {
        self.now >= self.connected_since + CATCH_UP
    }

    /// The id of a machine's disk.
    pub fn disk(&self, ip: Ipv4Addr) -> u64 {
        self.machines.get(&ip).map_or(0, |machine| machine.disk.disk)
    }

    /// A machine's controller, if its process is running.
    pub fn controller_at(&self, ip: Ipv4Addr) -> Option<&Controller> {
        self.machines.get(&ip)?.controller.as_ref()
    }

    /// Sets the storage machines that membership considers dead, at one machine.
    pub fn set_dead_storage(&mut self, ip: Ipv4Addr, names: Vec<String>) {
        self.step(ip, Input::DeadStorage(names));
    }

    /// Submits an operation to a machine; [`ControlSimulation::take_outcomes`] returns its outcome under the returned
    /// number.
    pub fn submit(&mut self, to: Ipv4Addr, operation: Operation) -> u64 {
        self.last_submission += 1;
        let submit = self.last_submission;
        self.submit_request(to, operation, Request::Submission(submit));
        submit
    }

    /// Outcomes of submitted operations since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(u64, Outcome)> {
        std::mem::take(&mut self.outcomes)
    }
}
