//! Detects cycles in the dependency graph of the services.

use std::collections::{BTreeMap, BTreeSet};

/// `find_cycles` returns one cycle for each back edge of a depth-first search that visits the
/// services in the order of their names. A cycle starts and ends with the same name. Dependencies
/// on unknown services are ignored.
pub(crate) fn find_cycles<'a>(depends_on: &BTreeMap<&'a str, Vec<&'a str>>) -> Vec<Vec<&'a str>> {
    let mut finished = BTreeSet::new();
    let mut cycles = Vec::new();
    for start in depends_on.keys() {
        search_from(start, depends_on, &mut finished, &mut cycles);
    }
    cycles
}

/// `search_from` runs a depth-first search with an explicit stack, because a chain of dependencies
/// may contain every service and recursion could overflow the call stack.
fn search_from<'a>(
    start: &'a str,
    depends_on: &BTreeMap<&'a str, Vec<&'a str>>,
    finished: &mut BTreeSet<&'a str>,
    cycles: &mut Vec<Vec<&'a str>>,
) {
    if finished.contains(start) {
        return;
    }
    let mut path = vec![(start, 0)];
    let mut on_path = BTreeSet::from([start]);
    while let Some((name, next)) = path.last_mut() {
        let targets = depends_on.get(name).map_or(&[][..], Vec::as_slice);
        let Some(target) = targets.get(*next).copied() else {
            on_path.remove(name);
            finished.insert(name);
            path.pop();
            continue;
        };
        *next += 1;
        if on_path.contains(target) {
            let from = path.iter().position(|(n, _)| *n == target).unwrap_or(0);
            let mut cycle: Vec<&str> = path[from..].iter().map(|(n, _)| *n).collect();
            cycle.push(target);
            cycles.push(cycle);
        } else if !finished.contains(target) && depends_on.contains_key(target) {
            on_path.insert(target);
            path.push((target, 0));
        }
    }
}
