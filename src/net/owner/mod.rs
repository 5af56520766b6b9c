//! The one task that owns the module, the core and the journal. All else reaches it by one bounded queue.

mod admin;
mod claims;
mod control;
mod drain;
mod durable_steps;
mod effects;
mod endpoint_records;
mod fleet;
mod handover;
mod mail;
mod messages;
mod new;
mod parts;
mod recovery;
pub(crate) mod restart;
mod run;
mod step;
mod step_recorder;
mod submissions;
mod text;
mod undelivered;

use super::clock::Clock;
use super::config::Config;
use super::directory::Directory;
use super::edge::Edge;
use super::figures::{Fate, Figures};
use super::inbox::{OwnerMessage, Submission, Verdict};
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
pub use parts::{Ended, OwnerError, OwnerParts};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
pub use step_recorder::StepRecorder;
use text::{end_name, needs_notice, outcome_name, view};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

/// Messages taken into one step, at most.
const BATCH: usize = 256;
/// Time for which the owner may be kept from its work before it says so: a notice is overdue after 300 ms.
const STALL: Duration = Duration::from_millis(100);
/// Ids of flows that are over, kept in case one is handed in twice.
const MAX_REMEMBERED: usize = 4096;

#[derive(Debug)]
struct OpenCall {
    switch: Switch,
    server: ServerNo,
}

/// What has to be known of an open flow beside what the core keeps.
#[derive(Debug, Clone, Copy)]
struct FlowInfo {
    destination: DestinationId,
    class: usize,
    /// A resend: its message has been counted before.
    resend: bool,
}

/// Flows whose client waits for the end of the present step.
#[derive(Debug)]
struct SubmissionGroup {
    reply: oneshot::Sender<Vec<Verdict>>,
    verdicts: Vec<Option<Verdict>>,
    together: bool,
}

#[derive(Debug)]
struct PendingSubmission {
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
    independent_routes: Vec<bool>,
    recorder: Option<StepRecorder>,
    /// What a repeat does and how long a flow lives, by class.
    classes: Vec<(crate::api::Effect, Duration)>,
    directory: Directory,
    /// The version of discovery's list.
    list_rev: u64,
    calls: BTreeMap<(FlowNo, u32), OpenCall>,
    /// Probes that are out.
    probes: Vec<(ServerNo, Switch)>,
    /// Offers that wait for the end of the present step.
    pending_submissions: BTreeMap<FlowNo, PendingSubmission>,
    groups: BTreeMap<u64, SubmissionGroup>,
    /// Records that the next write begins with.
    unwritten: Vec<Record>,
    /// What real servers last said of open mail flows.
    replies: BTreeMap<FlowNo, String>,
    /// Calls of the present step, as far as they can share no other.
    http_calls: Vec<CallOrder>,
    /// Mail calls of the present step.
    mail_calls: Vec<(ServerNo, Duration, DestinationId, Item)>,
    flow_infos: BTreeMap<FlowNo, FlowInfo>,
    ids: BTreeMap<String, FlowNo>,
    over: VecDeque<String>,
    next: u64,
    wakes: Wakes,
    notices: mpsc::Sender<Vec<(FlowNo, Owed)>>,
    notifying: bool,
    draining_since: Option<Duration>,
    /// Keeps what fails, where that is wanted.
    keeper: Option<Keeper>,
    resends: BTreeMap<FlowNo, undelivered::Resend>,
    /// Resends that ended in this step, or in one whose changes could not be written.
    resend_ends: Vec<FlowNo>,
    max_calls: usize,
    max_held: usize,
    figures: Figures,
    /// When the figures of real servers were taken last.
    servers_counted_at: Duration,
    evacuation: Evacuation,
    /// That this process decides and writes; given up when another one goes on.
    lock: Option<Lock>,
    parking: Parking,
    edge: Option<Rc<Edge>>,
    /// Sockets that two processes may hold together.
    sockets: usize,
    /// When a client last handed something in.
    last_submission: Duration,
    queue: mpsc::Receiver<OwnerMessage>,
    /// Steps that wait for a sync.
    held_back: durable_steps::HeldBack,
    /// Times are written down: a later process may have to judge by them.
    times_written: bool,
    /// The other relays, where they are wanted; their datagrams; and the return to service after a loss.
    fleet: Option<fleet::Fleet>,
    datagrams: mpsc::Receiver<Datagram>,
    restart: Option<restart::RestartRecovery>,
    /// How long a real server may be cold, and what a class's flow is worth.
    cold_time: Duration,
    worth: Vec<f64>,
    /// Operators' calls, which wait behind nothing else.
    orders: mpsc::Receiver<OwnerMessage>,
}

impl Owner {
    fn number(&mut self) -> FlowNo {
        self.next += 1;
        FlowNo(self.next - 1)
    }

    fn remove_flow(&mut self, no: FlowNo, id: &str) {
        self.flow_infos.remove(&no);
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
