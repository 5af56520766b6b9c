//! What a world gives its relays to read: lists, configurations, operators' files.

use crate::world::{COLD_MS, FACTOR, NOTICE_LIFE, ORDER_LIFE, SPAN, START, WINDOW, World};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

impl World {
    /// A new version of the list, which these relays' agents have.
    pub fn publish(&mut self, to: &[usize]) {
        self.rev += 1;
        for i in to {
            *self.members[*i].list.now.lock().unwrap() = (self.rev, self.lines(*i, self.rev));
        }
        let (now, rev) = (Instant::now(), self.rev);
        for (p, draining) in self.draining.iter().enumerate() {
            self.drained[p] = draining.then(|| self.drained[p].unwrap_or((rev, now)));
        }
    }

    pub fn lines(&self, i: usize, rev: u64) -> String {
        let target = |(p, at): (usize, &SocketAddr)| {
            let state = if self.draining[p] { "draining" } else { "up" };
            format!(r#"{{"uid":"s{p}","endpoint":"{at}","model":"m","pod_group":{p},"state":"{state}"}}"#)
        };
        let targets: Vec<_> = self.members[i].partners_at.iter().enumerate().map(target).collect();
        format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, targets.join(","))
    }

    pub fn write_config(&self, i: usize) {
        let m = &self.members[i];
        let class = |name: &str, effect: &str, life: Duration, worth: u32| {
            format!(
                r#"{{"name":"{name}","aimMs":1000,"deadlineMs":{},"worth":{worth},"effect":"{effect}","group":"all","windowMs":{}}}"#,
                life.as_millis(),
                WINDOW.as_millis()
            )
        };
        let known = m.list.now.lock().unwrap().1.clone();
        let config = format!(
            r#"{{"name":"r{i}","listen":"127.0.0.1:0","discovery":"{}","seed":"{:x}","limits":{{"disk_mb":{},"sockets":256}},
            "known":{known},"settings":{{"classes":[{},{}],"extra":{{"maxCalls":16}},"models":["m"],"siblings":{},
            "tariffs":{{}},"tickMs":5,"zones":[],"invariants":{{"coldMs":{COLD_MS},"overloadFactor":{FACTOR},
            "overloadForMs":{},"startCapacity":{START}}},"limits":{{"dialTimeoutMs":400,"keepaliveMs":5000,"maxAttempts":8,
            "maxRetryAfterMs":1000,"maxStreams":1,"mostHeld":400,"probes":true,"cancelling":true}}}}}}"#,
            m.list_at,
            0x1f00 + i as u64 * 7919 + m.starts,
            m.disk_mb,
            class("orders", "once", ORDER_LIFE, 2),
            class("notices", "by_key", NOTICE_LIFE, 1),
            self.members.len(),
            SPAN.as_millis(),
        );
        std::fs::write(m.folder.join("config.json"), config).unwrap();
        let peers: Vec<_> = m.peers_at.iter().map(|a| format!("\"{a}\"")).collect();
        let boot = m.folder.join("boot");
        std::fs::write(&boot, format!("boot-{}", self.boots)).unwrap();
        let file = format!(
            "[durability]\nlevel = \"{}\"\nboot_id = \"{}\"\nclock_shift_s = {:.3}\n\n[peers]\nlisten = \"127.0.0.1:0\"\nnumber = {i}\nfleet = \"{}\"\naddresses = [{}]\ngone = {:?}\n",
            m.durability,
            boot.display(),
            m.shift,
            self.fleet,
            peers.join(", "),
            m.gone
        );
        std::fs::write(m.folder.join("relay.toml"), file).unwrap();
    }
}
