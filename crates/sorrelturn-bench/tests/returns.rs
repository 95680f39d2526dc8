//! What callers get that are refused at the entry and come back, in virtual time.
//!
//! As seen in these plays: callers were told about a second, whatever pressed and for how long, and came
//! back into it.

use sorrelturn_bench::{PRESSINGS, PRODUCT, Returned, play_returns};

/// Adds up a few plays of a pressure.
fn play(name: &str) -> Vec<Returned> {
    let pressing = PRESSINGS.iter().find(|pressing| pressing.name == name);
    let mut sums = Vec::new();
    for seed in 0..3 {
        let played = play_returns(pressing.expect("it is listed"), seed, &PRODUCT);
        sums.resize(played.len(), Returned::default());
        for (sum, returned) in sums.iter_mut().zip(&played) {
            sum.add(returned);
        }
    }
    sums
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

#[test]
fn those_who_come_back_in_a_long_surge_find_room_more_often() {
    let normal = &play("x2 for 5 s")[0];
    let served = share(normal.came_back_served, normal.came_back);
    assert!(served > 0.03, "{served}");
    let normal = &play("x1.3 for 5 s")[0];
    let served = share(normal.came_back_served, normal.came_back);
    assert!(served > 0.13, "{served}");
}

#[test]
fn critical_callers_that_come_back_find_room_where_little_is_left() {
    let critical = &play("one of three instances left, 8 s")[2];
    let served = share(critical.came_back_served, critical.came_back);
    assert!(served > 0.25, "{served}");
}

#[test]
fn the_more_important_are_served_first_also_when_they_come_back() {
    let played = play("x3 for 5 s");
    let [normal, _, critical] = &played[..] else {
        panic!("three kinds");
    };
    let of_critical = share(critical.came_back_served, critical.came_back);
    let of_normal = share(normal.came_back_served, normal.came_back);
    assert!(of_critical > 2.0 * of_normal, "{of_critical} {of_normal}");
    assert!(critical.refused_after.iter().all(|after| after.is_zero()));
}
