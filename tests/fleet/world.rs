//! A fleet with all that is around it: relays, partners, lists, clients and the links between them.

use crate::clients::Handed;
use crate::dice::Dice;
use crate::links::{Gate, Way, connections, datagrams};
use crate::partner::{List, Partner};
use crate::process::{Folder, Process, lose_power, until};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Of a flow's life, by class, and of a key's window.
pub const ORDER_LIFE: Duration = Duration::from_millis(5000);
pub const NOTICE_LIFE: Duration = Duration::from_millis(6000);
pub const WINDOW: Duration = Duration::from_millis(3000);
/// A partner that comes back is cold for so long, begins with this share, and falls when it gets more than this multiple
/// of what it bears for this long.
pub const COLD_MS: u64 = 2000;
pub const START: f64 = 0.2;
pub const FACTOR: f64 = 2.0;
pub const SPAN: Duration = Duration::from_millis(1000);

pub struct Member {
    pub folder: PathBuf,
    pub process: Option<Process>,
    pub list: Arc<List>,
    /// By what its clock is off, seconds.
    pub shift: f64,
    pub durability: &'static str,
    /// Relays that are gone for good, by this one's operator's file.
    pub gone: Vec<usize>,
    pub disk_mb: f64,
    pub list_at: SocketAddr,
    pub partners_at: Vec<SocketAddr>,
    pub peers_at: Vec<SocketAddr>,
    pub starts: u64,
}

pub struct World {
    pub members: Vec<Member>,
    pub partners: Vec<Arc<Partner>>,
    /// From one relay to another, and from a relay to a partner.
    pub ways: Vec<Vec<Arc<Way>>>,
    pub gates: Vec<Vec<Arc<Gate>>>,
    pub handed: Mutex<Vec<Handed>>,
    /// Versions of the list, as they were made: which partners drain, and when.
    pub rev: u64,
    pub draining: Vec<bool>,
    pub drained: Vec<Option<(u64, Instant)>>,
    /// The fleet's name, as its relays have it.
    pub fleet: String,
    /// When relays went down.
    pub downs: Vec<(usize, Instant)>,
    /// Starts of the machine.
    pub boots: u64,
    pub dice: Dice,
    over: Arc<AtomicBool>,
    folder: Folder,
    pub seed: u64,
    pub next: std::sync::atomic::AtomicU64,
}

impl World {
    pub fn new(name: &str, relays: usize, partners: usize, seed: u64) -> World {
        let over = Arc::new(AtomicBool::new(false));
        let folder = Folder::new(&format!("{name}-{seed}"));
        let ways: Vec<Vec<Arc<Way>>> =
            (0..relays).map(|_| (0..relays).map(|_| Arc::default()).collect()).collect();
        let gates: Vec<Vec<Arc<Gate>>> =
            (0..relays).map(|_| (0..partners).map(|_| Arc::default()).collect()).collect();
        let (ats, partners): (Vec<_>, Vec<_>) =
            (0..partners).map(|_| Partner::start(WINDOW, relays, &over)).unzip();
        let members = (0..relays).map(|i| {
            let (list_at, list) = List::start(over.clone());
            let partners_at =
                ats.iter().enumerate().map(|(p, at)| connections(gates[i][p].clone(), at[i], over.clone()));
            let peers_at =
                (0..relays).map(|j| datagrams(ways[i][j].clone(), seed ^ (i * 99 + j) as u64, over.clone()));
            let folder = folder.0.join(format!("r{i}"));
            std::fs::create_dir_all(folder.join("state")).unwrap();
            Member {
                folder,
                process: None,
                list,
                shift: 0.0,
                durability: "power",
                gone: Vec::new(),
                disk_mb: 1.0,
                list_at,
                partners_at: partners_at.collect(),
                peers_at: peers_at.collect(),
                starts: 0,
            }
        });
        let mut world = World {
            members: members.collect(),
            draining: vec![false; partners.len()],
            drained: vec![None; partners.len()],
            partners,
            ways,
            gates,
            handed: Mutex::default(),
            rev: 0,
            fleet: format!("{name}-{seed}"),
            downs: Vec::new(),
            boots: 1,
            dice: Dice::new(seed),
            over,
            folder,
            seed,
            next: Default::default(),
        };
        world.publish(&(0..relays).collect::<Vec<_>>());
        world
    }

