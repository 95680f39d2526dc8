//! What a plan does to daemons, their paths, their backend servers and the store.

use super::{
    checker::Checker,
    harness::{FOREIGN, Harness, LOOK, PATIENCE, TABLE, WORKS, lock},
    member::{BackendRun, Member},
    plan::{Action, StoreFault},
};
use crate::{Script, processes::play_faults};
use smol::Timer;
use sorrelturn_platform::{Expected, Faults, Platform};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// The extra time of each call of a slow store: near the daemons' time-out of a second.
const SLOW_MS: u64 = 900;
/// Now and then one works longer, up to about the longest time of a stop.
const WORKS_LONG: Script = Script::Works {
    ms: 1_200,
    bytes: 40_000,
};

impl Harness {
    /// Writes the next route table into the store, or the one before the newest.
    pub(super) async fn publish(&self, older: bool) {
        let version = if older {
            let before = self.version.load(Ordering::Relaxed).max(2) - 1;
            self.checker().reverting_to(before);
            before
        } else {
            let next = self.version.fetch_add(1, Ordering::Relaxed) + 1;
            self.checker().table_published(next);
            next
        };
        let platform = Platform::new(self.platform, PATIENCE);
        let table = (self.words.table)(version);
        let written = platform.put(TABLE, &table, Expected::Anything).await;
        if written.is_ok() {
            self.checker().table_confirmed(self.now(), version);
        }
        let unsure = u64::from(written.is_err());
        self.unsure_tables.fetch_add(unsure, Ordering::Relaxed);
    }

    pub(super) async fn play(&self, action: Action) {
        match action {
            Action::Stop {
                daemon,
                again_ms,
                kill_ms,
            } => self.stop(daemon, again_ms, kill_ms).await,
            Action::Kill { daemon } => self.kill(daemon, None),
            Action::Pause { daemon, ms } => self.pause(daemon, ms).await,
            Action::Reread { daemon } => self.signal(daemon, "HUP", |_, _| ()),
            Action::Publish { older } => self.publish(older).await,
            Action::Store { trouble, ms } => self.trouble(trouble, ms).await,
            Action::Path { daemon, harm, ms } => {
                let (now, lasts) = (self.now(), Duration::from_millis(ms));
                self.checker().path_faulted(now, now + lasts, daemon);
                self.daemons[daemon].way.harm(harm, lasts).await;
            }
            Action::Leave { daemon, ms } => self.leave(daemon, ms).await,
            Action::Misbehave { daemon, script, ms } => {
                let backend = &self.daemons[daemon].backend;
                backend.play(script);
                Timer::after(Duration::from_millis(ms)).await;
                backend.play(WORKS_LONG);
                Timer::after(Duration::from_millis(ms)).await;
                backend.play(WORKS);
            }
        }
    }

    /// Sends a signal if the daemon is up, and notes it before.
    fn signal(&self, daemon: usize, signal: &str, note: impl FnOnce(&mut Checker, Duration)) {
        let mut slot = lock(&self.daemons[daemon].process);
        if let Some(process) = slot.as_mut()
            && process.try_exit_status().is_none()
        {
            note(&mut self.checker(), self.now());
            process.signal(signal);
        }
    }

    async fn stop(&self, daemon: usize, again_ms: Option<u64>, kill_ms: Option<u64>) {
        let run = self.checker().current_incarnation(daemon);
        let tell = || {
            self.signal(daemon, "TERM", |checker, now| {
                checker.stop_requested(now, daemon)
            })
        };
        tell();
        let again = async {
            if let Some(ms) = again_ms {
                Timer::after(Duration::from_millis(ms)).await;
                tell();
            }
        };
        let kill = async {
            if let Some(ms) = kill_ms {
                Timer::after(Duration::from_millis(ms)).await;
                self.kill(daemon, Some(run));
            }
        };
        smol::future::zip(again, kill).await;
    }

    /// Kills a daemon; where a run is given, only that one.
    fn kill(&self, daemon: usize, run: Option<usize>) {
        if run.is_none_or(|run| run == self.checker().current_incarnation(daemon)) {
            self.signal(daemon, "KILL", |checker, now| checker.killed(now, daemon));
        }
    }

    async fn pause(&self, daemon: usize, ms: u64) {
        self.signal(daemon, "STOP", |checker, now| checker.paused(now, daemon));
        Timer::after(Duration::from_millis(ms)).await;
        self.signal(daemon, "CONT", |checker, now| checker.resumed(now, daemon));
    }

    async fn trouble(&self, trouble: StoreFault, ms: u64) {
        let mut faults = Faults::default();
        match trouble {
            StoreFault::Down => faults.down = true,
            StoreFault::Busy => faults.busy = true,
            StoreFault::Silent => faults.silent = true,
            StoreFault::Slow => faults.slow_ms = SLOW_MS,
            StoreFault::LosesAnswers => faults.lose_write_answers = u32::MAX,
            StoreFault::Deaf => faults.silent_watches = true,
        }
        let (now, lasts) = (self.now(), Duration::from_millis(ms));
        self.checker().store_faulted(now, now + lasts);
        play_faults(self.platform, &faults).await;
        Timer::after(lasts).await;
        // Of troubles that overlap the first to end ends all.
        play_faults(self.platform, &Faults::default()).await;
    }

    /// A backend server leaves, is away for a while, and comes back as another run.
    async fn leave(&self, daemon: usize, ms: u64) {
        let member = &self.daemons[daemon];
        if member.leaves.swap(true, Ordering::Relaxed) {
            return;
        }
        let away = Instant::now() + Duration::from_millis(ms);
        while !member.announce().await.is_ok_and(|status| status == 200) {
            Timer::after(LOOK).await;
        }
        self.checker().leave_acknowledged(self.now(), daemon);
        Timer::at(away).await;
        self.checker().backend_joining(daemon);
        let before = member.start_next_run(daemon);
        self.held_up_news(member, &before).await;
    }

    /// What the run before said last comes late, with what others write.
    async fn held_up_news(&self, member: &Member, before: &BackendRun) {
        while !member.announce().await.is_ok_and(|status| status == 200) {
            Timer::after(LOOK).await;
        }
        // Whatever the answers are: the checker sees whether the new run gets work.
        let leaves = member.heartbeat(before.born_ms, "draining", u64::from(u32::MAX));
        let _ = member.post(&before.id, "heartbeat", leaves).await;
        let ends = format!(r#"{{"born":{}}}"#, before.born_ms);
        let _ = member.post(&before.id, "deregister", ends).await;
        for foreign in FOREIGN {
            let id = member.backend.id();
            let _ = member.post(&id, "heartbeat", foreign.to_owned()).await;
        }
    }
}
