//! Names, bans and addresses across list updates.

use super::*;

fn raw(uid: &str, port: u16, state: &str) -> RawEntry {
    let (endpoint, state) = (format!("127.0.0.1:{port}"), state.to_string());
    let (az, model) = (String::new(), String::new());
    RawEntry { uid: uid.into(), endpoint, az, model, pod_group: 7, state, capacity_hint: 0.0 }
}

#[test]
fn a_relisted_uid_gets_a_new_number_after_its_server_was_removed() {
    let (mut directory, names) = (Directory::default(), Names::default());
    let first = directory.entry(&raw("a", 1, "up"), Wire::Http, &names)[0].id;
    assert_eq!(directory.entry(&raw("a", 1, "draining"), Wire::Http, &names)[0].id, first);
    assert_eq!(directory.sweep(|_| true), [first]);
    directory.entry(&raw("a", 1, "removed"), Wire::Http, &names);
    // The server is kept while a call is open and removed afterwards.
    directory.sweep(|_| true);
    assert!(directory.get(first).is_some());
    directory.sweep(|_| false);
    assert!(directory.get(first).is_none() && directory.was_named(DestinationId(7)));
    assert_ne!(directory.entry(&raw("a", 1, "up"), Wire::Http, &names)[0].id, first);
}

#[test]
fn a_ban_drains_the_server_regardless_of_the_list_until_it_is_lifted() {
    let (mut directory, names) = (Directory::default(), Names::default());
    assert!(!directory.was_listed("a"));
    let listed = |d: &mut Directory, state: &str| d.entry(&raw("a", 1, state), Wire::Http, &names)[0].state;
    assert_eq!(listed(&mut directory, "up"), ListState::Live);
    assert_eq!(directory.ban("a", true).unwrap().1.state, ListState::Draining);
    assert!(directory.ban("a", true).is_none(), "the second call changes nothing");
    // The list changes the state, removes the server and lists it again.
    assert_eq!(listed(&mut directory, "up"), ListState::Draining);
    assert_eq!(directory.server_counts(&BTreeSet::new()), Servers { known: 1, excluded: 1 });
    assert_eq!(listed(&mut directory, "removed"), ListState::Gone);
    directory.sweep(|_| false);
    assert_eq!(directory.server_counts(&BTreeSet::new()), Servers::default());
    assert!(directory.was_listed("a"));
    assert_eq!(listed(&mut directory, "up"), ListState::Draining);
    assert_eq!(directory.ban("a", false).unwrap().1.state, ListState::Live);
    let (no, _) = directory.ban("a", true).unwrap();
    directory.ban("a", false);
    assert_eq!(directory.server_counts(&[no].into()), Servers { known: 1, excluded: 1 });
}

#[test]
fn an_address_change_closes_idle_connections_once() {
    let (mut directory, names) = (Directory::default(), Names::default());
    let no = directory.entry(&raw("a", 1, "up"), Wire::Http, &names)[0].id;
    assert!(directory.sweep(|_| false).is_empty());
    directory.entry(&raw("a", 2, "up"), Wire::Http, &names);
    assert_eq!(directory.sweep(|_| false), [no]);
    assert!(directory.sweep(|_| false).is_empty());
}

/// A list may move a server to another destination. Calls for the old destination must not reach it, and recorded waits
/// of the old destination must not apply to it.
#[test]
fn a_server_listed_for_another_destination_gets_a_new_number() {
    let (mut directory, names) = (Directory::default(), Names::default());
    let first = directory.entry(&raw("a", 1, "up"), Wire::Http, &names)[0].id;
    let moved = RawEntry { pod_group: 8, ..raw("a", 1, "up") };
    let entries = directory.entry(&moved, Wire::Http, &names);
    let states: Vec<_> = entries.iter().map(|e| (e.destination.0, e.state)).collect();
    assert_eq!(states, [(7, ListState::Gone), (8, ListState::Live)]);
    assert!(entries[0].id == first && entries[1].id != first);
    directory.sweep(|_| false);
    assert_eq!((directory.find("a"), directory.get(first).is_some()), (Some(entries[1].id), false));
    assert_eq!(directory.entry(&moved, Wire::Http, &names).len(), 1);
}
