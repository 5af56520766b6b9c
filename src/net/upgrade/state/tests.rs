//! The form of what is handed over.

use super::*;
use crate::api::{ClassId, DestinationId, ListState};
use crate::common::{entry, ms, settings};
use crate::core::{Core, FlowTerms};
use crate::net::upgrade::parking::ItemNote;

/// A state says nothing of its own form: another form under the same number would be read as something else. Where
/// this fails, [`FORMAT`] has to go up, and then the sum here has to follow.
#[test]
fn another_form_of_the_state_is_another_format() {
    let mut core = Core::new(settings(), 7, ms(1000)).unwrap();
    let to = DestinationId(7);
    core.update_entries(vec![entry(1, to, 0, ListState::Live), entry(2, to, 0, ListState::Draining)], true);
    for no in 1..4 {
        let terms = FlowTerms { class: ClassId(0), tenant: None, destination: to, remaining: ms(5000) };
        core.submit(FlowNo(no), terms, ());
    }
    core.step(ms(1000), &mut Vec::new());
    let bytes = write(&core.snapshot().unwrap()).unwrap();
    let call = CallNote {
        items: vec![ItemNote { flow: FlowNo(1), attempt: 2, left: ms(2) }],
        server: Default::default(),
        address: ([127, 0, 0, 1], 9).into(),
        left: ms(1),
        write_left: ms(6),
        elapsed: ms(3),
        sent: true,
        held: false,
        stopped: false,
    };
    let state = State {
        core: bytes.clone(),
        edges: vec![EdgeNote { read: vec![7], served: true, left: ms(4) }],
        calls: vec![call],
        idle: vec![IdleNote { server: Default::default(), age: ms(5) }],
        ids: [("f".to_string(), FlowNo(1))].into(),
        ..State::default()
    };
    let whole = write(&state).unwrap();
    assert_eq!((FORMAT, whole.len(), crc32fast::hash(&whole)), (6, 591, 561230223));
    assert_eq!(read::<State>(&whole).unwrap().sockets(), 3);
    let again = Core::restore(read(&bytes).unwrap(), 9, |_| Some(())).unwrap();
    assert_eq!(write(&again.snapshot().unwrap()).unwrap(), bytes);
    assert!(Core::restore(read(&bytes).unwrap(), 9, |_| None::<()>).is_none(), "a flow without its payload");
    assert!(read::<State>(&bytes).is_err());
}
