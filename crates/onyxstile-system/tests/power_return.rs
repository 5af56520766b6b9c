//! Return of all controllers within a short time after a power loss: the previous view continues, and relays receive
//! the state that is on the disks of a majority.

mod support;

use std::rc::Rc;

use onyxstile_system::clock::Instant;
use onyxstile_system::control::{ChainUpdate, Change, Durable, ElectorId, Message, Operation};
use onyxstile_system::controller::{Controller, Effect, Input};
use onyxstile_system::storage_plan::StoragePlan;
use onyxstile_system::tolerance::Location;
use support::{ONE_MACHINE, address, elector, seeds};

/// A machine as reported by membership.
fn live_member(number: u8) -> (ElectorId, Location) {
    (elector(number), Location::default())
}

fn durable(number: u8) -> Durable {
    Controller::bootstrap(address(number), &seeds())
}

/// The messages that machine 1 sends from its start until `until_ms`, while membership reports `others` alive.
fn sent(mut controller: Controller, others: &[u8], until_ms: u64) -> Vec<Message> {
    let mut sent = Vec::new();
    for ms in (0..until_ms).step_by(25) {
        let now = Instant::from_millis(ms);
        let live = others.iter().map(|number| live_member(*number)).collect();
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
    Controller::new(address(1), durable(1), ONE_MACHINE, 7, Instant::from_millis(0))
}

/// Regression: after a power loss, view 4 with six of nine electors came after 0.6 s and view 5 with all after 1.1 s,
/// and relays waited for the second.
#[test]
fn no_view_is_proposed_without_electors_that_are_still_restarting() {
    assert!(!proposes(&sent(start(), &[2], 900)), "machine 3 may still be restarting");
    assert!(!proposes(&sent(start(), &[2, 3], 3000)), "all have returned, and nothing was lost");
}

#[test]
fn an_elector_that_does_not_return_is_removed_after_the_failure_detection_time() {
    assert!(proposes(&sent(start(), &[2], 1300)));
}

#[test]
fn an_elector_that_was_seen_and_left_is_not_waited_for() {
    let mut controller = start();
    let now = Instant::from_millis(0);
    controller.step(now, Input::Live(vec![live_member(2), live_member(3)]));
    assert!(proposes(&sent(controller, &[2], 200)), "it was seen in this incarnation");
}

/// The head sends the write that produced its newest state, not the full state, to a successor that has the state on
/// disk as well.
#[test]
fn a_write_from_before_the_power_loss_is_committed_by_resending_that_write() {
    let mut held = durable(1);
    let plan = StoragePlan { epoch: 1, ..StoragePlan::default() };
    let write = held.state.write(Change::Storage(Rc::new(plan)));
    assert!(held.state.apply(&write));
    let controller = |last_write| {
        Controller::new(address(1), held.clone(), ONE_MACHINE, 7, Instant::from_millis(0))
            .with_last_write(last_write)
    };
    let update_sent = |messages: Vec<Message>| {
        messages.into_iter().find_map(|message| match message {
            Message::Apply { written, .. } => Some(written),
            _ => None,
        })
    };
    let write = Rc::new(write);
    let sent_write = update_sent(sent(controller(Some(write.clone())), &[2, 3], 100));
    assert!(matches!(sent_write, Some(ChainUpdate::Write(passed)) if passed == write));
    let older = Rc::new(onyxstile_system::control::Write { sequence: 0, ..(*write).clone() });
    for last_write in [None, Some(older)] {
        let full_state = update_sent(sent(controller(last_write), &[2, 3], 100));
        assert!(
            matches!(full_state, Some(ChainUpdate::State(_))),
            "a write that is not the newest is not sent"
        );
    }
}

/// Machine 1 with one write on its disk that may or may not have been committed.
fn controller_with_uncommitted_write() -> Controller {
    let mut held = durable(1);
    let plan = StoragePlan { epoch: 1, ..StoragePlan::default() };
    let write = held.state.write(Change::Storage(Rc::new(plan)));
    assert!(held.state.apply(&write));
    Controller::new(address(1), held, ONE_MACHINE, 7, Instant::from_millis(0))
}

fn status(number: u8, view: u64, written: u64) -> Input {
    let from = elector(number);
    Input::Message { from: address(number), message: Message::Status { from, view, committed: 0, written } }
}

#[test]
fn state_on_a_majority_of_disks_is_stable_while_the_rest_is_down() {
    let now = Instant::from_millis(10);
    let mut controller = controller_with_uncommitted_write();
    assert!(!controller.is_stable(), "only machine 1 is known to have it");
    controller.step(now, status(2, 1, 0));
    assert!(!controller.is_stable(), "machine 2 does not have it");
    controller.step(now, status(2, 2, 1));
    assert!(!controller.is_stable(), "a report for another view does not count");
    controller.step(now, status(2, 1, 1));
    assert!(controller.is_stable());
    assert_eq!(controller.committed_state().map(|state| state.sequence), Some(1));
}

#[test]
fn a_status_from_a_machine_that_lost_its_disk_is_ignored() {
    let mut controller = controller_with_uncommitted_write();
    let id = elector(2);
    let from = ElectorId { disk: id.disk + 1, ..id };
    let message = Message::Status { from, view: 1, committed: 0, written: 1 };
    controller.step(Instant::from_millis(10), Input::Message { from: address(2), message });
    assert!(!controller.is_stable());
}

/// Reads are answered by the tail, which may lack the state that a majority has.
#[test]
fn an_operator_still_waits_for_the_whole_chain() {
    let now = Instant::from_millis(10);
    let mut controller = Controller::new(address(1), durable(1), ONE_MACHINE, 7, now);
    let body = Rc::new(br#"{"revision":1,"routes":[],"services":[]}"#.to_vec());
    let put = Operation::PutConfiguration { base: Some(0), body };
    let mut effects = controller.step(now, Input::Operation { number: 1, operation: put });
    effects.extend(controller.step(now, status(2, 1, 1)));
    assert!(controller.is_stable());
    let is_replied = |effects: &[Effect]| effects.iter().any(|effect| matches!(effect, Effect::Reply { .. }));
    assert!(!is_replied(&effects), "machine 3, the tail, lacks it");
    let message = Message::Applied { view: 1, sequence: 1 };
    assert!(is_replied(&controller.step(now, Input::Message { from: address(2), message })));
}

/// A starting machine and the others exchange their status at once, once each.
#[test]
fn the_first_status_of_a_machine_is_answered_at_once() {
    let mut controller = start();
    let answers = |effects: Vec<Effect>| {
        let is_answer = |effect: &Effect| matches!(effect, Effect::Send { to, message: Message::Status { .. } } if *to == address(2));
        effects.iter().filter(|effect| is_answer(effect)).count()
    };
    let now = Instant::from_millis(10);
    assert_eq!(answers(controller.step(now, status(2, 1, 0))), 1);
    assert_eq!(answers(controller.step(now, status(2, 1, 0))), 0);
}
