//! Polling of controllers. A controller that is not settled answers at once and is polled again after a pause. The state
//! is fetched from one controller, a different one for each machine, and from any other if that one is slow.

mod support;

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use onyxstile_system::control::StoredConfiguration;
use onyxstile_system::feed_state::FeedUpdate;
use onyxstile_system::role::essential_tasks::EssentialTasks;
use onyxstile_system::role::rpc::{self, Client};
use onyxstile_system::role::subscription::{self, SubscriptionOptions};
use onyxstile_system::settings::Settings;
use onyxstile_system::wire::{PublishedState, PullRequest, PullResponse, Request, Response};
use support::unlimited_load;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Number of polls to wait for. There is a pause of 40 ms between any two.
const POLLS: u32 = 12;
const MIN_DURATION: Duration = Duration::from_millis(300);

fn unsettled(ip: Ipv4Addr) -> PullResponse {
    PullResponse {
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
    settings_at(Ipv4Addr::LOCALHOST, controller)
}

/// Settings of a machine with the address `own`, which determines only the controller that it fetches the state from.
fn settings_at(own: Ipv4Addr, controller: SocketAddrV4) -> Settings {
    let (ip, port) = (controller.ip(), controller.port());
    let text = format!(
        "node_name = \"a\"\nmachine_class = \"edge\"\nip = \"{own}\"\nzone = \"z\"\ninternal_port_range = [{port},{}]\nseed_nodes = [\"{ip}:{port}\"]\nheartbeat_ms = 1000\n[listen]\n[limits]\nmemory_mb = 100\n[fault_tolerance]\nmachines = 1\n[bounds]\ngrace_s = 8\n",
        port.saturating_add(15)
    );
    Settings::parse(Path::new("boot.toml"), &text).expect("settings")
}

/// A controller that lost its disk may stay unsettled while another one is unreachable. Without a pause each relay polled
/// it some hundred times per second. Found by code review.
#[test]
fn unsettled_controller_is_not_polled_in_a_tight_loop() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let port = listener.local_addr().expect("its address").port();
        let controller = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        let (polls, enough) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
        let (counted, reached) = (polls.clone(), enough.clone());
        let handler = Rc::new(move |request: Request| -> rpc::ResponseFuture {
            assert!(matches!(request, Request::Pull(_)));
            counted.set(counted.get() + 1);
            if counted.get() == POLLS {
                reached.notify_one();
            }
            Box::pin(std::future::ready(Response::Pull(unsettled(Ipv4Addr::LOCALHOST))))
        });
        tokio::task::spawn_local(rpc::serve(listener, unlimited_load(), handler));
        let settings = Rc::new(RefCell::new(settings(controller)));
        let options = SubscriptionOptions {
            relay_evidence: None,
            wait: Duration::from_millis(400),
            synced_epoch: Rc::default(),
        };
        let began = Instant::now();
        let _updates =
            subscription::follow(settings, Client::default(), options, &mut EssentialTasks::default());
        enough.notified().await;
        assert!(began.elapsed() >= MIN_DURATION, "{POLLS} polls in {:?}", began.elapsed());
    });
}

/// Sequence of the control state that the controllers of these tests hold.
const SEQUENCE: u64 = 5;
/// Number of machines that follow the controllers.
const FOLLOWERS: u8 = 30;

/// Controllers at loopback addresses with the same port, and the number of states that each has sent.
struct Controllers {
    addresses: Vec<Ipv4Addr>,
    port: u16,
    sent: Rc<RefCell<Vec<u32>>>,
}

impl Controllers {
    /// `sends` returns whether a controller sends the state when it is requested.
    async fn start(sends: fn(usize) -> bool) -> Controllers {
        let addresses: Vec<Ipv4Addr> = (1..=3).map(|number| Ipv4Addr::new(127, 0, 7, number)).collect();
        let first = TcpListener::bind((addresses[0], 0)).await.expect("a port");
        let port = first.local_addr().expect("its address").port();
        let sent = Rc::new(RefCell::new(vec![0; addresses.len()]));
        let mut listeners = vec![first];
        for address in &addresses[1..] {
            listeners.push(TcpListener::bind((*address, port)).await.expect("the same port"));
        }
        for (index, listener) in listeners.into_iter().enumerate() {
            let (sent, electors) = (sent.clone(), addresses.clone());
            let handler = Rc::new(move |request: Request| -> rpc::ResponseFuture {
                let Request::Pull(pull) = request else { panic!("{request:?}") };
                let state = (pull.wants_state && pull.sequence < SEQUENCE && sends(index)).then(published);
                sent.borrow_mut()[index] += u32::from(state.is_some());
                let answer = settled(&electors, state);
                let is_over = pull.wait_ms == 0 || answer.state.is_some() || !pull.is_counted;
                Box::pin(async move {
                    if !is_over {
                        std::future::pending::<()>().await;
                    }
                    Response::Pull(answer)
                })
            });
            tokio::task::spawn_local(rpc::serve(listener, unlimited_load(), handler));
        }
        Controllers { addresses, port, sent }
    }

