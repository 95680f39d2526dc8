//! The client of the object API.

use crate::{
    Changes, Object, VmEntry,
    http::{ExchangeError, exchange},
};
use bytes::Bytes;
use displaydoc::Display;
use hyper::{Method, Request, Response, StatusCode, header::IF_MATCH};
use serde::de::DeserializeOwned;
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// What a conditional update expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No object.
    Absent,
    /// The object at this version.
    Version(u64),
    /// Whatever there is: an update without a condition.
    Anything,
}

/// Why a call to the platform has no result.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// the platform can't be reached: {0}
    Unavailable(String),
    /// the write's answer was lost, so it may have taken effect: {0}
    AnswerLost(String),
    /// somebody else changed the object first; it is at version {0} now
    Conflict(u64),
    /// the platform refused the call with status {0}
    Refused(u16),
    /// the platform's answer can't be read
    Unreadable,
}

impl std::error::Error for PlatformError {}

/// A handle on the platform. It keeps no connection, so an outage leaves nothing to repair.
#[derive(Debug)]
pub struct Platform {
    addr: SocketAddr,
    timeout: Duration,
    calls: AtomicU64,
}

impl Platform {
    /// Talks to the platform at `addr`; each call but a watch ends within `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            addr,
            timeout,
            calls: AtomicU64::new(0),
        }
    }

    /// How many calls went out, for the budget in `docs/CAPACITY.md`.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads one object.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let req = request(Method::GET, &format!("/v1/objects/{key}"));
        let res = self.call(req, self.timeout).await.map_err(unavailable)?;
        match res.status() {
            StatusCode::NOT_FOUND => Ok(None),
            _ => read(&res).map(Some),
        }
    }

    /// Writes one object and returns its new version.
    ///
    /// [`PlatformError::AnswerLost`] leaves open whether the write took effect; where that
    /// matters use [`Platform::put_resolved`].
    pub async fn put(
        &self,
        key: &str,
        value: &str,
        expected: Expected,
    ) -> Result<u64, PlatformError> {
        let mut req = request(Method::PUT, &format!("/v1/objects/{key}"));
        *req.body_mut() = Bytes::copy_from_slice(value.as_bytes());
        let condition = match expected {
            Expected::Absent => Some(0),
            Expected::Version(version) => Some(version),
            Expected::Anything => None,
        };
        if let Some(version) = condition {
            req.headers_mut().insert(IF_MATCH, version.into());
        }
        let res = self
            .call(req, self.timeout)
            .await
            .map_err(|error| match error {
                ExchangeError::NotSent(error) => PlatformError::Unavailable(error.to_string()),
                other => PlatformError::AnswerLost(other.to_string()),
            })?;
        if res.status() == StatusCode::GATEWAY_TIMEOUT {
            return Err(PlatformError::AnswerLost(
                "the gateway timed out".to_owned(),
            ));
        }
        if res.status() == StatusCode::CONFLICT {
            let current: u64 = serde_json::from_slice(res.body()).unwrap_or(0);
            return Err(PlatformError::Conflict(current));
        }
        read(&res)
    }

    /// Writes one object; where the answer is lost or the race is, reads it back.
    ///
    /// `is_mine` recognises the own value, so that a write that took effect unseen counts as done.
    pub async fn put_resolved(
        &self,
        key: &str,
        value: &str,
        expected: Expected,
        is_mine: impl Fn(&str) -> bool,
    ) -> Result<u64, PlatformError> {
        let error = match self.put(key, value, expected).await {
            Ok(version) => return Ok(version),
            Err(error @ (PlatformError::AnswerLost(_) | PlatformError::Conflict(_))) => error,
            Err(error) => return Err(error),
        };
        match self.get(key).await {
            Ok(Some(object)) if is_mine(&object.value) => Ok(object.version),
            Ok(Some(object)) => Err(PlatformError::Conflict(object.version)),
            Ok(None) => Err(error),
            Err(_) => Err(error),
        }
    }

    /// Deletes one object, whatever its version; one that isn't there is deleted too.
    pub async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let req = request(Method::DELETE, &format!("/v1/objects/{key}"));
        let res = self.call(req, self.timeout).await.map_err(unavailable)?;
        match res.status() {
            StatusCode::NO_CONTENT => Ok(()),
            status => Err(PlatformError::Unavailable(status.to_string())),
        }
    }

    /// Reads all objects whose keys start with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        let req = request(Method::GET, &format!("/v1/list?prefix={prefix}"));
        read(&self.call(req, self.timeout).await.map_err(unavailable)?)
    }

    /// Waits up to `wait` for changes under `prefix` after the revision `since`.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?prefix={prefix}&since={since}&wait_ms={wait_ms}");
        let timeout = wait + self.timeout;
        let req = request(Method::GET, &path);
        read(&self.call(req, timeout).await.map_err(unavailable)?)
    }

    /// Reads the list of live and leaving VMs.
    pub async fn vms(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let req = request(Method::GET, "/v1/vms");
        read(&self.call(req, self.timeout).await.map_err(unavailable)?)
    }

    async fn call(
        &self,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        exchange(self.addr, req, timeout).await
    }
}

fn request(method: Method, path: &str) -> Request<Bytes> {
    let mut req = Request::new(Bytes::new());
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().expect("keys hold only characters of a URI");
    req
}

fn unavailable(error: ExchangeError) -> PlatformError {
    PlatformError::Unavailable(error.to_string())
}

fn read<T: DeserializeOwned>(res: &Response<Bytes>) -> Result<T, PlatformError> {
    if !res.status().is_success() {
        return Err(match res.status() {
            StatusCode::SERVICE_UNAVAILABLE => {
                PlatformError::Unavailable("it answers 503".to_owned())
            }
            status => PlatformError::Refused(status.as_u16()),
        });
    }
    serde_json::from_slice(res.body()).map_err(|_| PlatformError::Unreadable)
}
