//! Support code shared by the tests.
#![allow(dead_code)]

pub mod control_simulation;
pub mod endless_endpoint;
pub mod endpoints;
pub mod faulty_disk;
pub mod gated_endpoint;
pub mod indexed_log;
pub mod listener;
pub mod memory_folder;
pub mod role_process;
pub mod scripted_endpoint;
pub mod search;
pub mod standalone_proxy;
pub mod store_world;
pub mod tier;
pub mod tier_simulation;
pub mod virtual_time;

use std::net::Ipv4Addr;
use std::rc::Rc;

use onyxstile_system::clock::SteadyClock;
use onyxstile_system::control::{ElectorId, bootstrap_disk};
use onyxstile_system::role::rpc::ServerLoad;
use onyxstile_system::storage_plan::{StorageNode, StoragePlan};
use onyxstile_system::tolerance::{Location, Tolerance};

/// Tolerance of the loss of one machine.
pub const ONE_MACHINE: Tolerance = Tolerance { machines: 1, zones: 0, regions: 0 };

/// Sends the signal `name` to a running process.
pub fn send_signal(process: u32, name: &str) {
    let sent = std::process::Command::new("kill").args([name, &process.to_string()]).status();
    assert!(sent.expect("kill runs").success());
}

/// Load of an RPC server whose open requests may take any memory.
pub fn unlimited_load() -> Rc<ServerLoad> {
    ServerLoad::new(SteadyClock::start(), usize::MAX)
}

/// Value of a metric in the text of a role, if present; `name` includes the labels.
pub fn metric_value(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
    Some(line.parse().expect("a number"))
}

/// A number from an environment variable, or the default.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// The address of machine number `number`.
pub fn address(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

/// The first three controllers.
pub fn seeds() -> [Ipv4Addr; 3] {
    [address(1), address(2), address(3)]
}

/// A controller with the disk identifier of its first start.
pub fn elector(number: u8) -> ElectorId {
    ElectorId { ip: address(number).octets(), disk: bootstrap_disk(address(number)) }
}

/// Location in a zone of a region.
pub fn place(region: &str, zone: &str) -> Location {
    Location { region: region.into(), zone: zone.into() }
}

/// A storage machine in its own zone.
pub fn storage(number: u8) -> StorageNode {
    storage_in(number, place("r", &format!("z{number}")))
}

/// A storage machine at a location.
pub fn storage_in(number: u8, location: Location) -> StorageNode {
    StorageNode { name: format!("storage-{number}"), ip: address(number).octets(), disk: 1, location }
}

/// A plan with the current members and those before the change.
pub fn plan(epoch: u64, current: &[u8], previous: &[u8]) -> StoragePlan {
    StoragePlan {
        epoch,
        current: current.iter().copied().map(storage).collect(),
        previous: previous.iter().copied().map(storage).collect(),
        retired: Vec::new(),
        size: current.len() as u32,
    }
}
