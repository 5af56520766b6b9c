//! The HTTP front's peers: clients, real servers and the platform.

use super::*;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

pub type Heard = Arc<Mutex<Vec<String>>>;

/// A request: its first line, its fields in lower case, and its body.
pub fn request(talk: &mut Talk) -> Option<(String, String, String)> {
    let first = talk.line()?;
    let mut fields = String::new();
    loop {
        let line = talk.line()?;
        if line.is_empty() {
            break;
        }
        fields += &format!("{}\n", line.to_ascii_lowercase());
    }
    let length = field(&fields, "content-length").map_or(0, |l| l.parse().unwrap());
    Some((first, fields, String::from_utf8(talk.exact(length)).unwrap()))
}

pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
}

pub fn answer(talk: &mut Talk, status: &str) {
    talk.write(&format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
}

/// The platform: a list that never changes, and notices, the first of which it fails to take.
pub fn platform() -> (SocketAddr, Heard) {
    platform_telling(String::new())
}

/// A platform that tells each watch one piece of news.
pub fn platform_telling(news: String) -> (SocketAddr, Heard) {
    let heard = Heard::default();
    let (to, posts) = (heard.clone(), AtomicUsize::new(0));
    let address = listen(move |mut talk| {
        while let Some((first, _, body)) = request(&mut talk) {
            if first.starts_with("GET") {
                talk.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                if !news.is_empty() {
                    talk.write(&format!("{:x}\r\n{news}\n\r\n", news.len() + 1));
                }
                while talk.line().is_some() {}
            } else if posts.fetch_add(1, SeqCst) == 0 {
                answer(&mut talk, "503 no");
            } else {
                to.lock().unwrap().extend(body.lines().map(str::to_string));
                answer(&mut talk, "204 No Content");
            }
        }
    });
    (address, heard)
}

/// A real server: `script` says what the n-th call is answered with; `mute` and `cut` are no answer.
pub fn server(script: impl Fn(usize) -> &'static str + Send + Sync + 'static) -> (SocketAddr, Heard) {
    server_after(Duration::ZERO, script)
}

/// The same, which takes its time for each call.
pub fn server_after(
    time: Duration, script: impl Fn(usize) -> &'static str + Send + Sync + 'static,
) -> (SocketAddr, Heard) {
    let heard = Heard::default();
    let (to, calls) = (heard.clone(), AtomicUsize::new(0));
    let address = listen(move |mut talk| {
        while let Some((first, fields, _)) = request(&mut talk) {
            if first.starts_with("GET /stats") {
                answer(&mut talk, "200 OK");
                continue;
            }
            to.lock().unwrap().push(field(&fields, "x-correlation-id").unwrap().to_string());
            thread::sleep(time);
            match script(calls.fetch_add(1, SeqCst)) {
                "mute" => while talk.line().is_some() {},
                "cut" => return,
                status => answer(&mut talk, status),
            }
        }
    });
    (address, heard)
}

pub fn config(platform: SocketAddr, server: SocketAddr, most_held: usize) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aimMs":1000,"deadlineMs":9000,"worth":1,"effect":"{effect}","group":"all","windowMs":8000}}"#
        )
    };
    format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{platform}","seed":"1f","limits":{{"disk_mb":1,"sockets":256}},
        "known":{{"rev":1,"all":true,"targets":[{{"uid":"s","endpoint":"{server}","model":"m","pod_group":7,"state":"up"}}]}},
        "settings":{{"classes":[{},{}],"extra":{{"maxCalls":8}},"models":["m"],"siblings":1,"tariffs":{{}},"tickMs":5,"zones":[],
        "invariants":{{"coldMs":500,"overloadFactor":2,"overloadForMs":100,"startCapacity":1}},
        "limits":{{"dialTimeoutMs":500,"keepaliveMs":5000,"maxAttempts":6,"maxRetryAfterMs":500,"maxStreams":1,
        "mostHeld":{most_held},"probes":true,"cancelling":true}}}}}}"#,
        class("orders", "once"),
        class("notices", "by_key")
    )
}

pub fn flow(class: &str, id: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 9000\r\nIdempotency-Key: k\r\n\
         Envelope: dest=7\r\nContent-Length: 2\r\n\r\nab"
    )
}

/// Sends a request and returns the status and fields of its answer.
pub fn ask(talk: &mut Talk, request: &str) -> String {
    talk.write(request);
    let mut head = String::new();
    while let Some(line) = talk.line().filter(|l| !l.is_empty()) {
        head += &format!("{line}\n");
    }
    head.strip_prefix("HTTP/1.1 ").unwrap_or_default().to_string()
}

pub fn hand_in(relay: &Relay, class: &str, id: &str) -> String {
    ask(&mut Talk::to(relay.address("HTTP")), &flow(class, id))
}

/// An operator's call, and the whole of its answer, which has to come within an operator's patience.
pub fn call(relay: &Relay, line: &str) -> String {
    try_call(relay, line).expect("the operators' address")
}

/// The same of a process that may be about to start again: none if nobody is there.
pub fn try_call(relay: &Relay, line: &str) -> Option<String> {
    let mut talk = Talk::new(TcpStream::connect(relay.address("admin")).ok()?);
    let asked = Instant::now();
    talk.write(&format!("{line}\n"));
    let mut all = String::new();
    while let Some(line) = talk.line() {
        all += &format!("{line}\n");
    }
    assert!(asked.elapsed() < Duration::from_secs(1), "`{line}` took {:?}", asked.elapsed());
    Some(all)
}

pub fn says(relay: &Relay, line: &str, begins: &str) {
    let said = call(relay, line);
    assert!(said.starts_with(begins), "`{line}` is answered `{said}`");
}

pub fn with_admin(config: &str) -> String {
    config.replacen('{', r#"{"admin":"127.0.0.1:0","#, 1)
}
