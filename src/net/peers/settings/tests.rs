//! What an operator may write of the other relays.

use super::*;

#[test]
fn a_relay_finds_its_place_or_is_told_it() {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let read = |text: &str| toml::from_str::<PeersTable>(text).unwrap();
    let s = read("").check(Some(at(2)), &[at(1), at(2), at(3)]).unwrap();
    assert_eq!((s.number, s.addresses.len()), (NodeNo(1), 3));
    let own = "listen = \"127.0.0.1:9\"\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:2\"]";
    assert!(read(own).check(None, &[]).is_err());
    assert_eq!(read(&format!("{own}\nnumber = 1")).check(None, &[]).unwrap().number, NodeNo(1));
    assert!(read(&format!("{own}\nnumber = 2")).check(None, &[]).is_err());
    assert!(read("").check(None, &[at(1)]).is_err());
    // One that is gone for good is another one, and has its place.
    let gone = |n: u16| read(&format!("{own}\nnumber = 1\ngone = [{n}]")).check(None, &[]);
    assert_eq!(gone(0).unwrap().gone, [NodeNo(0)].into());
    assert!(gone(1).is_err_and(|e| e.to_string().contains("`gone` names 1")));
    assert!(gone(2).is_err());
    let table = |text: &str| toml::from_str::<DurabilityTable>(text).unwrap().check();
    let s = table("level = \"power\"\nboot_id = \"/nowhere\"\nclock_shift_s = -2.5").unwrap();
    assert_eq!((s.durability, s.boot.as_str(), s.shift_ms), (Durability::Power, "", -2500));
    assert!(table("level = \"power\"\nclock_shift_s = inf").is_err());
}
