//! The lease on the currency of the configuration and the task that renews it.

use std::sync::Arc;

use crate::control::LeaseRenewal;
use crate::currency::ConfigCurrency;
use crate::node::Node;

impl Node {
    /// `currency` returns the lease on the currency of the configuration, if the settings have a
    /// bound.
    pub fn currency(&self) -> Option<&Arc<ConfigCurrency>> {
        self.entry.dependencies().currency.as_ref()
    }

    // Without a bound in the settings there is no lease and nothing to renew.
    pub(super) fn start_lease_renewal(&self) {
        let Some(currency) = self.currency() else {
            return;
        };
        let renewal = LeaseRenewal {
            keepers: Arc::clone(&self.keepers),
            currency: Arc::clone(currency),
            timer: self.timer.clone(),
        };
        tokio::spawn(renewal.run(self.end_tasks.clone()));
    }
}
