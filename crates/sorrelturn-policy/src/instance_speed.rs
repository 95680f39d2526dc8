//! How long a backend server takes for a request now. See `docs/design/instance-speed.md`.

use crate::Now;
use std::time::Duration;

/// Kinds whose times are kept; a further one replaces the rarest.
const MAX_KINDS: usize = 16;
/// The least weight of one request's duration in the mean of its kind.
const MIN_GAIN: f64 = 1.0 / 16.0;
/// The greatest weight of one request's duration in the mean of its kind.
const MAX_GAIN: f64 = 0.5;
/// After so long without a request, the next one's duration weighs [`MAX_GAIN`].
const FORGETTING_INTERVAL: Duration = Duration::from_secs(1);
/// Number of requests over which the share of a kind is averaged.
const SHARE_SMOOTHING_REQUESTS: f64 = 256.0;
/// Number of requests over which the errors of the predictions are averaged.
const ERROR_SMOOTHING_REQUESTS: f64 = 32.0;
/// The greatest squared relative error that counts, so that one outlier doesn't decide.
const MAX_SQUARED_ERROR: f64 = 4.0;
/// The greatest factor by which reported work times change what was learnt from durations.
const MAX_INFLUENCE_FACTOR: f64 = 4.0;
/// For how long a reported work time counts; it may change many times a second.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// The work time, in percent, of a backend server that doesn't report one.
const USUAL_PERCENT: f64 = 100.0;

/// How long one backend server takes for its requests: the durations of answered requests, corrected by the work time
/// that it reports. The durations bound the influence of the reports, which may lie or stand still.
#[derive(Clone, Debug, Default)]
pub struct WorkTimes {
    reported: Option<(Now, u32)>,
    kinds: Vec<KindTimes>,
    /// The mean squared relative error of predictions from durations alone.
    plain_error: f64,
    /// That of predictions that also use the reported work time.
    corrected_error: f64,
}

/// What was learnt of one kind.
#[derive(Clone, Copy, Debug)]
struct KindTimes {
    kind: u64,
    last_at: Now,
    /// The share of the kind among the requests.
    share: f64,
    /// The mean duration in seconds.
    mean: f64,
    /// The mean duration in seconds at a work time of [`USUAL_PERCENT`].
    mean_at_usual: f64,
}

/// One request that the backend server answered.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredRequest {
    /// Identifies the kind, since kinds differ in their durations.
    pub kind: u64,
    /// The time from the request to the head of the response.
    pub duration: Duration,
    /// The work time, in percent, when the request was sent; `None` if none was known.
    pub percent_when_sent: Option<u32>,
}

impl WorkTimes {
    /// Records the work time that the backend server reports, in percent of the usual.
    pub fn report(&mut self, now: Now, percent: u32) {
        self.reported = Some((now, percent.max(1)));
    }

    /// Returns the work time that the backend server reported lately, in percent.
    pub fn reported(&self, now: Now) -> Option<u32> {
        let (at, percent) = self.reported?;
        (now.saturating_sub(at) <= REPORT_TIMEOUT).then_some(percent)
    }

    /// Forgets everything, for a new incarnation of the backend server.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records an answered request, after the work time that its response reports.
    pub fn finished(&mut self, now: Now, request: &AnsweredRequest) {
        let duration = request.duration.as_secs_f64().max(1e-6);
        let correction = self.correction_while_running(now, request);
        let at = self.kind_index(now, request.kind);
        for (index, times) in self.kinds.iter_mut().enumerate() {
            let target = if index == at { 1.0 } else { 0.0 };
            times.share += (target - times.share) / SHARE_SMOOTHING_REQUESTS;
        }
        let times = &mut self.kinds[at];
        if times.mean == 0.0 {
            times.mean = duration;
            times.mean_at_usual = duration / correction;
            return;
        }
        let plain_error = squared_error(duration, times.mean);
        let corrected_error = squared_error(duration, times.mean_at_usual * correction);
        times.add(now, duration, correction);
        self.plain_error += (plain_error - self.plain_error) / ERROR_SMOOTHING_REQUESTS;
        self.corrected_error += (corrected_error - self.corrected_error) / ERROR_SMOOTHING_REQUESTS;
    }

