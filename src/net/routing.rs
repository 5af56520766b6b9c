//! The routing table at work: the edge asks it where a request belongs, the module's proposer which real server
//! comes first, and the owner tells it who is who. A new table takes the old one's place in one moment; flows
//! under way keep what they were taken with, limits what they have counted.

use super::directory::Directory;
use super::http::Head;
use super::listed::{FixedServer, RawEntry, Wire};
use super::parcel::{Parcel, Routed};
use crate::api::{DestinationId, EndpointId, MessageId, Proposed, Proposer};
use crate::core::FlowNo;
use onyxstile_routing::table::{Counted, Passed};
use onyxstile_routing::{BuildError, Groups, Limits, Proposal, Request, Resolution, RoutingConfig, Table};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// A table that has been built and is not in force yet.
#[derive(Debug)]
pub struct Staged {
    config: RoutingConfig,
    table: Table,
}

impl Staged {
    /// Builds a table.
    ///
    /// # Errors
    /// What in it cannot work.
    pub fn build(config: RoutingConfig) -> Result<Staged, BuildError> {
        let table = Table::build(&config)?;
        Ok(Staged { config, table })
    }
}

/// The table in force, with what belongs to it.
#[derive(Debug)]
pub struct Routing {
    table: RefCell<Staged>,
    limits: RefCell<Limits>,
    order: Rc<RefCell<Order>>,
    seed: u64,
}

/// What the proposer goes by.
#[derive(Debug)]
struct Order {
    groups: Groups,
    /// The open flows that were routed: what their group's method goes by.
    routed: BTreeMap<FlowNo, Rc<Parcel>>,
}

/// Where a request goes, and the places in limits that it holds until its verdict is there.
#[derive(Debug)]
pub struct Way {
    /// The destination.
    pub destination: DestinationId,
    /// What goes with the flow.
    pub routed: Routed,
    /// Its places.
    pub held: Held,
}

/// Places in limits, given back when dropped.
#[derive(Debug)]
pub struct Held(Rc<Routing>, Vec<Counted>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.limits.borrow_mut().done(&self.1);
    }
}

/// Why a request goes nowhere: its status, and what is told with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NoWay {
    /// Answered with a status that is for good.
    Status(u16),
    /// It has to ask for this target (301).
    Moved(String),
    /// Over a limit; when to come again.
    Limited(Duration),
}

impl Routing {
    /// A table in force from the start.
    pub fn new(staged: Staged, seed: u64, now: Duration) -> Rc<Routing> {
        let limits = Limits::new(staged.table.zones(), now);
        let groups = Groups::new(&staged.config, seed);
        let order = Rc::new(RefCell::new(Order { groups, routed: BTreeMap::new() }));
        Rc::new(Routing { table: RefCell::new(staged), limits: RefCell::new(limits), order, seed })
    }

    /// Whether there is nothing to route by.
    pub fn is_empty(&self) -> bool {
        self.table.borrow().table.is_empty()
    }

    /// Puts another table in force.
    pub fn replace(&self, staged: Staged) {
        self.limits.borrow_mut().take_over(staged.table.zones());
        let mut order = self.order.borrow_mut();
        let groups = Groups::new(&staged.config, self.seed);
        let old = std::mem::replace(&mut order.groups, groups);
        order.groups.take_over(&old);
        *self.table.borrow_mut() = staged;
    }

