//! Messages that outlast a process: what was meant for an earlier life of a controller counts for nothing in a later one.

mod support;

use onyxstile_system::clock::Instant;
use onyxstile_system::control::{Message, Operation, Outcome, Token};
use onyxstile_system::controller::{Controller, Effect, Input};
use support::{ONE, address, elector, seeds};

/// Machine `number` of three, with the disk of the first start.
fn start(number: u8, life: u64) -> Controller {
    let ip = address(number);
    Controller::new(ip, Controller::bootstrap(ip, &seeds()), ONE, life, Instant::from_millis(0))
}

fn ask(controller: &mut Controller, number: u64) -> Vec<Effect> {
    controller
        .step(Instant::from_millis(10), Input::Operation { number, operation: Operation::GetConfiguration })
}

fn hear(controller: &mut Controller, from: u8, message: Message) -> Vec<Effect> {
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

/// A controller is restarted while the head's outcome for its operation 1 is under way; its next caller asks for the
/// configuration and got "If-Match is missing or no number".
#[test]
fn an_outcome_for_an_earlier_life_ends_no_operation_of_a_later_one() {
    let mut later = start(2, 8);
    ask(&mut later, 1);
    let outcome = Outcome::Invalid("If-Match is missing or no number".into());
    let token = |life| Token { origin: address(2).octets(), life, number: 1 };
    let late = Message::Outcome { token: token(7), outcome: outcome.clone() };
    assert_eq!(replies(&hear(&mut later, 1, late)), []);
    let own = Message::Outcome { token: token(8), outcome: outcome.clone() };
    assert_eq!(replies(&hear(&mut later, 1, own)), [(1, outcome)]);
}

/// The tail of three is restarted; one late word of another and its own were a majority for a read that nobody confirmed.
#[test]
fn a_confirmation_for_an_earlier_life_confirms_no_question_of_a_later_one() {
    let question = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Send { message: Message::Confirm { view, life, nonce }, .. } => {
                Some((*view, *life, *nonce))
            }
            _ => None,
        })
    };
    let confirmed =
        |(view, life, nonce): (u64, u64, u64)| Message::Confirmed { from: elector(1), view, life, nonce };
    let before = question(&ask(&mut start(3, 7), 1)).expect("a question to the others");
    let mut later = start(3, 8);
    let asked = question(&ask(&mut later, 1)).expect("a question to the others");
    assert_eq!((asked.0, asked.2), (before.0, before.2), "view and number alone don't tell the two apart");
    assert_eq!(replies(&hear(&mut later, 1, confirmed(before))), []);
    assert_eq!(replies(&hear(&mut later, 1, confirmed(asked))), [(1, Outcome::Configuration(None))]);
}
