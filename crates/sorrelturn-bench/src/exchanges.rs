//! Many concurrent exchanges past faults and callers that go away, each answer checked to be the
//! whole answer to its own request.

use crate::{client::Expected, fleet::LocalFleet, plan::Fault};
use bytes::Bytes;
use hyper::Request;
use smol::lock::Semaphore;
use std::{sync::Arc, time::Duration};

/// Requests after which each backend server goes on to the next fault.
const REQUESTS_A_FAULT: u32 = 200;
/// What backend servers play by turns.
const FAULTS: [Fault; 5] = [
    Fault::None,
    Fault::None,
    Fault::BreaksInBody,
    Fault::None,
    Fault::BreaksBeforeHead,
];
/// One caller in so many goes away at once or a little later.
const LEAVERS: u32 = 5;
/// The longest time that such a caller waits, in milliseconds, and one more.
const PATIENCE_MS: u32 = 7;
/// The smallest answer, in bytes.
const LEAST_BYTES: usize = 10;
/// Spreads the sizes of answers over all up to the largest.
const SIZE_STEP: usize = 37;

/// How many exchanges to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeConfig {
    /// Requests in all.
    pub count: u32,
    /// Requests that are under way at once.
    pub concurrency: usize,
    /// Answers are smaller than this, in bytes.
    pub body_size_range_bytes: usize,
}

/// What came of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExchangeCounts {
    /// Whole answers to the own request.
    pub good: u32,
    /// Refusals, failures and answers that broke off and were told as broken.
    pub failed: u32,
    /// Callers that went away.
    pub left: u32,
    /// Answers to another request, or cut and given as whole. Must be 0.
    pub wrong: u32,
}

enum End {
    Good,
    Failed,
    Left,
    Wrong,
}

/// Sends `GET /k0/7` through the daemons in turn.
pub async fn exchange_many(fleet: &LocalFleet, exchanges: ExchangeConfig) -> ExchangeCounts {
    let places = Arc::new(Semaphore::new(exchanges.concurrency));
    let mut tasks = Vec::new();
    let mut counts = ExchangeCounts::default();
    for number in 0..exchanges.count {
        if number % REQUESTS_A_FAULT == 0 {
            next_faults(fleet, number / REQUESTS_A_FAULT);
            for task in std::mem::take(&mut tasks) {
                counts.add(task.await);
            }
        }
        let place = places.acquire_arc().await;
        let caller = fleet.caller(number as usize % fleet.daemons.len());
        tasks.push(fleet.ex.spawn(async move {
            let end = one(caller, number, exchanges.body_size_range_bytes).await;
            drop(place);
            end
        }));
    }
    for task in tasks {
        counts.add(task.await);
    }
    counts
}

fn next_faults(fleet: &LocalFleet, turn: u32) {
    for (at, backend) in fleet.backends.iter().enumerate() {
        let fault = FAULTS[(turn as usize + 2 * at) % FAULTS.len()];
        backend.change_plan(|plan| plan.fault = fault);
    }
}

async fn one(caller: crate::Client, number: u32, body_size_range_bytes: usize) -> End {
    let expected = Expected {
        echo: format!("request {number}"),
    };
    let bytes = LEAST_BYTES + (number as usize * SIZE_STEP) % body_size_range_bytes;
    let req = Request::get(format!("/k0/7?bytes={bytes}")).body(Bytes::new());
    let req = req.expect("a request");
    if number.is_multiple_of(LEAVERS) {
        let patience = Duration::from_millis(u64::from(number % PATIENCE_MS));
        let _ = caller.send_within(req, Some(&expected), patience).await;
        return End::Left;
    }
    match caller.send(req, Some(&expected)).await {
        Ok(answer) if answer.wrong => End::Wrong,
        Ok(answer) if answer.status == 200 => End::Good,
        _ => End::Failed,
    }
}

impl ExchangeCounts {
    fn add(&mut self, end: End) {
        let count = match end {
            End::Good => &mut self.good,
            End::Failed => &mut self.failed,
            End::Left => &mut self.left,
            End::Wrong => &mut self.wrong,
        };
        *count += 1;
    }
}
