//! How much of each kind of request is refused, among kinds of one rank that share slots.
//! See `docs/design/entry-admission.md`.

use crate::Now;
use std::time::Duration;

/// The largest share of a kind that is refused for the sake of cheaper ones.
const MOST_FOR_OTHERS: f64 = 0.3;
/// The arrivals of a kind at one entry are smoothed over about this time: the rarest of them come twice a second.
const RATE_TIME: Duration = Duration::from_secs(5);
/// An announced cost counts for one part in so many.
const COST_SMOOTHED_OVER: f64 = 16.0;

/// What an entry knows of one kind: how much of it arrives, and what one request takes of the slots that bind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindLoad {
    /// Arrivals, each of which fades.
    arrivals: f64,
    counted_at: Now,
    cost: f64,
}

impl KindLoad {
    /// A request of this kind arrived.
    pub fn arrived(&mut self, now: Now) {
        self.arrivals = self.arrivals_at(now) + 1.0;
        self.counted_at = now;
    }

    /// An answer tells what a request of this kind takes of the slots that bind, in any unit that is the same for
    /// all.
    pub fn costs(&mut self, cost: f64) {
        if self.cost == 0.0 {
            self.cost = cost;
        }
        self.cost += (cost - self.cost) / COST_SMOOTHED_OVER;
    }

    /// What one request takes, as learnt so far.
    pub fn cost(&self) -> f64 {
        self.cost
    }

    fn arrivals_at(&self, now: Now) -> f64 {
        let passed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.arrivals * (-passed / RATE_TIME.as_secs_f64()).exp()
    }

    /// What it takes of the slots in all, and what one request takes.
    fn load_at(&self, now: Now) -> (f64, f64) {
        (self.arrivals_at(now) * self.cost, self.cost)
    }
}

/// The share of one kind that is refused, `kinds[at]`, where `of_load` of what the kinds of its rank take of the slots
/// has to be refused.
///
/// Those are refused first that take most of the slots each: where a request of 0.48 s and one of 0.12 s are alike
/// important, refusing one of the first serves four of the second. The share grows with the square of what a request
/// takes, so that kinds that take nearly the same are refused nearly alike.
pub fn refused_share(kinds: &[KindLoad], at: usize, of_load: f64, now: Now) -> f64 {
    let loads: Vec<(f64, f64)> = kinds.iter().map(|kind| kind.load_at(now)).collect();
    let all: f64 = loads.iter().map(|(load, _)| load).sum();
    let of_all = |load: f64| load * of_load;
    if all <= 0.0 || loads[at].1 <= 0.0 {
        return of_load;
    }
    let wanted = of_all(all);
    if wanted >= all * MOST_FOR_OTHERS {
        return of_load;
    }
    // Each round finds the kinds that have given all that they may; the rest share what is left.
    let mut given_all = vec![false; loads.len()];
    for _ in 0..loads.len() {
        let given = sum_where(&loads, &given_all, true, |load, _| load * MOST_FOR_OTHERS);
        let weights = sum_where(&loads, &given_all, false, |load, cost| load * cost * cost);
        if weights <= 0.0 {
            return of_load.max(MOST_FOR_OTHERS);
        }
        let scale = (wanted - given).max(0.0) / weights;
        let mut found = false;
        for (given_all, (_, cost)) in given_all.iter_mut().zip(&loads) {
            let more = !*given_all && scale * cost * cost > MOST_FOR_OTHERS;
            *given_all |= more;
            found |= more;
        }
        if given_all[at] {
            return MOST_FOR_OTHERS;
        }
        if !found {
            return scale * loads[at].1 * loads[at].1;
        }
    }
    of_load
}

fn sum_where(
    loads: &[(f64, f64)],
    given_all: &[bool],
    wanted: bool,
    count: impl Fn(f64, f64) -> f64,
) -> f64 {
    let pairs = loads.iter().zip(given_all);
    let counted = pairs.filter(|(_, given_all)| **given_all == wanted);
    counted.map(|((load, cost), _)| count(*load, *cost)).sum()
}
