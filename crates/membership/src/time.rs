//! The time type of the state machines.

/// Milliseconds since the Unix epoch, or since the start of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Millis(pub u64);

impl Millis {
    /// The time `milliseconds` after `self`.
    pub fn plus(self, milliseconds: u64) -> Self {
        Self(self.0.saturating_add(milliseconds))
    }

    /// Milliseconds from `earlier` to `self`; 0 if `earlier` is after `self`.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
