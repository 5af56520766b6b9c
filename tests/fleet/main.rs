//! Several relays as processes, links through proxies, faults and losses of power between them; one checker for all.
#![allow(missing_docs, dead_code)]

mod check;
mod clients;
mod dice;
mod files;
mod histories;
mod links;
mod partner;
#[path = "../peers/mod.rs"]
mod peers;
mod process;
mod stories;
mod world;
