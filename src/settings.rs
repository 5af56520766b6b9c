//! Settings of an instance in the platform's JSON format, shared by the simulator's wire protocol and the
//! configuration of a real relay.

use crate::api::*;
use serde::{Deserialize, Deserializer, de::Error};
use std::time::Duration;

/// Settings that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadError(String);

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ReadError {}

/// Converts milliseconds to a duration, rounded to the microsecond; `None` if negative or out of range.
pub fn duration_ms(ms: f64) -> Option<Duration> {
    let micros = (ms * 1000.0).round();
    (micros >= 0.0 && micros < u64::MAX as f64).then(|| Duration::from_micros(micros as u64))
}

/// A time in milliseconds.
#[derive(Clone, Copy, Default)]
struct Ms(Duration);

impl<'de> Deserialize<'de> for Ms {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let ms = f64::deserialize(from)?;
        duration_ms(ms).map(Ms).ok_or_else(|| D::Error::custom(format!("{ms} is not a time in milliseconds")))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Config {
    classes: Vec<Class>,
    #[serde(default)]
    discovery: String,
    extra: Extra,
    invariants: Invariants,
    limits: Limits,
    models: Vec<String>,
    #[serde(default)]
    over_share_worth: f64,
    siblings: u32,
    tariffs: Tariffs,
    #[serde(default)]
    tenants: Vec<Tenant>,
    tick_ms: Ms,
    #[serde(default)]
    weight_source: String,
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Class {
    name: String,
    aim_ms: Ms,
    deadline_ms: Ms,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window_ms: Ms,
    #[serde(default)]
    late_worth: f64,
    worth: f64,
    #[serde(default)]
    by_arrival: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Extra {
    #[serde(default)]
    loses_worth: String,
    max_calls: usize,
    #[serde(default)]
    own_limits: Vec<bool>,
    #[serde(default)]
    per_call: Vec<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Invariants {
    cold_ms: Ms,
    #[serde(default)]
    must_ask_in_ms: Ms,
    overload_factor: f64,
    overload_for_ms: Ms,
    start_capacity: f64,
    #[serde(default)]
    turn_gap_ms: Ms,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    dial_timeout_ms: Ms,
    keepalive_ms: Ms,
    max_attempts: u32,
    max_retry_after_ms: Ms,
    most_held: usize,
    probes: bool,
    #[serde(default)]
    cancelling: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tariffs {
    #[serde(default)]
    handshake: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    name: String,
    quota_per_s: f64,
}

/// Names defined in the settings, which later messages refer to.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Names {
    /// Classes of messages, by [`ClassId`].
    pub classes: Vec<String>,
    /// Tenants, by [`TenantId`].
    pub tenants: Vec<String>,
    /// Kinds of destination, by [`KindId`].
    pub kinds: Vec<String>,
    /// Zones, by [`ZoneId`].
    pub zones: Vec<String>,
}

/// Reads the settings object.
///
/// # Errors
///
/// Describes the part that is missing or invalid.
pub fn read(text: &str) -> Result<(Settings, Names), ReadError> {
    let bad = |e: serde_json::Error| ReadError(e.to_string());
    let c: Config = serde_json::from_str(text).map_err(bad)?;
    let classes = c.classes.iter().map(class).collect::<Result<_, _>>()?;
    let kinds = (0..c.models.len()).map(|k| KindSettings {
        per_call: c.extra.per_call.get(k).copied().unwrap_or(1),
        independent_routes: c.extra.own_limits.get(k).copied().unwrap_or(false),
    });
    let settings = Settings {
        classes,
        kinds: kinds.collect(),
        tenants: c.tenants.iter().map(|t| TenantSettings { quota_per_s: t.quota_per_s }).collect(),
        over_quota_weight: c.over_share_worth,
        utility_decay: if c.extra.loses_worth == "halves" {
            UtilityDecay::Halving
        } else {
            UtilityDecay::Linear
        },
        rate_source: match c.weight_source.as_str() {
            "nominal" => RateSource::Nominal,
            _ => RateSource::None,
        },
        senders: c.siblings,
        handshake_cost: c.tariffs.handshake,
        max_calls: c.extra.max_calls,
        max_held: c.limits.most_held,
        max_attempts: c.limits.max_attempts,
        probes: c.limits.probes,
        cancelling: c.limits.cancelling,
        ask_for_list: c.discovery == "ask",
        max_list_age: c.invariants.must_ask_in_ms.0,
        max_client_wait: c.limits.max_retry_after_ms.0,
        tick: c.tick_ms.0,
        connect_timeout: c.limits.dial_timeout_ms.0,
        keepalive: c.limits.keepalive_ms.0,
        start_capacity: c.invariants.start_capacity,
        cold_time: c.invariants.cold_ms.0,
        overload_factor: c.invariants.overload_factor,
        overload_span: c.invariants.overload_for_ms.0,
        key_cooldown: c.invariants.turn_gap_ms.0,
    };
    let names = Names {
        classes: c.classes.into_iter().map(|x| x.name).collect(),
        tenants: c.tenants.into_iter().map(|x| x.name).collect(),
        kinds: c.models,
        zones: c.zones,
    };
    Ok((settings, names))
}

fn class(c: &Class) -> Result<ClassSettings, ReadError> {
    let group = match c.group.as_str() {
        "all" => RepeatGroup::All,
        "zone" => RepeatGroup::Zone,
        _ => RepeatGroup::Endpoint,
    };
    let effect = match c.effect.as_str() {
        "repeatable" => Effect::Repeatable,
        "by_key" => Effect::Keyed { group, window: c.window_ms.0 },
        "once" => Effect::Once,
        other => {
            return Err(ReadError(format!("class effect `{other:.40}` is unknown")));
        }
    };
    Ok(ClassSettings {
        target_latency: c.aim_ms.0,
        deadline: c.deadline_ms.0,
        utility: c.worth,
        late_utility: c.late_worth,
        effect,
        ordered: c.by_arrival,
    })
}
