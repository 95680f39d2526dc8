//! Example deployments scaled down to one machine, with their load and calculated capacity.

use crate::{FleetPlan, capacity::Capacity, examples::example_bundle, plan::concrete_path};
use sorrelturn_bundle::{Bundle, BundleSource, Execution};
use sorrelturn_protocol::Importance;
use std::collections::BTreeMap;

/// Slots and connections are divided by this, so that one machine can run all instances.
const SLOT_DIVISOR: u32 = 4;
/// The execution time of a repeatable kind, and of one that runs at most once.
const READ_WORK_MS: f64 = 40.0;
const WRITE_WORK_MS: f64 = 75.0;

/// A kind of root request in a mix.
#[derive(Clone, Debug, PartialEq)]
pub struct MixPart {
    /// The kind's name.
    pub kind: String,
    /// The HTTP method.
    pub method: String,
    /// A concrete path.
    pub path: String,
    /// Its importance.
    pub importance: Importance,
    /// Whether it runs at most once.
    pub at_most_once: bool,
    /// Its share in all root requests, from 0 to 1.
    pub share: f64,
}

/// A deployment with its load.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The fleet.
    pub fleet: FleetPlan,
    /// The mix of root requests.
    pub mix: Vec<MixPart>,
    /// The capacity in root requests per second, calculated from slots and execution times.
    pub capacity: f64,
    /// The service that the scenarios slow down.
    pub deep_service: &'static str,
    indexed: Bundle,
    instance_counts: BTreeMap<String, usize>,
}

impl Workload {
    /// The workload of an example deployment, by the name of its bundle.
    pub fn for_deployment(name: &str) -> Self {
        let is_protokols = name != "dalaqyz-soft";
        let mut bundle = example_bundle(name);
        for service in bundle.services.values_mut() {
            service.slots = (service.slots / SLOT_DIVISOR).max(2);
            service.connections /= SLOT_DIVISOR;
            service.cold_start_ms = 1;
        }
        let (instances, domains, shares, deep): (&[_], [&str; 3], &[_], _) = if is_protokols {
            (
                &[
                    ("archive", 5),
                    ("certification", 4),
                    ("audio", 3),
                    ("scheduling", 3),
                ],
                ["riga-a", "riga-b", "riga-c"],
                &[
                    ("transcript-open", 0.44),
                    ("transcript-list", 0.20),
                    ("certificate-verify", 0.12),
                    ("calendar-view", 0.08),
                    ("audio-pack", 0.10),
                    ("certificate-issue", 0.05),
                    ("stenographer-book", 0.01),
                ],
                "certification",
            )
        } else {
            (
                &[
                    ("portal", 5),
                    ("billing", 3),
                    ("statements", 3),
                    ("dispatch", 3),
                ],
                ["kz-north-a", "kz-north-b", "kz-north-c"],
                &[
                    ("balance-view", 0.60),
                    ("crew-status", 0.08),
                    ("statement-archive", 0.12),
                    ("tariff-pay", 0.15),
                    ("valve-shutoff", 0.05),
                ],
                "statements",
            )
        };
        let work_ms = work_ms_by_kind(&bundle);
        let indexed = Bundle::new(1, bundle.clone());
        let mix: Vec<MixPart> = shares
            .iter()
            .filter_map(|(name, share)| mix_part(&indexed, name, *share))
            .collect();
        let instance_counts = instances
            .iter()
            .map(|(service, count)| ((*service).to_owned(), *count))
            .collect();
        let mut fleet = FleetPlan::new(bundle, instances, &domains, &[]);
        fleet.work_ms = work_ms;
        let mut workload = Self {
            fleet,
            mix,
            capacity: 0.0,
            deep_service: deep,
            indexed,
            instance_counts,
        };
        workload.capacity = workload.slot_capacity(1.0).max_rate(&workload.mix);
        workload
    }

    /// The maximum good answers per second by importance, if `rate` root requests per second are sent, more
    /// important ones go first, and the deep service is slower by `slow_factor`.
    pub fn max_goodput(&self, rate: f64, slow_factor: f64) -> BTreeMap<Importance, f64> {
        self.slot_capacity(slow_factor).max_goodput(&self.mix, rate)
    }

    fn slot_capacity(&self, slow_factor: f64) -> Capacity<'_> {
        Capacity {
            bundle: &self.indexed,
            instances: &self.instance_counts,
            work_ms: &self.fleet.work_ms,
            slow: (self.deep_service, slow_factor),
        }
    }

    /// Picks a random kind of root request according to the shares.
    pub fn random_kind(&self, rng: &mut fastrand::Rng) -> &MixPart {
        let mut remaining = rng.f64();
        for part in &self.mix {
            remaining -= part.share;
            if remaining < 0.0 {
                return part;
            }
        }
        &self.mix[0]
    }
}

fn work_ms_by_kind(bundle: &BundleSource) -> BTreeMap<String, f64> {
    bundle
        .services
        .values()
        .flat_map(|service| &service.kinds)
        .map(|(name, kind)| {
            let is_write = kind.execution == Execution::AtMostOnce;
            (
                name.clone(),
                if is_write {
                    WRITE_WORK_MS
                } else {
                    READ_WORK_MS
                },
            )
        })
        .collect()
}

fn mix_part(bundle: &Bundle, name: &str, share: f64) -> Option<MixPart> {
    let kind = bundle.kind(name)?;
    Some(MixPart {
        kind: name.to_owned(),
        method: kind.kind.method.clone(),
        path: concrete_path(&kind.kind.path, "7"),
        importance: kind.kind.importance,
        at_most_once: kind.at_most_once(),
        share,
    })
}
