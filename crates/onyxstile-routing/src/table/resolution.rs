//! What is to be done with a request, and where it belongs.

/// What is to be done with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// It goes to a group.
    Pass(Passed),
    /// Its client may not (403).
    Denied(Place),
    /// Its body is too large (413).
    TooLarge(Place),
    /// It is answered with this status.
    Answer(u16, Place),
    /// It lacks the slash at its end (301), and would have to ask for this.
    AddSlash(String, Place),
    /// No location takes it (404).
    Unmatched(Option<Place>),
}

/// Where in the table a request belongs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The first name of its host.
    pub host: String,
    /// Its location, as nginx would write it.
    pub location: String,
}

/// A request that a group takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Passed {
    /// Where it belongs.
    pub place: Place,
    /// The group's name.
    pub upstream: String,
    /// The group's destination.
    pub destination: u64,
    /// The target to ask the real server for.
    pub path: String,
    /// What the group's method goes by: the client's address, the key, or nothing.
    pub key: Vec<u8>,
    /// Limits that it counts against.
    pub limits: Vec<Counted>,
}

/// A limit that a request counts against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counted {
    /// The zone's number in the table.
    pub zone: usize,
    /// What it counts under.
    pub key: Vec<u8>,
    /// Whether its rate counts, or its being in hand.
    pub what: CountedAs,
}

/// What of a request a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CountedAs {
    /// Its rate; so many may come early.
    Rate {
        /// How many.
        burst: u32,
    },
    /// Its being in hand, with so many at once.
    InHand {
        /// How many.
        most: u32,
    },
}
