//! Calls between roles to machines that say nothing. Time is virtual: it jumps ahead whenever nothing else is to be done.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

use onyxstile_system::role::rpc::Client;
use onyxstile_system::role::socket::connect_with_retries;
use onyxstile_system::wire::Request;
use socket2::{Domain, Socket, Type};

/// A listener whose queue of new connections is full: opening packets are dropped, as by a machine without power.
fn silent() -> (Socket, Vec<TcpStream>, SocketAddrV4) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).expect("binds");
    socket.listen(0).expect("listens");
    let address = socket.local_addr().expect("its address").as_socket_ipv4().expect("is IPv4");
    let queued =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address.into(), Duration::from_millis(200)).ok());
    let queued = queued.take(64).collect();
    (socket, queued, address)
}

/// kartli-relay-grown, trouble-1: agents that were up 0.3 s before the controllers waited 0.5 s for an opening packet that
/// nobody had got, and became ready half a second after they could have.
#[test]
fn a_machine_that_says_nothing_is_tried_anew_well_before_the_system_would() {
    let (_listener, _queued, address) = silent();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let elapsed: Vec<Duration> = local.block_on(&runtime, async {
        let client = Client::default();
        let mut elapsed = Vec::new();
        for _ in 0..9 {
            let began = tokio::time::Instant::now();
            let result = client.call(address, &Request::Status, Duration::from_secs(5)).await;
            assert!(result.is_err(), "nobody is there");
            elapsed.push(began.elapsed());
        }
        elapsed
    });
    let has_time =
        |ms: u64, took: Duration| took.abs_diff(Duration::from_millis(ms)) < Duration::from_millis(10);
    let expected = [150, 150, 300, 300, 600, 600, 1200, 1200, 1200];
    let is_kept = expected.into_iter().zip(&elapsed).all(|(ms, took)| has_time(ms, *took));
    assert!(is_kept, "twice soon, then with more time for a crowded link: {elapsed:?}");
}

/// Accepts what waits at a listener until nothing does.
fn accept_all(listener: &Socket) -> Vec<Socket> {
    listener.set_nonblocking(true).expect("the option");
    std::iter::from_fn(|| listener.accept().ok().map(|(stream, _)| stream)).collect()
}

/// mncg-onyx-grown, trouble-1: relays knew the three seeds alone, which were back last; an opening packet that met one before was
/// sent again after 0.15, 0.3 and 0.6 s, and relays were ready that much later. Here a full queue drops opening packets.
#[test]
fn a_machine_that_said_nothing_is_reached_soon_after_it_is_back() {
    let (listener, _queued, address) = silent();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let began = Instant::now();
        let mut connecting = Box::pin(connect_with_retries(address, Duration::from_secs(5)));
        assert!(
            tokio::time::timeout(Duration::from_millis(60), &mut connecting).await.is_err(),
            "it says nothing"
        );
        let _accepted = accept_all(&listener);
        connecting.await.expect("it is back");
        // The system sends the first packet again after a second.
        assert!(began.elapsed() < Duration::from_millis(900), "{:?}", began.elapsed());
    });
}
