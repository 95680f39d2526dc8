//! The example bundles, embedded so that the demo needs no file.

use sorrelturn_bundle::{BundleSource, parse};

const PROTOKOLS: &str = include_str!("../../../bundles/protokols-riga.jsonc");
const DALAQYZ: &str = include_str!("../../../bundles/dalaqyz-soft.jsonc");

/// The bundle of one of the deployments: `protokols-riga` or `dalaqyz-soft`.
pub fn example_bundle(name: &str) -> BundleSource {
    let text = match name {
        "dalaqyz-soft" => DALAQYZ,
        _ => PROTOKOLS,
    };
    parse(name, text).expect("the examples are tested")
}
