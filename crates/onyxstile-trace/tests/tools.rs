//! Counting, checking, merging by time and anonymising.
#![allow(missing_docs)]

mod common;

use common::*;
use onyxstile_trace::anonymise::{Anonymiser, anonymise};
use onyxstile_trace::events::event::What;
use onyxstile_trace::events::*;
use onyxstile_trace::format::Codec;
use onyxstile_trace::input::{Selection, each};
use onyxstile_trace::merge::merge;
use onyxstile_trace::sample::{Wanted, sample};
use onyxstile_trace::summary::Summary;
use onyxstile_trace::verify::verify;
use onyxstile_trace::{FileHeader, Options, Reader, cut};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Cursor;

fn summary(bytes: &[u8], names: usize) -> Summary {
    let mut reader = open(bytes);
    let start = reader.header().start_us;
    let mut summary = Summary::new(60_000_000, names, 1_000_000);
    each(&mut reader, &Selection::default(), &mut |_, _| {}, &mut |_, _, event| {
        summary.add(start + event.at_us, &event);
        Ok(())
    })
    .unwrap();
    summary.close();
    summary
}

#[test]
fn a_sample_keeps_the_rules_and_holds_something_of_everything() {
    for seed in 0..4 {
        let bytes = made(seed, 4000, 16 * 1024, Codec::Deflate);
        let verdict = verify(&mut open(&bytes), &mut |_, _| {}).unwrap();
        assert!(verdict.is_good(), "{:?} {:?}", verdict.told, verdict.structure);
        assert_eq!(verdict.flows, verdict.ended, "every flow has its end");
        let s = summary(&bytes, 100);
        assert_eq!(s.all.offered, 4000);
        assert_eq!(s.all.taken + s.all.turned_down, 4000);
        assert_eq!(s.all.delivered + s.all.failed + s.all.returned, s.all.taken);
        let some = [s.all.late, s.all.refused, s.all.timed_out, s.all.waits, s.all.timers, s.all.recovered];
        assert!(some.iter().all(|n| *n > 0), "{some:?}");
        assert!(s.all.delivery_us.windows(2).all(|w| w[0] <= w[1]) && s.all.delivery_us[0] > 0);
    }
    assert!(made(5, 300, 4096, Codec::None) == made(5, 300, 4096, Codec::None), "a seed gives one file");
}

#[test]
fn counts_by_name_add_up_to_all_and_names_without_room_are_counted_together() {
    let bytes = made(11, 3000, 16 * 1024, Codec::Deflate);
    let s = summary(&bytes, 1000);
    for by in [&s.classes, &s.customers, &s.destinations] {
        let sum = |of: fn(&onyxstile_trace::summary::Counts) -> u64| by.values().map(of).sum::<u64>();
        assert_eq!(sum(|c| c.offered), s.all.offered);
        assert_eq!(sum(|c| c.delivered), s.all.delivered);
        assert_eq!(sum(|c| c.attempts), s.all.attempts);
    }
    assert_eq!(s.servers.values().map(|c| c.refused).sum::<u64>(), s.all.refused);
    assert_eq!(s.windows.values().map(|c| c.offered).sum::<u64>(), s.all.offered);
    let few = summary(&bytes, 5);
    assert_eq!(few.customers.len(), 6);
    assert!(few.customers["(others)"].offered > 0);
    assert_eq!(few.customers.values().map(|c| c.offered).sum::<u64>(), 3000);
    // A name that needs quotes stays one field.
    let flow = Some(Flow { customer: "a,\"b\"".into(), ..Flow::default() });
    let odd = summary(&file(&FileHeader::default(), &[What::Taken(Taken { flow })]), 10);
    assert!(odd.csv(&[]).contains("\r\ncustomer,\"a,\"\"b\"\"\",0,1,"), "{}", odd.csv(&[]));
}

fn flow(number: u64) -> Option<Flow> {
    Some(Flow { number, class: "order".into(), customer: "c".into(), destination: "7".into() })
}

