//! A running comparison of two explanations of a server's requests.

/// `Score` sums the log-likelihood ratio of "sick" to "healthy" and never falls below zero, so
/// that long health does not hide a new fault (a CUSUM test).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Score {
    sum: f64,
    bad: u32,
    measure: f64,
}

impl Score {
    /// Counts a request: `usual` is the share of bad requests at a healthy server, `sick` that at
    /// a sick one. `measure` is what the request was compared with.
    pub(crate) fn count(&mut self, bad: bool, usual: f64, sick: f64, measure: f64) {
        if bad {
            self.compared_with(measure);
            self.sum += (sick / usual).ln();
            self.bad += 1;
        } else {
            self.sum += ((1.0 - sick) / (1.0 - usual)).ln();
        }
        if self.sum <= 0.0 {
            *self = Self::default();
        }
    }

    /// Counts that a request which already counted as bad has become twice as old.
    pub(crate) fn count_again(&mut self, usual: f64, sick: f64, measure: f64) {
        self.compared_with(measure);
        self.sum += (sick / usual).ln();
    }

    /// Drops the sum when `measure` proves the one wrong that its first bad request was compared
    /// with; returns whether it was dropped.
    pub(crate) fn correct(&mut self, measure: f64, tolerance: f64) -> bool {
        let wrong = self.sum > 0.0 && measure > self.measure * tolerance;
        if wrong {
            *self = Self::default();
        }
        wrong
    }

    fn compared_with(&mut self, measure: f64) {
        if self.sum <= 0.0 {
            self.measure = measure;
        }
    }

    pub(crate) fn sum(&self) -> f64 {
        self.sum
    }

    /// Returns the bad requests since the sum last was zero.
    pub(crate) fn bad(&self) -> u32 {
        self.bad
    }
}
