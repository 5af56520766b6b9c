//! Step by step tests of the core.

use super::*;
use crate::api::{ClassId, ClassSettings, KindSettings, RateSource, UtilityDecay};

pub(super) const NOW: Duration = Duration::from_secs(1_000_000);
const TO: DestinationId = DestinationId(7);

pub(super) fn core(limit: usize) -> Core<&'static str> {
    let ms = Duration::from_millis;
    let (target_latency, deadline, utility, late_utility) = (ms(1000), ms(9000), 1.0, 0.5);
    let class =
        |effect| ClassSettings { target_latency, deadline, utility, late_utility, effect, ordered: false };
    let settings = Settings {
        classes: vec![class(crate::api::Effect::Once), class(crate::api::Effect::Repeatable)],
        kinds: vec![KindSettings { per_call: 1, independent_routes: false }],
        tenants: vec![],
        over_quota_weight: 1.0,
        utility_decay: UtilityDecay::Linear,
        rate_source: RateSource::None,
        senders: 1,
        handshake_cost: 0.0,
        max_calls: 8,
        max_held: limit,
        max_attempts: 4,
        probes: false,
        cancelling: true,
        ask_for_list: false,
        max_list_age: ms(10_000),
        max_client_wait: ms(500),
        tick: ms(5),
        connect_timeout: ms(500),
        keepalive: ms(5000),
        start_capacity: 1.0,
        cold_time: ms(500),
        overload_factor: 2.0,
        overload_span: ms(100),
        key_cooldown: ms(0),
    };
    let mut core = Core::new(settings, 1, NOW).unwrap();
    let state = ListState::Live;
    core.update_entries(vec![ServiceEntry { destination: TO, state, ..ServiceEntry::default() }], true);
    core
}

pub(super) fn terms(class: usize) -> FlowTerms {
    let remaining = Duration::from_secs(9);
    FlowTerms { class: ClassId(class), tenant: None, destination: TO, remaining }
}

/// Effects of a step, without timers, log lines, notes and releases.
fn step(core: &mut Core<&'static str>, after_ms: u64) -> Vec<Effect<&'static str>> {
    let mut effects = Vec::new();
    core.step(NOW + Duration::from_millis(after_ms), &mut effects);
    effects.retain(|e| !matches!(e, Effect::Wake(_) | Effect::Log(_) | Effect::Note(_) | Effect::Release(_)));
    effects
}

fn end(flow: u64, outcome: Outcome) -> CallEnd {
    let (server, elapsed) = (ServerNo(0), Duration::from_millis(10));
    CallEnd { flow: FlowNo(flow), attempt: 0, server, outcome, finished: None, elapsed, limit: None }
}

#[test]
fn accepted_flows_come_before_calls_and_a_flow_that_ends_at_once_is_not_accepted() {
    let mut core = core(4);
    for flow in 1..=4 {
        assert!(core.has_capacity(1));
        core.submit(FlowNo(flow), terms(0), "p");
    }
    assert!(!core.has_capacity(1));
    let effects = step(&mut core, 0);
    let accepted = effects.iter().filter(|e| matches!(e, Effect::Accepted(..))).count();
    assert_eq!(accepted, 3, "{effects:?}");
    assert!(effects[..3].iter().all(|e| matches!(e, Effect::Accepted(..))), "{effects:?}");
    let wait = Duration::from_millis(500);
    assert!(effects.iter().any(|e| matches!(e, Effect::Rejected(_, "p", End::Returned(w)) if *w == wait)));
    assert_eq!(core.open_flows(), 3);
}

#[test]
fn ends_are_reported_once_and_a_reported_wait_holds_unsent_calls() {
    let mut core = core(50);
    (1..=3).for_each(|flow| core.submit(FlowNo(flow), terms(0), "p"));
    assert_eq!(core.open_calls() + step(&mut core, 0).len(), 6);
    core.call_ended(end(1, Outcome::Success));
    core.call_ended(end(2, Outcome::Overloaded { wait: Some(Duration::from_secs(1)) }));
    core.call_ended(CallEnd { finished: Some(End::Failed), ..end(3, Outcome::Success) });
    let effects = step(&mut core, 20);
    let expected = [
        Effect::Ended(FlowNo(1), "p", End::Delivered),
        Effect::Ended(FlowNo(3), "p", End::Failed),
        Effect::HoldUnsent(TO),
    ];
    assert_eq!(effects, expected);
    core.call_ended(end(1, Outcome::Success));
    assert_eq!(step(&mut core, 40), []);
    assert_eq!((core.open_flows(), core.open_calls()), (1, 0));
}

#[test]
fn a_flow_from_before_a_restart_keeps_its_attempts_and_its_possible_execution() {
    let mut core = core(50);
    let risk = Some((Duration::from_secs(1), ServerNo(0)));
    core.recover(FlowNo(1), terms(0), Past { held: true, attempts: 1, risk }, "may have run");
    core.recover(FlowNo(2), terms(0), Past { held: true, attempts: 2, risk: None }, "never ran");
    core.recover(FlowNo(3), terms(1), Past { held: true, attempts: 1, risk }, "may run again");
    let effects = step(&mut core, 0);
    assert_eq!(effects, [Effect::Ended(FlowNo(1), "may have run", End::Failed)]);
    // The others follow their timers, which have jitter: each at its own time, not all at once.
    core.wake();
    let effects = step(&mut core, 800);
    let calls = effects.iter().filter_map(|e| match e {
        Effect::Call { flow, attempt, .. } => Some((flow.0, *attempt)),
        _ => None,
    });
    assert_eq!(calls.collect::<Vec<_>>(), [(2, 2), (3, 1)]);
    // After `close` no call is sent, and the flow stays open.
    core.call_ended(CallEnd { attempt: 2, ..end(2, Outcome::Unreachable) });
    core.close();
    for ms in (900..3800).step_by(50) {
        core.wake();
        let effects = step(&mut core, ms);
        assert!(!effects.iter().any(|e| matches!(e, Effect::Call { .. })), "{effects:?}");
    }
    assert_eq!(core.open_flows(), 2);
}

/// While its record is written a flow may pass its deadline, or the write may fail: it must leave nothing
/// behind, and the end of the call that was never sent must have no effect.
#[test]
fn a_flow_whose_write_failed_or_took_too_long_ends_once_and_frees_its_slot() {
    for written in [false, true] {
        let mut core = core(50);
        core.submit(FlowNo(1), terms(0), "p");
        let effects = step(&mut core, 0);
        assert!(matches!(effects[..], [Effect::Accepted(..), Effect::Call { .. }]), "{effects:?}");
        if !written {
            core.withdraw(FlowNo(1));
        }
        // The write took longer than the flow's remaining time; the call was not started.
        core.call_ended(end(1, if written { Outcome::Unreachable } else { Outcome::Void }));
        let effects = step(&mut core, 9000);
        let ended = [Effect::Ended(FlowNo(1), "p", End::Failed)];
        assert_eq!(effects, if written { &ended[..] } else { &[] });
        assert_eq!((core.open_flows(), core.open_calls()), (0, 0));
        core.call_ended(end(1, Outcome::Success));
        assert_eq!(step(&mut core, 9100), []);
    }
}
