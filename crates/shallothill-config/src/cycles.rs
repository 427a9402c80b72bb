//! Finds cycles of dependencies.

use std::collections::{BTreeMap, BTreeSet};

/// `find` returns one cycle for each service that closes one, in the order of the names; each
/// cycle starts and ends with the same name. Dependencies on unknown services are ignored.
pub(crate) fn find<'a>(depends_on: &BTreeMap<&'a str, Vec<&'a str>>) -> Vec<Vec<&'a str>> {
    let mut done = BTreeSet::new();
    let mut cycles = Vec::new();
    for start in depends_on.keys() {
        walk(start, depends_on, &mut done, &mut cycles);
    }
    cycles
}

/// `walk` searches in depth with its own stack, because a chain may be as long as the list.
fn walk<'a>(
    start: &'a str,
    depends_on: &BTreeMap<&'a str, Vec<&'a str>>,
    done: &mut BTreeSet<&'a str>,
    cycles: &mut Vec<Vec<&'a str>>,
) {
    if done.contains(start) {
        return;
    }
    let mut path = vec![(start, 0)];
    let mut on_path = BTreeSet::from([start]);
    while let Some((name, next)) = path.last_mut() {
        let targets = depends_on.get(name).map_or(&[][..], Vec::as_slice);
        let Some(target) = targets.get(*next).copied() else {
            on_path.remove(name);
            done.insert(name);
            path.pop();
            continue;
        };
        *next += 1;
        if on_path.contains(target) {
            let from = path.iter().position(|(n, _)| *n == target).unwrap_or(0);
            let mut cycle: Vec<&str> = path[from..].iter().map(|(n, _)| *n).collect();
            cycle.push(target);
            cycles.push(cycle);
        } else if !done.contains(target) && depends_on.contains_key(target) {
            on_path.insert(target);
            path.push((target, 0));
        }
    }
}
