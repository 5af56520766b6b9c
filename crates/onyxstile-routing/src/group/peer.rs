//! One real server of a group, as its balancing method sees it.

/// A real server of a group.
#[derive(Debug)]
pub(super) struct Peer {
    /// The real server's number, once it has one.
    pub(super) server: Option<u32>,
    pub(super) name: String,
    pub(super) weight: u32,
    pub(super) max_conns: u32,
    pub(super) down: bool,
    pub(super) out: u32,
    /// Times that it was chosen or passed over, for its weight: what breaks ties of `least_conn`.
    pub(super) turns: f64,
}

impl Peer {
    pub(super) fn usable(&self) -> Option<u32> {
        let full = self.max_conns > 0 && self.out >= self.max_conns;
        self.server.filter(|_| !self.down && !full)
    }

    /// Calls out for its weight. Equal fractions are equal numbers: division is rounded correctly.
    pub(super) fn load(&self) -> u64 {
        (f64::from(self.out) / f64::from(self.weight)).to_bits()
    }
}
