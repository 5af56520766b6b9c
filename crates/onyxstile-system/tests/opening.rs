//! A controller whose records cannot be read starts nevertheless, like one that has lost its disk.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener as StdListener};
use std::path::Path;
use std::time::Duration;

use onyxstile_system::role::controller;
use onyxstile_system::role::rpc::Client;
use onyxstile_system::role::signals::Signals;
use onyxstile_system::settings::Settings;
use onyxstile_system::wire::{Request, Response};

/// Timeout of the whole test, which takes some tens of ms.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a free port.
fn free_port() -> u16 {
    let listener = StdListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    listener.local_addr().expect("its address").port()
}

fn settings(folder: &Path, internal: u16, control: u16) -> Settings {
    let text = format!(
        "node_name = \"core-1\"\nmachine_class = \"core\"\nip = \"127.0.0.1\"\nzone = \"z\"\ninternal_port_range = [{internal},{}]\nseed_nodes = [\"127.0.0.1:{control}\"]\nbootstrap = false\ndata_dir = \"{}\"\nheartbeat_ms = 1000\n[listen]\ncontrol = \"127.0.0.1:{control}\"\n[fault_tolerance]\nmachines = 1\n",
        internal.saturating_add(1),
        folder.display()
    );
    Settings::parse(Path::new("boot.toml"), &text).expect("settings")
}

/// A damaged registry record ended the process at each start, though it only counts as lost. Found by code review.
#[test]
fn controller_starts_with_torn_records() {
    let folder = std::env::temp_dir().join(format!("onyxstile-opening-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    for file in ["registry-3", "version-5"] {
        std::fs::write(folder.join(file), b"short").expect("is written");
    }
    let (internal, control) = (free_port(), free_port());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let lines = tokio::task::LocalSet::new().block_on(&runtime, async {
        let answers = async {
            let (client, to) = (Client::default(), SocketAddrV4::new(Ipv4Addr::LOCALHOST, internal));
            loop {
                if let Ok(Response::Status(lines)) = client.call(to, &Request::Status, TIMEOUT).await {
                    return lines;
                }
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            ended = controller::run(settings(&folder, internal, control), Signals::listen()) => panic!("it ended: {ended:?}"),
            lines = tokio::time::timeout(TIMEOUT, answers) => lines.expect("it answers"),
        }
    });
    std::fs::remove_dir_all(&folder).expect("is removed");
    assert!(lines.contains(&"view none: not taken in yet".to_owned()), "{lines:?}");
}
