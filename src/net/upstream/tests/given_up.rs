//! Answers that cross the end of their call.

use super::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc as std_mpsc;
use std::thread;

const WAIT: &str = "HTTP/1.1 429 no\r\nWait-Ms: 700\r\nContent-Length: 0\r\n\r\n";
const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// An endpoint that has read a request and answers it when told to; then it says when the relay's sending has ended.
struct Told(std_mpsc::Sender<&'static str>, std_mpsc::Receiver<&'static str>);

impl Told {
    fn new() -> (SocketAddr, Told) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (say, to_say) = std_mpsc::channel();
        let (done, seen) = std_mpsc::channel();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut bytes = [0; 4096];
            assert!(stream.read(&mut bytes).unwrap() > 0);
            done.send("asked").unwrap();
            stream.write_all(to_say.recv().unwrap_or("").as_bytes()).unwrap();
            done.send("answered").unwrap();
            while stream.read(&mut bytes).is_ok_and(|n| n > 0) {}
            let _ = done.send("ended");
        });
        (address, Told(say, seen))
    }

    /// Waits for the endpoint and keeps the thread: the runtime hears of nothing meanwhile.
    fn until(&self, what: &str) {
        assert_eq!(self.1.recv_timeout(MS * 9000).unwrap(), what);
    }

    fn answer(&self, text: &'static str) {
        self.0.send(text).unwrap();
        self.until("answered");
        thread::sleep(MS * 20);
    }
}

async fn asked(upstream: &Upstream, time: Duration) -> (Told, Switch) {
    let (address, told) = Told::new();
    let switch = upstream.call(order(address, time));
    tokio::time::sleep(MS * 50).await;
    told.until("asked");
    (told, switch)
}

/// The answer is in the socket, and the runtime has not heard of it, as the call is called off.
#[test]
fn an_answer_that_is_there_as_its_call_is_called_off_counts() {
    for (text, outcome) in [(WAIT, Outcome::Overloaded { wait: Some(MS * 700) }), (GOOD, Outcome::Success)] {
        run(MS * 900, async |upstream, mut ends| {
            let (told, switch) = asked(&upstream, MS * 9000).await;
            told.answer(text);
            switch.stop();
            assert_eq!(next(&mut ends).await, ("call", outcome));
        });
    }
}

/// The same at the end of a call's time: the thread was kept from running until after it.
#[test]
fn an_answer_that_is_there_as_its_call_is_out_of_time_counts() {
    run(MS * 900, async |upstream, mut ends| {
        let (told, _switch) = asked(&upstream, MS * 150).await;
        told.answer(GOOD);
        thread::sleep(MS * 200);
        assert_eq!(next(&mut ends).await, ("call", Outcome::Success));
    });
}

/// The answer is on its way as the call is given up. The call has ended by then, and the wait binds all the same; the other
/// side sees an end at once, and the connection carries nothing more.
#[test]
fn a_wait_that_crosses_the_end_of_its_call_is_heard() {
    for called_off in [true, false] {
        run(MS * 900, async |upstream, mut ends| {
            let (told, switch) = asked(&upstream, MS * if called_off { 9000 } else { 100 }).await;
            if called_off {
                switch.stop();
            }
            let ended = if called_off { Outcome::Withdrawn } else { Outcome::TimedOut };
            assert_eq!(next(&mut ends).await, ("call", ended));
            told.answer(WAIT);
            assert_eq!(next(&mut ends).await, ("beside", Outcome::Overloaded { wait: Some(MS * 700) }));
            told.until("ended");
            assert!(upstream.park_idle().is_empty(), "it is not used again");
        });
    }
}

/// Nobody answers: it is listened to for a while and no longer.
#[test]
fn a_call_given_up_does_not_hold_its_connection_for_long() {
    run(MS * 900, async |upstream, mut ends| {
        let (told, switch) = asked(&upstream, MS * 9000).await;
        switch.stop();
        assert_eq!(next(&mut ends).await, ("call", Outcome::Withdrawn));
        assert_eq!(upstream.0.listened.get(), 1);
        tokio::time::sleep(MS * 700).await;
        assert_eq!(upstream.0.listened.get(), 0);
        drop(told);
    });
}