fn offered(number: u64, effect: Effect) -> What {
    let (life_us, aim_us, effect) = (20_000, 5000, effect as i32);
    What::Offered(Offered { flow: flow(number), id: format!("id{number}"), life_us, aim_us, effect, size: 1 })
}

fn taken(number: u64) -> What {
    What::Taken(Taken { flow: flow(number) })
}

fn sent(number: u64, attempt: u32, server: &str) -> What {
    What::Sent(Sent { flow: flow(number), attempt, server: server.into(), patience_us: 1 })
}

fn answered(number: u64, attempt: u32, outcome: Outcome) -> What {
    let server = "s".into();
    let (outcome, elapsed_us) = (outcome as i32, 1000);
    What::AttemptEnded(AttemptEnded {
        flow: flow(number),
        attempt,
        server,
        outcome,
        elapsed_us,
        report: None,
    })
}

fn ended(number: u64, end: End) -> What {
    What::Ended(Ended { flow: flow(number), end: end as i32, ..Ended::default() })
}

#[test]
fn each_broken_rule_is_found_and_what_keeps_them_is_not_blamed() {
    let once = |rest: &[What]| [&[offered(1, Effect::Once), taken(1)], rest].concat();
    let wait = |wait_us| {
        What::WaitTold(WaitTold { destination: "7".into(), server: "s".into(), wait_us, server_alone: false })
    };
    let listed = |state: Listed| {
        What::ListChanged(ListChanged {
            server: "s".into(),
            destination: "7".into(),
            state: state as i32,
            ..ListChanged::default()
        })
    };
    let idle = || What::Phase(Phase { stage: Stage::Serving as i32 });
    let told = |events: &[What]| {
        let bytes = file(&FileHeader { relay: "r".into(), ..FileHeader::default() }, events);
        let verdict = verify(&mut open(&bytes), &mut |_, _| {}).unwrap();
        assert!(verdict.structure.is_empty());
        verdict.told.into_iter().map(|b| b.what).collect::<Vec<_>>().join("; ")
    };
    let good = [sent(1, 0, "s"), answered(1, 0, Outcome::Overloaded), sent(1, 1, "s")];
    assert_eq!(told(&once(&good)), "");
    let whole = [&good[..], &[answered(1, 1, Outcome::Success), ended(1, End::Delivered)]].concat();
    assert_eq!(told(&once(&whole)), "");
    for (rest, rule) in [
        (vec![sent(1, 0, "s"), sent(1, 1, "t")], "attempt 1 beside attempt 0"),
        (
            vec![sent(1, 0, "s"), answered(1, 0, Outcome::Broken), sent(1, 1, "s")],
            "takes effect once, may have run",
        ),
        (vec![ended(1, End::Failed), ended(1, End::Failed)], "ended twice"),
        (vec![ended(1, End::Failed), sent(1, 0, "s")], "sent after its end"),
        (vec![wait(50_000), sent(1, 0, "s")], "before a told wait ended"),
        (vec![taken(1)], "taken on twice"),
        (vec![answered(1, 0, Outcome::Success)], "was not out"),
        (vec![ended(9, End::Failed)], "never taken on"),
        ((0..25).map(|_| idle()).chain([sent(1, 0, "s")]).collect(), "sent after its time"),
        ((0..400).map(|_| idle()).chain([ended(1, End::Failed)]).collect(), "ended after its time"),
        (vec![sent(1, 0, "s"), ended(1, End::Returned)], "handed back with an attempt out"),
    ] {
        let said = told(&once(&rest));
        assert!(said.contains(rule), "`{rule}` is not in `{said}`");
    }
    assert!(told(&[offered(1, Effect::Once), sent(1, 0, "s")]).contains("before it was taken on"));
    // A drain: nothing new after two seconds, which is two thousand events here.
    let drain = |after: usize| {
        let idle = (0..after).map(|_| idle());
        let rest = [offered(1, Effect::Once), taken(1), sent(1, 0, "s")];
        [listed(Listed::Draining)].into_iter().chain(idle).chain(rest).collect::<Vec<_>>()
    };
    assert_eq!(told(&drain(1900)), "");
    assert!(told(&drain(2100)).contains("drains or is gone"));
    // Where events are missing, nobody is blamed for what is not there.
    let dropped = What::Dropped(Dropped { events: 4, disk: false });
    assert_eq!(
        told(&[dropped, sent(1, 3, "s"), answered(1, 3, Outcome::Success), ended(1, End::Delivered)]),
        ""
    );
    // A restart: what was out may have run, and a keyed one goes on.
    let up = |effect: Effect| {
        let recovered = Recovered {
            flow: flow(1),
            life_us: 9000,
            attempts: 1,
            may_have_run: true,
            effect: effect as i32,
            ..Recovered::default()
        };
        told(&[offered(1, effect), taken(1), sent(1, 0, "s"), What::Recovered(recovered), sent(1, 1, "s")])
    };
    assert_eq!(up(Effect::Keyed), "");
    assert!(up(Effect::Once).contains("takes effect once"));
}

