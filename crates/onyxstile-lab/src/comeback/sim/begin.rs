//! How a fleet begins, and each relay of it.

use super::*;

impl Sim {
    pub(in crate::comeback) fn new(scene: Scene) -> Sim {
        let mut rng = Pcg32::seed_from_u64(scene.seed * 1000 + scene.relays as u64);
        let total = PER_RELAY * scene.relays as f64 * HEADROOM;
        // Some partners get much of the traffic; each bears in proportion to its own.
        let weight = |p: usize| 1.0 / (p as f64 + 1.0).powf(0.75);
        let all: f64 = (0..PARTNERS).map(weight).sum();
        let partner =
            |p| Partner { bears: total * weight(p) / all, came: Vec::new(), fallen: false, worst: 0.0 };
        let seconds = LENGTH.as_secs() as usize + 1;
        let mut sim = Sim {
            scene,
            now: BASE,
            queue: BinaryHeap::new(),
            order: 0,
            relays: Vec::new(),
            partners: (0..PARTNERS).map(partner).collect(),
            next: 1,
            handed: vec![0; seconds],
            delivered: vec![0; seconds],
            notes: (0, 0),
            rng: rng.clone(),
        };
        for i in 0..scene.relays {
            let kept = i * 100 < scene.kept * scene.relays;
            let relay = sim.relay(i, kept);
            sim.relays.push(relay);
            sim.wake(i, BASE);
            let rate = PER_RELAY;
            let mut at = 0.0;
            while at < LENGTH.as_secs_f64() {
                at += -(1.0 - f64::from(rng.next_u32()) / f64::from(u32::MAX)).max(1e-9).ln() / rate;
                let mut roll = f64::from(rng.next_u32()) / f64::from(u32::MAX) * all;
                let to = (0..PARTNERS).find(|p| {
                    roll -= weight(*p);
                    roll <= 0.0
                });
                let class = usize::from(rng.next_u32() % 100 >= 65);
                let when = BASE + Duration::from_secs_f64(at);
                let due = when + if class == 0 { Duration::from_secs(28) } else { Duration::from_secs(20) };
                sim.push(when, What::Hand { relay: i, class, to: to.unwrap_or(0), tries: 0, due });
            }
            if !kept {
                // Machines come back over half a second.
                let after = Duration::from_millis(u64::from(rng.next_u32() % 500));
                sim.push(BASE + BACK + after, What::PowerBack(i));
            }
        }
        sim.push(BASE + BACK - Duration::from_secs(2), What::PowerLost);
        sim
    }

    pub(super) fn relay(&mut self, i: usize, kept: bool) -> Relay {
        let seed = self.rng.next_u64();
        let mut core =
            Core::new(settings(self.scene.relays), seed, self.now).unwrap_or_else(|e| panic!("{e}"));
        core.update_entries((0..PARTNERS).map(|p| entry(p, ListState::Live)).collect(), true);
        let life = Life { born: 1, folder: i as u32, start: 1, process: seed as u16, turn: 0 };
        let relays = self.scene.relays as u16;
        let terms = Terms { fleet: 0, node: NodeNo(i as u16), life, relays, seed };
        let peers = (self.scene.way == Way::Peers).then(|| Peers::new(terms, self.now));
        Relay {
            core,
            wakes: Wakes::default(),
            up: true,
            kept,
            ret: None,
            ramp: None,
            peers,
            asked: 0,
            evidence: Evidence::default(),
            facts: Vec::new(),
            since: self.now,
            retries: BTreeMap::new(),
        }
    }
}
