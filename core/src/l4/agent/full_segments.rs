//! Recognition of segments after which a request goes on: those that are filled up to the largest
//! length.

/// Length of data from which a segment can be one that was filled up.
const MIN_FULL_LENGTH: u16 = 1000;

/// Limit of the balance of right and wrong guesses, so that a change of the load is soon seen.
const MAX_BALANCE: i8 = 8;

/// The length of full segments, and whether requests have gone on after them.
#[derive(Clone, Copy, Debug)]
pub struct FullSegments {
    /// Largest length of data seen in a caller's segment.
    length: u16,
    /// Segments of this length that were not the last of their request, less those that were.
    balance: i8,
}

impl Default for FullSegments {
    fn default() -> Self {
        Self {
            length: MIN_FULL_LENGTH,
            balance: 0,
        }
    }
}

impl FullSegments {
    /// Records a segment with data, and returns whether it is full.
    pub fn record(&mut self, length: u16) -> bool {
        if length > self.length {
            self.length = length;
            self.balance = 0;
        }
        length == self.length
    }

    /// Records whether a request went on after a full segment. Requests may be as long as one segment
    /// by chance, or all of them by their kind.
    pub fn record_guess(&mut self, went_on: bool) {
        let step = if went_on { 1 } else { -1 };
        self.balance = (self.balance + step).clamp(-MAX_BALANCE, MAX_BALANCE);
    }

    /// Returns whether a request is expected to go on after a full segment.
    pub fn go_on(&self) -> bool {
        self.balance >= 0
    }
}
