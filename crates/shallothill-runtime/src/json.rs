//! JSON messages of others, which are read by the names of their fields only.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};

/// `parse_object` parses a JSON object.
///
/// Fails for invalid JSON, for fields that are missing or of a wrong type, and for a list, which
/// serde also takes for a struct, with any of its items for any field.
pub fn parse_object<'a, T: Deserialize<'a>>(body: &'a [u8]) -> serde_json::Result<T> {
    let mut d = serde_json::Deserializer::from_slice(body);
    let value = object(&mut d)?;
    d.end()?;
    Ok(value)
}

/// `object` deserializes a field that must be an object; see [`parse_object`].
///
/// Fails for everything else.
pub fn object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(d: D) -> Result<T, D::Error> {
    d.deserialize_map(ObjectVisitor(PhantomData))
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<T, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map))
    }
}
