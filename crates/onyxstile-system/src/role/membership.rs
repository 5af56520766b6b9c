//! Socket and clock of the membership protocol: passes datagrams to and from [`Swim`].

use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::UdpSocket;

use crate::clock::SteadyClock;
use crate::settings::Settings;
use crate::swim::{Class, Datagram, Member, MemberState, Outgoing, Swim, Timing};
use crate::wire;

/// Interval between ticks of the protocol.
const TICK: Duration = Duration::from_millis(50);
/// Maximum size of a received datagram in bytes.
const DATAGRAM_MAX: usize = 8 * 1024;

/// Membership shared within a process.
pub type Shared = Rc<RefCell<Swim>>;

/// Membership record of this machine at its start.
pub fn own_record(settings: &Settings, class: Class, disk: u64) -> Member {
    Member {
        ip: settings.ip.octets(),
        name: settings.node_name.clone(),
        class,
        zone: settings.zone.clone(),
        disk,
        incarnation: wall_clock_ms(),
        state: MemberState::Alive,
    }
}

/// Wall-clock time in ms since the Unix epoch.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Binds the UDP socket and starts the membership protocol of this machine.
pub async fn start(settings: &Settings, class: Class, disk: u64, clock: SteadyClock) -> io::Result<Shared> {
    let port = settings.peer_port();
    let socket = Rc::new(UdpSocket::bind(SocketAddrV4::new(settings.ip, port)).await?);
    let own = own_record(settings, class, disk);
    let seed = own.incarnation ^ u64::from(u32::from(settings.ip));
    let seeds: Vec<Ipv4Addr> = settings.seed_addresses();
    let swim = Rc::new(RefCell::new(Swim::new(own, seeds, Timing::default(), seed, clock.now())));
    tokio::task::spawn_local(tick(swim.clone(), socket.clone(), port, clock));
    tokio::task::spawn_local(receive(swim.clone(), socket, port, clock));
    Ok(swim)
}

async fn tick(swim: Shared, socket: Rc<UdpSocket>, port: u16, clock: SteadyClock) {
    loop {
        let outgoing = swim.borrow_mut().tick(clock.now());
        send(&socket, port, outgoing).await;
        tokio::time::sleep(TICK).await;
    }
}

async fn receive(swim: Shared, socket: Rc<UdpSocket>, port: u16, clock: SteadyClock) {
    let mut buffer = vec![0; DATAGRAM_MAX];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                // A closed port of a peer surfaces as an error of the next call; the socket stays usable.
                log::debug!("membership socket: {error}");
                continue;
            }
        };
        match wire::decode::<Datagram>(&buffer[..length]) {
            Ok(datagram) => {
                let outgoing = swim.borrow_mut().receive(clock.now(), datagram);
                send(&socket, port, outgoing).await;
            }
            Err(error) => log::debug!("membership datagram: {error}"),
        }
    }
}

async fn send(socket: &UdpSocket, port: u16, outgoing: Vec<Outgoing>) {
    for Outgoing { to, datagram } in outgoing {
        let bytes = wire::encode(&datagram);
        if let Err(error) = socket.send_to(&bytes, SocketAddrV4::new(to, port)).await {
            log::debug!("membership datagram to {to}: {error}");
        }
    }
}
