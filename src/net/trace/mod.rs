//! The recorder: what happened to flows, as events of a trace.
//!
//! The owner tells a [`scribe::Scribe`] what went into a step and what came out of it; that is the only place from
//! which events come. The scribe does no input or output. What it has made of a step goes to a
//! [`recorder::Recorder`], which hands it to a thread of its own through a bounded buffer: a disk that is slow or
//! full costs events, which are counted, and no flow.

pub mod recorder;
pub mod scribe;
pub mod settings;
