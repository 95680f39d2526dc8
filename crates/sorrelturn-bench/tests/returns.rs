//! What callers get that are refused at the entry and come back, in virtual time.
//!
//! As seen in these plays: callers were told about a second whatever pressed, were shed before nearly
//! all others when they came back, and the level took two seconds to fall after a surge of one second,
//! while slots stood half idle.

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
fn most_of_those_who_come_back_after_a_short_surge_are_served() {
    let normal = &play("x2 for 1 s")[0];
    let served = share(normal.came_back_served, normal.came_back);
    assert!(served > 0.5, "{served}");
    let good = share(normal.good_first, normal.asked);
    assert!(good > 0.63, "{good}");
}

#[test]
fn those_who_come_back_find_room_twice_as_often_in_a_long_surge() {
    let normal = &play("x2 for 5 s")[0];
    let served = share(normal.came_back_served, normal.came_back);
    assert!(served > 0.12, "{served}");
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
