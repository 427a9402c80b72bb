//! Parses YAML into a tree that keeps the position of every value.

use std::fmt;

use serde::Deserialize;
use serde::de;
use serde_saphyr::Spanned;
use serde_saphyr::options::{DuplicateKeyPolicy, MergeKeyPolicy};
use shallothill_core::config::Fault;

/// `DEPTH_MAX` bounds the nesting of values; the format needs five levels.
const DEPTH_MAX: usize = 16;
/// `NODES_MAX` bounds the values in a document; 100,000 callers need about 700,000.
const NODES_MAX: usize = 2_000_000;
/// `ALIASES_MAX` bounds the uses of anchors, because aliases multiply the size of the document.
const ALIASES_MAX: usize = 1_000;

/// `Position` is a line and a column of the text, both from 1; 0 means that it is unknown.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Position {
    pub(crate) line: u32,
    pub(crate) column: u32,
}

impl From<serde_saphyr::Location> for Position {
    fn from(location: serde_saphyr::Location) -> Self {
        Self {
            line: u32::try_from(location.line()).unwrap_or(u32::MAX),
            column: u32::try_from(location.column()).unwrap_or(u32::MAX),
        }
    }
}

/// `Entry` is one key of a mapping with its value; `at` is the position of the key.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) at: Position,
    pub(crate) node: Node,
}

/// `Value` is a YAML value; mappings keep the order of the text and repeated keys.
#[derive(Debug)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Integer(i128),
    Float(f64),
    Text(String),
    List(Vec<Node>),
    Mapping(Vec<Entry>),
}

impl Value {
    /// `kind` returns the type of the value in words, for fault messages.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Null => "nothing",
            Self::Bool(_) => "true or false",
            Self::Integer(_) => "a number",
            Self::Float(_) => "a number with a fraction",
            Self::Text(_) => "text",
            Self::List(_) => "a list",
            Self::Mapping(_) => "a mapping",
        }
    }
}

/// `Node` is a YAML value with the position where it starts.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) at: Position,
    pub(crate) value: Value,
}

impl Node {
    /// `with_rounded_numbers` rounds the numbers with a fraction to three decimals.
    pub(crate) fn with_rounded_numbers(self) -> Self {
        let value = match self.value {
            Value::Float(x) => Value::Float((x * 1000.0).round() / 1000.0),
            Value::List(items) => {
                Value::List(items.into_iter().map(Self::with_rounded_numbers).collect())
            }
            Value::Mapping(entries) => {
                let rounded = entries.into_iter().map(|e| Entry {
                    node: e.node.with_rounded_numbers(),
                    ..e
                });
                Value::Mapping(rounded.collect())
            }
            other => other,
        };
        Self { value, ..self }
    }
}

/// `parse_yaml` parses one YAML document and fails with the first syntax error.
pub(crate) fn parse_yaml(text: &str) -> Result<Node, Fault> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_depth: DEPTH_MAX,
            max_nodes: NODES_MAX,
            max_events: 2 * NODES_MAX,
            max_aliases: ALIASES_MAX,
            max_documents: 1,
        },
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        merge_keys: MergeKeyPolicy::Error,
        with_snippet: false,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|e| {
        let at = e.location().map(Position::from).unwrap_or_default();
        Fault {
            line: at.line,
            column: at.column,
            field: String::from("text"),
            message: format!("the text is not valid YAML: {e}; correct it at this place"),
        }
    })
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Value>::deserialize(deserializer)?;
        Ok(Self {
            at: spanned.referenced.into(),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> de::Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Value, E> {
        Ok(Value::Integer(value))
    }

    fn visit_u128<E>(self, value: u128) -> Result<Value, E> {
        Ok(Value::Integer(i128::try_from(value).unwrap_or(i128::MAX)))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(value.to_owned()))
    }

    fn visit_string<E>(self, value: String) -> Result<Value, E> {
        Ok(Value::Text(value))
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Value::List(items))
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            entries.push(Entry {
                key: key.value,
                at: key.referenced.into(),
                node: map.next_value()?,
            });
        }
        Ok(Value::Mapping(entries))
    }
}
