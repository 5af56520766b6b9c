//! The task that owns the decision module, the core and the journal. All other tasks reach it through one bounded
//! queue.

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

/// Maximum number of messages handled in one step.
const BATCH: usize = 256;
/// Delay of the owner's work from which it is logged: a notice is overdue after 300 ms.
const STALL: Duration = Duration::from_millis(100);
/// Number of ids of ended flows that are kept to recognise repeated submissions.
const MAX_REMEMBERED: usize = 4096;

#[derive(Debug)]
struct OpenCall {
    switch: Switch,
    server: ServerNo,
}

/// Data of an open flow beside that in the core.
#[derive(Debug, Clone, Copy)]
struct FlowInfo {
    destination: DestinationId,
    class: usize,
    /// A resend: its message has already been counted.
    resend: bool,
}

/// Submitted flows whose client waits for the end of the current step.
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

/// State of the owner task.
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
    /// Open flows as scripts see them; filled only if there are scripts.
    views: BTreeMap<FlowNo, FlowView>,
    fixed: Vec<FixedServer>,
    routing: Rc<Routing>,
    per_call: Vec<usize>,
    /// Whether the servers of a kind have independent routes, by kind.
    independent_routes: Vec<bool>,
    recorder: Option<StepRecorder>,
    /// Effect of a repetition and lifetime of a flow, by class.
    classes: Vec<(crate::api::Effect, Duration)>,
    directory: Directory,
    /// Version of the discovery list.
    list_rev: u64,
    calls: BTreeMap<(FlowNo, u32), OpenCall>,
    /// Open probes.
    probes: Vec<(ServerNo, Switch)>,
    /// Submissions that wait for the end of the current step.
    pending_submissions: BTreeMap<FlowNo, PendingSubmission>,
    groups: BTreeMap<u64, SubmissionGroup>,
    /// Records to be written first by the next write.
    unwritten: Vec<Record>,
    /// Last replies of the servers for open mail flows.
    replies: BTreeMap<FlowNo, String>,
    /// Calls of the current step, combined where possible.
    http_calls: Vec<CallOrder>,
    /// Mail calls of the current step.
    mail_calls: Vec<(ServerNo, Duration, DestinationId, Item)>,
    flow_infos: BTreeMap<FlowNo, FlowInfo>,
    ids: BTreeMap<String, FlowNo>,
    over: VecDeque<String>,
    next: u64,
    wakes: Wakes,
    notices: mpsc::Sender<Vec<(FlowNo, Owed)>>,
    notifying: bool,
    draining_since: Option<Duration>,
    /// Manages undelivered messages, if enabled.
    undelivered: Option<Keeper>,
    resends: BTreeMap<FlowNo, undelivered::Resend>,
    /// Resends that ended in this step, or in an earlier one whose changes could not be written.
    resend_ends: Vec<FlowNo>,
    max_calls: usize,
    max_held: usize,
    metrics: Figures,
    /// When the servers were last counted for the metrics.
    servers_counted_at: Duration,
    evacuation: Evacuation,
    /// Entitles this process to decide and write; released in a handover.
    lock: Option<Lock>,
    held_connections: Parking,
    edge: Option<Rc<Edge>>,
    /// Number of sockets that two processes may hold together.
    sockets: usize,
    /// Time of the last submission.
    last_submission: Duration,
    queue: mpsc::Receiver<OwnerMessage>,
    /// Steps that wait for a sync.
    held_back: durable_steps::HeldBack,
    /// Whether times are recorded, because a later process may have to decide by them.
    times_written: bool,
    /// Exchange with the other relays, if configured; their datagrams; and the restart recovery.
    fleet: Option<fleet::Fleet>,
    datagrams: mpsc::Receiver<Datagram>,
    restart: Option<restart::RestartRecovery>,
    /// How long a server may be cold, and the utility of a flow by class.
    cold_time: Duration,
    worth: Vec<f64>,
    /// Operator requests; handled before everything else.
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
