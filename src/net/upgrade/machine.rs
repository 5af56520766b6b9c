//! What the two sides of an upgrade do, as two machines of named states. No socket, no clock.

/// The process that has everything, as long as it is asked by nobody.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Giver {
    /// It decides and writes.
    #[default]
    Serving,
    /// It was asked; its tasks leave their sockets. It still decides.
    Parking,
    /// All is on its way to the other, and kept here. Nobody decides.
    Offered,
    /// The other decides.
    Given,
    /// The other has died, and nobody decides.
    Alone,
}

/// What happens to a giver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ToGiver {
    /// Another process asks.
    Asked,
    /// No task is busy any more.
    Parked,
    /// It took too long, or cannot be done.
    Late,
    /// The other has built all and waits for the word.
    Ready,
    /// The other's end of the socket is gone.
    PeerGone,
}

/// What a giver does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Give {
    /// Nothing.
    Nothing,
    /// Have the tasks leave their sockets.
    Park,
    /// Send all, and keep it.
    Offer,
    /// Say so, and go on as before.
    Resume,
    /// Close all, let go of the lock, and say go: in this order.
    Commit,
    /// Start again from the journal.
    Restart,
}

impl Giver {
    /// Takes an event in.
    pub fn on(&mut self, event: ToGiver) -> Give {
        let (next, what) = match (*self, event) {
            (Giver::Serving, ToGiver::Asked) => (Giver::Parking, Give::Park),
            (Giver::Parking, ToGiver::Parked) => (Giver::Offered, Give::Offer),
            (Giver::Parking | Giver::Offered, ToGiver::Late | ToGiver::PeerGone) => {
                (Giver::Serving, Give::Resume)
            }
            (Giver::Offered, ToGiver::Ready) => (Giver::Given, Give::Commit),
            (Giver::Given, ToGiver::PeerGone) => (Giver::Alone, Give::Restart),
            (state, _) => (state, Give::Nothing),
        };
        *self = next;
        what
    }

    /// Whether it may decide and write.
    pub fn decides(self) -> bool {
        matches!(self, Giver::Serving | Giver::Parking)
    }
}

/// The process that is to have everything.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Taker {
    /// It has asked.
    #[default]
    Asking,
    /// All has come, and is built.
    Building,
    /// It has said that it is ready, and does nothing until it is told to.
    Ready,
    /// It decides and writes.
    Serving,
}

/// What happens to a taker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ToTaker {
    /// All has come.
    State,
    /// All is built.
    Built,
    /// The other says go.
    Go,
    /// The other goes on by itself, or has been lost before all had come.
    Refused,
    /// The other's end of the socket is gone, without another word.
    PeerGone,
}

/// What a taker does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// Nothing.
    Nothing,
    /// Build all, touching neither the journal nor a socket.
    Build,
    /// Say that it is ready.
    SayReady,
    /// Drop all that has come, and ask again, or find the lock free.
    AskAgain,
    /// Take the lock, which is free or about to be, and begin.
    Begin,
}

impl Taker {
    /// Takes an event in.
    pub fn on(&mut self, event: ToTaker) -> Take {
        let (next, what) = match (*self, event) {
            (Taker::Asking, ToTaker::State) => (Taker::Building, Take::Build),
            (Taker::Building, ToTaker::Built) => (Taker::Ready, Take::SayReady),
            (Taker::Ready, ToTaker::Go) => (Taker::Serving, Take::Begin),
            // Whoever goes on by itself says so before it does: without that word it has died, and did nothing more.
            (Taker::Ready, ToTaker::PeerGone) => (Taker::Serving, Take::Begin),
            (Taker::Serving, _) => (Taker::Serving, Take::Nothing),
            (_, ToTaker::Refused | ToTaker::PeerGone) => (Taker::Asking, Take::AskAgain),
            (state, _) => (state, Take::Nothing),
        };
        *self = next;
        what
    }

    /// Whether it may decide and write.
    pub fn decides(self) -> bool {
        self == Taker::Serving
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Every order of events, deaths among them, up to a length: never two that decide, and if one is left alive that is
    /// told of the other's death, it decides or starts again.
    #[test]
    fn there_is_one_decider_whatever_comes_when() {
        #[derive(Clone, Copy)]
        struct Play {
            giver: Option<Giver>,
            taker: Option<Taker>,
            /// What the giver has said and the taker has not read: all, go, or that it goes on.
            said: [bool; 3],
            ready: bool,
        }
        fn check(p: &Play, past: &[u8]) {
            let deciders = [p.giver.is_some_and(Giver::decides), p.taker.is_some_and(Taker::decides)];
            assert!(deciders != [true, true], "two decide after {past:?}");
        }
        fn go_on(p: Play, past: &mut Vec<u8>, seen: &mut u32) {
            check(&p, past);
            *seen += 1;
            if past.len() == 9 {
                return;
            }
            for step in 0..9 {
                let mut next = p;
                let Play { giver, taker, said, ready } = &mut next;
                match step {
                    0 => drop(giver.as_mut().map(|g| g.on(ToGiver::Asked))),
                    1 => {
                        let offered = giver.as_mut().is_some_and(|g| g.on(ToGiver::Parked) == Give::Offer);
                        said[0] |= offered;
                    }
                    2 => said[2] |= giver.as_mut().is_some_and(|g| g.on(ToGiver::Late) == Give::Resume),
                    3 if *ready => {
                        let given = giver.as_mut().is_some_and(|g| g.on(ToGiver::Ready) == Give::Commit);
                        said[1] |= given;
                    }
                    // The giver is killed, or the taker is.
                    4 => *giver = None,
                    5 => *taker = None,
                    // The taker reads what was said, in order; the end of the socket comes after all of it.
                    6 => {
                        let Some(t) = taker else { continue };
                        if std::mem::take(&mut said[0]) {
                            t.on(ToTaker::State);
                            *ready = t.on(ToTaker::Built) == Take::SayReady;
                        } else if std::mem::take(&mut said[2]) {
                            t.on(ToTaker::Refused);
                        } else if std::mem::take(&mut said[1]) {
                            t.on(ToTaker::Go);
                        } else if giver.is_none() {
                            t.on(ToTaker::PeerGone);
                            assert!(*t == Taker::Serving || *t == Taker::Asking, "after {past:?}");
                        }
                    }
                    7 if taker.is_none() => {
                        if let Some(g) = giver {
                            g.on(ToGiver::PeerGone);
                            assert!(g.decides() || *g == Giver::Alone, "after {past:?}: {g:?}");
                        }
                    }
                    _ => continue,
                }
                past.push(step);
                go_on(next, past, seen);
                past.pop();
            }
        }
        let (mut past, mut seen) = (Vec::new(), 0);
        let play = Play {
            giver: Some(Giver::default()),
            taker: Some(Taker::default()),
            said: [false; 3],
            ready: false,
        };
        go_on(play, &mut past, &mut seen);
        assert!(seen > 100_000, "{seen}");
    }
}
