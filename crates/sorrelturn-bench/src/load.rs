//! Callers that send a mix at a changing rate and retry hard, and the record of what came of it.

use crate::{
    client::{Answer, Client, Expected},
    workload::{MixPart, Workload},
};
use bytes::Bytes;
use hyper::Request;
use smol::{Executor, Timer};
use sorrelturn_protocol::Importance;
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// How long a caller waits for one answer.
const CALLER_TIME: Duration = Duration::from_secs(3);
/// An answer after this is of no more use to its caller.
const USEFUL_TIME: Duration = Duration::from_secs(2);

/// How callers behave after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryConfig {
    /// How often a caller asks in all.
    pub max_attempts: u32,
    /// The pause before it asks again; hard retries don't look at Retry-After.
    pub interval: Duration,
}

/// How a caller reaches at-most-once kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenMode {
    /// It gets a token first.
    WithToken,
    /// There is nothing that it could get.
    WithoutToken,
}

/// One root request as its caller saw it in the end.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When it was first sent, since the start of the load.
    pub sent: Duration,
    /// When it was over.
    pub done: Duration,
    /// Its importance.
    pub importance: Importance,
    /// Its kind.
    pub kind: String,
    /// Whether a whole, useful answer came.
    pub good: bool,
    /// Whether the answer was another caller's or cut.
    pub wrong: bool,
    /// How often it was sent.
    pub attempts: u32,
    /// The last status; 0 where there was none.
    pub status: u16,
    /// What the last refusal said.
    pub reason: String,
    /// The key under which backend servers counted its executions.
    pub key: String,
    /// Tries that were answered "not run".
    pub not_run_answers: u32,
}

/// The callers of one run.
pub struct Load {
    /// Runs the callers.
    pub ex: Arc<Executor<'static>>,
    /// The entries that they use, in turn.
    pub entries: Vec<Client>,
    /// What they send.
    pub workload: Arc<Workload>,
    /// How they retry.
    pub retries: RetryConfig,
    /// How they reach at-most-once kinds.
    pub token_mode: TokenMode,
}

/// A phase of time with a steady rate of root requests a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPhase {
    /// The rate.
    pub rate: f64,
    /// Its length.
    pub duration: Duration,
}

impl Load {
    /// Sends the phases one after another; `on_phase_start` is called when each begins.
    pub async fn run(
        &self,
        phases: &[LoadPhase],
        mut on_phase_start: impl FnMut(usize),
    ) -> Vec<Record> {
        let records = Arc::new(Mutex::new(Vec::new()));
        let start = Instant::now();
        let mut rng = fastrand::Rng::with_seed(11);
        let mut tasks = Vec::new();
        let mut begin = Duration::ZERO;
        let mut number = 0;
        for (at, phase) in phases.iter().enumerate() {
            on_phase_start(at);
            let mut next = begin;
            while next < begin + phase.duration {
                Timer::at(start + next).await;
                let caller = Caller {
                    client: self.entries[number % self.entries.len()].clone(),
                    part: self.workload.random_kind(&mut rng).clone(),
                    retries: self.retries,
                    token_mode: self.token_mode,
                    key: format!("k{number}"),
                    start,
                };
                let records = Arc::clone(&records);
                tasks.push(self.ex.spawn(async move {
                    let record = caller.ask().await;
                    let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
                    records.push(record);
                }));
                number += 1;
                // Poisson arrivals: independent callers don't come in step.
                next += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / phase.rate);
            }
            begin += phase.duration;
        }
        for task in tasks {
            task.await;
        }
        let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *records)
    }
}

struct Caller {
    client: Client,
    part: MixPart,
    retries: RetryConfig,
    token_mode: TokenMode,
    key: String,
    start: Instant,
}

impl Caller {
    async fn ask(self) -> Record {
        let sent = Instant::now();
        let mut record = Record {
            sent: sent - self.start,
            done: Duration::ZERO,
            importance: self.part.importance,
            kind: self.part.kind.clone(),
            good: false,
            wrong: false,
            attempts: 0,
            status: 0,
            reason: String::new(),
            key: self.key.clone(),
            not_run_answers: 0,
        };
        let mut token = None;
        while record.attempts < self.retries.max_attempts {
            record.attempts += 1;
            let answer = self.try_once(&mut token).await;
            if let Some(answer) = &answer {
                record.status = answer.status;
                record.reason = reason(answer);
                record.wrong |= answer.wrong;
                if answer.verdict() == "not-run" {
                    // A refused token stays refused, so the next try takes a fresh one.
                    token = None;
                    record.not_run_answers += 1;
                }
            }
            if answer.is_some_and(|answer| answer.status == 200 && !answer.wrong) {
                record.good = sent.elapsed() <= USEFUL_TIME;
                break;
            }
            if sent.elapsed() > USEFUL_TIME {
                break;
            }
            Timer::after(self.retries.interval).await;
        }
        record.done = self.start.elapsed();
        record
    }

    async fn try_once(&self, token: &mut Option<String>) -> Option<Answer> {
        if self.part.at_most_once && self.token_mode == TokenMode::WithToken && token.is_none() {
            let answer = self.get_token().await?;
            match answer.header("sorrelturn-token") {
                Some(given) => *token = Some(given.to_owned()),
                None => return Some(answer),
            }
        }
        let mut req = Request::builder()
            .method(self.part.method.as_str())
            .uri(&self.part.path)
            .header("x-execution-key", &self.key);
        if let Some(token) = token {
            req = req.header("sorrelturn-token", token.as_str());
        }
        let expected = Expected {
            echo: self.key.clone(),
        };
        let req = req.body(Bytes::new()).ok()?;
        let answer = self.client.send_within(req, Some(&expected), CALLER_TIME);
        answer.await.ok()
    }

    async fn get_token(&self) -> Option<Answer> {
        let wanted = serde_json::json!({ "method": self.part.method, "path": self.part.path });
        let req = Request::post("/.sorrelturn/tokens")
            .body(Bytes::from(wanted.to_string()))
            .ok()?;
        self.client.send_within(req, None, CALLER_TIME).await.ok()
    }
}

/// The word of a refusal, or the start of a backend server's own failure.
fn reason(answer: &Answer) -> String {
    if answer.status == 200 {
        return "late".to_owned();
    }
    let refusal: Option<serde_json::Value> = serde_json::from_slice(&answer.body).ok();
    refusal
        .and_then(|refusal| Some(refusal.get("error")?.as_str()?.to_owned()))
        .unwrap_or_else(|| {
            String::from_utf8_lossy(&answer.body)
                .chars()
                .take(40)
                .collect()
        })
}
