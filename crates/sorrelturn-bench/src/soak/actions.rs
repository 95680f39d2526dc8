//! Executes a plan's actions on daemons, their paths, their backend servers and the store.

use super::{
    checker::Checker,
    harness::{FOREIGN_RECORDS, Harness, POLL_INTERVAL, RESPONSE_TIMEOUT, ROUTE_TABLE_KEY, lock},
    member::{BackendIncarnation, Member},
    plan::{Action, StoreFault},
};
use crate::{Script, processes::play_faults, routed_backend::NORMAL_WORK};
use smol::Timer;
use sorrelturn_platform::{Expected, Faults, Platform};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// The delay of each call to a slow store: near the daemons' timeout of a second.
const SLOW_STORE_DELAY_MS: u64 = 900;
/// The duration of the outage in which a backend server leaves, and how long it serves after that.
const LEAVE_IN_OUTAGE_MS: u64 = 4_000;
/// The part of the requests that overloaded backend servers refuse: enough that many are refused twice in a row.
const REFUSED_PERCENT: u8 = 40;
/// A slow script, played for a while after a backend server has misbehaved.
const SLOW_SCRIPT: Script = Script::Works {
    ms: 1_200,
    bytes: 40_000,
};

impl Harness {
    /// Writes the next route table into the store, or the one before the newest.
    pub(super) async fn publish(&self, older: bool) {
        let started_before = self.reverts_started.load(Ordering::Relaxed);
        let is_reverting = self.reverts_ended.load(Ordering::Relaxed) != started_before;
        let version = if older {
            let previous = self.version.load(Ordering::Relaxed).max(2) - 1;
            self.checker().reverting_to(previous);
            self.reverts_started.fetch_add(1, Ordering::Relaxed);
            previous
        } else {
            let next = self.version.fetch_add(1, Ordering::Relaxed) + 1;
            self.checker().table_published(next);
            next
        };
        let platform = Platform::new(self.platform, RESPONSE_TIMEOUT);
        let table = (self.target.table)(version);
        let written = platform
            .put(ROUTE_TABLE_KEY, &table, Expected::Anything)
            .await;
        // If an earlier table was written at the same time, either of them may be the one that the store holds now.
        let has_reverted = self.reverts_started.load(Ordering::Relaxed) != started_before;
        let is_order_known = older || (!is_reverting && !has_reverted);
        if written.is_ok() && is_order_known {
            self.checker().table_confirmed(self.now(), version);
        }
        if older {
            self.reverts_ended.fetch_add(1, Ordering::Relaxed);
        }
        let unconfirmed = u64::from(written.is_err());
        self.unconfirmed_tables
            .fetch_add(unconfirmed, Ordering::Relaxed);
    }

    pub(super) async fn run_action(&self, action: Action) {
        match action {
            Action::Stop {
                daemon,
                again_ms,
                kill_ms,
            } => self.stop(daemon, again_ms, kill_ms).await,
            Action::Kill { daemon } => self.kill(daemon, None),
            Action::Pause { daemon, ms } => self.pause(daemon, ms).await,
            Action::Reread { daemon } => self.signal_if_running(daemon, "HUP", |_, _| ()),
            Action::Publish { older } => self.publish(older).await,
            Action::Store { trouble, ms } => self.disturb_store(trouble, ms).await,
            Action::Path { daemon, harm, ms } => {
                let (now, duration) = (self.now(), Duration::from_millis(ms));
                self.checker().path_faulted(now, now + duration, daemon);
                self.daemons[daemon].path.inject(harm, duration).await;
            }
            Action::Leave { daemon, ms } => self.leave_and_return(daemon, ms).await,
            Action::Limit {
                daemon,
                per_second,
                ms,
            } => self.name_limit(daemon, per_second, ms).await,
            Action::LeaveByResponse { daemon, ms } => self.leave_by_response(daemon, ms).await,
            Action::Overload { ms, copied_percent } => {
                self.play_at_all(Script::Overloaded {
                    refused_percent: REFUSED_PERCENT,
                    copied_percent,
                });
                Timer::after(Duration::from_millis(ms)).await;
                self.play_at_all(NORMAL_WORK);
            }
            Action::WriteEntry(entry) => self.write_entry(entry).await,
            Action::Misbehave { daemon, script, ms } => {
                let backend = &self.daemons[daemon].backend;
                backend.play(script);
                Timer::after(Duration::from_millis(ms)).await;
                backend.play(SLOW_SCRIPT);
                Timer::after(Duration::from_millis(ms)).await;
                backend.play(NORMAL_WORK);
            }
        }
    }

    fn play_at_all(&self, script: Script) {
        for member in &self.daemons {
            member.backend.play(script);
        }
    }

    /// Sends a signal if the daemon is running; `record` tells the checker about it beforehand.
    fn signal_if_running(
        &self,
        daemon: usize,
        signal: &str,
        record: impl FnOnce(&mut Checker, Duration),
    ) {
        let mut slot = lock(&self.daemons[daemon].process);
        if let Some(process) = slot.as_mut()
            && process.try_exit_status().is_none()
        {
            record(&mut self.checker(), self.now());
            process.signal(signal);
        }
    }

    async fn stop(&self, daemon: usize, again_ms: Option<u64>, kill_ms: Option<u64>) {
        let incarnation = self.checker().current_incarnation(daemon);
        let send_stop = || {
            self.signal_if_running(daemon, "TERM", |checker, now| {
                checker.stop_requested(now, daemon)
            })
        };
        send_stop();
        let second_stop = async {
            if let Some(ms) = again_ms {
                Timer::after(Duration::from_millis(ms)).await;
                send_stop();
            }
        };
        let kill = async {
            if let Some(ms) = kill_ms {
                Timer::after(Duration::from_millis(ms)).await;
                self.kill(daemon, Some(incarnation));
            }
        };
        smol::future::zip(second_stop, kill).await;
    }

