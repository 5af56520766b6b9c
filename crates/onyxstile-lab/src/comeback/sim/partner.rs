//! Partners: cold at first, and fallen where too much comes.

use super::*;

pub(super) struct Partner {
    /// Calls a second when warm.
    pub(super) bears: f64,
    pub(super) came: Vec<Duration>,
    pub(super) fallen: bool,
    pub(super) worst: f64,
}

impl Partner {
    pub(super) fn capacity(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(BASE + BACK).as_secs_f64();
        let cold = now >= BASE + BACK;
        let warm = if cold { (age / COLD.as_secs_f64()).min(1.0) } else { 1.0 };
        self.bears * (COLD_FROM + (1.0 - COLD_FROM) * warm)
    }

    /// A call comes: whether it is taken.
    pub(super) fn call(&mut self, now: Duration) -> Outcome {
        self.came.retain(|at| *at + SPAN > now);
        self.came.push(now);
        let n = FACTOR * self.capacity(now) * SPAN.as_secs_f64();
        if now >= BASE + BACK && now < BASE + BACK + COLD {
            let share = self.came.len() as f64 / (n + 2.0 * n.sqrt() + 2.0);
            self.worst = self.worst.max(share);
            self.fallen |= share > 1.0;
        }
        let second = self.came.iter().filter(|at| **at + Duration::from_secs(1) > now).count();
        match self.fallen {
            true => Outcome::TimedOut,
            false if second as f64 > self.capacity(now).max(1.0) * 1.3 => Outcome::Overloaded { wait: None },
            false => Outcome::Success,
        }
    }
}
