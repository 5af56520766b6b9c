//! A quota of messages for each customer, held over all relays of a fleet, whichever of them its clients reach and whatever fails
//! between them. Pure: no socket, no file, no clock.
//!
//! Each relay of the roster holds rights in each quota ([`rendezvous`]), spends only what it holds, and lends what it does not
//! need ([`escrow`] for rates, [`account`] for spans). That nobody goes above a quota rests on that alone. Who asks whom for how
//! much ([`Quotas`]) decides only how much of a quota is of use. docs/design/quota.md says which ways were weighed, and why
//! this holds.

pub mod account;
mod asks;
mod changes;
mod demand;
pub mod escrow;
pub mod fair;
mod holding;
mod lends;
pub mod note;
mod quotas;
mod refusal;
pub mod rendezvous;
mod roster;
mod take;
pub mod terms;
pub mod unit;

pub use account::Used;
pub use changes::NotLater;
pub use quotas::{Effect, Quotas, Spent, Start};
pub use refusal::{Refusal, Why};
pub use terms::{Beyond, Quota, Terms, TermsError};
pub use unit::{Measure, Span};
