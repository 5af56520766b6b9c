//! A relay as a process of its own, set up by an operator's file.

use crate::Failed;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How long a relay may take to start or to end.
const PATIENCE: Duration = Duration::from_secs(10);

/// A folder that goes with whoever holds it.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    /// A new one for this process.
    ///
    /// # Errors
    /// It cannot be made.
    pub fn new(name: &str) -> std::io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("onyxstile-lab-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    child: Child,
    log: Rc<RefCell<Vec<String>>>,
    /// Where its HTTP front listens.
    pub address: SocketAddr,
}

impl Relay {
    /// Starts one by a file and waits until it serves. Whatever the file says, it listens on a port of its own
    /// on loopback.
    ///
    /// # Errors
    /// It does not start.
    pub async fn start(binary: &Path, folder: &Path, text: &str) -> Result<Relay, Failed> {
        let lines =
            text.lines().map(|l| if l.starts_with("listen = ") { "listen = \"127.0.0.1:0\"" } else { l });
        let file = folder.join("relay.toml");
        std::fs::write(&file, lines.collect::<Vec<_>>().join("\n"))?;
        let mut command = Command::new(binary);
        command.arg("serve").arg("--config").arg(&file).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", binary.display()))?;
        let log = Rc::new(RefCell::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            let (to, mut lines) = (log.clone(), BufReader::new(stderr).lines());
            spawn_local(async move {
                while let Ok(Some(line)) = lines.next_line().await {
                    to.borrow_mut().push(line);
                }
            });
        }
        let end = Instant::now() + PATIENCE;
        loop {
            let said = |what: &str| log.borrow().iter().find(|l| l.contains(what)).cloned();
            if let (Some(front), Some(_)) = (said("HTTP on "), said("-> Serving")) {
                let address = front.rsplit(' ').next().unwrap_or_default().parse()?;
                return Ok(Relay { child, log, address });
            }
            if Instant::now() > end || child.try_wait()?.is_some() {
                return Err(format!("the relay does not start: {}", log.borrow().join("\n")).into());
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Lines of its log that hold a text.
    pub fn logged(&self, text: &str) -> Vec<String> {
        self.log.borrow().iter().filter(|l| l.contains(text)).cloned().collect()
    }

    /// Its peak of memory so far, in bytes.
    pub fn peak_bytes(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok().map(|kb| kb * 1024)
    }

    /// Its processor time so far, of all threads, and of the one that writes its trace.
    ///
    /// # Errors
    /// The system does not say.
    pub fn cpu(&self) -> Result<(Duration, Duration), Failed> {
        let tasks = format!("/proc/{}/task", self.child.id().ok_or("the relay has ended")?);
        let (mut all, mut trace) = (Duration::ZERO, Duration::ZERO);
        for task in std::fs::read_dir(tasks)? {
            let task = task?.path();
            let ran = std::fs::read_to_string(task.join("schedstat"))?;
            let ran = Duration::from_nanos(ran.split(' ').next().unwrap_or_default().parse()?);
            all += ran;
            if std::fs::read_to_string(task.join("comm"))?.trim() == "trace" {
                trace += ran;
            }
        }
        Ok((all, trace))
    }

    /// Ends it in order.
    ///
    /// # Errors
    /// It does not end.
    pub async fn stop(&mut self) -> Result<(), Failed> {
        let id = self.child.id().ok_or("the relay has ended")?;
        Command::new("kill").arg(id.to_string()).status().await?;
        tokio::time::timeout(PATIENCE, self.child.wait()).await??;
        Ok(())
    }

    /// Ends it at once.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }
}
