//! Processes that start under conditions that pass: an address or a data folder that another process still holds, a disk that
//! refuses, settings that are being replaced.
//!
//! Failure (rule FAULT): each of them ended the process at once, and it met the same condition when it was started again.

mod support;

use std::io::Write;
use std::net::{SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::MutexGuard;

use onyxstile_system::settings::Settings;
use support::role_process::{ROLES, RoleMachine};
use support::tier::{Ports, free_ports, lock_ports};

fn ports() -> (Ports, MutexGuard<'static, ()>) {
    let guard = lock_ports();
    (free_ports(1).remove(0), guard)
}

const PROXY: (&str, &str, u8) = ROLES[0];
const CONTROLLER: (&str, &str, u8) = ROLES[2];
const STORAGE: (&str, &str, u8) = ROLES[3];

/// Starts a process while a TCP port that it needs is taken; it has to wait, and to serve once the port is free.
fn assert_waits_for_port(
    machine: (&'static str, &'static str, u8), name: &str, port: impl Fn(&RoleMachine) -> SocketAddrV4,
) {
    let (ports, _alone) = ports();
    let machine = RoleMachine::new(ports, machine, "port-taken");
    let address = port(&machine);
    let other = TcpListener::bind(address).expect("the port is free");
    let mut process = machine.start(Stdio::null());
    process.wait_for_metric(&format!("onyxstile_start_wait_seconds{{for=\"{name}: "));
    drop(other);
    process.wait_for_listener(address);
    process.ends_in_order();
}

/// Guards against the end of a proxy that is started while its address for clients is taken.
#[test]
fn a_proxy_waits_for_its_front() {
    assert_waits_for_port(PROXY, "front", |machine| machine.address(machine.ports.front));
}

/// Guards against the end of a proxy that is started while its address for readiness checks is taken.
#[test]
fn a_proxy_waits_for_its_readiness_port() {
    assert_waits_for_port(PROXY, "readiness", |machine| machine.address(machine.ports.readiness()));
}

/// Guards against the end of a proxy that is started while the address for its agent is taken.
#[test]
fn a_proxy_waits_for_its_feed_port() {
    assert_waits_for_port(PROXY, "feed port", |machine| machine.ports.feed(1));
}

/// Guards against the end of a controller that is started while an outgoing connection has taken its TCP port.
#[test]
fn a_controller_waits_for_its_peer_port() {
    assert_waits_for_port(CONTROLLER, "peer port", |machine| machine.address(machine.ports.peers()));
}

/// Guards against the end of a controller that is started while its address for operators is taken.
#[test]
fn a_controller_waits_for_its_control_port() {
    assert_waits_for_port(CONTROLLER, "control port", |machine| machine.address(machine.ports.control));
}

/// Guards against the end of a storage machine's process that is started while its TCP port is taken.
#[test]
fn storage_waits_for_its_peer_port() {
    assert_waits_for_port(STORAGE, "peer port", |machine| machine.address(machine.ports.peers()));
}

/// Guards against metrics that are gone for good after a start at which their port was taken.
#[test]
fn every_role_serves_metrics_once_their_port_is_free() {
    for role in ROLES {
        let (ports, _alone) = ports();
        let machine = RoleMachine::new(ports, role, "metrics-taken");
        let other = TcpListener::bind(machine.address(ports.metrics_of(role.0))).expect("the port is free");
        let log = std::fs::File::create(machine.log_path()).expect("a log");
        let mut process = machine.start(log);
        process.wait_until("a line about the metrics", |_| machine.log().contains("metrics"));
        drop(other);
        process.wait_for_metric("onyxstile_");
        process.ends_in_order();
    }
}

/// Guards against the end of a process whose UDP port is taken; UDP has no address that can be shared by successors.
#[test]
fn controllers_and_storage_wait_for_their_membership_port() {
    for role in [CONTROLLER, STORAGE] {
        let (ports, _alone) = ports();
        let machine = RoleMachine::new(ports, role, "membership-taken");
        let other = UdpSocket::bind(machine.address(ports.peers())).expect("the port is free");
        let mut process = machine.start(Stdio::null());
        process.wait_for_metric("onyxstile_start_wait_seconds{for=\"membership port: ");
        drop(other);
        process.wait_for_listener(machine.address(ports.peers()));
        process.ends_in_order();
    }
}

/// Guards against a process that does not hear SIGTERM, or ends with a failure, while it waits.
#[test]
fn a_termination_during_a_wait_is_an_orderly_end() {
    for (role, port) in [(PROXY, 0), (CONTROLLER, 1), (STORAGE, 1)] {
        let (ports, _alone) = ports();
        let machine = RoleMachine::new(ports, role, "terminated-wait");
        let taken = machine.address([ports.front, ports.peers()][port]);
        let _other = TcpListener::bind(taken).expect("the port is free");
        let mut process = machine.start(Stdio::null());
        process.wait_for_metric("onyxstile_start_wait_seconds{");
        process.ends_in_order();
    }
}

/// Guards against the end of a process that is started while the one before it still answers its last calls.
#[test]
fn a_successor_waits_until_the_process_before_it_has_ended() {
    for role in [PROXY, CONTROLLER] {
        let (ports, _alone) = ports();
        let machine = RoleMachine::new(ports, role, "overlap");
        let address = machine.address(if role == PROXY { ports.front } else { ports.control });
        let mut first = machine.start(Stdio::null());
        first.wait_for_listener(address);
        let mut open = TcpStream::connect(address).expect("a connection");
        open.write_all(b"GET /half HTTP/1.1\r\nho").expect("half a request");
        first.signal("-TERM");
        let mut second = machine.start(Stdio::null());
        let status = first.exit_status();
        assert!(status.success(), "{}: {status}", role.0);
        second.wait_for_listener(address);
        second.ends_in_order();
    }
}

/// Guards against two processes that vote or acknowledge writes by the same records.
#[test]
fn a_process_waits_for_a_data_folder_that_another_one_uses() {
    for (role, class, host) in [CONTROLLER, STORAGE] {
        let (ports, _alone) = ports();
        let machine = RoleMachine::new(ports, (role, class, host), "folder");
        let mut first = machine.start(Stdio::null());
        first.wait_for_listener(machine.address(ports.peers()));
        let other = RoleMachine::new(ports, (role, class, host + 2), "folder");
        let data = |machine: &RoleMachine| machine.data_path().display().to_string();
        other.write_settings(&other.settings.replace(&data(&other), &data(&machine)));
        let mut second = other.start(Stdio::null());
        second.wait_for_metric("onyxstile_start_wait_seconds{for=\"data folder: ");
        first.ends_in_order();
        second.wait_for_listener(other.address(ports.peers()));
        second.ends_in_order();
    }
}

/// Guards against the end of a process whose disk refuses its first access; here its data folder can't be created.
#[test]
fn controllers_and_storage_wait_for_a_disk_that_refuses() {
    for role in [CONTROLLER, STORAGE] {
        let (ports, _alone) = ports();
        let machine = RoleMachine::new(ports, role, "disk-refuses");
        std::fs::write(machine.data_path(), "in the way").expect("a file");
        let mut process = machine.start(Stdio::null());
        process.wait_for_metric("onyxstile_start_wait_seconds{for=\"data folder: ");
        std::fs::remove_file(machine.data_path()).expect("is removed");
        process.wait_for_listener(machine.address(ports.peers()));
        process.ends_in_order();
    }
}

/// Guards against the end of a process that is started while its settings file is being replaced.
#[test]
fn a_process_waits_for_settings_that_can_be_read() {
    for role in ROLES {
        let (ports, _alone) = ports();
        let machine = RoleMachine::new(ports, role, "settings");
        let half = &machine.settings[..machine.settings.len() / 2];
        for incomplete in ["", half] {
            machine.write_settings(incomplete);
            let mut process = machine.start(Stdio::null());
            let wait = "onyxstile_start_wait_seconds{for=\"settings: ";
            process.wait_until(wait, |_| loopback_metrics(&machine).contains(wait));
            machine.write_settings(&machine.settings);
            process.wait_for_metric("onyxstile_");
            process.ends_in_order();
        }
    }
}

/// Metrics of a process that does not know the address of its machine yet.
fn loopback_metrics(machine: &RoleMachine) -> String {
    use std::io::Read;
    let address = (std::net::Ipv4Addr::LOCALHOST, machine.ports.metrics_of(machine.role));
    let mut text = String::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        stream.write_all(b"GET /figures HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").ok();
        stream.read_to_string(&mut text).ok();
    }
    text
}

