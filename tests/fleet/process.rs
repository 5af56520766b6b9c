//! A relay's process: started, killed, stopped, and its folder after a loss of power.

use crate::dice::Dice;
use serde_json::Value;
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long anything is waited for, at most.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// A sector: what a disk that loses power may leave half written.
const SECTOR: u64 = 512;

/// Waits until `done` gives something.
pub fn until<T>(what: &str, mut done: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = done() {
            return value;
        }
        assert!(Instant::now() < end, "waited too long for {what}");
        thread::sleep(Duration::from_millis(3));
    }
}

pub struct Process {
    child: Child,
    pub log: Arc<Mutex<Vec<Value>>>,
    reader: Option<JoinHandle<()>>,
    /// What earlier processes had synced of the journal, until this one has.
    pub before: u64,
    /// It was killed: where it listened another world's relay may listen by now.
    killed: bool,
}

impl Process {
    /// Starts a relay on the files `config.json` and `relay.toml` of its folder.
    pub fn start(folder: &Path) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_onyxstile"))
            .args(["serve", "--config"])
            .arg(folder.join("relay.toml"))
            .env("GW_CONFIG", folder.join("config.json"))
            .env("GW_STATE", folder.join("state"))
            .env("ONYXSTILE_LOG", "info,onyxstile::net::journal=debug,onyxstile::net::owner::claims=debug")
            .env("ONYXSTILE_LOG_FORMAT", "json")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = Arc::new(Mutex::new(Vec::new()));
        let (lines, to) = (BufReader::new(child.stderr.take().unwrap()).lines(), log.clone());
        let reader = thread::spawn(move || {
            let parse = |l: String| serde_json::from_str(&l).unwrap_or(Value::String(l));
            lines.map_while(Result::ok).for_each(|l| to.lock().unwrap().push(parse(l)));
        });
        Process { child, log, reader: Some(reader), before: 0, killed: false }
    }

    /// The fields of the last line with this message.
    pub fn last(&self, message: &str) -> Option<Value> {
        let log = self.log.lock().unwrap();
        let found = log.iter().rfind(|l| l["message"].as_str().is_some_and(|m| m.starts_with(message)));
        found.cloned()
    }

    /// How much of the so manieth journal file it has synced.
    pub fn synced(&self, files: u64) -> Option<u64> {
        let log = self.log.lock().unwrap();
        let its = |l: &&Value| l["message"] == "journal synced" && l["files"] == files;
        log.iter().rfind(its)?["bytes"].as_u64()
    }

    pub fn count(&self, message: &str) -> usize {
        let log = self.log.lock().unwrap();
        log.iter().filter(|l| l["message"].as_str().is_some_and(|m| m.starts_with(message))).count()
    }

    /// How many lines with this message name this sender.
    pub fn count_from(&self, message: &str, from: &str) -> usize {
        let log = self.log.lock().unwrap();
        let its =
            |l: &&Value| l["from"] == from && l["message"].as_str().is_some_and(|m| m.starts_with(message));
        log.iter().filter(its).count()
    }

    /// The states of its return so far, in their order.
    pub fn states(&self) -> Vec<String> {
        let log = self.log.lock().unwrap();
        let state = |l: &Value| {
            let its = l["message"] == "return";
            l["state"].as_str().filter(|_| its).map(str::to_string)
        };
        log.iter().filter_map(state).collect()
    }

    /// Where it listens, once it has said so.
    pub fn address(&self, what: &str) -> Option<SocketAddr> {
        let line = self.last(&format!("{what} on "))?;
        line["message"].as_str()?.rsplit(' ').next()?.parse().ok()
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(done.unwrap().success());
    }

    /// Where it listens to clients, once it has said so and as long as it has not been killed.
    pub fn http(&self) -> Option<SocketAddr> {
        self.address("HTTP").filter(|_| !self.killed)
    }

    /// SIGKILL; all that it said is read.
    pub fn kill(&mut self) {
        self.killed = true;
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }

    /// Waits for its own end.
    pub fn ended(&mut self) -> bool {
        until("a relay's end", || self.child.try_wait().unwrap()).success()
    }

    pub fn is_over(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    pub fn print(&self, name: &str) {
        for line in self.log.lock().unwrap().iter() {
            eprintln!("{name}: {line}");
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a loss of power leaves of a relay's folder: its journal up to any point behind what was synced, its last sector
/// zeroed or garbled, and a rename undone that the folder was not synced for. What was synced is in the relay's own log.
pub fn lose_power(folder: &Path, dead: &Process, dice: &mut Dice) {
    let state = folder.join("state");
    let (journal, old) = (state.join("journal"), state.join("journal.old"));
    // Of the file that has the name: the latest one that was synced, or, if the power went in mid-rewrite, the one before.
    let (last, mut which) = (dead.last("journal synced").and_then(|s| s["files"].as_u64()), 0);
    let size = |path: &Path| std::fs::metadata(path).map(|m| m.len()).ok();
    if state.join("journal.new").exists() {
        let new = dead.synced(last.unwrap_or(0));
        which = u64::from(new.is_some() && new == size(&state.join("journal.new")));
    } else if old.exists() && dice.percent(50) {
        std::fs::rename(&old, &journal).unwrap();
        which = 1;
    }
    let Some(length) = size(&journal) else { return };
    let kept = last.and_then(|last| dead.synced(last.checked_sub(which)?)).unwrap_or(dead.before).min(length);
    let cut = kept + dice.below(length - kept + 1);
    let mut file = OpenOptions::new().write(true).read(true).open(&journal).unwrap();
    file.set_len(cut).unwrap();
    let spoilt = (cut - kept).min(SECTOR);
    if spoilt > 0 && dice.percent(60) {
        use std::io::{Seek, SeekFrom};
        file.seek(SeekFrom::Start(cut - spoilt)).unwrap();
        let zeroed = dice.percent(50);
        let bytes: Vec<u8> = (0..spoilt).map(|_| if zeroed { 0 } else { dice.below(256) as u8 }).collect();
        file.write_all(&bytes).unwrap();
    }
}

/// A folder of the test's own, gone with it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("onyxstile-fleet-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