    /// Begins to start a relay, and waits for nothing.
    pub fn begin(&mut self, i: usize) -> Process {
        self.members[i].starts += 1;
        self.write_config(i);
        let earlier = self.members[i].process.as_ref();
        let before = earlier
            .map_or(0, |p| p.last("journal synced").and_then(|s| s["bytes"].as_u64()).unwrap_or(p.before));
        let mut process = Process::start(&self.members[i].folder);
        process.before = before;
        process
    }

    /// Starts a relay; the others reach it from then on.
    pub fn start(&mut self, i: usize) {
        let mut process = self.begin(i);
        let at = until("a relay's datagrams", || {
            assert!(!process.is_over(), "it ended at once: {:?}", process.log.lock().unwrap());
            process.address("peers")
        });
        for j in 0..self.members.len() {
            *self.ways[j][i].to.lock().unwrap() = Some(at);
        }
        self.members[i].process = Some(process);
    }

    pub fn start_all(&mut self) {
        (0..self.members.len()).for_each(|i| self.start(i));
        (0..self.members.len()).for_each(|i| self.serving(i));
    }

    /// Waits until a relay's return is over.
    pub fn serving(&self, i: usize) {
        until("a relay's return", || {
            let states = self.process(i).states();
            states.iter().any(|s| s == "serving").then_some(())
        });
    }

    pub fn process(&self, i: usize) -> &Process {
        self.members[i].process.as_ref().expect("it runs")
    }

    pub fn kill(&mut self, i: usize) {
        self.downs.push((i, Instant::now()));
        // Its port may be another world's relay's at once, and what the others say to it is not for that one.
        self.ways.iter().for_each(|from| *from[i].to.lock().unwrap() = None);
        if let Some(process) = &mut self.members[i].process {
            process.kill();
        }
    }

    /// All power is lost in the same instant; what the disks then hold is cut back.
    pub fn power_cut(&mut self) {
        let all: Vec<_> = (0..self.members.len()).collect();
        for i in &all {
            if let Some(process) = &mut self.members[*i].process
                && !process.is_over()
            {
                process.signal("STOP");
            }
        }
        for i in all {
            self.kill(i);
            self.cut_disk(i);
        }
        self.boots += 1;
    }

    /// The machine starts anew, and nothing of the files is gone.
    pub fn new_boot(&mut self) {
        self.boots += 1;
    }

    pub fn cut_disk(&mut self, i: usize) {
        let World { members, dice, .. } = self;
        if let Some(dead) = &members[i].process {
            lose_power(&members[i].folder, dead, dice);
        }
    }

    pub fn journal(&self, i: usize) -> PathBuf {
        self.members[i].folder.join("state/journal")
    }

    pub fn effects(&self, id: &str) -> usize {
        self.partners.iter().map(|p| p.effects(id)).sum()
    }

    /// Waits until a message has had its effect.
    pub fn ran(&self, id: &str) {
        until("an effect", || (self.effects(id) > 0).then_some(()));
        std::thread::sleep(Duration::from_millis(50));
    }

    /// Ends as told: state and message.
    pub fn notices(&self, id: &str) -> Vec<String> {
        let of = format!("\"id\":\"{id}\"");
        let lists = self.members.iter().map(|m| m.list.notices.lock().unwrap().clone());
        lists.flatten().map(|(_, l)| l).filter(|l| l.contains(&of)).collect()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // The relays go first: a way that is gone leaves its port to others, and a relay would call there.
        for (i, m) in self.members.iter_mut().enumerate() {
            if let Some(process) = &mut m.process {
                process.kill();
                if std::thread::panicking() && std::env::var_os("FLEET_LOGS").is_some() {
                    process.print(&format!("r{i}"));
                }
            }
        }
        self.over.store(true, Relaxed);
        let _ = &self.folder;
    }
}
