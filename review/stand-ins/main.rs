//! Stand-ins for the cases of the review: the platform, the operator, endpoints and clients of a small deployment on
//! loopback, and one module for each case. Standard library only.

mod client;
mod endpoint;
mod long_conversation;
mod lost_member;
mod record;
mod resumed_turn;
mod surplus_refusal;
mod tier;
mod wire;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Longest time of a case, in seconds.
const TIME_MAX_S: u64 = 118;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    if let Err(error) = record::open(Path::new(record)) {
        eprintln!("{record}: {error}");
        return ExitCode::from(2);
    }
    std::panic::set_hook(Box::new(|reason| {
        record::note(&format!("RESULT: the case could not run: {reason}"));
        tier::end_all();
        std::process::exit(2);
    }));
    record::note(&format!("case {case}, trouble {}", if has_trouble { "on" } else { "off" }));
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(TIME_MAX_S));
        record::note("the case takes too long");
        tier::end_all();
        std::process::exit(2);
    });
    let result = match case.as_str() {
        "long-conversation" => long_conversation::run(has_trouble),
        "surplus-refusal" => surplus_refusal::run(has_trouble),
        "resumed-turn" => resumed_turn::run(has_trouble),
        "lost-member" => lost_member::run(has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    tier::end_all();
    match result {
        Ok(Verdict::Held) => {
            record::note("RESULT: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record::note("RESULT: the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record::note(&format!("RESULT: the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
