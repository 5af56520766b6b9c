//! What happens to machines and links.

use super::*;

impl ControlSimulation {
    pub fn kill(&mut self, ip: Ipv4Addr, for_ms: u64) {
        let until = self.now + for_ms;
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        if let Some(controller) = machine.controller.take() {
            drop(controller);
        }
        machine.down_until = Some(until);
        machine.lost_until = until + CATCH_UP;
        // What a process knows of its callers ends with it, and the next one counts from the start.
        machine.last_number = 0;
        self.pending_requests.retain(|(pending_requests, _), _| *pending_requests != ip);
    }

    pub fn wipe(&mut self, ip: Ipv4Addr, for_ms: u64) {
        self.next_disk += 1;
        let disk = self.next_disk;
        let flaw = self.flaw;
        if let Some(machine) = self.machines.get_mut(&ip) {
            let kept = machine.disk.clone();
            machine.disk = Controller::empty(disk);
            machine.is_disk_lost = true;
            if flaw == Flaw::ReusedIdentity {
                machine.disk.disk = kept.disk;
                machine.disk.view = kept.view.as_ref().map(|view| {
                    let mut first = (**view).clone();
                    first.state = Default::default();
                    Rc::new(first)
                });
            }
        }
        self.connected_since = self.now;
        self.kill(ip, for_ms);
    }

    pub fn freeze(&mut self, ip: Ipv4Addr, for_ms: u64) {
        let until = self.now + for_ms;
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.frozen_until = until;
            machine.lost_until = until + CATCH_UP;
        }
    }

    pub fn cut(&mut self, ip: Ipv4Addr, for_ms: u64) {
        let until = self.now + for_ms;
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.cut_until = until;
            machine.lost_until = until + CATCH_UP;
        }
    }

    /// Nothing reaches a machine, what it sends goes out.
    pub fn block_inbound(&mut self, ip: Ipv4Addr, for_ms: u64) {
        let until = self.now + for_ms;
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.inbound_blocked_until = until;
            machine.lost_until = until + CATCH_UP;
        }
    }

    /// Cuts the machines into two halves.
    pub fn split(&mut self, for_ms: u64) {
        let present = self.present();
        let half = present.into_iter().filter(|_| self.rng.next_u32().is_multiple_of(2)).collect();
        self.split = (half, self.now + for_ms);
    }

    /// Disks that were lost and count as such.
    pub fn disks_lost(&self) -> usize {
        self.machines.values().filter(|machine| machine.is_disk_lost).count()
    }

    /// Ends all that lasts: what is down starts within `for_ms`, cuts heal, what is frozen wakes.
    pub fn heal(&mut self, for_ms: u64) {
        let now = self.now;
        self.split.1 = now;
        for machine in self.machines.values_mut() {
            machine.frozen_until = machine.frozen_until.min(now);
            machine.cut_until = machine.cut_until.min(now);
            machine.inbound_blocked_until = machine.inbound_blocked_until.min(now);
            machine.down_until = machine.down_until.map(|until| until.min(now + for_ms));
        }
    }

    /// Disks count as lost until all machines have been up and in touch for the time that a return takes.
    pub(super) fn update_lost_disks(&mut self) {
        let now = self.now;
        let is_reachable = |machine: &Machine| {
            machine.is_gone
                || (machine.down_until.is_none()
                    && machine.frozen_until.max(machine.cut_until).max(machine.inbound_blocked_until) <= now)
        };
        if self.split.1 > now || !self.machines.values().all(is_reachable) {
            self.connected_since = now;
        } else if now >= self.connected_since + CATCH_UP {
            self.machines.values_mut().for_each(|machine| machine.is_disk_lost = false);
        }
    }

    /// One machine is gone for good; an empty one comes at another address.
    pub fn replace(&mut self, ip: Ipv4Addr) {
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.controller = None;
            machine.is_gone = true;
            machine.is_disk_lost = true;
            machine.down_until = None;
            machine.lost_until = 0;
        }
        let fresh = address(self.next_machine);
        self.next_machine += 1;
        self.next_disk += 1;
        let lost_until = self.now + CATCH_UP;
        self.add(fresh, Controller::empty(self.next_disk), lost_until);
        self.connected_since = self.now;
    }

    pub fn kill_all(&mut self, for_ms: u64) {
        for ip in self.present() {
            self.kill(ip, for_ms);
        }
    }
}
