//! Reads the fields of one mapping and reports unknown, repeated and missing ones.

use std::collections::BTreeMap;

use crate::faults::Faults;
use crate::node::{Entry, Node, Position, Value};

/// `Fields` are the known fields of one mapping.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    /// Where the mapping's key stands, for faults of the whole.
    pub(crate) at: Position,
    /// The path of the mapping, empty for the document.
    pub(crate) path: String,
    by_name: BTreeMap<&'a str, &'a Entry>,
}

impl<'a> Fields<'a> {
    /// `read` takes the fields of `node` that are in `known`, or `None` if it is no mapping.
    pub(crate) fn read(
        node: &'a Node,
        at: Position,
        path: String,
        known: &[&str],
        faults: &mut Faults,
    ) -> Option<Self> {
        let entries = mapping(node, &path, faults)?;
        let mut fields = Self {
            at,
            path,
            by_name: BTreeMap::new(),
        };
        for entry in entries {
            let field = fields.path_of(&entry.key);
            if !known.contains(&entry.key.as_str()) {
                let known = known.join(", ");
                let message = format!("unknown field; remove it or use one of: {known}");
                faults.push(entry.at, field, message);
            } else if let Some(first) = fields.by_name.get(entry.key.as_str()) {
                faults.push(entry.at, field, repeated(first.at));
            } else {
                fields.by_name.insert(&entry.key, entry);
            }
        }
        Some(fields)
    }

    /// `path_of` returns the path of the field `name`.
    pub(crate) fn path_of(&self, name: &str) -> String {
        join(&self.path, name)
    }

    /// `get` returns the field `name`; nothing after the colon counts as absent.
    pub(crate) fn get(&self, name: &str) -> Option<&'a Entry> {
        let entry = self.by_name.get(name).copied();
        entry.filter(|e| !matches!(e.node.value, Value::Null))
    }

    /// `position` returns where the field `name` stands, or else the mapping.
    pub(crate) fn position(&self, name: &str) -> Position {
        self.by_name.get(name).map_or(self.at, |e| e.node.at)
    }

    /// `require` returns the field `name` and reports its absence.
    pub(crate) fn require(&self, name: &str, faults: &mut Faults) -> Option<&'a Entry> {
        let found = self.get(name);
        if found.is_none() {
            let message = "this field is missing; add it";
            faults.push(self.position(name), self.path_of(name), message);
        }
        found
    }

    /// `required` reads a field that must be present; `None` means that a fault was reported.
    pub(crate) fn required<T>(
        &self,
        name: &str,
        faults: &mut Faults,
        read: impl Fn(&Value) -> Result<T, String>,
    ) -> Option<T> {
        let entry = self.require(name, faults)?;
        self.value(entry, faults, read)
    }

    /// `optional` reads a field that may be absent; `None` means that a fault was reported.
    pub(crate) fn optional<T>(
        &self,
        name: &str,
        faults: &mut Faults,
        read: impl Fn(&Value) -> Result<T, String>,
    ) -> Option<Option<T>> {
        match self.get(name) {
            Some(entry) => self.value(entry, faults, read).map(Some),
            None => Some(None),
        }
    }

    fn value<T>(
        &self,
        entry: &Entry,
        faults: &mut Faults,
        read: impl Fn(&Value) -> Result<T, String>,
    ) -> Option<T> {
        match read(&entry.node.value) {
            Ok(value) => Some(value),
            Err(message) => {
                faults.push(entry.node.at, self.path_of(&entry.key), message);
                None
            }
        }
    }
}

/// `mapping` returns the entries of a mapping and reports another type.
pub(crate) fn mapping<'a>(
    node: &'a Node,
    path: &str,
    faults: &mut Faults,
) -> Option<&'a Vec<Entry>> {
    if let Value::Mapping(entries) = &node.value {
        return Some(entries);
    }
    let field = if path.is_empty() { "text" } else { path };
    let kind = node.value.kind();
    let message = format!("expected a mapping, found {kind}; write `name: value` lines");
    faults.push(node.at, field, message);
    None
}

/// `list` returns the items of a list and reports another type.
pub(crate) fn list<'a>(node: &'a Node, path: &str, faults: &mut Faults) -> Option<&'a Vec<Node>> {
    if let Value::List(items) = &node.value {
        return Some(items);
    }
    let kind = node.value.kind();
    let message = format!("expected a list, found {kind}; write `[a, b]`");
    faults.push(node.at, path, message);
    None
}

/// `repeated` is the message for a name that stands twice.
pub(crate) fn repeated(first: Position) -> String {
    format!(
        "repeated; it is already given at {}:{}, remove one of them",
        first.line, first.column
    )
}

/// `join` appends `name` to a field path.
pub(crate) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}
