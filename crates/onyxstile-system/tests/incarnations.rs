//! Messages that arrive after a process has ended: messages for an earlier incarnation of a controller have no effect
//! on a later one.

mod support;

use onyxstile_system::clock::Instant;
use onyxstile_system::control::{Message, Operation, Outcome, Token};
use onyxstile_system::controller::{Controller, Effect, Input};
use support::{ONE_MACHINE, address, elector, seeds};

/// Machine `number` of three, with the disk of the first start.
fn start(number: u8, incarnation: u64) -> Controller {
    let ip = address(number);
    Controller::new(
        ip,
        Controller::bootstrap(ip, &seeds()),
        ONE_MACHINE,
        incarnation,
        Instant::from_millis(0),
    )
}

fn submit_read(controller: &mut Controller, number: u64) -> Vec<Effect> {
    controller
        .step(Instant::from_millis(10), Input::Operation { number, operation: Operation::GetConfiguration })
}

fn deliver(controller: &mut Controller, from: u8, message: Message) -> Vec<Effect> {
    controller.step(Instant::from_millis(20), Input::Message { from: address(from), message })
}

fn replies(effects: &[Effect]) -> Vec<(u64, Outcome)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Reply { number, outcome } => Some((*number, outcome.clone())),
            _ => None,
        })
        .collect()
}

/// Regression: a controller restarted while the head's outcome for its operation 1 was in transit; its next caller
/// asked for the configuration and got "If-Match is missing or no number".
#[test]
fn an_outcome_for_an_earlier_incarnation_ends_no_later_operation() {
    let mut later = start(2, 8);
    submit_read(&mut later, 1);
    let outcome = Outcome::Invalid("If-Match is missing or no number".into());
    let token = |incarnation| Token { origin: address(2).octets(), incarnation, number: 1 };
    let late = Message::Outcome { token: token(7), outcome: outcome.clone() };
    assert_eq!(replies(&deliver(&mut later, 1, late)), []);
    let own = Message::Outcome { token: token(8), outcome: outcome.clone() };
    assert_eq!(replies(&deliver(&mut later, 1, own)), [(1, outcome)]);
}

/// Regression: the tail of three restarted; a late confirmation from another machine and its own formed a majority for
/// a read that nobody had confirmed.
#[test]
fn a_confirmation_for_an_earlier_incarnation_confirms_no_later_read() {
    let confirm_request = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Send { message: Message::Confirm { view, incarnation, nonce }, .. } => {
                Some((*view, *incarnation, *nonce))
            }
            _ => None,
        })
    };
    let confirmed = |(view, incarnation, nonce): (u64, u64, u64)| Message::Confirmed {
        from: elector(1),
        view,
        incarnation,
        nonce,
    };
    let before = confirm_request(&submit_read(&mut start(3, 7), 1)).expect("a confirm request");
    let mut later = start(3, 8);
    let asked = confirm_request(&submit_read(&mut later, 1)).expect("a confirm request");
    assert_eq!((asked.0, asked.2), (before.0, before.2), "view and nonce alone are the same for both");
    assert_eq!(replies(&deliver(&mut later, 1, confirmed(before))), []);
    assert_eq!(replies(&deliver(&mut later, 1, confirmed(asked))), [(1, Outcome::Configuration(None))]);
}
