//! Evidence on one backend server, weighed one request at a time.

use std::time::Duration;

use hdrhistogram::Histogram;
use shallothill_core::ids::EndpointId;
use shallothill_core::time::Millis;
use shallothill_directory::{EndpointLoad, ServiceSummary};

use crate::admit::Ticket;
use crate::detect::evidence::Evidence;
use crate::detect::options::DetectOptions;
use crate::detect::verdict::{Reason, Verdict};

/// `Detector` weighs the evidence of real requests to one backend server; probes do not count.
#[derive(Clone, Debug)]
pub struct Detector {
    options: DetectOptions,
    in_flight: Vec<(Ticket, Millis)>,
    summary: Option<(Millis, ServiceSummary)>,
    suspect_since: Option<Millis>,
    score: f64,
    completed: u32,
    errors: u32,
    latencies_us: Vec<u64>,
}

impl Detector {
    /// `new` builds a detector without evidence.
    pub fn new(options: DetectOptions) -> Self {
        Self {
            options,
            in_flight: Vec::new(),
            summary: None,
            suspect_since: None,
            score: 0.0,
            completed: 0,
            errors: 0,
            latencies_us: Vec::new(),
        }
    }

    /// `set_options` takes over a changed configuration.
    pub fn set_options(&mut self, options: DetectOptions) {
        self.options = options;
    }

    /// `started` notes that a request was written to the backend server.
    pub fn started(&mut self, now: Millis, ticket: Ticket) {
        self.in_flight.push((ticket, now));
    }

    /// `finished` takes the evidence of a request that was started; an unknown ticket is ignored.
    pub fn finished(&mut self, now: Millis, ticket: Ticket, evidence: Evidence) {
        let Some(i) = self.in_flight.iter().position(|(t, _)| *t == ticket) else {
            return;
        };
        let (_, started) = self.in_flight.swap_remove(i);
        let bad = match evidence {
            Evidence::Served(latency) => {
                self.completed += 1;
                self.latencies_us.push(latency.as_micros() as u64);
                latency > self.slow_after()
            }
            Evidence::Failed | Evidence::Reset => {
                self.errors += 1;
                true
            }
            Evidence::Abandoned => now.saturating_since(started) > self.slow_after(),
            Evidence::Shed => return,
        };
        self.score = (self.score + if bad { 3.0 } else { -0.5 }).max(0.0);
    }

    /// `summarise` takes what is usual for the service, as a keeper returned it at `now`.
    pub fn summarise(&mut self, now: Millis, summary: ServiceSummary) {
        self.summary = Some((now, summary));
    }

    /// `verdict` weighs the evidence at `now`; call it after events and about every 50 ms.
    pub fn verdict(&mut self, now: Millis) -> Verdict {
        let slow_after = self.slow_after();
        let old = |(_, at): &&(Ticket, Millis)| now.saturating_since(*at) > slow_after;
        let stalled = self.in_flight.iter().filter(old).count() as f64 * 3.0;
        if self.score + stalled < self.options.threshold {
            self.suspect_since = None;
            return Verdict::Healthy;
        }
        let since = *self.suspect_since.get_or_insert(now);
        let reason = if stalled > self.score {
            Reason::Stalled
        } else {
            Reason::Errors
        };
        let confirmed = since + self.options.confirm_after;
        match &self.summary {
            Some((at, _)) if *at >= confirmed => Verdict::Sick(reason),
            _ => Verdict::Suspect(reason),
        }
    }

    /// `load` returns the load since the last call, for the keepers' summaries.
    pub fn load(&mut self, now: Millis, id: &EndpointId, queued: u16) -> EndpointLoad {
        let mut histogram = Histogram::<u64>::new(2).ok();
        for us in self.latencies_us.drain(..) {
            if let Some(h) = &mut histogram {
                h.saturating_record(us);
            }
        }
        let oldest = self.in_flight.iter().map(|(_, at)| *at).min();
        EndpointLoad {
            service: id.service.clone(),
            name: id.name.clone(),
            in_flight: u16::try_from(self.in_flight.len()).unwrap_or(u16::MAX),
            queued,
            completed: std::mem::take(&mut self.completed),
            p50_us: histogram.map_or(0, |h| h.value_at_quantile(0.5)),
            oldest_us: oldest.map_or(0, |at| now.saturating_since(at).as_micros() as u64),
            errors: std::mem::take(&mut self.errors),
        }
    }

    /// `clear` forgets the evidence, after trials were served or a new life was announced.
    pub fn clear(&mut self) {
        self.score = 0.0;
        self.suspect_since = None;
    }

    fn slow_after(&self) -> Duration {
        self.options
            .expected_latency
            .mul_f64(self.options.slow_factor)
    }
}
