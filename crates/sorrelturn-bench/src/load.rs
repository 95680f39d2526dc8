//! Callers that send a request mix at changing rates and retry without backoff, and their results.

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

const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Answers that take longer do not count as good, and the caller stops retrying.
const MAX_USEFUL_LATENCY: Duration = Duration::from_secs(2);

/// How callers retry after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryConfig {
    /// The maximum number of attempts, including the first one.
    pub max_attempts: u32,
    /// The interval between attempts. Callers ignore Retry-After.
    pub interval: Duration,
}

/// Whether callers send execution tokens with requests of at-most-once kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenMode {
    /// They request a token before the first attempt.
    WithToken,
    /// They send none, because the system under test issues none.
    WithoutToken,
}

/// The result of one root request as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When it was first sent, since the start of the load.
    pub sent: Duration,
    /// When its caller finished, since the start of the load.
    pub done: Duration,
    /// Its importance.
    pub importance: Importance,
    /// Its kind.
    pub kind: String,
    /// Whether a correct answer arrived soon enough to be useful.
    pub good: bool,
    /// Whether any answer was another caller's or truncated; see [`Answer::wrong`].
    pub wrong: bool,
    /// The number of attempts.
    pub attempts: u32,
    /// The status of the last answer; 0 if there was none.
    pub status: u16,
    /// The reason for the last failure.
    pub reason: String,
    /// The key under which backend servers counted its executions.
    pub key: String,
    /// The number of attempts answered with the verdict `not-run`.
    pub not_run_answers: u32,
}

/// The callers of one measurement.
pub struct Load {
    /// The executor that runs the callers.
    pub ex: Arc<Executor<'static>>,
    /// Clients of the entry points, used in turn.
    pub entries: Vec<Client>,
    /// The requests they send.
    pub workload: Arc<Workload>,
    /// How they retry.
    pub retries: RetryConfig,
    /// Whether they use execution tokens.
    pub token_mode: TokenMode,
}

/// A phase with a constant request rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPhase {
    /// Root requests per second.
    pub rate: f64,
    /// The duration of the phase.
    pub duration: Duration,
}

impl Load {
    /// Sends the load of each phase in order and waits for all answers. `on_phase_start` is called
    /// with the index of each phase when it begins.
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
        for (index, phase) in phases.iter().enumerate() {
            on_phase_start(index);
            let mut next_arrival = begin;
            while next_arrival < begin + phase.duration {
                Timer::at(start + next_arrival).await;
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
                    let record = caller.send_with_retries().await;
                    let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
                    records.push(record);
                }));
                number += 1;
                // Poisson arrivals, as from independent callers.
                next_arrival += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / phase.rate);
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
    async fn send_with_retries(self) -> Record {
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
            let answer = self.attempt(&mut token).await;
            if let Some(answer) = &answer {
                record.status = answer.status;
                record.reason = reason(answer);
                record.wrong |= answer.wrong;
                if answer.verdict() == "not-run" {
                    // A refused token is never accepted later, so the next attempt needs a new one.
                    token = None;
                    record.not_run_answers += 1;
                }
            }
            if answer.is_some_and(|answer| answer.status == 200 && !answer.wrong) {
                record.good = sent.elapsed() <= MAX_USEFUL_LATENCY;
                break;
            }
            if sent.elapsed() > MAX_USEFUL_LATENCY {
                break;
            }
            Timer::after(self.retries.interval).await;
        }
        record.done = self.start.elapsed();
        record
    }

    async fn attempt(&self, token: &mut Option<String>) -> Option<Answer> {
        if self.part.at_most_once && self.token_mode == TokenMode::WithToken && token.is_none() {
            let answer = self.request_token().await?;
            match answer.header("sorrelturn-token") {
                Some(issued) => *token = Some(issued.to_owned()),
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
        let answer = self
            .client
            .send_within(req, Some(&expected), ANSWER_TIMEOUT);
        answer.await.ok()
    }

    async fn request_token(&self) -> Option<Answer> {
        let token_request =
            serde_json::json!({ "method": self.part.method, "path": self.part.path });
        let req = Request::post("/.sorrelturn/tokens")
            .body(Bytes::from(token_request.to_string()))
            .ok()?;
        self.client
            .send_within(req, None, ANSWER_TIMEOUT)
            .await
            .ok()
    }
}

/// The error code of a refusal, or the start of the body of a backend server's failure.
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
