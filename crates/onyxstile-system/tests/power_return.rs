//! All controllers return within moments of one another after a loss of power: the view that they had goes on.

mod support;

use std::net::Ipv4Addr;
use std::rc::Rc;

use onyxstile_system::clock::Instant;
use onyxstile_system::control::{Change, Durable, ElectorId, Message, Written, bootstrap_disk};
use onyxstile_system::controller::{Controller, Effect, Input};
use onyxstile_system::storage_plan::StoragePlan;
use onyxstile_system::tolerance::Place;
use support::{ONE, address};

fn seeds() -> [Ipv4Addr; 3] {
    [address(1), address(2), address(3)]
}

fn elector(number: u8) -> (ElectorId, Place) {
    (ElectorId { ip: address(number).octets(), disk: bootstrap_disk(address(number)) }, Place::default())
}

fn durable(number: u8) -> Durable {
    Controller::bootstrap(address(number), &seeds())
}

/// What machine 1 sends from its start until `until_ms`, while membership shows it `others`.
fn sent(mut controller: Controller, others: &[u8], until_ms: u64) -> Vec<Message> {
    let mut sent = Vec::new();
    for ms in (0..until_ms).step_by(25) {
        let now = Instant::from_millis(ms);
        let live = others.iter().map(|number| elector(*number)).collect();
        for input in [Input::Live(live), Input::Tick] {
            sent.extend(controller.step(now, input).into_iter().filter_map(|effect| match effect {
                Effect::Send { message, .. } => Some(message),
                _ => None,
            }));
        }
    }
    sent
}

fn proposes(messages: &[Message]) -> bool {
    messages.iter().any(|message| matches!(message, Message::Prepare { .. }))
}

fn start() -> Controller {
    Controller::new(address(1), durable(1), ONE, 7, Instant::from_millis(0))
}

/// mncg-onyx-grown, trouble-1: view 4 with six of nine electors 0.6 s after the power, view 5 with all at 1.1 s, and relays waited
/// for the second.
#[test]
fn a_view_without_those_that_are_on_their_way_is_not_proposed() {
    assert!(!proposes(&sent(start(), &[2], 900)), "machine 3 may be as late as this one");
    assert!(!proposes(&sent(start(), &[2, 3], 3000)), "all are back, and nothing was lost");
}

#[test]
fn one_that_does_not_return_is_left_out_once_membership_would_hold_it_dead() {
    assert!(proposes(&sent(start(), &[2], 1300)));
}

#[test]
fn one_that_was_seen_and_has_gone_is_not_waited_for() {
    let mut controller = start();
    let now = Instant::from_millis(0);
    controller.step(now, Input::Live(vec![elector(2), elector(3)]));
    assert!(proposes(&sent(controller, &[2], 200)), "it was met in this life");
}

/// The head passes on what made its newest state, not the whole of it, to a successor that has it on its disk too.
#[test]
fn a_write_from_before_the_loss_is_settled_by_passing_on_that_write() {
    let mut held = durable(1);
    let plan = StoragePlan { epoch: 1, ..StoragePlan::default() };
    let write = held.state.write(Change::Storage(Rc::new(plan)));
    assert!(held.state.apply(&write));
    let controller = |last| {
        Controller::new(address(1), held.clone(), ONE, 7, Instant::from_millis(0)).with_last_write(last)
    };
    let passed_on = |messages: Vec<Message>| {
        messages.into_iter().find_map(|message| match message {
            Message::Apply { written, .. } => Some(written),
            _ => None,
        })
    };
    let write = Rc::new(write);
    let small = passed_on(sent(controller(Some(write.clone())), &[2, 3], 100));
    assert!(matches!(small, Some(Written::Write(passed)) if passed == write));
    let older = Rc::new(onyxstile_system::control::Write { sequence: 0, ..(*write).clone() });
    for last in [None, Some(older)] {
        let whole = passed_on(sent(controller(last), &[2, 3], 100));
        assert!(matches!(whole, Some(Written::State(_))), "one that is not the newest is not passed on");
    }
}
