//! Polls of a controller that is not sure of what it holds: it answers at once, and is asked again without haste.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use onyxstile_system::role::rpc::{self, Client};
use onyxstile_system::role::subscription::{self, Wishes};
use onyxstile_system::settings::Settings;
use onyxstile_system::wire::{Pulled, Request, Response};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Polls that are waited for; between any two lies a pause of 40 ms.
const POLLS: u32 = 12;
const LEAST: Duration = Duration::from_millis(300);

fn unsure(ip: Ipv4Addr) -> Pulled {
    Pulled {
        view: 1,
        electors: vec![ip.octets()],
        is_settled: false,
        sequence: 0,
        state: None,
        origin: 1,
        counter: 0,
        endpoints: Vec::new(),
        relays: None,
        evidence: Vec::new(),
    }
}

fn settings(controller: SocketAddrV4) -> Settings {
    let (ip, port) = (controller.ip(), controller.port());
    let text = format!(
        "node_name = \"a\"\nmachine_class = \"edge\"\nip = \"127.0.0.1\"\nzone = \"z\"\ninternal_port_range = [{port},{}]\nseed_nodes = [\"{ip}:{port}\"]\nheartbeat_ms = 1000\n[listen]\n[limits]\nmemory_mb = 100\n[fault_tolerance]\nmachines = 1\n[bounds]\ngrace_s = 8\n",
        port.saturating_add(15)
    );
    Settings::parse(Path::new("boot.toml"), &text).expect("settings")
}

/// By reading: a controller that has lost its disk may be unsure for as long as another is dark, and was asked again in the
/// same moment, some hundred times a second by each relay.
#[test]
fn a_controller_that_is_not_sure_is_not_asked_without_end() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let port = listener.local_addr().expect("its address").port();
        let controller = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        let (polls, enough) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
        let (counted, reached) = (polls.clone(), enough.clone());
        let handler = Rc::new(move |request: Request| -> rpc::Answer {
            assert!(matches!(request, Request::Pull(_)));
            counted.set(counted.get() + 1);
            if counted.get() == POLLS {
                reached.notify_one();
            }
            Box::pin(std::future::ready(Response::Pulled(unsure(Ipv4Addr::LOCALHOST))))
        });
        tokio::task::spawn_local(rpc::serve(listener, handler));
        let settings = Rc::new(RefCell::new(settings(controller)));
        let wishes = Wishes { relay: None, wait: Duration::from_millis(400), synced_epoch: Rc::default() };
        let began = Instant::now();
        let _news = subscription::follow(settings, Client::default(), wishes);
        enough.notified().await;
        assert!(began.elapsed() >= LEAST, "{POLLS} polls in {:?}", began.elapsed());
    });
}
