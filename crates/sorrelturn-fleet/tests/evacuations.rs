//! Guards against evacuations that return to an older state.

use sorrelturn_fleet::Evacuations;

fn evacuations(revision: u64, domains: &[&str]) -> Evacuations {
    Evacuations {
        revision,
        domains: domains.iter().map(|domain| (*domain).to_owned()).collect(),
    }
}

#[test]
fn the_higher_revision_wins_whatever_the_order_of_arrival() {
    let updates = [
        evacuations(3, &["d1"]),
        evacuations(5, &["d1", "d2"]),
        evacuations(8, &["d2"]),
    ];
    for order in [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ] {
        let mut known = Evacuations::default();
        for index in order {
            known.merge(&updates[index]);
        }
        assert_eq!(known, updates[2], "{order:?}");
    }
}

#[test]
fn a_newer_revision_with_the_same_domains_changes_nothing() {
    let mut known = evacuations(3, &["d1"]);
    assert!(!known.merge(&evacuations(9, &["d1"])));
    assert!(!known.merge(&evacuations(8, &[])));
    assert!(known.merge(&evacuations(10, &[])));
}