    /// Kills a daemon; if an incarnation is given, only that one.
    fn kill(&self, daemon: usize, incarnation: Option<usize>) {
        if incarnation
            .is_none_or(|incarnation| incarnation == self.checker().current_incarnation(daemon))
        {
            self.signal_if_running(daemon, "KILL", |checker, now| checker.killed(now, daemon));
        }
    }

    async fn pause(&self, daemon: usize, ms: u64) {
        self.signal_if_running(daemon, "STOP", |checker, now| checker.paused(now, daemon));
        Timer::after(Duration::from_millis(ms)).await;
        self.signal_if_running(daemon, "CONT", |checker, now| checker.resumed(now, daemon));
    }

    async fn disturb_store(&self, trouble: StoreFault, ms: u64) {
        let mut faults = Faults::default();
        match trouble {
            StoreFault::Down => faults.down = true,
            StoreFault::Busy => faults.busy = true,
            StoreFault::Silent => faults.silent = true,
            StoreFault::Slow => faults.slow_ms = SLOW_STORE_DELAY_MS,
            StoreFault::LosesAnswers => faults.lose_write_answers = u32::MAX,
            StoreFault::Deaf => faults.silent_watches = true,
        }
        let (now, duration) = (self.now(), Duration::from_millis(ms));
        self.checker().store_faulted(now, now + duration);
        if !matches!(trouble, StoreFault::LosesAnswers | StoreFault::Deaf) {
            self.checker().store_unreadable(now, now + duration);
        }
        play_faults(self.platform, &faults).await;
        Timer::after(duration).await;
        // If faults overlap, the first one to end clears all of them.
        play_faults(self.platform, &Faults::default()).await;
    }

    /// Makes a backend server leave and return as another incarnation.
    async fn leave_and_return(&self, daemon: usize, ms: u64) {
        let member = &self.daemons[daemon];
        if member.is_leaving.swap(true, Ordering::Relaxed) {
            return;
        }
        let return_at = Instant::now() + Duration::from_millis(ms);
        // Nothing is drawn for the kind of leave, so that the plans of known seeds stay.
        if ms % 2 == 1 {
            return self.leave_in_outage(daemon).await;
        }
        while !member.announce().await.is_ok_and(|status| status == 200) {
            Timer::after(POLL_INTERVAL).await;
        }
        self.checker().leave_acknowledged(self.now(), daemon);
        Timer::at(return_at).await;
        self.checker().backend_joining(daemon);
        let previous = member.start_next_incarnation(daemon);
        self.send_late_updates(member, &previous).await;
    }

    /// Makes a backend server leave without saying that it is draining, while the store is down, and kills its daemon once
    /// that has acknowledged it.
    async fn leave_in_outage(&self, daemon: usize) {
        let member = &self.daemons[daemon];
        member.is_silent.store(true, Ordering::Relaxed);
        let outage = self.disturb_store(StoreFault::Down, LEAVE_IN_OUTAGE_MS);
        let leave = async {
            while !member.deregister().await.is_ok_and(|status| status == 200) {
                Timer::after(POLL_INTERVAL).await;
            }
            self.checker().leave_acknowledged(self.now(), daemon);
            self.kill(daemon, None);
        };
        smol::future::zip(outage, leave).await;
        Timer::after(Duration::from_millis(LEAVE_IN_OUTAGE_MS)).await;
        self.checker().backend_joining(daemon);
        let previous = member.start_next_incarnation(daemon);
        self.send_late_updates(member, &previous).await;
    }

    /// Makes a backend server name a limit for a while.
    async fn name_limit(&self, daemon: usize, per_second: u64, ms: u64) {
        let backend = &self.daemons[daemon].backend;
        let name = self.target.dialect.headers.rate_limit.as_str();
        backend.add_headers(&[(name, &per_second.to_string())]);
        self.checker()
            .limit_named(self.now(), daemon, Some(per_second));
        Timer::after(Duration::from_millis(ms)).await;
        self.checker().limit_named(self.now(), daemon, None);
        backend.add_headers(&[]);
    }

    /// Makes a backend server say in its responses that it leaves, and return as another incarnation. Its heartbeats
    /// don't say it.
    async fn leave_by_response(&self, daemon: usize, ms: u64) {
        let member = &self.daemons[daemon];
        let name = self.target.dialect.headers.leaving.as_str();
        member.backend.add_headers(&[(name, "1")]);
        self.checker().leave_named(self.now(), daemon);
        Timer::after(Duration::from_millis(ms)).await;
        self.checker().backend_joining(daemon);
        member.backend.add_headers(&[]);
        member.start_next_incarnation(daemon);
    }

    /// Delivers late updates of the previous incarnation and malformed reports.
    async fn send_late_updates(&self, member: &Member, previous: &BackendIncarnation) {
        while !member.announce().await.is_ok_and(|status| status == 200) {
            Timer::after(POLL_INTERVAL).await;
        }
        // The responses don't matter: the checker sees whether the new incarnation gets requests.
        let draining = member.heartbeat(previous.started_ms, "draining", u64::from(u32::MAX));
        let _ = member.post(&previous.id, "heartbeat", draining).await;
        let deregistration = format!(r#"{{"born":{}}}"#, previous.started_ms);
        let _ = member
            .post(&previous.id, "deregister", deregistration)
            .await;
        for foreign in FOREIGN_RECORDS {
            let id = member.backend.id();
            let _ = member.post(&id, "heartbeat", foreign.to_owned()).await;
        }
    }
}
