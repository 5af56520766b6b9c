//! Socket and clock of the membership protocol: passes datagrams to and from [`Swim`].

use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::UdpSocket;

use super::essential_tasks::EssentialTasks;
use crate::clock::SteadyClock;
use crate::settings::Settings;
use crate::swim::{Class, Datagram, Member, MemberState, Outgoing, Swim, Timing};
use crate::wire;

/// Interval between ticks of the protocol.
const TICK: Duration = Duration::from_millis(50);
/// Maximum size of a received datagram in bytes.
const DATAGRAM_MAX: usize = 8 * 1024;

/// Delay after a failed receive; an error that lasts would otherwise keep the processor busy.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

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

/// Binds the UDP socket of the membership protocol. No other process of the machine can have it at the same time.
pub fn bind(settings: &Settings) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(SocketAddrV4::new(settings.ip, settings.peer_port()))?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Starts the membership protocol of this machine as two of `tasks`.
pub fn start(
    settings: &Settings, (class, disk): (Class, u64), clock: SteadyClock, socket: UdpSocket,
    tasks: &mut EssentialTasks,
) -> Shared {
    let port = settings.peer_port();
    let socket = Rc::new(socket);
    let own = own_record(settings, class, disk);
    let seed = own.incarnation ^ u64::from(u32::from(settings.ip));
    let seeds: Vec<Ipv4Addr> = settings.seed_addresses();
    let swim = Rc::new(RefCell::new(Swim::new(own, seeds, Timing::default(), seed, clock.now())));
    tasks.spawn("membership clock", tick(swim.clone(), socket.clone(), port, clock));
    tasks.spawn("membership receiver", receive(swim.clone(), socket, port, clock));
    swim
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
                log::debug!("membership socket: {error}");
                // A closed port of a peer surfaces as an error of the next call, once for each datagram sent there.
                if error.kind() != io::ErrorKind::ConnectionRefused {
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
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
