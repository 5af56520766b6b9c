//! Reads nginx configurations and carries them over into the relay's routing table.
//!
//! * [`lex`]: words and borders, each with its place
//! * [`parse`]: directives and blocks, with their includes
//! * [`known`]: what nginx's documentation knows, and what each directive is here
//! * [`mod@import`]: the table, and an account of every directive
//! * [`mod@write`]: the operator's file
//!
//! Nothing is dropped unseen: each directive is carried, carried with a difference, not carried, or of no
//! concern here, and [`import::Imported::account`] counts them all.

pub mod import;
pub mod known;
pub mod lex;
pub mod parse;
pub mod write;

pub use import::{Diagnostic, Imported, Level, import};
pub use onyxstile_routing::config::HostConfig;
pub use parse::{Files, ParseError, Source};
