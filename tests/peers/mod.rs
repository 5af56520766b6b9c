//! The relay as a process of its own, and scripted peers for it on loopback.
#![allow(dead_code, missing_docs)]

pub mod discovery;
pub mod front;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long anything is waited for, at most.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A folder of the test's own, gone with it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("onyxstile-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(path.join("state")).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Waits until `done` gives something.
pub fn until<T>(what: &str, mut done: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = done() {
            return value;
        }
        assert!(Instant::now() < end, "waited too long for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

pub struct Relay {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Relay {
    /// Starts a relay by an operator's file and waits until it serves.
    pub fn start(folder: &Folder, file: &str) -> Relay {
        std::fs::write(folder.0.join("relay.toml"), file).unwrap();
        Relay::launch(
            Command::new(env!("CARGO_BIN_EXE_onyxstile"))
                .arg("serve")
                .arg("--config")
                .arg(folder.0.join("relay.toml")),
        )
    }

    fn of_platform(folder: &Folder) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_onyxstile"));
        command.arg("serve").env("GW_CONFIG", folder.0.join("config.json"));
        command.env("GW_STATE", folder.0.join("state"));
        command
    }

    /// Starts a relay of the platform's.
    pub fn platform(folder: &Folder, config: &str) -> Relay {
        std::fs::write(folder.0.join("config.json"), config).unwrap();
        Relay::launch(&mut Relay::of_platform(folder))
    }

    /// The same, where the kernel allows it so many descriptors.
    pub fn platform_limited(folder: &Folder, config: &str, descriptors: usize) -> Relay {
        std::fs::write(folder.0.join("config.json"), config).unwrap();
        let run = format!("ulimit -n {descriptors} && exec {} serve", env!("CARGO_BIN_EXE_onyxstile"));
        let mut command = Command::new("sh");
        command.args(["-c", &run]).env("GW_CONFIG", folder.0.join("config.json"));
        Relay::launch(command.env("GW_STATE", folder.0.join("state")))
    }

    /// What a relay of the platform's says as it fails to start.
    pub fn fails(folder: &Folder, config: &str) -> String {
        std::fs::write(folder.0.join("config.json"), config).unwrap();
        let said = folder.0.join("said");
        let mut command = Relay::of_platform(folder);
        command.stderr(std::fs::File::create(&said).unwrap());
        let mut relay = Relay { child: command.spawn().unwrap(), log: Arc::default() };
        assert!(!relay.ended(), "it starts");
        std::fs::read_to_string(&said).unwrap()
    }

    fn launch(command: &mut Command) -> Relay {
        let relay = Relay::spawn(command);
        relay.logged("-> Serving");
        relay
    }

    /// Starts a relay of the platform's beside one that runs, and waits for nothing.
    pub fn beside(folder: &Folder) -> Relay {
        Relay::spawn(&mut Relay::of_platform(folder))
    }

    fn spawn(command: &mut Command) -> Relay {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = Arc::new(Mutex::new(Vec::new()));
        let (lines, to) = (BufReader::new(child.stderr.take().unwrap()).lines(), log.clone());
        thread::spawn(move || lines.map_while(Result::ok).for_each(|l| to.lock().unwrap().push(l)));
        Relay { child, log }
    }

    /// The first line of the log that holds `text`.
    pub fn logged(&self, text: &str) -> String {
        until(text, || self.log.lock().unwrap().iter().find(|l| l.contains(text)).cloned())
    }

    /// The lines of the log that hold `text`.
    pub fn lines(&self, text: &str) -> Vec<String> {
        self.log.lock().unwrap().iter().filter(|l| l.contains(text)).cloned().collect()
    }

    /// How many lines of the log hold `text`.
    pub fn count(&self, text: &str) -> u64 {
        self.lines(text).len() as u64
    }

    /// Where one of its fronts listens, since it last began to.
    pub fn address(&self, front: &str) -> SocketAddr {
        let text = format!("{front} on ");
        self.logged(&text);
        let log = self.log.lock().unwrap();
        let line = log.iter().rfind(|l| l.contains(&text)).unwrap();
        line.rsplit(' ').next().unwrap().parse().unwrap()
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(done.unwrap().success());
    }

    /// SIGKILL, as a machine's end.
    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// SIGKILL, and it stays to be asked about.
    pub fn slay(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for it to end by itself; whether it did so in order.
    pub fn ended(&mut self) -> bool {
        until("the relay's end", || self.child.try_wait().unwrap()).success()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if thread::panicking() {
            self.log.lock().unwrap().iter().for_each(|l| eprintln!("relay: {l}"));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A connection for line protocols.
pub struct Talk {
    reader: BufReader<TcpStream>,
}

impl Talk {
    pub fn new(stream: TcpStream) -> Talk {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Talk { reader: BufReader::new(stream) }
    }

    pub fn to(address: SocketAddr) -> Talk {
        Talk::new(TcpStream::connect(address).unwrap())
    }

    /// The next line without its end; none once the connection has ended.
    pub fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(n) if n > 0 => Some(line.trim_end().to_string()),
            _ => None,
        }
    }

    /// Whether the other side has ended the connection.
    pub fn is_over(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let ended = matches!(stream.peek(&mut [0]), Ok(0));
        stream.set_nonblocking(false).unwrap();
        ended
    }

    pub fn write(&mut self, text: &str) {
        let _ = self.reader.get_mut().write_all(text.as_bytes());
    }

    pub fn exact(&mut self, length: usize) -> Vec<u8> {
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes).unwrap();
        bytes
    }

    /// Sends a command and returns the last line of the reply.
    pub fn say(&mut self, command: &str) -> String {
        self.write(&format!("{command}\r\n"));
        self.reply()
    }

    pub fn reply(&mut self) -> String {
        loop {
            let line = self.line().unwrap_or_default();
            if line.as_bytes().get(3) != Some(&b'-') {
                return line;
            }
        }
    }
}

/// Listens on a port of its own and serves each connection by `serve` in a thread of its own.
pub fn listen(serve: impl Fn(Talk) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            thread::spawn(move || serve(Talk::new(stream)));
        }
    });
    address
}

pub fn state(folder: &Folder) -> String {
    let path: &Path = &folder.0.join("state");
    path.display().to_string()
}
