//! Client of the object API.

use crate::{
    Changes, Object, VmEntry,
    api::{Readable, WireEvents, WireList, WireObject},
    http::{ExchangeError, exchange},
    keys, tolerant_json,
};
use bytes::Bytes;
use displaydoc::Display;
use hyper::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use percent_encoding::{AsciiSet, CONTROLS, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// The default path of objects on the platform.
pub const OBJECTS_PATH: &str = "/v1/objects";

/// Characters of names that are encoded in paths: those that a path can't hold, or that end its segment.
const ENCODED_IN_PATHS: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'%')
    .add(b'/')
    .add(b'<')
    .add(b'>')
    .add(b'?')
    .add(b'\\')
    .add(b'^')
    .add(b'`')
    .add(b'{')
    .add(b'|')
    .add(b'}');

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The object doesn't exist.
    Absent,
    /// The object is at this version.
    Version(u64),
    /// No precondition.
    Anything,
}

/// An error of a call to the platform.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// the platform can't be reached: {0}
    Unavailable(String),
    /// the response to the write was lost, so it may have taken effect: {0}
    AnswerLost(String),
    /// another client changed the object, which is now at version {0}
    Conflict(u64),
    /// the object doesn't exist
    Absent,
    /// the watch missed a change that was received another way, so its connection is stalled
    WatchStalled,
    /// the platform no longer has the history since the revision of the watch
    HistoryGone,
    /// the platform rejected the call with status {0}
    Refused(u16),
    /// the platform's response can't be parsed
    Unreadable,
}

impl std::error::Error for PlatformError {}

/// A client of the platform. Each call uses a new connection, so there is none to re-establish after an outage.
#[derive(Debug)]
pub struct Platform {
    addr: SocketAddr,
    objects_path: String,
    timeout: Duration,
    call_count: AtomicU64,
}

impl Platform {
    /// Creates a client of the platform at `addr`. `timeout` applies to each call; watches add their own
    /// waiting time to it.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            addr,
            objects_path: OBJECTS_PATH.to_owned(),
            timeout,
            call_count: AtomicU64::new(0),
        }
    }

    /// Replaces the path of objects, which is [`OBJECTS_PATH`] by default.
    pub fn with_objects_path(mut self, path: &str) -> Self {
        self.objects_path = path.trim_end_matches('/').to_owned();
        self
    }

    /// Returns the number of calls made. `docs/CAPACITY.md` has the budget.
    pub fn call_count(&self) -> u64 {
        self.call_count.load(Ordering::Relaxed)
    }

    /// Reads an object, or `None` if it doesn't exist.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let req = request(Method::GET, &self.object_path(key));
        let res = self.call(req, self.timeout).await.map_err(unavailable)?;
        match read::<WireObject>(&res) {
            Ok(object) => Ok(Some(object.into_object(keys::prefix(key)))),
            Err(PlatformError::Absent) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes an object and returns its new version.
    ///
    /// After [`PlatformError::AnswerLost`] the write may or may not have taken effect. Use
    /// [`Platform::put_resolved`] to find out.
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
        let object = new_object(name, value, 0)?;
        self.write(Method::POST, &self.kind_path(key), &object)
            .await
    }

    /// Replaces an object. A version of 0 sets no condition.
    async fn replace(&self, key: &str, value: &str, version: u64) -> Result<u64, PlatformError> {
        let (_, name) = keys::kind_and_name(key);
        let object = new_object(name, value, version)?;
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
            let current = read_body::<WireObject>(&res)?;
            return Err(PlatformError::Conflict(current.metadata.revision));
        }
        read::<WireObject>(&res).map(|object| object.metadata.revision)
    }

    /// Writes an object and reads it back after a lost response or a conflict.
    ///
    /// `is_mine` recognises the written value, so that a write that took effect without a response
    /// succeeds.
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

    /// Deletes an object at any version. Succeeds if it doesn't exist.
    pub async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let req = request(Method::DELETE, &self.object_path(key));
        let res = self.call(req, self.timeout).await.map_err(unavailable)?;
        match res.status() {
            StatusCode::NOT_FOUND => Ok(()),
            status if status.is_success() => Ok(()),
            status => Err(PlatformError::Unavailable(status.to_string())),
        }
    }

    /// Lists all objects whose keys start with `prefix`, which ends with a slash, over all pages.
    pub async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        let mut all = Changes::default();
        let mut after = String::new();
        loop {
            let mut path = self.kind_path(prefix);
            if !after.is_empty() {
                // Others name objects too, and may use characters that a URI can't hold.
                let after = utf8_percent_encode(&after, NON_ALPHANUMERIC);
                path = format!("{path}?after={after}");
            }
            let req = request(Method::GET, &path);
            let res = self.call(req, self.timeout).await.map_err(unavailable)?;
            let page: WireList = read(&res)?;
            // The next watch continues from the first page, so it reports changes between pages.
            if all.revision == 0 {
                all.revision = page.store_revision;
            }
            let last = page.last_name();
            let items = Readable::<WireObject>::parse(&page.items);
            all.left_out += items.left_out;
            let objects = items.entries.into_iter();
            all.objects
                .extend(objects.map(|object| object.into_object(keys::prefix(prefix))));
            match last {
                Some(name) if page.has_more => after = name,
                _ => return Ok(all),
            }
        }
    }

    /// Waits up to `max_wait` for changes under `prefix` after the revision `since`.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        max_wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let kind = self.kind_path(prefix);
        let path = format!("{kind}?watch={since}&wait_ms={}", max_wait.as_millis());
        let timeout = max_wait + self.timeout;
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

    /// Reads the list of VMs. Entries that can't be parsed are skipped.
    pub async fn vms(&self) -> Result<Vec<VmEntry>, PlatformError> {
        let req = request(Method::GET, "/v1/vms");
        let res = self.call(req, self.timeout).await.map_err(unavailable)?;
        read::<Readable<VmEntry>>(&res).map(|vms| vms.entries)
    }

    fn kind_path(&self, key: &str) -> String {
        let (kind, _) = keys::kind_and_name(key);
        let kind = utf8_percent_encode(&kind, ENCODED_IN_PATHS);
        format!("{}/{kind}", self.objects_path)
    }

    fn object_path(&self, key: &str) -> String {
        let (_, name) = keys::kind_and_name(key);
        let name = utf8_percent_encode(name, ENCODED_IN_PATHS);
        format!("{}/{name}", self.kind_path(key))
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
    *req.uri_mut() = path.parse().expect("keys are encoded");
    let json = hyper::header::HeaderValue::from_static("application/json");
    req.headers_mut().insert(CONTENT_TYPE, json);
    req
}

fn new_object(name: &str, value: &str, version: u64) -> Result<WireObject, PlatformError> {
    WireObject::of(name, value, version).map_err(|_| PlatformError::Unreadable)
}

fn unavailable(error: ExchangeError) -> PlatformError {
    PlatformError::Unavailable(error.to_string())
}

fn read<T: DeserializeOwned>(res: &Response<Bytes>) -> Result<T, PlatformError> {
    match res.status() {
        status if status.is_success() => read_body(res),
        StatusCode::NOT_FOUND => Err(PlatformError::Absent),
        StatusCode::GONE => Err(PlatformError::HistoryGone),
        status @ (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
            Err(PlatformError::Unavailable(format!("status {status}")))
        }
        status => Err(PlatformError::Refused(status.as_u16())),
    }
}

fn read_body<T: DeserializeOwned>(res: &Response<Bytes>) -> Result<T, PlatformError> {
    tolerant_json::parse(res.body()).map_err(|_| PlatformError::Unreadable)
}
