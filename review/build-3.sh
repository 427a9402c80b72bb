#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 and above start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand-ins review/stand-ins-3/main.rs
# The stand-ins of the cases 13 and above.
mkdir -p target/review-4
rustc --edition 2024 -O -o target/review-4/doubled_part review/stand-ins-4/doubled_part.rs
rustc --edition 2024 -O -o target/review-4/forgotten_departure review/stand-ins-4/forgotten_departure.rs
rustc --edition 2024 -O -o target/review-4/lost_departure review/stand-ins-4/lost_departure.rs
