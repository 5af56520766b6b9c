//! Connections that come up late, after the time or the news that forbids what was to be written on them.

use super::*;
use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream as StdStream};

/// An endpoint whose places for connections are taken: those that come are up only once it lets them in.
struct Crowded(TcpListener, Vec<StdStream>);

impl Crowded {
    fn new() -> (SocketAddr, Crowded) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let taken =
            (0..8).map_while(|_| StdStream::connect_timeout(&address, MS * 200).ok()).collect::<Vec<_>>();
        assert!(taken.len() < 8, "there is always another place");
        (address, Crowded(listener, taken))
    }

    /// Lets all in and returns what the one that came late has to say.
    async fn let_in(self) -> Vec<u8> {
        let Crowded(listener, taken) = self;
        let first = taken.len();
        for _ in 0..first {
            listener.accept().unwrap();
        }
        listener.set_nonblocking(true).unwrap();
        let until = Instant::now() + MS * 9000;
        let (mut late, _) = loop {
            match listener.accept() {
                Ok(late) => break late,
                Err(e) if e.kind() == ErrorKind::WouldBlock && Instant::now() < until => {
                    tokio::time::sleep(MS * 5).await;
                }
                Err(e) => panic!("nobody came: {e}"),
            }
        };
        // Whoever has a connection writes at once.
        tokio::time::sleep(MS * 300).await;
        late.set_nonblocking(true).unwrap();
        let mut bytes = vec![0; 4096];
        let read = late.read(&mut bytes).unwrap_or(0);
        bytes.truncate(read);
        bytes
    }
}

#[test]
fn a_call_whose_connection_comes_up_in_time_is_written() {
    run(MS * 9000, async |upstream, _ends| {
        let (address, crowded) = Crowded::new();
        upstream.call(order(address, MS * 9000));
        tokio::time::sleep(MS * 100).await;
        assert!(crowded.let_in().await.starts_with(b"POST /inbox "));
    });
}

#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_not_written() {
    run(MS * 9000, async |upstream, mut ends| {
        let (address, crowded) = Crowded::new();
        let write_by = Instant::now() + MS * 300;
        upstream.call(CallOrder { write_by, ..order(address, MS * 9000) });
        tokio::time::sleep(MS * 400).await;
        assert_eq!(crowded.let_in().await, b"");
        assert_eq!(next(&mut ends).await.1, Outcome::Void, "it never ran");
    });
}

#[test]
fn a_call_held_while_its_connection_comes_up_is_not_written_and_the_connection_is_kept() {
    run(MS * 9000, async |upstream, mut ends| {
        let (address, crowded) = Crowded::new();
        let switch = upstream.call(order(address, MS * 9000));
        tokio::time::sleep(MS * 100).await;
        switch.hold();
        assert_eq!(crowded.let_in().await, b"");
        assert_eq!(next(&mut ends).await.1, Outcome::Void);
        assert!(!switch.is_used());
    });
}

#[test]
fn a_probe_held_while_its_connection_comes_up_is_not_written() {
    run(MS * 9000, async |upstream, mut ends| {
        let (address, crowded) = Crowded::new();
        let switch = upstream.probe(ServerNo(1), address, false);
        tokio::time::sleep(MS * 100).await;
        assert!(switch.is_used());
        switch.hold();
        assert_eq!(crowded.let_in().await, b"");
        assert_eq!(next(&mut ends).await.1, Outcome::Void);
    });
}

/// Given up or called off while it connects, a call never ran, and what comes up late carries nothing.
#[test]
fn what_comes_up_after_its_call_is_over_carries_nothing() {
    for called_off in [true, false] {
        run(MS * 9000, async |upstream, mut ends| {
            let (address, crowded) = Crowded::new();
            let mut order = order(address, MS * 9000);
            order.give_up_at = Instant::now() + MS * 200;
            let switch = upstream.call(order);
            tokio::time::sleep(MS * 100).await;
            if called_off {
                switch.stop();
            }
            let (_, ended) = next(&mut ends).await;
            assert_eq!(ended, if called_off { Outcome::Void } else { Outcome::Unreachable });
            // Nobody is there any more, or somebody who says nothing.
            let came = timeout(MS * 1500, crowded.let_in()).await;
            assert!(came.is_err() || came.unwrap().is_empty());
        });
    }
}
