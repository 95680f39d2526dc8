//! Objects in JSON whose values are not parsed yet. See `docs/design/unknown-entries.md`.

use serde::{
    Deserialize, Deserializer,
    de::{DeserializeOwned, Error, MapAccess, Visitor},
};
use serde_json::value::RawValue;
use std::{collections::BTreeMap, fmt};

/// The fields of an object by name. Numbers, texts and depths that can't be parsed stay within their field, and so does a
/// name that isn't Unicode.
#[derive(Debug, Default)]
pub(crate) struct RawFields(BTreeMap<String, Box<RawValue>>);

impl RawFields {
    /// Returns whether there is a field of this name.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// Parses a field; returns `None` if it is absent or can't be parsed.
    pub(crate) fn parse<T: DeserializeOwned>(&self, name: &str) -> Option<T> {
        serde_json::from_str(self.0.get(name)?.get()).ok()
    }

    /// Removes a field and returns its JSON.
    pub(crate) fn remove(&mut self, name: &str) -> Option<Box<RawValue>> {
        self.0.remove(name)
    }
}

impl IntoIterator for RawFields {
    type Item = (String, Box<RawValue>);
    type IntoIter = std::collections::btree_map::IntoIter<String, Box<RawValue>>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl<'de> Deserialize<'de> for RawFields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = RawFields;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields = BTreeMap::new();
        while let Some(Name(name)) = map.next_key()? {
            fields.insert(name, map.next_value()?);
        }
        Ok(RawFields(fields))
    }
}

/// The name of a field. What isn't Unicode in it is replaced, and the bytes are added, so that it differs from other names.
struct Name(String);

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(NameVisitor)
    }
}

struct NameVisitor;

impl Visitor<'_> for NameVisitor {
    type Value = Name;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a name")
    }

    fn visit_str<E: Error>(self, name: &str) -> Result<Name, E> {
        Ok(Name(name.to_owned()))
    }

    fn visit_bytes<E: Error>(self, name: &[u8]) -> Result<Name, E> {
        Ok(Name(match std::str::from_utf8(name) {
            Ok(name) => name.to_owned(),
            Err(_) => format!("{} {name:02x?}", String::from_utf8_lossy(name)),
        }))
    }
}
