//! Control events of the fleet: ticks, load reports, ejection leases and directory updates.

use rand::Rng;
use shallothill_core::health::ServingState;
use shallothill_core::ids::KeeperId;
use shallothill_directory::{EndpointLoad, LeaseOptions, LeaseTable, ReleaseRequest};
use shallothill_directory::{LeaseRequest, ServiceSummary};
use shallothill_policy::admit::Gate;
use shallothill_policy::pick::EndpointInfo;

use crate::deployment::{self, REGIONS, SERVERS};
use crate::sim::fault::FaultKind;
use crate::sim::fleet::{
    Event, FleetSimulation, KEEPERS, REPORT_INTERVAL, SUMMARY_DELAY, gate_options, pick_options,
};
use crate::sim::server::RunOutcome;
use crate::sim::totals::Ejection;
use crate::sim::{MS, millis, one_way};

impl FleetSimulation {
    pub(super) fn handle_control(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::RefreshSpill => self.refresh_spill(),
            Event::Report { server } => {
                self.report(server);
                self.events
                    .schedule_after(REPORT_INTERVAL, Event::Report { server });
            }
            Event::LoadReceived(server, load) => {
                self.loads.insert(server, load);
            }
            Event::Summary { server } => {
                let summary = self.summary();
                let now = millis(self.events.now());
                self.hosts[server].health.on_summary(now, &summary);
            }
            Event::DirectoryUpdate => self.update_directory(),
            Event::Lease {
                region,
                keeper,
                server,
                req,
            } => self.lease(region, keeper, server, &req),
            Event::LeaseReply { server, reply } => {
                let now = millis(self.events.now());
                let release = self.hosts[server].health.on_lease_reply(now, &reply);
                self.send_release(server, release);
                self.apply_state(server);
            }
            Event::Release {
                region,
                keeper,
                req,
            } => self.keepers[region][keeper].handle_release(&req),
            Event::Drain { server } => self.drain(server),
            Event::Restart { server } => self.restart(server),
            Event::RestartKeeper { region, keeper } => {
                let now = millis(self.events.now());
                let id = KeeperId(keeper as u32);
                let member = LeaseTable::new(id, now, LeaseOptions::default());
                self.keepers[region][keeper] = member;
            }
            // `handle` processes the events of the request path.
            _ => {}
        }
    }

    fn tick(&mut self) {
        let now = self.events.now();
        for server in 0..SERVERS {
            self.crash_if_due(server);
            if !self.hosts[server].up {
                continue;
            }
            let host = &mut self.hosts[server];
            let release = host.health.tick(millis(now));
            let req = host.health.poll_lease(millis(now));
            let needs_summary = host.health.needs_summary(millis(now));
            let recent = now - host.last_report < 250 * MS;
            self.send_release(server, release);
            if let Some(req) = req {
                self.send_lease(server, &req);
            }
            self.apply_state(server);
            self.run_queue(server);
            if needs_summary && !recent {
                self.report(server);
            }
        }
        self.check_floor();
        self.events.schedule_after(50 * MS, Event::Tick);
    }

    fn refresh_spill(&mut self) {
        let now = millis(self.events.now());
        for entry in &self.entries {
            if let Some(table) = entry.tables.service(&self.service) {
                table.update_spill(now);
            }
        }
        self.events.schedule_after(250 * MS, Event::RefreshSpill);
    }

    // Applies the health state to the gate; a change is reported and then reaches the directory.
    pub(super) fn apply_state(&mut self, server: usize) {
        let now = self.events.now();
        let host = &mut self.hosts[server];
        let state = host.health.state(millis(now));
        let trials = host.health.trial_slots(millis(now));
        host.gate.set_state(state, trials);
        let published_state = host.up.then(|| host.gate.state());
        if published_state == host.published_state {
            return;
        }
        let previous_state = host.published_state;
        host.published_state = published_state;
        let is_out = |s| matches!(s, Some(ServingState::Demoted | ServingState::Ejected));
        if is_out(published_state)
            && (!is_out(previous_state) || published_state == Some(ServingState::Ejected))
        {
            self.totals.ejections.push(Ejection {
                server,
                at: now,
                ejected: published_state == Some(ServingState::Ejected),
            });
        }
        self.report(server);
        self.events.schedule_after(50 * MS, Event::DirectoryUpdate);
    }

    fn report(&mut self, server: usize) {
        let now = self.events.now();
        let host = &mut self.hosts[server];
        if !host.up {
            return;
        }
        host.last_report = now;
        let queued = host.gate.load().queued;
        let load = host.health.take_load(millis(now), &host.id, queued);
        // The delay includes the relay of reports between the keepers of all regions.
        self.events
            .schedule_after(SUMMARY_DELAY, Event::LoadReceived(server, load));
        let round_trip = SUMMARY_DELAY + 2 * MS;
        self.events
            .schedule_after(round_trip, Event::Summary { server });
    }

    fn summary(&self) -> ServiceSummary {
        let loads: Vec<&EndpointLoad> = (0..SERVERS).filter_map(|i| self.loads.get(&i)).collect();
        let median = |mut values: Vec<u64>| {
            values.sort_unstable();
            values.get(values.len() / 2).copied().unwrap_or(0)
        };
        let served = loads.iter().filter(|l| l.completed > 0);
        ServiceSummary {
            service: self.service.clone(),
            endpoints: loads.len() as u32,
            p50_us: median(served.map(|l| l.p50_us).collect()),
            oldest_us: median(loads.iter().map(|l| l.oldest_us).collect()),
            completed: loads.iter().map(|l| u64::from(l.completed)).sum(),
            errors: loads.iter().map(|l| u64::from(l.errors)).sum(),
        }
    }

    fn update_directory(&mut self) {
        self.directory = self.hosts.iter().map(|h| h.published_state).collect();
        self.rebuild();
    }

    pub(super) fn rebuild(&mut self) {
        let infos: Vec<EndpointInfo> = (0..SERVERS)
            .filter_map(|i| {
                let state = self.directory[i]?;
                Some(EndpointInfo {
                    id: self.hosts[i].id.clone(),
                    zone: self.entries[deployment::data_centre_of(i)].zone.clone(),
                    peer_address: std::net::SocketAddr::from(([127, 0, 0, 1], i as u16 + 1)),
                    slots: self.plan.deployment.slots,
                    state,
                    reporting: true,
                })
            })
            .collect();
        for entry in &mut self.entries {
            let changed = vec![(self.service.clone(), infos.clone())];
            entry.tables = entry
                .tables
                .with_endpoints(&entry.zone, changed, &pick_options());
        }
    }

    fn drops_message(&mut self) -> bool {
        self.message_loss > 0.0 && self.rng.random_bool(self.message_loss)
    }

    fn send_lease(&mut self, server: usize, req: &LeaseRequest) {
        let region = deployment::region_of(deployment::data_centre_of(server));
        for keeper in 0..KEEPERS {
            if !self.drops_message() {
                let req = req.clone();
                let event = Event::Lease {
                    region,
                    keeper,
                    server,
                    req,
                };
                self.events.schedule_after(one_way(0, 1), event);
            }
        }
    }

    pub(super) fn send_release(&mut self, server: usize, release: Option<ReleaseRequest>) {
        let Some(req) = release else { return };
        let region = deployment::region_of(deployment::data_centre_of(server));
        for keeper in 0..KEEPERS {
            if !self.drops_message() {
                let req = req.clone();
                let event = Event::Release {
                    region,
                    keeper,
                    req,
                };
                self.events.schedule_after(one_way(0, 1), event);
            }
        }
    }

    fn lease(&mut self, region: usize, keeper: usize, server: usize, req: &LeaseRequest) {
        let counted = |s: &Option<ServingState>| {
            s.is_some_and(|s| s.counts_as_healthy() || s == ServingState::Ejected)
        };
        let capacity = in_region(region)
            .filter(|i| counted(&self.directory[*i]))
            .count() as u32;
        let budget = capacity.saturating_sub(self.plan.deployment.floor_in_region());
        let now = millis(self.events.now());
        let reply = self.keepers[region][keeper].handle_request(now, req, budget);
        if !self.drops_message() {
            let event = Event::LeaseReply { server, reply };
            self.events.schedule_after(one_way(0, 1), event);
        }
    }

    fn drain(&mut self, server: usize) {
        let now = self.events.now();
        self.hosts[server].drained_at = Some(now);
        self.hosts[server].gate.drain();
        self.run_queue(server);
        self.apply_state(server);
    }

    fn crash_if_due(&mut self, server: usize) {
        let now = self.events.now();
        let crashes =
            |f: &crate::sim::Fault| f.kind == FaultKind::Crashed && f.affects(server, now);
        if !self.hosts[server].up || !self.plan.faults.iter().any(crashes) {
            return;
        }
        let mut running: Vec<_> = self.hosts[server]
            .attempts_by_ticket
            .keys()
            .copied()
            .collect();
        running.sort_unstable();
        for ticket in running {
            self.finish_run(server, ticket, RunOutcome::Failed(0));
        }
        self.hosts[server].up = false;
        let release = self.hosts[server].health.on_restart();
        self.send_release(server, release);
        self.apply_state(server);
    }

    fn restart(&mut self, server: usize) {
        let host = &mut self.hosts[server];
        host.up = true;
        host.gate = Gate::new(gate_options(&self.plan), true);
        self.apply_state(server);
    }

    // Servers that are up, warm and not draining count; ejection must leave at least the floor of
    // them in rotation.
    fn check_floor(&mut self) {
        let now = self.events.now();
        for region in 0..REGIONS {
            let counted = in_region(region).filter(|i| {
                let h = &self.hosts[*i];
                let state = h.gate.state();
                h.up && !matches!(state, ServingState::Cold | ServingState::Draining)
            });
            let (mut healthy, mut ejected) = (0, 0);
            for i in counted {
                if self.hosts[i].gate.state() == ServingState::Ejected {
                    ejected += 1;
                } else {
                    healthy += 1;
                }
            }
            let floor = self.plan.deployment.floor_in_region();
            self.totals
                .record_floor(now, region, healthy, ejected, floor);
        }
    }
}

fn in_region(region: usize) -> impl Iterator<Item = usize> {
    (0..SERVERS).filter(move |i| deployment::region_of(deployment::data_centre_of(*i)) == region)
}
