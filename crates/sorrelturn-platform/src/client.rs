//! The client of the object API.

use crate::{
    Changes, Object, VmEntry,
    api::{WireEvents, WireList, WireObject},
    http::{ExchangeError, exchange},
    keys,
};
use bytes::Bytes;
use displaydoc::Display;
use hyper::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use serde::de::DeserializeOwned;
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Where objects lie on a platform that doesn't say otherwise.
pub const OBJECTS_PATH: &str = "/v1/objects";

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
    /// the object doesn't exist
    Absent,
    /// news came another way that a watch should have told: its connection is silent
    WatchStalled,
    /// the platform no longer has the history that the watch asks for
    HistoryGone,
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
    objects_path: String,
    timeout: Duration,
    call_count: AtomicU64,
}

impl Platform {
    /// Talks to the platform at `addr`; each call but a watch ends within `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            addr,
            objects_path: OBJECTS_PATH.to_owned(),
            timeout,
            call_count: AtomicU64::new(0),
        }
    }

    /// Takes another path for objects, for platforms that have them elsewhere.
    pub fn with_objects_path(mut self, path: &str) -> Self {
        self.objects_path = path.trim_end_matches('/').to_owned();
        self
    }

    /// How many calls went out, for the budget in `docs/CAPACITY.md`.
    pub fn call_count(&self) -> u64 {
        self.call_count.load(Ordering::Relaxed)
    }

    /// Reads one object.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let req = request(Method::GET, &self.object_path(key));
        let res = self.call(req, self.timeout).await.map_err(unavailable)?;
        match read::<WireObject>(&res) {
            Ok(object) => Ok(Some(object.into_object(keys::prefix(key)))),
            Err(PlatformError::Absent) => Ok(None),
            Err(error) => Err(error),
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
        match expected {
            Expected::Absent => self.create(key, value).await,
            Expected::Version(version) => self.replace(key, value, version).await,
            Expected::Anything => match self.replace(key, value, 0).await {
                Err(PlatformError::Absent) => self.create(key, value).await,
                result => result,
            },
        }
    }

    async fn create(&self, key: &str, value: &str) -> Result<u64, PlatformError> {
        let (_, name) = keys::kind_and_name(key);
        let object = WireObject::of(name, value, 0);
        self.write(Method::POST, &self.kind_path(key), &object)
            .await
    }

    /// A version of 0 sets no condition.
    async fn replace(&self, key: &str, value: &str, version: u64) -> Result<u64, PlatformError> {
        let (_, name) = keys::kind_and_name(key);
        let object = WireObject::of(name, value, version);
        self.write(Method::PUT, &self.object_path(key), &object)
            .await
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        object: &WireObject,
    ) -> Result<u64, PlatformError> {
        let mut req = request(method, path);
        let body = serde_json::to_vec(object).map_err(|_| PlatformError::Unreadable)?;
        *req.body_mut() = body.into();
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
            let current = serde_json::from_slice::<WireObject>(res.body())
                .map_err(|_| PlatformError::Unreadable)?;
            return Err(PlatformError::Conflict(current.metadata.revision));
        }
        read::<WireObject>(&res).map(|object| object.metadata.revision)
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
        let req = request(Method::DELETE, &self.object_path(key));
        let res = self.call(req, self.timeout).await.map_err(unavailable)?;
        match res.status() {
            StatusCode::NOT_FOUND => Ok(()),
            status if status.is_success() => Ok(()),
            status => Err(PlatformError::Unavailable(status.to_string())),
        }
    }

    /// Reads all objects whose keys start with `prefix`, which ends with a slash; page by page
    /// where there are many.
    pub async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        let mut all = Changes::default();
        let mut after = String::new();
        loop {
            let mut path = self.kind_path(prefix);
            if !after.is_empty() {
                path = format!("{path}?after={after}");
            }
            let req = request(Method::GET, &path);
            let res = self.call(req, self.timeout).await.map_err(unavailable)?;
            let page: WireList = read(&res)?;
            // A change between two pages is seen by the watch, which goes on from the first one.
            if all.revision == 0 {
                all.revision = page.store_revision;
            }
            all.left_out += page.items.left_out;
            let items = page.items.entries;
            let last = items.last().map(|item| item.metadata.name.clone());
            let objects = items.into_iter();
            all.objects
                .extend(objects.map(|object| object.into_object(keys::prefix(prefix))));
            match last {
                Some(name) if page.has_more => after = name,
                _ => return Ok(all),
            }
        }
    }

    /// Waits up to `wait` for changes under `prefix` after the revision `since`.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let kind = self.kind_path(prefix);
        let path = format!("{kind}?watch={since}&wait_ms={}", wait.as_millis());
        let timeout = wait + self.timeout;
        let req = request(Method::GET, &path);
        let res = self.call(req, timeout).await.map_err(unavailable)?;
        let answer: WireEvents = read(&res)?;
        let mut changes = Changes {
            revision: answer.store_revision,
            left_out: answer.events.left_out,
            ..Changes::default()
        };
        for event in answer.events.entries {
            let object = event.object.into_object(keys::prefix(prefix));
            if event.removed {
                changes.removed.push(object.key);
            } else {
                changes.objects.push(object);
            }
        }
        Ok(changes)
    }

    /// Reads the list of live and leaving VMs.
    pub async fn vms(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let req = request(Method::GET, "/v1/vms");
        read(&self.call(req, self.timeout).await.map_err(unavailable)?)
    }

    fn kind_path(&self, key: &str) -> String {
        let (kind, _) = keys::kind_and_name(key);
        format!("{}/{kind}", self.objects_path)
    }

    fn object_path(&self, key: &str) -> String {
        let (kind, name) = keys::kind_and_name(key);
        format!("{}/{kind}/{name}", self.objects_path)
    }

    async fn call(
        &self,
        req: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.call_count.fetch_add(1, Ordering::Relaxed);
        exchange(self.addr, req, timeout).await
    }
}

fn request(method: Method, path: &str) -> Request<Bytes> {
    let mut req = Request::new(Bytes::new());
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().expect("keys hold only characters of a URI");
    let json = hyper::header::HeaderValue::from_static("application/json");
    req.headers_mut().insert(CONTENT_TYPE, json);
    req
}

fn unavailable(error: ExchangeError) -> PlatformError {
    PlatformError::Unavailable(error.to_string())
}

fn read<T: DeserializeOwned>(res: &Response<Bytes>) -> Result<T, PlatformError> {
    match res.status() {
        status if status.is_success() => {
            serde_json::from_slice(res.body()).map_err(|_| PlatformError::Unreadable)
        }
        StatusCode::NOT_FOUND => Err(PlatformError::Absent),
        StatusCode::GONE => Err(PlatformError::HistoryGone),
        status @ (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
            Err(PlatformError::Unavailable(format!("it answers {status}")))
        }
        status => Err(PlatformError::Refused(status.as_u16())),
    }
}
