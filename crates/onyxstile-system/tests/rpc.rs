//! Calls between roles to machines that say nothing. Time is virtual: it jumps ahead whenever nothing else is to be done.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

use onyxstile_system::role::rpc::Client;
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
