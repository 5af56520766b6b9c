//! Construction of the owner from the journal or from the state of another process.

use super::*;
use onyxstile_recovery::Loss;

impl Owner {
    /// Creates an owner from the contents of the journal or from a transferred state.
    ///
    /// # Errors
    /// Invalid settings, or a transferred state that is inconsistent.
    pub fn new(config: &Config, parts: OwnerParts) -> Result<Self, OwnerError> {
        let OwnerParts {
            journal,
            clock,
            phase,
            upstream,
            mail_upstream,
            routing,
            recorder,
            undelivered,
            notices,
            lock,
            held_connections,
            edge,
            handed,
            metrics,
            evacuation,
            peers,
            datagrams,
            synced,
            queue,
            orders,
        } = parts;
        tracing::debug!(settings = ?config.settings, "terms");
        let mut core = Core::new(config.settings.clone(), config.seed, clock.now())?;
        if !routing.is_empty() {
            core.set_proposer(routing.proposer());
        }
        let mut owner = Owner {
            core,
            next: journal.ledger().next.max(1),
            journal,
            watchdog: DeadlineWatchdog::default(),
            names: config.names.clone(),
            clock,
            phase,
            upstream,
            mail: config.mail.clone().zip(mail_upstream),
            hooks: config.hooks.clone(),
            views: BTreeMap::new(),
            fixed: config.fixed.clone(),
            routing,
            classes: config.settings.classes.iter().map(|c| (c.effect, c.deadline)).collect(),
            per_call: config.settings.kinds.iter().map(|k| k.per_call).collect(),
            independent_routes: config.settings.kinds.iter().map(|k| k.independent_routes).collect(),
            recorder,
            directory: Directory::default(),
            list_rev: config.known.rev,
            calls: BTreeMap::new(),
            probes: Vec::new(),
            pending_submissions: BTreeMap::new(),
            groups: BTreeMap::new(),
            unwritten: Vec::new(),
            replies: BTreeMap::new(),
            http_calls: Vec::new(),
            mail_calls: Vec::new(),
            flow_infos: BTreeMap::new(),
            ids: BTreeMap::new(),
            over: VecDeque::new(),
            wakes: Wakes::default(),
            notices,
            notifying: false,
            draining_since: None,
            undelivered,
            resends: BTreeMap::new(),
            resend_ends: Vec::new(),
            max_calls: config.settings.max_calls,
            max_held: config.settings.max_held,
            metrics,
            servers_counted_at: Duration::ZERO,
            evacuation,
            lock,
            held_connections,
            edge,
            sockets: config.shares.together,
            last_submission: clock.now(),
            queue,
            held_back: durable_steps::HeldBack::new(synced),
            times_written: config.durability.is_some() || config.peers.is_some(),
            fleet: None,
            datagrams,
            restart: None,
            cold_time: config.settings.cold_time,
            worth: config.settings.classes.iter().map(|c| c.utility).collect(),
            orders,
        };
        if let Some(state) = handed {
            owner.resume_from(config, state)?;
            return Ok(owner);
        }
        owner.journal.ledger().bans.iter().for_each(|uid| {
            owner.directory.ban(uid, true);
        });
        owner.record_phase(Stage::Serving);
        owner.take_list(&RawList { all: true, ..config.known.clone() });
        owner.restore_endpoint_records();
        if !owner.times_written {
            let all = owner.journal.ledger().open.keys().copied().collect();
            owner.recover(&all, Loss::Nothing);
            return Ok(owner);
        }
        let (now, seed) = (owner.clock.now(), config.seed);
        let life = restart::next_incarnation(owner.journal.ledger().started.as_ref(), seed, now);
        let (relays, fleet) = config.peers.as_ref().map_or((1, 0), |p| (p.addresses.len() as u16, p.fleet));
        owner.fleet = peers.map(|(link, node)| {
            let terms = onyxstile_peers::Terms { fleet, node, life, relays, seed };
            let mut fleet = fleet::Fleet::new(terms, link, now, now);
            config.peers.iter().for_each(|p| fleet.peers.set_gone(&p.gone, now));
            fleet
        });
        owner.begin_restart(config, life);
        Ok(owner)
    }
}
