//! The first record of a controller's disk.

use std::net::Ipv4Addr;
use std::rc::Rc;

use super::Controller;
use crate::control::{ControlState, Durable, ElectorId, View, bootstrap_disk};

impl Controller {
    /// The record of the first view, made of the seeds alone and alike on all of them.
    pub fn bootstrap(ip: Ipv4Addr, seeds: &[Ipv4Addr]) -> Durable {
        let mut electors: Vec<ElectorId> =
            seeds.iter().map(|seed| ElectorId { ip: seed.octets(), disk: bootstrap_disk(*seed) }).collect();
        electors.sort_unstable();
        electors.dedup();
        let view = View { number: 1, chain: electors.clone(), electors, state: ControlState::default() };
        Durable { view: Some(Rc::new(view)), ..Controller::empty(bootstrap_disk(ip)) }
    }

    /// The record of a machine that no view has taken in.
    pub fn empty(disk: u64) -> Durable {
        Durable {
            disk,
            view: None,
            state: ControlState::default(),
            promised: Default::default(),
            accepted: None,
        }
    }
}