#[test]
fn two_relays_whose_clocks_differ_merge_by_time_with_each_ones_order_kept() {
    let folder = Folder::new("relays");
    let made = |relay: &str, seed, shift: u64| {
        let wanted = Wanted { relay: relay.into(), ..Wanted::of(seed, 800) };
        let wanted = Wanted { start_us: wanted.start_us + shift, ..wanted };
        let bytes = sample(&wanted, Vec::new(), Options { block: 4096, codec: Codec::Deflate }).unwrap();
        (folder.write(relay, &bytes), bytes)
    };
    // The second one's clock is 700 ms ahead.
    let ((a, bytes_a), (b, bytes_b)) = (made("a", 1, 0), made("b", 2, 700_000));
    let merged = |shifts: &[(&str, i64)]| {
        let shifts: BTreeMap<String, i64> = shifts.iter().map(|(n, s)| (n.to_string(), *s)).collect();
        let mut merged = Vec::new();
        let done = merge(&[b.clone(), a.clone()], &shifts, &mut merged, &mut |_, _| {}).unwrap();
        assert!(done.said.is_empty(), "{:?}", done.said);
        merged
    };
    for shifts in [&[][..], &[("b", -700_000)]] {
        let bytes = merged(shifts);
        let mut reader = open(&bytes);
        let header = reader.header().clone();
        assert_eq!(header.sources.len(), 2);
        let (mut last, mut by, mut first) = (0, [Vec::new(), Vec::new()], [None, None]);
        each(&mut reader, &Selection::default(), &mut |_, _| {}, &mut |_, _, event| {
            assert!(event.at_us >= last, "in the order of time");
            last = event.at_us;
            first[event.source as usize].get_or_insert(event.at_us);
            by[event.source as usize].push(event.what);
            Ok(())
        })
        .unwrap();
        let apart = first[0].unwrap().abs_diff(first[1].unwrap());
        assert_eq!(apart, if shifts.is_empty() { 700_000 } else { 0 });
        for (source, own) in header.sources.iter().zip(by) {
            let bytes = if source.relay == "a" { &bytes_a } else { &bytes_b };
            let mut reader = open(bytes);
            let mut expected = Vec::new();
            while let Some(block) = reader.next_block().unwrap() {
                expected.extend(block.events().map(|(_, e)| e.what));
            }
            assert!(own == expected, "{}", source.relay);
        }
        let verdict = verify(&mut open(&bytes), &mut |_, _| {}).unwrap();
        assert!(verdict.is_good(), "{:?} {:?}", verdict.told, verdict.structure);
        let (all, a, b) = (summary(&bytes, 100), summary(&bytes_a, 100), summary(&bytes_b, 100));
        assert_eq!(all.all.delivered, a.all.delivered + b.all.delivered);
    }
}

fn anonymous(bytes: &[u8], key: &[u8], networks: bool) -> Vec<u8> {
    let mut out = Vec::new();
    let mut by = Anonymiser::new(key, networks).unwrap();
    anonymise(&mut open(bytes), &mut by, &mut out, &mut |_, _| {}).unwrap();
    out
}

