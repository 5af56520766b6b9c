//! What a relay does after a loss: of power, of its folder, of a part of it. Pure: `now` and events in, effects out.
//!
//! [`trust`] says what a record still proves after which loss; [`Return`] in which order service comes back, as named
//! states with a condition and a longest time each; [`claims`] what becomes of a flow that a client hands in again, as
//! far as other relays may know of it. docs/design/power.md has the reasons, docs/recovery.md what an operator sees.

pub mod claims;
pub mod order;
pub mod ramp;
pub mod trust;

pub use claims::{Claim, MayKnow};
pub use order::{Effect, Event, Return, Stage, Times};
pub use ramp::Ramp;
pub use trust::{Boot, Durability, Folder, Held, Loss, Repeat, Tail};
