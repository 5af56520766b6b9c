//! A turn whose relay is killed in the middle of the stream: the client takes the stream up at another relay with
//! `Last-Event-Id`. The next turn must bring the endpoint all that was said.

use std::sync::PoisonError;
use std::time::Duration;

use crate::client::{self, is_served, new_id, Turn};
use crate::endpoint::{Endpoint, Kind, Runs, Work};
use crate::record;
use crate::tier::{Size, Tier};
use crate::wire;
use crate::Verdict;

const ROUTE: &str = r#"{"name":"chat","host":"tier.example","path_prefix":"/chat/","route_type":"streaming","timeout_ms":5000,"target_latency_ms":250,"priority":0,"service":"model","max_attempts":2,"retained":true,"retention_s":60.0,"session_affinity":true,"resumable":true,"gap_aim_ms":400}"#;
/// Events of a stream, and the one after which the relay is killed.
const EVENTS: u32 = 12;
const KILL_AFTER: &str = "5";

pub fn run(has_trouble: bool) -> Result<Verdict, String> {
    let tier = Tier::start(&Size { edge: 2, core: 3, storage: 3, spare: 0 })?;
    client::configure(&tier, ROUTE, client::MODEL)?;
    let runs = Runs::default();
    for number in 0..3 {
        let kind = Kind {
            service: "model",
            id: format!("i-{number}"),
            zone: format!("z{number}"),
            capacity: 32,
            queue: 8,
            work: Work::Stream(EVENTS, Duration::from_millis(80)),
            surplus: 0.0,
        };
        Endpoint::start(kind, &runs, &tier.control(), number).map_err(|error| error.to_string())?;
    }
    tier.wait_until_ready(Duration::from_secs(8))?;
    std::thread::sleep(Duration::from_millis(500));

    let finish = Duration::from_secs(20);
    let first =
        Turn { path: "/chat/turn", program: "p", input: "one;", previous: None, last_event: None, finish };
    let (mut id, mut is_killed) = (new_id("first"), false);
    let mut seen = Vec::new();
    let answer = first.send(tier.fronts()[0], &id, |so_far| {
        seen = so_far.to_vec();
        if has_trouble && !is_killed && wire::last_event(so_far).as_deref() == Some(KILL_AFTER) {
            is_killed = true;
            tier.kill_machines(&[tier.edge_name(0)]);
        }
    });
    let mut output = wire::event_data(&seen);
    if !is_served(&answer) {
        if !is_killed {
            return Err("the first turn was not served".into());
        }
        // The client takes the stream up at another relay, with an id of its own for this try.
        let last_event = wire::last_event(&seen);
        let again = Turn { last_event: last_event.as_deref(), ..first };
        id = new_id("again");
        let answer = again.send(tier.fronts()[1], &id, |_| {});
        if !is_served(&answer) {
            return Err("the stream was not taken up".into());
        }
        output += &answer.map(|answer| wire::event_data(&answer.body)).unwrap_or_default();
    }
    let expected_events =
        (1..=EVENTS).map(|number| format!("word {number} of {EVENTS}\n")).collect::<String>();
    if output != expected_events {
        return Err("the client did not get the whole stream".into());
    }
    let next = Turn {
        path: "/chat/turn",
        program: "p",
        input: "two;",
        previous: Some(&id),
        last_event: None,
        finish,
    };
    let next_id = new_id("next");
    let answer = next.send(tier.fronts()[1], &next_id, |_| {});
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(run) = runs.iter().find(|run| run.request == next_id) else {
        record::note("the next turn reached no endpoint");
        return Err(format!(
            "the next turn was answered {}",
            answer.map_or(0, |answer| answer.head.status())
        ));
    };
    let expected = format!("one;{output}two;");
    record::note(&format!("said so far: {:?}", expected));
    record::note(&format!("{} got:   {:?}", run.endpoint, String::from_utf8_lossy(&run.body)));
    Ok(if run.body == expected.as_bytes() { Verdict::Held } else { Verdict::Broken })
}
