//! The requests of the callers, and the check that everything is served.

use super::{
    caller::{Caller, CallerRequest, CallerResponse},
    checker::{Ending, Kind},
    harness::{CRASHING_PATH, Harness, POLL_INTERVAL, RESPONSE_TIMEOUT, START_TIMEOUT, TIMED_PATH},
    workspaces::CredentialKind,
};
use smol::{Task, Timer};
use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

/// Between two requests of a caller.
const MAX_PAUSE_MS: u64 = 50;
/// Between two probes of the route table in force at one daemon, in a fleet of up to [`MAX_DAEMONS_AT_FULL_RATE`]. In a
/// larger one, all daemons together are probed as often as there.
const TABLE_PROBE_INTERVAL: Duration = Duration::from_millis(100);
const MAX_DAEMONS_AT_FULL_RATE: usize = 12;
const CRASHING_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

impl Harness {
    /// Repeatedly sends the crashing request to one daemon.
    pub(super) async fn send_crashing_requests(&self, number: usize) {
        let addr = self.daemons[number].addresses.routed.expect("it listens");
        let interval = CRASHING_REQUEST_INTERVAL * self.daemons.len() as u32;
        while !self.is_over() {
            Timer::after(interval.mul_f64(0.5 + fastrand::f64())).await;
            let incarnation = self.checker().current_incarnation(number);
            if let Ok(mut caller) = Caller::connect(addr).await {
                let id = self.new_id();
                let target = (number, incarnation);
                self.send_request_to(
                    &mut caller,
                    CRASHING_PATH,
                    &id,
                    Kind::Safe,
                    target,
                    CredentialKind::Steady,
                )
                .await;
            }
        }
    }

    /// Sends requests that show which route table is in force at one daemon, until the soak ends. Doesn't wait for their
    /// responses, which suspended daemons delay.
    pub(super) async fn probe_tables(self: &Arc<Self>, number: usize) {
        let mut probes: Vec<Task<bool>> = Vec::new();
        let daemons = self.daemons.len().max(MAX_DAEMONS_AT_FULL_RATE) as f64;
        let interval = TABLE_PROBE_INTERVAL.mul_f64(daemons / MAX_DAEMONS_AT_FULL_RATE as f64);
        while !self.is_over() {
            Timer::after(interval).await;
            let newest = self.version.load(Ordering::Relaxed);
            let previous = newest.saturating_sub(1);
            for kind in [
                Kind::Version(newest),
                Kind::Version(previous),
                Kind::Moved,
                Kind::Shared,
                Kind::Timed,
                Kind::Safe,
            ] {
                let harness = Arc::clone(self);
                let probe = async move { harness.is_served(number, kind).await };
                probes.push(self.ex.spawn(probe));
            }
            probes.retain(|probe| !probe.is_finished());
        }
        for probe in probes {
            probe.await;
        }
    }

    /// Sends random requests to one daemon until the soak ends.
    pub(super) async fn run_caller(&self, number: usize, keeps_connection: bool) {
        let addr = self.daemons[number].addresses.routed.expect("it listens");
        let mut rng = fastrand::Rng::new();
        let mut connected: Option<(Caller, usize)> = None;
        while !self.is_over() {
            Timer::after(Duration::from_millis(rng.u64(..MAX_PAUSE_MS))).await;
            let (mut caller, incarnation) = match connected.take() {
                Some(connected) => connected,
                None => {
                    let incarnation = self.checker().current_incarnation(number);
                    match Caller::connect(addr).await {
                        Ok(caller) if self.checker().current_incarnation(number) == incarnation => {
                            (caller, incarnation)
                        }
                        _ => continue,
                    }
                }
            };
            let (kind, credential_kind) = self.random_kind(&mut rng);
            let id = self.new_id();
            let path = request_path(kind, &id);
            let response = self
                .send_request_to(
                    &mut caller,
                    &path,
                    &id,
                    kind,
                    (number, incarnation),
                    credential_kind,
                )
                .await;
            if keeps_connection && response.is_some_and(|response| response.stays_open) {
                connected = Some((caller, incarnation));
            }
        }
    }

