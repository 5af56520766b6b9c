//! The settings of every relay, and the list.

use super::*;

pub(super) fn settings(relays: usize) -> Settings {
    let ms = Duration::from_millis;
    let class = |effect, target_latency, deadline, utility| ClassSettings {
        target_latency,
        deadline,
        utility,
        late_utility: 0.5,
        effect,
        ordered: false,
    };
    let window = ms(12_000);
    Settings {
        classes: vec![
            class(Class::Once, ms(2500), ms(28_000), 2.0),
            class(Class::Keyed { group: RepeatGroup::All, window }, ms(3000), ms(20_000), 1.0),
        ],
        kinds: vec![KindSettings { per_call: 1, independent_routes: false }],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        utility_decay: UtilityDecay::Halving,
        rate_source: RateSource::None,
        senders: relays as u32,
        handshake_cost: 0.06,
        max_calls: 12,
        max_held: 64,
        max_attempts: 12,
        probes: true,
        cancelling: true,
        ask_for_list: false,
        max_list_age: ms(10_000),
        max_client_wait: ms(2000),
        tick: ms(5),
        connect_timeout: ms(1000),
        keepalive: ms(15_000),
        start_capacity: 0.17,
        cold_time: ms(14_000),
        overload_factor: FACTOR,
        overload_span: SPAN,
        key_cooldown: ms(0),
    }
}

pub(super) fn entry(p: usize, state: ListState) -> EndpointInfo {
    let id = EndpointId(p as u32);
    EndpointInfo {
        id,
        destination: DestinationId(p as u64),
        kind: KindId(0),
        zone: ZoneId(0),
        state,
        rate: 0.0,
    }
}
