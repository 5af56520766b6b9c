//! The one task that owns the module, the core and the journal. All else reaches it by one bounded queue.

mod admin;
mod claims;
pub(crate) mod comeback;
mod control;
mod drain;
mod effects;
mod fleet;
mod handover;
mod lasting;
mod mail;
mod new;
mod offers;
mod parts;
mod recovery;
mod run;
mod sights;
mod step;
mod take;
mod undelivered;
mod witness;
mod words;

use super::clock::Clock;
use super::config::Config;
use super::directory::Directory;
use super::edge::Edge;
use super::figures::{Fate, Figures};
use super::inbox::{Offer, ToOwner, Verdict};
use super::journal::{Journal, Owed, Progress, Record, SentTo, TakenFlow};
use super::listed::{FixedServer, RawList, Wire};
use super::mail::MailSettings;
use super::mail::client::{Item, MailCall, MailUpstream};
use super::mail::dsn::Report;
use super::notices;
use super::parcel::{Envelope, Parcel, Routed};
use super::peers::Datagram;
use super::phase::{Evacuation, Phase, State};
use super::routing::{Routing, Staged};
use super::trace::recorder::Recorder;
use super::undelivered::keeper::Keeper;
use super::upgrade::lock::Lock;
use super::upgrade::parking::Parking;
use super::upgrade::state::State as HandedState;
use super::upgrade::wire::Peer;
use super::upstream::{self, CallOrder, Switch, Upstream};
use crate::api::{ClassId, DestinationId, KindId, ListState, Note, Past, TenantId};
use crate::core::wakes::Wakes;
use crate::core::watchdog::{DeadlineWatchdog, FlowEvent};
use crate::core::{CallEnd, Core, Effect, End, FlowNo, FlowTerms, Outcome, ServerNo};
use crate::plugin::{FlowView, Hooks};
use crate::settings::Names;
pub use control::item;
use onyxstile_trace::events::Stage;
pub use parts::{Ended, OwnerError, Parts};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;
pub use witness::Witness;
use words::{end_name, outcome_name, owes_notice, view};

/// Messages taken into one step, at most.
const BATCH: usize = 256;
/// Time for which the owner may be kept from its work before it says so: a notice is overdue after 300 ms.
const STALL: Duration = Duration::from_millis(100);
/// Ids of flows that are over, kept in case one is handed in twice.
const REMEMBERED: usize = 4096;

#[derive(Debug)]
struct OpenCall {
    switch: Switch,
    server: ServerNo,
}

/// What has to be known of an open flow beside what the core keeps.
#[derive(Debug, Clone, Copy)]
struct Place {
    destination: DestinationId,
    class: usize,
    /// A resend: its message has been counted before.
    resend: bool,
}

/// Flows whose client waits for the end of the present step.
#[derive(Debug)]
struct Group {
    reply: oneshot::Sender<Vec<Verdict>>,
    verdicts: Vec<Option<Verdict>>,
    together: bool,
}

#[derive(Debug)]
struct Waiting {
    group: u64,
    index: usize,
    flow: TakenFlow,
}

/// The owner's state.
#[derive(Debug)]
pub struct Owner {
    core: Core<Rc<Parcel>>,
    journal: Journal,
    watchdog: DeadlineWatchdog,
    names: Names,
    clock: Clock,
    phase: Phase,
    upstream: Upstream,
    mail: Option<(MailSettings, MailUpstream)>,
    hooks: Rc<Hooks>,
    /// What scripts see of the open flows; kept only where there are scripts.
    views: BTreeMap<FlowNo, FlowView>,
    fixed: Vec<FixedServer>,
    routing: Rc<Routing>,
    per_call: Vec<usize>,
    /// Kinds whose real servers are each for themselves.
    apart: Vec<bool>,
    witness: Option<Witness>,
    /// What a repeat does and how long a flow lives, by class.
    classes: Vec<(crate::api::Effect, Duration)>,
    directory: Directory,
    /// The version of discovery's list.
    list_rev: u64,
    calls: BTreeMap<(FlowNo, u32), OpenCall>,
    /// Probes that are out.
    probes: Vec<(ServerNo, Switch)>,
    /// Offers that wait for the end of the present step.
    waiting: BTreeMap<FlowNo, Waiting>,
    groups: BTreeMap<u64, Group>,
    /// Records that the next write begins with.
    unwritten: Vec<Record>,
    /// What real servers last said of open mail flows.
    said: BTreeMap<FlowNo, String>,
    /// Calls of the present step, as far as they can share no other.
    http_calls: Vec<CallOrder>,
    /// Mail calls of the present step.
    mail_calls: Vec<(ServerNo, Duration, DestinationId, Item)>,
    places: BTreeMap<FlowNo, Place>,
    ids: BTreeMap<String, FlowNo>,
    over: VecDeque<String>,
    next: u64,
    wakes: Wakes,
    notices: mpsc::Sender<Vec<(FlowNo, Owed)>>,
    telling: bool,
    draining_since: Option<Duration>,
    /// Keeps what fails, where that is wanted.
    keeper: Option<Keeper>,
    resends: BTreeMap<FlowNo, undelivered::Resend>,
    /// Resends that ended in this step, or in one whose changes could not be written.
    resend_ends: Vec<FlowNo>,
    max_calls: usize,
    most_held: usize,
    figures: Figures,
    /// When the figures of real servers were taken last.
    census_at: Duration,
    evacuation: Evacuation,
    /// That this process decides and writes; given up when another one goes on.
    lock: Option<Lock>,
    parking: Parking,
    edge: Option<Rc<Edge>>,
    /// Sockets that two processes may hold together.
    sockets: usize,
    /// When a client last handed something in.
    last_offer: Duration,
    queue: mpsc::Receiver<ToOwner>,
    /// Steps that wait for a sync.
    held_back: lasting::HeldBack,
    /// Times are written down: a later process may have to judge by them.
    times_written: bool,
    /// The other relays, where they are wanted; their datagrams; and the return to service after a loss.
    fleet: Option<fleet::Fleet>,
    datagrams: mpsc::Receiver<Datagram>,
    comeback: Option<comeback::Comeback>,
    /// How long a real server may be cold, and what a class's flow is worth.
    cold_time: Duration,
    worth: Vec<f64>,
    /// Operators' calls, which wait behind nothing else.
    orders: mpsc::Receiver<ToOwner>,
}

impl Owner {
    fn number(&mut self) -> FlowNo {
        self.next += 1;
        FlowNo(self.next - 1)
    }

    fn forget(&mut self, no: FlowNo, id: &str) {
        self.places.remove(&no);
        self.routing.flow_over(no);
        self.views.remove(&no);
        if self.ids.get(id) == Some(&no) {
            self.ids.remove(id);
        }
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}
