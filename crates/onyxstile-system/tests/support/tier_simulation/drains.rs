//! Exchange of drains between controllers, and starts of relays.

use super::*;

impl TierSimulation {
    /// Electors of the newest view that any controller has.
    pub(super) fn electors(&self) -> Vec<Ipv4Addr> {
        let views = self
            .control
            .present()
            .into_iter()
            .filter_map(|ip| self.control.controller_at(ip)?.view().cloned());
        let newest = views.max_by_key(|view| view.number);
        newest.map_or_else(Vec::new, |view| view.electors.iter().map(|id| id.address()).collect())
    }

    /// The drains of a controller. A controller whose disk was replaced holds none.
    pub(super) fn drains(&mut self, ip: Ipv4Addr) -> &mut Drains {
        let disk = self.control.disk(ip);
        let is_founder = self.control.now < 1000;
        let drains = self.drains.entry(ip).or_default();
        if drains.disk != disk {
            *drains = Drains {
                disk,
                held: BTreeSet::new(),
                copies: DrainSync::new(is_founder && ip.octets()[3] <= 3),
            };
        }
        drains
    }

    pub(super) fn exchange_drains(&mut self) {
        let electors = self.electors();
        if electors.is_empty() {
            return;
        }
        let octets: Vec<[u8; 4]> = electors.iter().map(Ipv4Addr::octets).collect();
        for to in self.control.present() {
            let from = electors[self.control.random_below(electors.len() as u32) as usize];
            let is_due = self.control.random_below(4) == 0 && from != to && self.control.is_linked(from, to);
            if !is_due || !self.control.is_up(to) || !self.control.is_up(from) {
                continue;
            }
            let (held, is_complete) = {
                let drains = self.drains(from);
                (drains.held.clone(), drains.copies.is_complete())
            };
            let drains = self.drains(to);
            drains.held.extend(held);
            drains.copies.record_pull(from.octets(), is_complete);
            drains.copies.check_complete(to.octets(), &octets);
        }
    }

    /// An endpoint reports its drain to a controller, which acknowledges it once enough other controllers hold it.
    pub fn drain(&mut self) {
        let first = self.control.random_machine();
        let electors = match self.control.controller_at(first).and_then(|controller| controller.view()) {
            Some(view) if self.control.is_up(first) => view.electors.clone(),
            _ => return,
        };
        if !electors.iter().any(|id| id.address() == first) {
            return;
        }
        self.next_drain += 1;
        let drain = self.next_drain;
        self.drains(first).held.insert(drain);
        let needed = replicas_needed(electors.len(), self.tolerance.losses());
        let others: Vec<Ipv4Addr> =
            electors.iter().map(|id| id.address()).filter(|ip| *ip != first).collect();
        let mut held = 0;
        for ip in others {
            if held < needed && self.control.is_up(ip) && self.control.is_linked(first, ip) {
                self.drains(ip).held.insert(drain);
                held += 1;
            }
        }
        if held >= needed {
            self.count_event("drains acknowledged");
            self.acknowledged_drains.insert(drain);
        }
    }

    /// Starts a relay, which becomes fresh with responses from a majority of the electors.
    pub fn start_relay(&mut self) {
        let electors = self.electors();
        let mut responders: Vec<Ipv4Addr> = Vec::new();
        for ip in electors.iter().copied() {
            // Some do not respond in time.
            if self.control.is_up(ip) && self.random_below(3) > 0 && self.drains(ip).copies.is_complete() {
                responders.push(ip);
            }
        }
        if responders.len() <= electors.len() / 2 {
            return;
        }
        self.count_event("relays that started and became fresh");
        let held_drains: BTreeSet<u32> =
            responders.iter().flat_map(|ip| self.drains(*ip).held.clone()).collect();
        if let Some(drain) = self.acknowledged_drains.difference(&held_drains).next() {
            let now = self.now();
            self.violations
                .push(format!("{now}: drain {drain} was acknowledged; a fresh relay has not received it"));
        }
    }
}
