//! Calculates the capacity of a fleet from the slots in the bundle and the execution times of the kinds.
//!
//! A slot is held while nested calls run, so a kind holds its service's slot for its own work and that of its
//! nested calls. Queues, network and refusals are ignored: the results are upper bounds.

use crate::workload::MixPart;
use sorrelturn_bundle::Bundle;
use sorrelturn_protocol::Importance;
use std::collections::BTreeMap;

/// The fraction of a kind's rate that is added in one step of [`Capacity::max_goodput`].
const STEP_FRACTION: f64 = 0.01;

/// The slots of a fleet and the execution times at its backend servers.
pub struct Capacity<'a> {
    pub bundle: &'a Bundle,
    pub instances: &'a BTreeMap<String, usize>,
    pub work_ms: &'a BTreeMap<String, f64>,
    /// A service and its slowdown factor.
    pub slow: (&'a str, f64),
}

/// Slots in use by service.
type SlotUsage = BTreeMap<String, f64>;

impl Capacity<'_> {
    /// The maximum rate of a mix that the slots allow, in root requests per second.
    pub fn max_rate(&self, mix: &[MixPart]) -> f64 {
        let mut usage = SlotUsage::new();
        for part in mix {
            self.add_slot_usage(&part.kind, part.share, &mut usage);
        }
        usage
            .iter()
            .map(|(service, slots)| self.slots(service) / slots)
            .fold(f64::INFINITY, f64::min)
    }

    /// The maximum good answers per second by importance, if `rate` root requests per second are sent and more
    /// important ones go first. Kinds of one importance get the same share until one of their services is full.
    pub fn max_goodput(&self, mix: &[MixPart], rate: f64) -> BTreeMap<Importance, f64> {
        let mut usage = SlotUsage::new();
        let mut good = BTreeMap::new();
        let mut importances: Vec<Importance> = mix.iter().map(|part| part.importance).collect();
        importances.sort_unstable();
        importances.dedup();
        for importance in importances.into_iter().rev() {
            let parts = mix.iter().filter(|part| part.importance == importance);
            let parts: Vec<&MixPart> = parts.collect();
            good.insert(importance, self.fill(&parts, rate, &mut usage));
        }
        good
    }

    fn fill(&self, parts: &[&MixPart], rate: f64, usage: &mut SlotUsage) -> f64 {
        let mut unfilled: Vec<&MixPart> = parts.to_vec();
        let mut good = 0.0;
        for _ in 0..(1.0 / STEP_FRACTION).round() as u32 {
            unfilled.retain(|part| {
                let step_rate = part.share * rate * STEP_FRACTION;
                let mut with_step = usage.clone();
                self.add_slot_usage(&part.kind, step_rate, &mut with_step);
                let fits = with_step
                    .iter()
                    .all(|(service, slots)| *slots <= self.slots(service));
                if fits {
                    *usage = with_step;
                    good += step_rate;
                }
                fits
            });
        }
        good
    }

    fn slots(&self, service: &str) -> f64 {
        let slots = self
            .bundle
            .service(service)
            .map_or(0, |service| service.slots);
        let instances = self.instances.get(service).copied().unwrap_or(0);
        f64::from(slots) * instances as f64
    }

    /// Returns the time that one request holds its slot, in seconds.
    fn add_slot_usage(&self, kind: &str, rate: f64, usage: &mut SlotUsage) -> f64 {
        let Some(entry) = self.bundle.kind(kind) else {
            return 0.0;
        };
        let work_ms = self.work_ms.get(kind).copied().unwrap_or(1.0);
        let (slow_service, slow) = self.slow;
        let slow = if entry.service == slow_service {
            slow
        } else {
            1.0
        };
        let mut seconds = work_ms * slow / 1000.0;
        for (child, count) in &entry.kind.calls {
            let count = f64::from(*count);
            seconds += count * self.add_slot_usage(child, rate * count, usage);
        }
        *usage.entry(entry.service.clone()).or_default() += rate * seconds;
        seconds
    }
}