    /// Records a request that wasn't answered in time. It took longer than `request.duration`, so it counts only if that
    /// is known to be more than the usual.
    pub fn timed_out(&mut self, now: Now, request: &AnsweredRequest) {
        let known = self.kinds.iter().find(|times| times.kind == request.kind);
        let duration = request.duration.as_secs_f64();
        if known.is_some_and(|times| duration > times.mean) {
            self.finished(now, request);
        }
    }

    /// Returns the expected time until a request that arrived now would be answered, given the requests in flight and
    /// queued and the concurrency limit. `None` if the backend server hasn't reported work times, or answered none yet.
    pub fn expected(
        &self,
        now: Now,
        in_flight: u32,
        queued: usize,
        limit: u32,
    ) -> Option<Duration> {
        self.reported?;
        let service_time = self.service_time(now)?;
        let waiting = (f64::from(in_flight) + queued as f64 + 1.0 - f64::from(limit)).max(0.0);
        let queueing_factor = 1.0 + waiting / f64::from(limit.max(1));
        Duration::try_from_secs_f64(service_time * queueing_factor).ok()
    }

    /// The mean over the kinds by their shares, so that the mixture of the last few requests doesn't count.
    fn service_time(&self, now: Now) -> Option<f64> {
        let reported = self.reported(now).map(correction_of);
        let trust = self.trust();
        let (mut sum, mut shares) = (0.0, 0.0);
        for times in self.kinds.iter().filter(|times| times.mean > 0.0) {
            sum += times.share * times.expected(reported, trust);
            shares += times.share;
        }
        (shares > 0.0).then(|| sum / shares)
    }

    /// How far the reported work time is used, from 0 to 1: fully, unless durations alone predict better.
    fn trust(&self) -> f64 {
        if self.corrected_error <= self.plain_error {
            return 1.0;
        }
        self.plain_error / self.corrected_error
    }

    /// The mean of the work time when a request was sent and now, relative to the usual.
    fn correction_while_running(&self, now: Now, request: &AnsweredRequest) -> f64 {
        let at_end = self.reported(now).or(request.percent_when_sent);
        let at_start = request.percent_when_sent.or(at_end);
        match (at_start, at_end) {
            (Some(start), Some(end)) => (correction_of(start) + correction_of(end)) / 2.0,
            _ => 1.0,
        }
    }

    fn kind_index(&mut self, now: Now, kind: u64) -> usize {
        if let Some(at) = self.kinds.iter().position(|times| times.kind == kind) {
            return at;
        }
        let times = KindTimes {
            kind,
            last_at: now,
            share: 0.0,
            mean: 0.0,
            mean_at_usual: 0.0,
        };
        if self.kinds.len() < MAX_KINDS {
            self.kinds.push(times);
            return self.kinds.len() - 1;
        }
        let by_share =
            |a: &(usize, &KindTimes), b: &(usize, &KindTimes)| a.1.share.total_cmp(&b.1.share);
        let rarest = self.kinds.iter().enumerate().min_by(by_share);
        let at = rarest.map_or(0, |(at, _)| at);
        self.kinds[at] = times;
        at
    }
}

impl KindTimes {
    fn add(&mut self, now: Now, duration: f64, correction: f64) {
        let idle = now.saturating_sub(self.last_at).as_secs_f64();
        let forgetting = idle / FORGETTING_INTERVAL.as_secs_f64() * MAX_GAIN;
        let gain = forgetting.clamp(MIN_GAIN, MAX_GAIN);
        self.last_at = now;
        self.mean += (duration - self.mean) * gain;
        self.mean_at_usual += (duration / correction - self.mean_at_usual) * gain;
    }

    fn expected(&self, reported: Option<f64>, trust: f64) -> f64 {
        let Some(correction) = reported else {
            return self.mean;
        };
        let influence = (self.mean_at_usual * correction / self.mean)
            .clamp(1.0 / MAX_INFLUENCE_FACTOR, MAX_INFLUENCE_FACTOR);
        self.mean * (1.0 + (influence - 1.0) * trust)
    }
}

fn correction_of(percent: u32) -> f64 {
    f64::from(percent) / USUAL_PERCENT
}

fn squared_error(duration: f64, predicted: f64) -> f64 {
    let error = duration / predicted - 1.0;
    (error * error).min(MAX_SQUARED_ERROR)
}