    /// Follows the controllers until the newest state has arrived and a majority has responded.
    async fn follow(&self, own: Ipv4Addr) {
        let seed = SocketAddrV4::new(self.addresses[0], self.port);
        let settings = Rc::new(RefCell::new(settings_at(own, seed)));
        let options = SubscriptionOptions {
            relay_evidence: None,
            wait: Duration::from_millis(1000),
            synced_epoch: Rc::default(),
        };
        let mut updates =
            subscription::follow(settings, Client::default(), options, &mut EssentialTasks::default());
        let mut held = 0;
        loop {
            match updates.recv().await.expect("an update") {
                FeedUpdate::State(published) => held = published.sequence,
                FeedUpdate::Fresh => break,
                _ => {}
            }
        }
        assert_eq!(held, SEQUENCE, "it holds the newest reported state when it counts as fresh");
    }
}

fn published() -> PublishedState {
    let configuration = Rc::new(StoredConfiguration { revision: 3, body: b"{}".to_vec() });
    PublishedState { sequence: SEQUENCE, configuration: Some(configuration), ..PublishedState::default() }
}

fn settled(electors: &[Ipv4Addr], state: Option<PublishedState>) -> PullResponse {
    let electors = electors.iter().map(Ipv4Addr::octets).collect();
    PullResponse { electors, is_settled: true, sequence: SEQUENCE, state, ..unsettled(Ipv4Addr::LOCALHOST) }
}

fn run(scenario: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, scenario);
}

/// Guards against all relays fetching the configuration from the controller that is settled first, over its single link:
/// they became ready 0.6 s after it. Found by mncg-onyx-grown, trouble-1, in a trial.
#[test]
fn state_downloads_are_spread_over_all_controllers() {
    run(async {
        let controllers = Controllers::start(|_| true).await;
        for number in 1..=FOLLOWERS {
            controllers.follow(Ipv4Addr::new(10, 0, 0, number)).await;
        }
        let sent = controllers.sent.borrow().clone();
        assert!(sent.iter().all(|sent| *sent >= u32::from(FOLLOWERS) / 6), "{sent:?}");
    });
}

#[test]
fn state_is_fetched_from_another_controller_if_the_source_does_not_send_it() {
    run(async {
        let controllers = Controllers::start(|index| index == 1).await;
        for number in 1..=6 {
            controllers.follow(Ipv4Addr::new(10, 0, 0, number)).await;
        }
    });
}

#[test]
fn first_poll_requests_no_state_and_does_not_wait() {
    run(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let port = listener.local_addr().expect("its address").port();
        let first: Rc<RefCell<Option<PullRequest>>> = Rc::default();
        let (recorded, received) = (first.clone(), Rc::new(Notify::new()));
        let notify = received.clone();
        let handler = Rc::new(move |request: Request| -> rpc::ResponseFuture {
            let Request::Pull(pull) = request else { panic!("{request:?}") };
            recorded.borrow_mut().get_or_insert(pull);
            notify.notify_one();
            Box::pin(std::future::ready(Response::Pull(unsettled(Ipv4Addr::LOCALHOST))))
        });
        tokio::task::spawn_local(rpc::serve(listener, unlimited_load(), handler));
        let settings = Rc::new(RefCell::new(settings(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))));
        let options = SubscriptionOptions {
            relay_evidence: None,
            wait: Duration::from_millis(400),
            synced_epoch: Rc::default(),
        };
        let _updates =
            subscription::follow(settings, Client::default(), options, &mut EssentialTasks::default());
        received.notified().await;
        let pull = first.borrow().clone().expect("a poll");
        assert!(!pull.wants_state && pull.wait_ms == 0, "{pull:?}");
    });
}
