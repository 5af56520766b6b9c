//! How much of what is handed in is taken on while service returns.
//!
//! Guards messages and the room for them: partners that may be cold take a part of the usual at first, and what is taken
//! on beyond that waits in the room of messages that are worth more. Classes come in the order of their worth, and what is
//! not taken on is handed back with when to come again; of a class not all of it, by chance, so that relays that came back
//! together do not act in step. That partners are not sent too much does not rest on this: each is taken for cold, and
//! every relay keeps to its part of what a cold one bears.

use std::time::Duration;

/// The ramp of one relay's admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Ramp {
    begun: Duration,
    length: Duration,
    /// Classes by their place in the order of worth, from 0.
    places: Vec<usize>,
}

impl Ramp {
    /// A ramp that ends after `length`. `worth`: of each class.
    pub fn new(begun: Duration, length: Duration, worth: &[f64]) -> Ramp {
        // Of two classes that are worth the same neither comes first.
        let first = |n: &usize| !worth[..*n].contains(&worth[*n]);
        let place = |w: &f64| (0..worth.len()).filter(|n| first(n) && worth[*n] > *w).count();
        Ramp { begun, length, places: worth.iter().map(place).collect() }
    }

    /// The share of a class that is taken on now. The worthiest is whole from the beginning; each further one rises from
    /// none over its part of the ramp, one after the other.
    pub fn share(&self, class: usize, now: Duration) -> f64 {
        let place = self.places.get(class).copied().unwrap_or(0);
        let steps = self.places.iter().max().copied().unwrap_or(0);
        if place == 0 || self.length.is_zero() {
            return 1.0;
        }
        let done = now.saturating_sub(self.begun).as_secs_f64() / self.length.as_secs_f64();
        (done * steps as f64 - (place - 1) as f64).clamp(0.0, 1.0)
    }

    /// When all of it is taken on.
    pub fn end(&self) -> Duration {
        self.begun + self.length
    }

    /// How long who is turned away is asked to stay away: until about half of the rest has passed.
    pub fn come_back(&self, now: Duration) -> Duration {
        self.end().saturating_sub(now) / 2
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn classes_return_in_the_order_of_their_worth() {
        let s = Duration::from_secs;
        let ramp = Ramp::new(s(10), s(4), &[1.0, 2.0, 0.5, 2.0]);
        let at = |t| [0, 1, 2, 3].map(|c| ramp.share(c, s(t)));
        assert_eq!(at(10), [0.0, 1.0, 0.0, 1.0]);
        assert_eq!(at(11), [0.5, 1.0, 0.0, 1.0]);
        assert_eq!(at(13), [1.0, 1.0, 0.5, 1.0]);
        assert_eq!(at(14), [1.0; 4]);
        assert_eq!((ramp.come_back(s(12)), ramp.come_back(s(20))), (s(1), s(0)));
        assert_eq!(Ramp::new(s(10), s(0), &[1.0, 2.0]).share(0, s(10)), 1.0);
    }
}
