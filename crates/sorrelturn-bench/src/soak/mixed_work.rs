//! Callers that send what the callers of a mesh send: uploads, several requests behind one another on a connection, and
//! requests whose response they don't wait for.

use super::{
    caller::{Caller, CallerRequest},
    checker::{Ending, Kind},
    harness::{CALLING_PATH, Harness, RESPONSE_TIMEOUT},
    workspaces::CredentialKind,
};
use smol::{Timer, future::FutureExt};
use std::time::Duration;

const MAX_PAUSE_MS: u64 = 20;
/// The largest number of requests that are sent before the first response.
const MAX_REQUESTS_IN_A_ROW: usize = 4;
/// Below and above the size after which a connection to a backend server isn't used again.
const MAX_UPLOAD_BYTES: usize = 120_000;
/// Callers that go do so while their request is executed, or shortly before.
const MAX_PATIENCE_MS: u64 = 20;

/// A request of a series.
struct MixedRequest {
    id: String,
    path: String,
    kind: Kind,
    body_len: usize,
}

impl Harness {
    /// Sends series of requests to one daemon until the soak ends, each over a new connection.
    pub(super) async fn run_mixed_caller(&self, number: usize) {
        let mut rng = fastrand::Rng::new();
        while !self.is_over() {
            Timer::after(Duration::from_millis(rng.u64(..MAX_PAUSE_MS))).await;
            let count = match rng.u8(..3) {
                0 => rng.usize(2..=MAX_REQUESTS_IN_A_ROW),
                _ => 1,
            };
            let requests: Vec<_> = (0..count).map(|_| self.mixed_request(&mut rng)).collect();
            let patience = (rng.u8(..8) == 0).then(|| rng.u64(..MAX_PATIENCE_MS));
            let series = self.send_series(number, &requests);
            match patience {
                Some(ms) => {
                    let gone = async {
                        Timer::after(Duration::from_millis(ms)).await;
                    };
                    series.or(gone).await;
                }
                None => series.await,
            }
        }
    }

    fn mixed_request(&self, rng: &mut fastrand::Rng) -> MixedRequest {
        let id = self.new_id();
        let (path, kind) = match rng.u8(..10) {
            0..4 => (format!("/once/{id}"), Kind::Once),
            4..7 => (format!("{CALLING_PATH}{id}"), Kind::Once),
            _ => (format!("/safe/{id}"), Kind::Safe),
        };
        let is_upload = kind == Kind::Once && rng.u8(..3) == 0;
        let body_len = match is_upload {
            true => rng.usize(1..MAX_UPLOAD_BYTES),
            false => 0,
        };
        MixedRequest {
            id,
            path,
            kind,
            body_len,
        }
    }

    /// Sends all requests and then receives their responses.
    async fn send_series(&self, number: usize, requests: &[MixedRequest]) {
        let addr = self.daemons[number].addresses.routed.expect("it listens");
        let incarnation = self.checker().current_incarnation(number);
        let Ok(mut caller) = Caller::connect(addr).await else {
            return;
        };
        if self.checker().current_incarnation(number) != incarnation {
            return;
        }
        let credential = CredentialKind::Steady.credential();
        let described = requests.iter().map(|request| {
            self.caller_request(&request.path, &request.id, &credential, request.body_len)
        });
        let described: Vec<CallerRequest<'_>> = described.collect();
        let mut sent_count = 0;
        for (request, described) in requests.iter().zip(&described) {
            {
                let mut checker = self.checker();
                checker.sending(self.now(), &request.id, request.kind, number, incarnation);
                if sent_count > 0 {
                    checker.sent_behind_another(&request.id);
                }
            }
            if caller.send(described).await.is_err() {
                // A daemon may refuse an upload and close the connection before it is sent whole.
                break;
            }
            sent_count += 1;
        }
        for (at, described) in described[..sent_count].iter().enumerate() {
            caller.has_more = at + 1 < sent_count;
            let response = caller.receive(described, RESPONSE_TIMEOUT).await;
            self.checker()
                .ended(self.now(), described.id, response.ending);
            if !response.stays_open || !matches!(response.ending, Ending::Answer { .. }) {
                return;
            }
        }
    }
}
