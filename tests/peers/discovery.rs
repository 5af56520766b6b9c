//! Discovery by a script, and an endpoint that lets connections in when told to.

use super::front::{answer, field, request};
use super::*;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, Sender, channel};

/// When each watch was asked for, and from which version.
pub type Asked = Arc<Mutex<Vec<(Instant, String)>>>;

/// What the n-th watch is told: it gets the connection, and may keep it as it likes. Notices are heard.
pub fn discovery(script: impl Fn(usize, &mut Talk) + Send + Sync + 'static) -> (SocketAddr, Asked) {
    let asked = Asked::default();
    let (to, watches) = (asked.clone(), AtomicUsize::new(0));
    let address = listen(move |mut talk| {
        while let Some((first, _, _)) = request(&mut talk) {
            if first.starts_with("GET") {
                to.lock().unwrap().push((Instant::now(), first));
                script(watches.fetch_add(1, SeqCst), &mut talk);
                return;
            }
            answer(&mut talk, "204 No Content");
        }
    });
    (address, asked)
}

/// Begins the answer to a watch.
pub fn begin(talk: &mut Talk) {
    talk.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
}

/// Tells a watch something.
pub fn tell(talk: &mut Talk, news: &str) {
    talk.write(&format!("{:x}\r\n{news}\n\r\n", news.len() + 1));
}

/// Stays until the relay has gone.
pub fn stay(talk: &mut Talk) {
    while talk.line().is_some() {}
}

/// A list of entries, each with its name, address, destination and state.
pub fn list(rev: u64, all: bool, entries: &[(&str, SocketAddr, u64, &str)]) -> String {
    let rows = entries.iter().map(|(uid, at, to, state)| {
        format!(r#"{{"uid":"{uid}","endpoint":"{at}","model":"m","pod_group":{to},"state":"{state}"}}"#)
    });
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, rows.collect::<Vec<_>>().join(","))
}

/// An endpoint whose places for connections are taken until it is told to let in who waits; and what it reads then.
pub struct Crowded {
    pub address: SocketAddr,
    pub heard: Arc<Mutex<Vec<String>>>,
    pub came: Arc<AtomicUsize>,
    open: Sender<()>,
}

impl Crowded {
    pub fn new() -> Crowded {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let patience = Duration::from_millis(200);
        let taken: Vec<_> =
            (0..8).map_while(|_| TcpStream::connect_timeout(&address, patience).ok()).collect();
        assert!(taken.len() < 8, "there is always another place");
        let (open, opened): (Sender<()>, Receiver<()>) = channel();
        let (heard, came) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let (to, count) = (heard.clone(), came.clone());
        thread::spawn(move || {
            let Ok(()) = opened.recv() else { return };
            for _ in 0..taken.len() {
                listener.accept().unwrap();
            }
            for stream in listener.incoming().map_while(Result::ok) {
                count.fetch_add(1, SeqCst);
                let (to, mut talk) = (to.clone(), Talk::new(stream));
                thread::spawn(move || {
                    while let Some((_, fields, _)) = request(&mut talk) {
                        let what = field(&fields, "x-correlation-id").unwrap_or("a probe").into();
                        to.lock().unwrap().push(what);
                        answer(&mut talk, "200 OK");
                    }
                });
            }
        });
        Crowded { address, heard, came, open }
    }

    pub fn let_in(&self) {
        self.open.send(()).unwrap();
    }
}
