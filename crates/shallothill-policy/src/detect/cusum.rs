//! A sequential test of two hypotheses about a server: healthy and unhealthy.

/// `Cusum` sums the log-likelihood ratio of "unhealthy" to "healthy" (a CUSUM test). The sum never
/// falls below zero, so that a long healthy period does not delay the detection of a new fault.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cusum {
    sum: f64,
    bad_requests: u32,
    baseline: f64,
}

impl Cusum {
    /// Counts a request. `healthy_share` and `unhealthy_share` are the expected shares of bad
    /// requests at a healthy and at an unhealthy server; `baseline` is what the request was
    /// compared with.
    pub(crate) fn count(
        &mut self,
        bad: bool,
        healthy_share: f64,
        unhealthy_share: f64,
        baseline: f64,
    ) {
        if bad {
            self.set_baseline_if_zero(baseline);
            self.sum += (unhealthy_share / healthy_share).ln();
            self.bad_requests += 1;
        } else {
            self.sum += ((1.0 - unhealthy_share) / (1.0 - healthy_share)).ln();
        }
        if self.sum <= 0.0 {
            *self = Self::default();
        }
    }

    /// Counts again a bad request whose age has doubled.
    pub(crate) fn count_again(&mut self, healthy_share: f64, unhealthy_share: f64, baseline: f64) {
        self.set_baseline_if_zero(baseline);
        self.sum += (unhealthy_share / healthy_share).ln();
    }

    /// Resets the sum if `baseline` is higher, by more than the factor `tolerance`, than the one
    /// that the first bad request was compared with; returns whether it was reset.
    pub(crate) fn reset_if_baseline_rose(&mut self, baseline: f64, tolerance: f64) -> bool {
        let wrong = self.sum > 0.0 && baseline > self.baseline * tolerance;
        if wrong {
            *self = Self::default();
        }
        wrong
    }

    fn set_baseline_if_zero(&mut self, baseline: f64) {
        if self.sum <= 0.0 {
            self.baseline = baseline;
        }
    }

    pub(crate) fn sum(&self) -> f64 {
        self.sum
    }

    /// Returns the number of bad requests since the sum was last zero.
    pub(crate) fn bad_requests(&self) -> u32 {
        self.bad_requests
    }
}