    fn random_kind(&self, rng: &mut fastrand::Rng) -> (Kind, CredentialKind) {
        let newest = self.version.load(Ordering::Relaxed);
        let previous = newest.saturating_sub(1);
        // A credential that a daemon doesn't know makes it read the store, which hides a late route table.
        let drawn = match self.has_table_probes {
            true => rng.u8(..12),
            false => rng.u8(..16),
        };
        match drawn {
            0..5 => (Kind::Once, CredentialKind::Steady),
            5..8 => (Kind::Safe, CredentialKind::Steady),
            8 => (Kind::Version(newest), CredentialKind::Steady),
            9 => (Kind::Version(previous), CredentialKind::Steady),
            10 => (Kind::Moved, CredentialKind::Steady),
            11 => (Kind::Shared, CredentialKind::Steady),
            12 => (Kind::Safe, CredentialKind::OfVersion(newest)),
            13 => (Kind::Safe, CredentialKind::OfVersion(previous)),
            _ => (Kind::Once, CredentialKind::Limited),
        }
    }

    /// Sends a request and receives the response; `None` if the connection was closed before the whole request was
    /// sent, which is allowed.
    async fn send_request(
        &self,
        caller: &mut Caller,
        kind: Kind,
        number: usize,
        incarnation: usize,
    ) -> Option<CallerResponse> {
        let id = self.new_id();
        let path = request_path(kind, &id);
        self.send_request_to(
            caller,
            &path,
            &id,
            kind,
            (number, incarnation),
            CredentialKind::Steady,
        )
        .await
    }

    pub(super) fn new_id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    pub(super) fn caller_request<'a>(
        &'a self,
        path: &'a str,
        id: &'a str,
        credential: &'a str,
        body_len: usize,
    ) -> CallerRequest<'a> {
        let headers = &self.target.dialect.headers;
        CallerRequest {
            path,
            host: self.target.host,
            id,
            id_header: headers.request_id.as_str(),
            credential,
            credential_header: headers.credential.as_str(),
            body_len,
        }
    }

    /// As [`Harness::send_request`], for a path and an incarnation of a daemon.
    async fn send_request_to(
        &self,
        caller: &mut Caller,
        path: &str,
        id: &str,
        kind: Kind,
        target: (usize, usize),
        credential_kind: CredentialKind,
    ) -> Option<CallerResponse> {
        let credential = credential_kind.credential();
        let request = self.caller_request(path, id, &credential, 0);
        self.checker()
            .sending_with_credential(self.now(), id, kind, target, credential_kind);
        caller.send(&request).await.ok()?;
        let response = caller.receive(&request, RESPONSE_TIMEOUT).await;
        self.checker().ended(self.now(), id, response.ending);
        Some(response)
    }

    /// Waits until every daemon serves every kind of request; reports a breach after [`START_TIMEOUT`].
    pub(super) async fn wait_until_served(&self) {
        let deadline = Instant::now() + START_TIMEOUT;
        for number in 0..self.daemons.len() {
            let newest = Kind::Version(self.version.load(Ordering::Relaxed));
            for kind in [Kind::Safe, Kind::Once, Kind::Moved, Kind::Shared, newest] {
                while !self.is_served(number, kind).await {
                    if Instant::now() > deadline {
                        let description = format!("daemon {number} doesn't serve {kind:?}");
                        self.checker().did_not_recover(self.now(), description);
                        return;
                    }
                    Timer::after(POLL_INTERVAL).await;
                }
            }
        }
    }

    async fn is_served(&self, number: usize, kind: Kind) -> bool {
        let addr = self.daemons[number].addresses.routed.expect("it listens");
        let incarnation = self.checker().current_incarnation(number);
        let Ok(mut caller) = Caller::connect(addr).await else {
            return false;
        };
        let response = self
            .send_request(&mut caller, kind, number, incarnation)
            .await;
        response
            .is_some_and(|response| matches!(response.ending, Ending::Answer { status: 200, .. }))
    }
}

fn request_path(kind: Kind, id: &str) -> String {
    match kind {
        Kind::Safe => format!("/safe/{id}"),
        Kind::Once => format!("/once/{id}"),
        Kind::Version(version) => format!("/version/{version}/{id}"),
        Kind::Moved => format!("/moved/{id}"),
        Kind::Shared => format!("/shared/{id}"),
        Kind::Timed => format!("{TIMED_PATH}{id}"),
    }
}
