//! onyxstile decides when an outbound gateway calls its partners' systems, and when it had better not.
//!
//! The library does no input or output and reads no clock. A [`Controller`] is told what happened, one batch
//! at a time, and answers with what is to be done. The caller owns the clock: any `Duration` since a fixed
//! moment that never runs backwards. Every action is to be carried out at the time of the step, in order:
//!
//! * [`api::Action::Send`]: call the endpoint; report its end once as [`api::Event::Outcome`].
//! * [`api::Action::Refuse`] and [`api::Action::Fail`]: tell the client; the message is over.
//! * [`api::Action::Wake`]: call [`Controller::step`] with [`api::Event::Wake`] when the time has passed.
//! * [`api::Action::Cancel`], [`api::Action::Release`], [`api::Action::Probe`], [`api::Action::Subscribe`], [`api::Action::Log`]: as
//!   their names say; settings rule out what a caller cannot do.
//!
//! A message ends by a final answer, or by an outcome that the caller marks as terminal.
//!
//! ```
//! use onyxstile::{Controller, api::*};
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let class = ClassSettings {
//!     target_latency: ms(2000), deadline: ms(16_000), utility: 1.0, late_utility: 0.3,
//!     effect: Effect::Repeatable, ordered: false,
//! };
//! let settings = Settings {
//!     classes: vec![class],
//!     kinds: vec![KindSettings { per_call: 1, independent_routes: false }],
//!     tenants: vec![], over_quota_weight: 1.0,
//!     utility_decay: UtilityDecay::Linear, rate_source: RateSource::None, senders: 1,
//!     handshake_cost: 0.0,
//!     max_calls: 10, max_held: 100, max_attempts: 6,
//!     probes: false, cancelling: true, ask_for_list: false,
//!     max_list_age: Duration::from_secs(10),
//!     max_client_wait: ms(2000), tick: ms(5), connect_timeout: ms(1000), keepalive: ms(10_000),
//!     start_capacity: 0.2, cold_time: ms(12_000),
//!     overload_factor: 2.0, overload_span: ms(3000), key_cooldown: ms(0),
//! };
//! let mut now = ms(1_000);
//! let mut controller = Controller::new(settings, 42, now)?;
//! let mut actions = Vec::new();
//!
//! // One endpoint and one message: it is sent.
//! let (id, endpoint, destination) = (MessageId(1), EndpointId(0), DestinationId(7));
//! let listed = EndpointInfo {
//!     id: endpoint, destination, kind: KindId(0), zone: ZoneId(0), state: ListState::Live, rate: 0.0,
//! };
//! let message = NewMessage {
//!     id, class: ClassId(0), tenant: None, key: None, destination, remaining: ms(16_000),
//!     past: Past::default(),
//! };
//! controller.step(now, &[Event::ListReplaced(vec![listed]), Event::Message(message)], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: MessageId(1), .. })));
//!
//! // It is refused: nothing more is done with it until its timer fires.
//! now += ms(20);
//! actions.clear();
//! let end = AttemptEnd {
//!     id, attempt: 0, endpoint, outcome: Outcome::Overloaded { wait: None },
//!     elapsed: ms(20), terminal: false, limit: None,
//! };
//! controller.step(now, &[Event::Outcome(end)], &mut actions);
//! assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
//!
//! // The timer wakes the caller, who steps again; the message goes out anew.
//! now += ms(2000);
//! controller.step(now, &[Event::Wake(0)], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: MessageId(1), .. })));
//! # Ok::<(), SettingsError>(())
//! ```

// The tests of the library share the settings of those beside it.
#[cfg(test)]
extern crate self as onyxstile;

pub mod api;
#[cfg(test)]
#[path = "../tests/common/mod.rs"]
mod common;
mod control;
pub mod core;
pub mod net;
pub mod plugin;
pub mod settings;

pub use control::Controller;
