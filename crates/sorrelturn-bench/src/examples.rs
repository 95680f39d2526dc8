//! The example bundles, embedded so that the demo does not depend on files.

use sorrelturn_bundle::{BundleSource, parse};

const PROTOKOLS: &str = include_str!("../../../bundles/protokols-riga.jsonc");
const DALAQYZ: &str = include_str!("../../../bundles/dalaqyz-soft.jsonc");

/// The bundle of a deployment: `dalaqyz-soft`, or `protokols-riga` for any other name.
pub fn example_bundle(name: &str) -> BundleSource {
    let text = match name {
        "dalaqyz-soft" => DALAQYZ,
        _ => PROTOKOLS,
    };
    parse(name, text).expect("the embedded examples are valid")
}
