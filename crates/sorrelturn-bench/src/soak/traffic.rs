//! What callers ask the daemons, and whether all of it is served.

use super::{
    caller::{Caller, Heard, Question},
    checker::{Ending, Kind},
    harness::{DEADLY, Harness, LOOK, PATIENCE, WAIT},
    workspaces::CredentialKind,
};
use smol::Timer;
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// The longest pause of a caller between two requests; with four callers a daemon is asked some hundred
/// times a second.
const PAUSE_MS: u64 = 50;
const DEADLY_EVERY: Duration = Duration::from_millis(200);

impl Harness {
    /// Sends what crashes backend servers at one daemon, again and again.
    pub(super) async fn send_deadly(&self, number: usize) {
        let addr = self.daemons[number].addresses.routed.expect("it listens");
        let every = DEADLY_EVERY * self.daemons.len() as u32;
        while !self.is_over() {
            Timer::after(every.mul_f64(0.5 + fastrand::f64())).await;
            let run = self.checker().current_incarnation(number);
            if let Ok(mut caller) = Caller::connect(addr).await {
                let id = self.new_id();
                let of = (number, run);
                self.ask_for(
                    &mut caller,
                    DEADLY,
                    &id,
                    Kind::Safe,
                    of,
                    CredentialKind::Steady,
                )
                .await;
            }
        }
    }

    /// A caller of one daemon.
    pub(super) async fn call(&self, number: usize, keeps: bool) {
        let addr = self.daemons[number].addresses.routed.expect("it listens");
        let mut rng = fastrand::Rng::new();
        let mut open: Option<(Caller, usize)> = None;
        while !self.is_over() {
            Timer::after(Duration::from_millis(rng.u64(..PAUSE_MS))).await;
            let (mut caller, run) = match open.take() {
                Some(open) => open,
                None => {
                    let run = self.checker().current_incarnation(number);
                    match Caller::connect(addr).await {
                        Ok(caller) if self.checker().current_incarnation(number) == run => {
                            (caller, run)
                        }
                        _ => continue,
                    }
                }
            };
            let (kind, shows) = self.any_kind(&mut rng);
            let id = self.new_id();
            let path = path_of(kind, &id);
            let heard = self
                .ask_for(&mut caller, &path, &id, kind, (number, run), shows)
                .await;
            if keeps && heard.is_some_and(|heard| heard.goes_on) {
                open = Some((caller, run));
            }
        }
    }

    fn any_kind(&self, rng: &mut fastrand::Rng) -> (Kind, CredentialKind) {
        let newest = self.version.load(Ordering::Relaxed);
        let before = newest.saturating_sub(1);
        match rng.u8(..14) {
            0..5 => (Kind::Once, CredentialKind::Steady),
            5..8 => (Kind::Safe, CredentialKind::Steady),
            8 => (Kind::Version(newest), CredentialKind::Steady),
            9 => (Kind::Version(before), CredentialKind::Steady),
            10 => (Kind::Safe, CredentialKind::OfVersion(newest)),
            11 => (Kind::Safe, CredentialKind::OfVersion(before)),
            _ => (Kind::Once, CredentialKind::Limited),
        }
    }

    /// Makes a request; `None` if the connection was closed before all of it went out, as it may be.
    async fn ask(
        &self,
        caller: &mut Caller,
        kind: Kind,
        number: usize,
        run: usize,
    ) -> Option<Heard> {
        let id = self.new_id();
        let path = path_of(kind, &id);
        self.ask_for(
            caller,
            &path,
            &id,
            kind,
            (number, run),
            CredentialKind::Steady,
        )
        .await
    }

    fn new_id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Asks a run of a daemon for a path.
    async fn ask_for(
        &self,
        caller: &mut Caller,
        path: &str,
        id: &str,
        kind: Kind,
        of: (usize, usize),
        shows: CredentialKind,
    ) -> Option<Heard> {
        let credential = shows.credential();
        let question = Question {
            path,
            host: self.words.host,
            id,
            id_header: self.words.dialect.headers.request_id.as_str(),
            credential: &credential,
            credential_header: self.words.dialect.headers.credential.as_str(),
        };
        self.checker()
            .sending_with_credential(self.now(), id, kind, of, shows);
        caller.send(&question).await.ok()?;
        let heard = caller.hear(&question, PATIENCE).await;
        self.checker().ended(self.now(), id, heard.ending);
        Some(heard)
    }

    /// Waits until every daemon serves every kind.
    pub(super) async fn until_served(&self) {
        let end = Instant::now() + WAIT;
        for number in 0..self.daemons.len() {
            let newest = Kind::Version(self.version.load(Ordering::Relaxed));
            for kind in [Kind::Safe, Kind::Once, newest] {
                while !self.is_served(number, kind).await {
                    if Instant::now() > end {
                        let what = format!("daemon {number} doesn't serve {kind:?}");
                        self.checker().did_not_recover(self.now(), what);
                        return;
                    }
                    Timer::after(LOOK).await;
                }
            }
        }
    }

    async fn is_served(&self, number: usize, kind: Kind) -> bool {
        let addr = self.daemons[number].addresses.routed.expect("it listens");
        let run = self.checker().current_incarnation(number);
        let Ok(mut caller) = Caller::connect(addr).await else {
            return false;
        };
        let heard = self.ask(&mut caller, kind, number, run).await;
        heard.is_some_and(|heard| matches!(heard.ending, Ending::Answer { status: 200, .. }))
    }
}

fn path_of(kind: Kind, id: &str) -> String {
    match kind {
        Kind::Safe => format!("/safe/{id}"),
        Kind::Once => format!("/once/{id}"),
        Kind::Version(version) => format!("/version/{version}/{id}"),
    }
}