/// All of a file as it is and with its blocks unpacked.
fn unpacked(bytes: &[u8]) -> Vec<u8> {
    let events = read(bytes).0.into_iter().flat_map(|(_, e)| e);
    bytes.iter().copied().chain(events).collect()
}

#[test]
fn no_name_is_left_in_an_anonymous_trace_and_its_counts_are_the_same() {
    let bytes = made(21, 2500, 16 * 1024, Codec::Deflate);
    let hidden = anonymous(&bytes, b"a key", false);
    assert!(verify(&mut open(&hidden), &mut |_, _| {}).unwrap().is_good());
    let (plain, anon) = (summary(&bytes, 1000), summary(&hidden, 1000));
    // Shares: the same counts, under other names.
    let counts = |m: &BTreeMap<String, onyxstile_trace::summary::Counts>| {
        let mut all: Vec<_> = m.values().map(|c| (c.offered, c.delivered, c.attempts, c.refused)).collect();
        all.sort();
        all
    };
    assert_eq!(counts(&plain.customers), counts(&anon.customers));
    assert_eq!(counts(&plain.destinations), counts(&anon.destinations));
    assert_eq!(counts(&plain.servers), counts(&anon.servers));
    let mut names: BTreeSet<String> = plain.customers.into_keys().chain(plain.servers.into_keys()).collect();
    let mut reader = open(&bytes);
    each(&mut reader, &Selection::default(), &mut |_, _| {}, &mut |_, _, event| {
        match event.what {
            Some(What::Offered(e)) => names.insert(e.id),
            Some(What::ListChanged(e)) => names.insert(e.address),
            _ => false,
        };
        Ok(())
    })
    .unwrap();
    names.insert("relay-a".into());
    let (clear, text) = (unpacked(&bytes), unpacked(&hidden));
    let holds = |text: &[u8], name: &str| text.windows(name.len()).any(|w| w == name.as_bytes());
    // Ids are many; a part of them does for the search.
    let searched: Vec<_> = names.iter().enumerate().filter(|(n, x)| x.len() < 16 || n % 60 == 0).collect();
    assert!(searched.len() > 80);
    for (_, name) in searched {
        assert!(holds(&clear, name), "{name} is in the plain trace");
        assert!(!holds(&text, name), "{name} is in the anonymous trace");
    }
    // Under one key a name is one name everywhere; under another it is another.
    let other = made(22, 500, 16 * 1024, Codec::Deflate);
    let names = |bytes: &[u8]| summary(bytes, 1000).customers.into_keys().collect::<BTreeSet<_>>();
    assert!(names(&anonymous(&other, b"a key", false)).intersection(&names(&hidden)).count() > 20);
    assert_eq!(names(&anonymous(&other, b"b key", false)).intersection(&names(&hidden)).count(), 0);
}

