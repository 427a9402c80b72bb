//! The keeper: replicated configuration, the ledger, the directory and ejection leases.
