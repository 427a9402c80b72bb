//! Reads, checks, compares and splits the configuration text.
