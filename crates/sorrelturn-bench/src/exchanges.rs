//! Makes many concurrent exchanges with failing backend servers and disconnecting callers, and
//! checks that each answer is complete and belongs to its request.

use crate::{client::Expected, fleet::LocalFleet, plan::Fault};
use bytes::Bytes;
use hyper::Request;
use smol::lock::Semaphore;
use std::{sync::Arc, time::Duration};

/// The number of requests after which each backend server switches to its next fault.
const REQUESTS_PER_FAULT: u32 = 200;
const FAULTS: [Fault; 5] = [
    Fault::None,
    Fault::None,
    Fault::BreaksInBody,
    Fault::None,
    Fault::BreaksBeforeHead,
];
/// One in this many callers disconnects within [`DISCONNECT_TIMEOUT_BOUND_MS`].
const DISCONNECT_EVERY: u32 = 5;
/// Callers that disconnect do so after less than this.
const DISCONNECT_TIMEOUT_BOUND_MS: u32 = 7;
const MIN_BODY_BYTES: usize = 10;
/// The difference between the body sizes of successive requests, before it wraps around.
const BODY_SIZE_STEP_BYTES: usize = 37;

/// How many exchanges [`exchange_many`] makes, and of which size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeConfig {
    /// The total number of requests.
    pub count: u32,
    /// The maximum number of requests in flight.
    pub concurrency: usize,
    /// The width of the range of requested body sizes, in bytes.
    pub body_size_range_bytes: usize,
}

/// The number of exchanges by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExchangeCounts {
    /// Complete answers that belong to their request.
    pub good: u32,
    /// Refusals, failures, and truncated answers that were reported as errors.
    pub failed: u32,
    /// Requests whose caller disconnected.
    pub left: u32,
    /// Answers to another request, or truncated without an error. Must be 0.
    pub wrong: u32,
}

enum ExchangeResult {
    Good,
    Failed,
    Left,
    Wrong,
}

/// Sends `GET /k0/7` to the daemons in turn and counts the results.
pub async fn exchange_many(fleet: &LocalFleet, config: ExchangeConfig) -> ExchangeCounts {
    let permits = Arc::new(Semaphore::new(config.concurrency));
    let mut tasks = Vec::new();
    let mut counts = ExchangeCounts::default();
    for number in 0..config.count {
        if number % REQUESTS_PER_FAULT == 0 {
            set_next_faults(fleet, number / REQUESTS_PER_FAULT);
            for task in std::mem::take(&mut tasks) {
                counts.add(task.await);
            }
        }
        let permit = permits.acquire_arc().await;
        let caller = fleet.caller(number as usize % fleet.daemons.len());
        tasks.push(fleet.ex.spawn(async move {
            let result = exchange_one(caller, number, config.body_size_range_bytes).await;
            drop(permit);
            result
        }));
    }
    for task in tasks {
        counts.add(task.await);
    }
    counts
}

fn set_next_faults(fleet: &LocalFleet, round: u32) {
    for (index, backend) in fleet.backends.iter().enumerate() {
        let fault = FAULTS[(round as usize + 2 * index) % FAULTS.len()];
        backend.change_plan(|plan| plan.fault = fault);
    }
}

async fn exchange_one(
    caller: crate::Client,
    number: u32,
    body_size_range_bytes: usize,
) -> ExchangeResult {
    let expected = Expected {
        echo: format!("request {number}"),
    };
    let bytes = MIN_BODY_BYTES + (number as usize * BODY_SIZE_STEP_BYTES) % body_size_range_bytes;
    let req = Request::get(format!("/k0/7?bytes={bytes}")).body(Bytes::new());
    let req = req.expect("a request");
    if number.is_multiple_of(DISCONNECT_EVERY) {
        let timeout = Duration::from_millis(u64::from(number % DISCONNECT_TIMEOUT_BOUND_MS));
        let _ = caller.send_within(req, Some(&expected), timeout).await;
        return ExchangeResult::Left;
    }
    match caller.send(req, Some(&expected)).await {
        Ok(answer) if answer.wrong => ExchangeResult::Wrong,
        Ok(answer) if answer.status == 200 => ExchangeResult::Good,
        _ => ExchangeResult::Failed,
    }
}

impl ExchangeCounts {
    fn add(&mut self, result: ExchangeResult) {
        let count = match result {
            ExchangeResult::Good => &mut self.good,
            ExchangeResult::Failed => &mut self.failed,
            ExchangeResult::Left => &mut self.left,
            ExchangeResult::Wrong => &mut self.wrong,
        };
        *count += 1;
    }
}
