//! Seeded random numbers for tests.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A random generator that prints its seed if the test fails.
pub struct TestRng(Pcg32, u64);

impl TestRng {
    pub fn new(seed: u64) -> TestRng {
        TestRng(Pcg32::seed_from_u64(seed), seed)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n.max(1)
    }
    pub fn percent(&mut self, n: u64) -> bool {
        self.below(100) < n
    }
    pub fn pick<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize]
    }
}

impl Drop for TestRng {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {}", self.1);
        }
    }
}
