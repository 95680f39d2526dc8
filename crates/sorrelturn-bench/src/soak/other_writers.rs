//! Entries that other clients write into the store during a soak, and that daemons have to ignore or outrank.

use super::{
    harness::{Harness, ROUTE_TABLE_KEY, START_TIMEOUT},
    plan::{Action, TimedAction},
};
use crate::other_writer;
use fastrand::Rng;
use sorrelturn_platform::{Platform, keys};
use sorrelturn_protocol::{MemberRecord, MemberState};
use std::sync::atomic::Ordering;

/// The pause between two entries.
const MAX_PAUSE_MS: u64 = 1_500;
/// Odd entries have as many names, so that some replace others.
const NAMES: u64 = 4;
/// By how much the version of a copy is above that of the route table.
const VERSIONS_AHEAD: u64 = 1_000;
const HOUR_MS: u64 = 3_600_000;
/// A port on which nothing listens.
const DEAD_PORT: u16 = 1;

/// An entry of another client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForeignEntry {
    /// Among the members, JSON that can't be parsed.
    OddMember(OddJson),
    /// Beside the route table, JSON that can't be parsed.
    OddNeighbour(OddJson),
    /// A copy of the route table with a higher version under another name.
    TableCopy,
    /// The record of a member that doesn't exist, whose name no path can hold.
    OddName,
    /// The record of a live daemon with other numbers.
    Record {
        /// The daemon's number.
        daemon: usize,
        /// What differs.
        change: RecordChange,
    },
}

/// JSON that libraries can't parse into values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OddJson {
    /// A number that is too large.
    Number,
    /// Half of a surrogate pair.
    Surrogate,
    /// Many levels.
    Nested,
    /// A record whose port is too large.
    Port,
}

const ODD_JSON: [OddJson; 4] = [
    OddJson::Number,
    OddJson::Surrogate,
    OddJson::Nested,
    OddJson::Port,
];

impl OddJson {
    fn text(self) -> String {
        const LEVELS: usize = 200;
        match self {
            Self::Number => r#"{"started_ms":1e400}"#.to_owned(),
            Self::Surrogate => r#"{"instance":"\ud800"}"#.to_owned(),
            Self::Nested => "[".repeat(LEVELS) + &"]".repeat(LEVELS),
            Self::Port => r#"{"peer_addr":"127.0.0.1:70000"}"#.to_owned(),
        }
    }
}

/// How a record differs from that of the live daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// It has the highest start.
    HighestStart,
    /// It has the highest sequence, and says that the daemon is gone.
    GoneWithHighestSequence,
    /// It starts later.
    LaterStart,
    /// It is of another incarnation, which starts later.
    OtherIncarnation,
}

const RECORD_CHANGES: [RecordChange; 4] = [
    RecordChange::HighestStart,
    RecordChange::GoneWithHighestSequence,
    RecordChange::LaterStart,
    RecordChange::OtherIncarnation,
];

impl RecordChange {
    fn apply_to(self, record: &mut MemberRecord) {
        match self {
            Self::HighestStart => record.started_ms = u64::MAX,
            Self::GoneWithHighestSequence => {
                record.sequence = u32::MAX;
                record.state = MemberState::Gone;
            }
            Self::LaterStart => delay_start(record),
            Self::OtherIncarnation => {
                record.incarnation.0 ^= 1;
                delay_start(record);
            }
        }
    }
}

/// The stored start may be the highest already, which another entry has left there.
fn delay_start(record: &mut MemberRecord) {
    record.started_ms = record.started_ms.saturating_add(HOUR_MS);
}

/// Adds entries of other clients. Records of live daemons are replaced only if `replaces_records`: a plan that kills daemons
/// would lose a leave that only the replaced record held.
pub(super) fn add_entries(
    rng: &mut Rng,
    seconds: u64,
    instances: usize,
    replaces_records: bool,
    actions: &mut Vec<TimedAction>,
) {
    let mut at_ms = 0;
    while at_ms < seconds * 1_000 {
        let odd = ODD_JSON[rng.usize(..ODD_JSON.len())];
        let entry = match rng.u8(..if replaces_records { 6 } else { 4 }) {
            0 => ForeignEntry::OddMember(odd),
            1 => ForeignEntry::OddNeighbour(odd),
            2 => ForeignEntry::TableCopy,
            3 => ForeignEntry::OddName,
            _ => ForeignEntry::Record {
                daemon: rng.usize(..instances),
                change: RECORD_CHANGES[rng.usize(..RECORD_CHANGES.len())],
            },
        };
        let action = Action::WriteEntry(entry);
        actions.push(TimedAction { at_ms, action });
        at_ms += rng.u64(50..MAX_PAUSE_MS);
    }
}

impl Harness {
    /// Writes an entry. During an outage of the store nothing is written.
    pub(super) async fn write_entry(&self, entry: ForeignEntry) {
        let (table_kind, _) = ROUTE_TABLE_KEY.rsplit_once('/').unwrap_or_default();
        let number = self.next_id.fetch_add(1, Ordering::Relaxed) % NAMES;
        let (key, json) = match entry {
            ForeignEntry::OddMember(odd) => (format!("{}odd-{number}", keys::MEMBERS), odd.text()),
            ForeignEntry::OddNeighbour(odd) => (format!("{table_kind}/odd-{number}"), odd.text()),
            ForeignEntry::TableCopy => {
                let version = self.version.load(Ordering::Relaxed) + VERSIONS_AHEAD;
                let table = (self.target.table)(version);
                (format!("{table_kind}/copy-{number}"), table)
            }
            ForeignEntry::OddName => {
                let Some(mut record) = self.stored_record(0).await else {
                    return;
                };
                record.instance = format!("odd name {number}");
                record.incarnation.0 ^= 1;
                record.control_addr.set_port(DEAD_PORT);
                record.peer_addr.set_port(DEAD_PORT);
                (keys::member(&record.instance), to_json(&record))
            }
            ForeignEntry::Record { daemon, change } => {
                let Some(mut record) = self.stored_record(daemon).await else {
                    return;
                };
                change.apply_to(&mut record);
                (keys::member(&record.instance), to_json(&record))
            }
        };
        let written = other_writer::write_json(self.platform, &key, &json, START_TIMEOUT).await;
        if let Err(error) = written {
            log::info!("{key} isn't written: {error}");
        }
    }

    /// Returns the record of a daemon in the store, if it can be read.
    async fn stored_record(&self, daemon: usize) -> Option<MemberRecord> {
        let key = keys::member(&self.daemons[daemon].settings.instance);
        let platform = Platform::new(self.platform, START_TIMEOUT);
        let stored = platform.get(&key).await.ok().flatten()?;
        serde_json::from_str(&stored.value).ok()
    }
}

fn to_json(record: &MemberRecord) -> String {
    serde_json::to_string(record).expect("a record is JSON")
}
