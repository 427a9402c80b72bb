//! Parses the fields of one mapping and reports unknown, repeated and missing ones.

use std::collections::BTreeMap;

use crate::faults::Faults;
use crate::node::{Entry, Node, Position, Value};

/// `Fields` holds the accepted fields of one mapping.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    /// The position of the mapping's key, for faults that concern no single field.
    pub(crate) at: Position,
    /// The path of the mapping, such as `services.courier`; empty for the document.
    pub(crate) path: String,
    by_name: BTreeMap<&'a str, &'a Entry>,
}

impl<'a> Fields<'a> {
    /// `parse` returns the fields of `node` whose names are in `accepted`, and reports unknown and
    /// repeated ones. It reports a fault and returns `None` if `node` is not a mapping.
    pub(crate) fn parse(
        node: &'a Node,
        at: Position,
        path: String,
        accepted: &[&str],
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
            if !accepted.contains(&entry.key.as_str()) {
                let accepted = accepted.join(", ");
                let message = format!("unknown field; remove it or use one of: {accepted}");
                faults.push(entry.at, field, message);
            } else if let Some(first) = fields.by_name.get(entry.key.as_str()) {
                faults.push(entry.at, field, repeated_message(first.at));
            } else {
                fields.by_name.insert(&entry.key, entry);
            }
        }
        Some(fields)
    }

    /// `path_of` returns the path of the field `name` from the root of the document.
    pub(crate) fn path_of(&self, name: &str) -> String {
        join(&self.path, name)
    }

    /// `get` returns the field `name`, or `None` if it is absent or has a null value.
    pub(crate) fn get(&self, name: &str) -> Option<&'a Entry> {
        let entry = self.by_name.get(name).copied();
        entry.filter(|e| !matches!(e.node.value, Value::Null))
    }

    /// `position` returns the position of the field's value, or of the mapping if it is absent.
    pub(crate) fn position(&self, name: &str) -> Position {
        self.by_name.get(name).map_or(self.at, |e| e.node.at)
    }

    /// `required_entry` returns the field `name`, or reports a fault if it is absent.
    pub(crate) fn required_entry(&self, name: &str, faults: &mut Faults) -> Option<&'a Entry> {
        let found = self.get(name);
        if found.is_none() {
            let message = "this field is missing; add it";
            faults.push(self.position(name), self.path_of(name), message);
        }
        found
    }

    /// `required` parses a field that must be present; `None` means that a fault was reported.
    pub(crate) fn required<T>(
        &self,
        name: &str,
        faults: &mut Faults,
        parse: impl Fn(&Value) -> Result<T, String>,
    ) -> Option<T> {
        let entry = self.required_entry(name, faults)?;
        self.parse_value(entry, faults, parse)
    }

    /// `optional` parses a field that may be absent; `None` means that a fault was reported.
    pub(crate) fn optional<T>(
        &self,
        name: &str,
        faults: &mut Faults,
        parse: impl Fn(&Value) -> Result<T, String>,
    ) -> Option<Option<T>> {
        match self.get(name) {
            Some(entry) => self.parse_value(entry, faults, parse).map(Some),
            None => Some(None),
        }
    }

    fn parse_value<T>(
        &self,
        entry: &Entry,
        faults: &mut Faults,
        parse: impl Fn(&Value) -> Result<T, String>,
    ) -> Option<T> {
        match parse(&entry.node.value) {
            Ok(value) => Some(value),
            Err(message) => {
                faults.push(entry.node.at, self.path_of(&entry.key), message);
                None
            }
        }
    }
}

/// `mapping` returns the entries of `node`, or reports a fault if it is not a mapping.
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

/// `list` returns the items of `node`, or reports a fault if it is not a list.
pub(crate) fn list<'a>(node: &'a Node, path: &str, faults: &mut Faults) -> Option<&'a Vec<Node>> {
    if let Value::List(items) = &node.value {
        return Some(items);
    }
    let kind = node.value.kind();
    let message = format!("expected a list, found {kind}; write `[a, b]`");
    faults.push(node.at, path, message);
    None
}

/// `repeated_message` returns the message for a name that occurs again; `first` is where it occurs
/// first.
pub(crate) fn repeated_message(first: Position) -> String {
    format!(
        "repeated; it is already given at {}:{}, remove one of them",
        first.line, first.column
    )
}

/// `join` appends `name` to a field path, which is empty for the document.
pub(crate) fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}
