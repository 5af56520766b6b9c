//! A gateway in small: one controller, a clock that jumps from event to event, and a partner that refuses its
//! first call. Run with `cargo run --example gateway`.

use onyxstile::{Controller, api::*};
use std::collections::BTreeMap;
use std::time::Duration;

fn settings() -> Settings {
    let ms = Duration::from_millis;
    Settings {
        classes: vec![ClassSettings {
            target_latency: ms(2000),
            deadline: ms(16_000),
            utility: 1.0,
            late_utility: 0.3,
            effect: Effect::Once,
            ordered: false,
        }],
        kinds: vec![KindSettings { per_call: 1, independent_routes: false }],
        tenants: vec![],
        over_quota_weight: 1.0,
        utility_decay: UtilityDecay::Linear,
        rate_source: RateSource::None,
        senders: 1,
        handshake_cost: 0.0,
        max_calls: 10,
        max_held: 100,
        max_attempts: 6,
        probes: false,
        cancelling: true,
        ask_for_list: false,
        max_list_age: Duration::from_secs(10),
        max_client_wait: ms(2000),
        tick: ms(5),
        connect_timeout: ms(1000),
        keepalive: ms(10_000),
        start_capacity: 0.2,
        cold_time: ms(12_000),
        overload_factor: 2.0,
        overload_span: ms(3000),
        key_cooldown: ms(0),
    }
}

fn main() -> Result<(), SettingsError> {
    let mut now = Duration::from_secs(1);
    let mut controller = Controller::new(settings(), 7, now)?;
    let destination = DestinationId(1);
    let listed = EndpointInfo { destination, state: ListState::Live, ..EndpointInfo::default() };
    let remaining = Duration::from_secs(16);
    let message = NewMessage {
        id: MessageId(1),
        class: ClassId(0),
        tenant: None,
        key: None,
        destination,
        remaining,
        past: Past::default(),
    };
    // What is due, by time: the gateway's own event queue.
    let mut queue =
        BTreeMap::from([((now, 0), vec![Event::ListReplaced(vec![listed]), Event::Message(message)])]);
    let mut attempts = 0;
    let mut number = 0;
    while let Some(((at, _), events)) = queue.pop_first() {
        now = at;
        let mut actions = Vec::new();
        controller.step(now, &events, &mut actions);
        for action in actions {
            if !matches!(action, Action::Wake { .. }) {
                println!("{now:?} {action:?}");
            }
            number += 1;
            match action {
                Action::Send { id, endpoint, .. } => {
                    let attempt = attempts;
                    attempts += 1;
                    let terminal = attempt > 0;
                    let outcome =
                        if terminal { Outcome::Success } else { Outcome::Overloaded { wait: None } };
                    let elapsed = Duration::from_millis(80);
                    let end = AttemptEnd { id, attempt, endpoint, outcome, elapsed, terminal, limit: None };
                    queue.insert((now + elapsed, number), vec![Event::Outcome(end)]);
                }
                Action::Wake { after, token } => {
                    queue.insert((now + after, number), vec![Event::Wake(token)]);
                }
                Action::Refuse { .. } | Action::Fail(_) => println!("final answer"),
                Action::Cancel { .. }
                | Action::Release(_)
                | Action::Probe(_)
                | Action::Subscribe
                | Action::Log(_)
                | Action::Note(_) => {}
            }
        }
    }
    println!("delivered after {attempts} attempts at {now:?}");
    Ok(())
}
