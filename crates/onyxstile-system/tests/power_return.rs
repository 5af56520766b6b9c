//! All controllers return within moments of one another after a loss of power: the view that they had goes on, and relays are
//! told of what a majority has on its disks.

mod support;

use std::rc::Rc;

use onyxstile_system::clock::Instant;
use onyxstile_system::control::{Change, Durable, ElectorId, Message, Operation, Written};
use onyxstile_system::controller::{Controller, Effect, Input};
use onyxstile_system::storage_plan::StoragePlan;
use onyxstile_system::tolerance::Location;
use support::{ONE, address, elector, seeds};

/// A machine as membership shows it.
fn seen(number: u8) -> (ElectorId, Location) {
    (elector(number), Location::default())
}

fn durable(number: u8) -> Durable {
    Controller::bootstrap(address(number), &seeds())
}

/// What machine 1 sends from its start until `until_ms`, while membership shows it `others`.
fn sent(mut controller: Controller, others: &[u8], until_ms: u64) -> Vec<Message> {
    let mut sent = Vec::new();
    for ms in (0..until_ms).step_by(25) {
        let now = Instant::from_millis(ms);
        let live = others.iter().map(|number| seen(*number)).collect();
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
    controller.step(now, Input::Live(vec![seen(2), seen(3)]));
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

/// Machine 1 with one write on its disk of which it does not know whether it was committed.
fn with_a_write() -> Controller {
    let mut held = durable(1);
    let plan = StoragePlan { epoch: 1, ..StoragePlan::default() };
    let write = held.state.write(Change::Storage(Rc::new(plan)));
    assert!(held.state.apply(&write));
    Controller::new(address(1), held, ONE, 7, Instant::from_millis(0))
}

fn status(number: u8, view: u64, written: u64) -> Input {
    let from = elector(number);
    Input::Message { from: address(number), message: Message::Status { from, view, committed: 0, written } }
}

#[test]
fn what_a_majority_has_on_its_disks_is_settled_while_the_rest_is_dark() {
    let now = Instant::from_millis(10);
    let mut controller = with_a_write();
    assert!(!controller.is_settled(), "machine 1 alone may have it");
    controller.step(now, status(2, 1, 0));
    assert!(!controller.is_settled(), "machine 2 does not have it");
    controller.step(now, status(2, 2, 1));
    assert!(!controller.is_settled(), "what is on a disk in another view says nothing of this one");
    controller.step(now, status(2, 1, 1));
    assert!(controller.is_settled());
    assert_eq!(controller.committed_state().map(|state| state.sequence), Some(1));
}

#[test]
fn the_word_of_a_machine_that_lost_its_disk_counts_for_nothing() {
    let mut controller = with_a_write();
    let id = elector(2);
    let from = ElectorId { disk: id.disk + 1, ..id };
    let message = Message::Status { from, view: 1, committed: 0, written: 1 };
    controller.step(Instant::from_millis(10), Input::Message { from: address(2), message });
    assert!(!controller.is_settled());
}

/// Reads are answered by the tail, which may lack what a majority has.
#[test]
fn an_operator_waits_for_the_whole_chain_all_the_same() {
    let now = Instant::from_millis(10);
    let mut controller = Controller::new(address(1), durable(1), ONE, 7, now);
    let body = Rc::new(br#"{"revision":1,"routes":[],"services":[]}"#.to_vec());
    let put = Operation::PutConfiguration { base: Some(0), body };
    let mut effects = controller.step(now, Input::Operation { number: 1, operation: put });
    effects.extend(controller.step(now, status(2, 1, 1)));
    assert!(controller.is_settled());
    let is_told = |effects: &[Effect]| effects.iter().any(|effect| matches!(effect, Effect::Reply { .. }));
    assert!(!is_told(&effects), "machine 3 lacks it and is the tail");
    let message = Message::Applied { view: 1, sequence: 1 };
    assert!(is_told(&controller.step(now, Input::Message { from: address(2), message })));
}

/// One that starts is told at once how far the others are, and they it, once each.
#[test]
fn a_machine_that_is_heard_for_the_first_time_is_answered_at_once() {
    let mut controller = start();
    let answers = |effects: Vec<Effect>| {
        let is_answer = |effect: &Effect| matches!(effect, Effect::Send { to, message: Message::Status { .. } } if *to == address(2));
        effects.iter().filter(|effect| is_answer(effect)).count()
    };
    let now = Instant::from_millis(10);
    assert_eq!(answers(controller.step(now, status(2, 1, 0))), 1);
    assert_eq!(answers(controller.step(now, status(2, 1, 0))), 0);
}