#[test]
fn addresses_stay_addresses_and_keep_networks_where_that_is_asked() {
    let address = |text: &str| {
        What::ListChanged(ListChanged {
            server: format!("group/{text}"),
            address: text.into(),
            ..ListChanged::default()
        })
    };
    let id = |text: &str| What::TurnedDown(TurnedDown { id: text.into(), ..TurnedDown::default() });
    let texts = ["10.1.2.3:80", "10.1.2.77:81", "10.1.9.9:80", "[2001:db8::1]:25", "no address"];
    let mut events: Vec<What> = texts.iter().map(|t| address(t)).collect();
    events.extend([id("anna@plant-7.example"), id("giorgi@plant-7.example")]);
    let bytes = file(&FileHeader::default(), &events);
    let common = |a: &str, b: &str| {
        let bits = |t: &str| u32::from(t.parse::<std::net::SocketAddrV4>().unwrap().ip().to_owned());
        (bits(a) ^ bits(b)).leading_zeros()
    };
    for networks in [false, true] {
        let hidden = anonymous(&bytes, b"k", networks);
        let (mut addresses, mut ids) = (Vec::new(), Vec::new());
        let mut reader: Reader<Cursor<&[u8]>> = open(&hidden);
        while let Some(block) = reader.next_block().unwrap() {
            for (_, event) in block.events() {
                match event.what {
                    Some(What::ListChanged(e)) => {
                        assert!(e.address.starts_with("a-") || e.server.ends_with(&e.address), "{e:?}");
                        addresses.push(e.address);
                    }
                    Some(What::TurnedDown(e)) => ids.push(e.id),
                    _ => {}
                }
            }
        }
        for (plain, hidden) in texts.iter().zip(&addresses).take(4) {
            let port = |t: &str| t.rsplit_once(':').map(|(_, p)| p.to_string());
            assert_ne!(plain, hidden);
            assert_eq!(port(plain), port(hidden));
            assert!(hidden.parse::<std::net::SocketAddr>().is_ok(), "{hidden}");
        }
        if networks {
            assert_eq!(common(&addresses[0], &addresses[1]), common(texts[0], texts[1]));
            assert_eq!(common(&addresses[0], &addresses[2]), common(texts[0], texts[2]));
        }
        let domain = |t: &str| t.split_once('@').unwrap().1.to_string();
        assert_eq!(domain(&ids[0]), domain(&ids[1]));
        assert!(ids[0] != ids[1] && ids[0].ends_with(".invalid"));
    }
}

#[test]
fn a_flow_is_told_over_a_restart_and_an_extract_holds_it_alone() {
    let bytes = made(2, 3000, 16 * 1024, Codec::Deflate);
    let mut reader = open(&bytes);
    let mut recovered = None;
    let only = Selection { events: [3].into(), ..Selection::default() };
    each(&mut reader, &only, &mut |_, _| {}, &mut |_, _, event| {
        if let Some(What::Recovered(e)) = event.what {
            recovered.get_or_insert((e.flow.unwrap().number, e.id));
        }
        Ok(())
    })
    .unwrap();
    let (number, id) = recovered.unwrap();
    reader.rewind();
    let wanted = Selection { id, ..Selection::default() };
    let mut extract = Vec::new();
    let done = cut::extract(&mut reader, &wanted, &mut extract, &mut |_, _| {}).unwrap();
    let mut kinds = Vec::new();
    let mut reader = open(&extract);
    each(&mut reader, &Selection::default(), &mut |_, _| {}, &mut |_, _, event| {
        assert_eq!(onyxstile_trace::about::about(&event).flow, Some(number));
        kinds.push(onyxstile_trace::about::name(&event));
        Ok(())
    })
    .unwrap();
    assert_eq!(kinds.len() as u64, done.events);
    assert_eq!(kinds[..2], ["offered", "taken"]);
    let of = |name| kinds.iter().filter(|k| **k == name).count();
    assert_eq!((of("recovered"), of("ended")), (1, 1), "{kinds:?}");
}

#[test]
fn many_customers_cost_no_more_memory_than_the_names_that_are_kept() {
    let wanted = Wanted { customers: 50_000, ..Wanted::of(1, 30_000) };
    let bytes = sample(&wanted, Vec::new(), Options::default()).unwrap();
    let s = summary(&bytes, 1000);
    assert_eq!((s.customers.len(), s.all.offered), (1001, 30_000));
    // With so many in a block its list of names is given up, and nothing is missed by the index.
    let name = s.customers.keys().find(|k| k.starts_with("customer-")).unwrap().clone();
    let count = |bytes: &[u8]| {
        let mut n = 0;
        let wanted = Selection { customer: name.clone(), ..Selection::default() };
        each(&mut open(bytes), &wanted, &mut |_, _| {}, &mut |_, _, _| {
            n += 1;
            Ok(())
        })
        .unwrap();
        n
    };
    assert_eq!(count(&bytes), count(&bytes[..bytes.len() - 1]));
    assert!(count(&bytes) > 0);
}
