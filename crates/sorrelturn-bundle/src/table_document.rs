//! Parses a route table entry by entry, so that one that can't be parsed doesn't affect the others.
//! See `docs/design/unknown-entries.md`.

use crate::raw_fields::RawFields;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// A section of a route table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TableSection {
    /// The routes.
    Routes,
    /// The services that routes refer to.
    Services,
    /// Size and time limits.
    Limits,
    /// The workspaces.
    Workspaces,
}

impl TableSection {
    /// Returns the name of the section's field.
    pub fn name(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Services => "services",
            Self::Limits => "limits",
            Self::Workspaces => "workspaces",
        }
    }
}

/// An entry of a route table that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedEntry {
    /// The section that holds the entry.
    pub section: TableSection,
    /// The name of the entry; empty if the whole section can't be used.
    pub name: String,
    /// Why it can't be used.
    pub reason: String,
    /// The host of a route, if it can be parsed.
    #[serde(default)]
    pub host: Option<String>,
    /// The path prefix of a route, if it can be parsed.
    #[serde(default)]
    pub path_prefix: Option<String>,
}

impl RejectedEntry {
    pub(crate) fn new(section: TableSection, name: &str, reason: String) -> Self {
        Self {
            section,
            name: name.to_owned(),
            reason,
            host: None,
            path_prefix: None,
        }
    }
}

/// A route table in JSON whose entries are not parsed yet.
pub struct TableDocument {
    version: u64,
    sections: RawFields,
    rejected: Vec<RejectedEntry>,
}

impl TableDocument {
    /// Parses the outline of a table. Fails if the text is not a JSON object with a version, since
    /// a table without one can't be ordered among the others.
    pub fn parse(text: &str) -> Result<Self, String> {
        let sections: RawFields = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let version = sections.parse("version");
        let version = version.ok_or("the version is missing or not a whole number")?;
        Ok(Self {
            version,
            sections,
            rejected: Vec::new(),
        })
    }

    /// Returns the version of the table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes over the entries that another daemon rejected before it passed the table on.
    pub(crate) fn take_over_rejected(&mut self) {
        let rejected: Option<Vec<Box<RawValue>>> = self.sections.parse("rejected");
        let rejected = rejected.into_iter().flatten();
        self.rejected
            .extend(rejected.filter_map(|entry| serde_json::from_str(entry.get()).ok()));
    }

    /// Parses the entries of a section, and rejects those that can't be parsed. Workspaces are
    /// optional; any other absent section is rejected.
    pub fn section<T: DeserializeOwned, U>(
        &mut self,
        section: TableSection,
        convert: impl Fn(T) -> U,
    ) -> BTreeMap<String, U> {
        let is_absent = !self.sections.contains(section.name());
        let entries: RawFields = match self.sections.parse(section.name()) {
            Some(entries) => entries,
            None if is_absent && section == TableSection::Workspaces => return BTreeMap::new(),
            None => {
                let reason = "the section is missing or not an object".to_owned();
                self.rejected.push(RejectedEntry::new(section, "", reason));
                return BTreeMap::new();
            }
        };
        let mut parsed = BTreeMap::new();
        for (name, value) in entries {
            match serde_json::from_str(value.get()) {
                Ok(entry) => {
                    parsed.insert(name, convert(entry));
                }
                Err(error) => {
                    let mut rejected = RejectedEntry::new(section, &name, error.to_string());
                    if let Ok(fields) = serde_json::from_str::<RawFields>(value.get()) {
                        rejected.host = fields.parse("host");
                        rejected.path_prefix = fields.parse("path_prefix");
                    }
                    self.rejected.push(rejected);
                }
            }
        }
        parsed
    }

    /// Parses the limits. If they are absent or can't be parsed, the defaults apply.
    pub fn limits<T: DeserializeOwned, U: Default>(&mut self, convert: impl Fn(T) -> U) -> U {
        let section = TableSection::Limits;
        let Some(value) = self.sections.remove(section.name()) else {
            return U::default();
        };
        match serde_json::from_str(value.get()) {
            Ok(limits) => convert(limits),
            Err(error) => {
                let rejected = RejectedEntry::new(section, "", error.to_string());
                self.rejected.push(rejected);
                U::default()
            }
        }
    }

    /// Returns the entries that were rejected.
    pub fn into_rejected(self) -> Vec<RejectedEntry> {
        self.rejected
    }
}
