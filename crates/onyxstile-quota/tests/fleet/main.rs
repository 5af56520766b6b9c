//! Fleets in virtual time: what is never exceeded, and how much of a quota is of use.
#![allow(missing_docs)]

mod changes;
mod faults;
mod net;
mod spans;
mod traffic;