    /// Where a request goes.
    ///
    /// # Errors
    /// It goes nowhere.
    pub fn way(
        self: &Rc<Self>, head: &Head, client: IpAddr, body: Option<u64>, now: Duration,
    ) -> Result<Way, NoWay> {
        let header = |name: &str| head.field(name).map(str::to_string);
        let host = head.only("host").map_err(|_| NoWay::Status(400))?;
        let request = Request::new(host, &head.first[0], &head.first[1], client, &header, body);
        let request = request.map_err(|e| {
            tracing::debug!("a request was turned away: {e}");
            NoWay::Status(400)
        })?;
        let passed = match self.table.borrow().table.resolve(&request) {
            Resolution::Pass(passed) => passed,
            Resolution::Denied(_) => return Err(NoWay::Status(403)),
            Resolution::TooLarge(_) => return Err(NoWay::Status(413)),
            Resolution::Answer(status, _) => return Err(NoWay::Status(status)),
            Resolution::AddSlash(target, _) => return Err(NoWay::Moved(target)),
            Resolution::Unmatched(_) => return Err(NoWay::Status(404)),
        };
        let Passed { destination, path, key, limits, .. } = passed;
        if let Err(limited) = self.limits.borrow_mut().admit(&limits, now) {
            tracing::debug!("a request was turned down by the limit of zone {}", limited.zone);
            return Err(NoWay::Limited(limited.after));
        }
        let destination = DestinationId(destination);
        Ok(Way { destination, routed: Routed { path, key }, held: Held(self.clone(), limits) })
    }

    /// A routed flow is open from now on.
    pub fn flow_opens(&self, flow: FlowNo, parcel: &Rc<Parcel>) {
        if parcel.routed.is_some() {
            self.order.borrow_mut().routed.insert(flow, parcel.clone());
        }
    }

    /// A flow is over.
    pub fn flow_over(&self, flow: FlowNo) {
        self.order.borrow_mut().routed.remove(&flow);
    }

    /// Gives the groups' servers the numbers that the directory has for them.
    pub fn name_servers(&self, directory: &Directory) {
        let table = self.table.borrow();
        let mut order = self.order.borrow_mut();
        for upstream in &table.config.upstream {
            for (at, peer) in upstream.server.iter().enumerate() {
                if let Some(no) = directory.find(&uid(&upstream.name, &peer.address.to_string())) {
                    order.groups.name(upstream.destination, at, no.0);
                }
            }
        }
    }

    /// The proposer that the module asks.
    pub fn proposer(&self) -> Box<dyn Proposer> {
        Box::new(Proposes(self.order.clone()))
    }
}

/// The name of the kind that groups' real servers are of.
pub const KIND: &str = "routed";

/// The lasting name of a group's real server.
fn uid(upstream: &str, address: &str) -> String {
    format!("{upstream}/{address}")
}

/// The groups' real servers, in the form of those that the operator names one by one.
pub fn servers(config: &RoutingConfig) -> Vec<FixedServer> {
    let servers = config.upstream.iter().flat_map(|u| u.server.iter().map(move |s| (u, s)));
    let server = servers.map(|(u, s)| {
        let endpoint = s.address.to_string();
        let state = if s.down { "draining" } else { "up" };
        let entry = RawEntry {
            uid: uid(&u.name, &endpoint),
            endpoint,
            az: String::new(),
            model: KIND.into(),
            pod_group: u.destination,
            state: state.into(),
            capacity_hint: 0.0,
        };
        FixedServer { entry, wire: Wire::Http }
    });
    server.collect()
}

#[derive(Debug)]
struct Proposes(Rc<RefCell<Order>>);

impl Proposer for Proposes {
    fn propose(
        &mut self, destination: DestinationId, message: MessageId,
        allowed: &mut dyn FnMut(EndpointId) -> bool,
    ) -> Proposed {
        let Order { groups, routed } = &mut *self.0.borrow_mut();
        let key = routed.get(&message).and_then(|p| p.routed.as_ref()).map_or(&[][..], |r| &r.key);
        match groups.propose(destination.0, key, &mut |server| allowed(EndpointId(server))) {
            Proposal::NoGroup => Proposed::NoOpinion,
            Proposal::Nobody => Proposed::NoneAllowed,
            Proposal::Server(server) => Proposed::Endpoint(EndpointId(server)),
        }
    }

    fn set_open_calls(&mut self, endpoint: EndpointId, calls_out: usize) {
        self.0.borrow_mut().groups.busy(endpoint.0, u32::try_from(calls_out).unwrap_or(u32::MAX));
    }
}