/// Guards against the end of a process by SIGXFSZ when a file reaches the limit on its size; here the file of its log.
#[test]
fn a_limit_on_the_size_of_files_does_not_end_a_process() {
    for role in ROLES {
        let (ports, _alone) = ports();
        let machine = RoleMachine::new(ports, role, "file-size");
        let path = machine.folder.join("log");
        std::fs::write(&path, [b'.'; 4096]).expect("a log");
        let log = std::fs::File::options().append(true).open(&path).expect("the log");
        let mut command = Command::new("bash");
        let program = env!("CARGO_BIN_EXE_onyxstile-system");
        command.args(["-c", "ulimit -f 4; exec \"$0\" \"$@\"", program]).args(machine.arguments());
        let mut process = machine.spawn(command, log);
        process.wait_until("lost lines", |process| {
            process.has_metric("onyxstile_log_lines_lost_total")
                && !process.has_metric("onyxstile_log_lines_lost_total 0")
        });
        process.ends_in_order();
    }
}

/// Guards against the end of a process by a number with a fraction, or by an empty value that it does not need.
#[test]
fn settings_may_have_fractions_and_empty_values() {
    let (ports, _alone) = ports();
    let machine = RoleMachine::new(ports, PROXY, "fractions");
    let text = machine
        .settings
        .replace("memory_mb = 64", "memory_mb = 64.0")
        .replace("heartbeat_ms = 1000", "heartbeat_ms = 1000.5")
        .replace("machines = 1", "machines = 1.0\nregions = \"\"")
        .replace("[listen]", "[bounds]\ndrain_ms = 2000.5\n[listen]\nunknown = \"\"");
    let control = machine.settings.lines().find(|line| line.starts_with("control")).expect("control");
    let text = text.replace(control, "control = \"\"");
    let settings = Settings::parse(&machine.settings_path(), &text).expect("usable settings");
    assert_eq!(
        (settings.limits.memory_mb, settings.heartbeat_ms, settings.bounds.drain_ms),
        (64, 1000, 2000)
    );
    assert_eq!((settings.fault_tolerance.machines, settings.listen.control), (1, None));
}

/// Guards against relays of one host that all want the same address for their agents: all but one could never be ready.
#[test]
fn machines_on_loopback_have_feed_addresses_of_their_own() {
    let (ports, _alone) = ports();
    let machine = RoleMachine::new(ports, ("proxy", "edge", 10), "feeds");
    let feed = format!("feed = \"{}\"", ports.feed(10));
    let text = machine.settings.replace(&feed, "");
    let settings = |text: &str| Settings::parse(&machine.settings_path(), text).expect("usable settings");
    assert_eq!(settings(&text).feed_address(), ports.feed(10));
    let elsewhere = settings(&text.replace("ip = \"127.0.0.10\"", "ip = \"10.1.0.38\""));
    assert_eq!(elsewhere.feed_address().ip(), &std::net::Ipv4Addr::LOCALHOST);
}
