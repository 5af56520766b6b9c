//! Goodput of programs over load, in virtual time: engines, programs and clients as the deployments' pages give them, and relays
//! that run the tier's own choice of endpoints and admission. It shows decisions, not what a machine carries.
//!
//! Not modelled: storage and controllers (a time before and after each turn stands for them), links, processor time, tools
//! that queue, endpoints that fail.

mod calls;
mod clients;
mod engine;
mod play;
mod programs;
mod relay;
pub mod report;
mod shape;

pub use play::{Outcome, play};
pub use shape::{Class, EngineShape, Shape};
