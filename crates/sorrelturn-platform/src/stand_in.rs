//! The HTTP server of the stand-in.

use crate::{
    Faults,
    api::{Readable, WireEvents, WireObject},
    hyper_io,
    store::{MAX_VALUE_BYTES, Store, Written},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use smol::{Executor, Timer, future, lock::Mutex, net::TcpListener};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Interval at which an open watch polls for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum size of the metadata of an object in a request body, in bytes.
const MAX_METADATA_BYTES: usize = 4 << 10;

/// An in-memory server of the object API, for tests and demos.
#[derive(Clone, Default)]
pub struct StandIn {
    store: Arc<Mutex<Store>>,
}

/// Serves the object API on `listener` until the future is dropped.
pub async fn serve(ex: Arc<Executor<'static>>, listener: TcpListener, stand_in: StandIn) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(WATCH_POLL_INTERVAL).await;
            continue;
        };
        let stand_in = stand_in.clone();
        let conn = async move {
            let service = service_fn(|req| stand_in.answer(req));
            let _ = http1::Builder::new()
                .serve_connection(hyper_io(stream), service)
                .await;
        };
        ex.spawn(conn).detach();
    }
}

type Answer = Response<Full<Bytes>>;

impl StandIn {
    async fn answer(&self, req: Request<Incoming>) -> Result<Answer, hyper::Error> {
        let path = req.uri().path().to_owned();
        if path.starts_with("/stand-in/") {
            return self.control(req, &path).await;
        }
        let faults = self.store.lock().await.faults.clone();
        Timer::after(Duration::from_millis(faults.slow_ms)).await;
        if faults.silent {
            future::pending::<()>().await;
        }
        if faults.down {
            return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if faults.busy {
            return Ok(status(StatusCode::TOO_MANY_REQUESTS));
        }
        if let Some(object_path) = path.strip_prefix("/v1/objects/") {
            return self.objects(req, object_path).await;
        }
        Ok(match path.as_str() {
            "/v1/vms" => {
                let mut store = self.store.lock().await;
                store.counters.reads += 1;
                json(&store.vms)
            }
            _ => status(StatusCode::NOT_FOUND),
        })
    }

    /// Handles `kind`, `kind/name` and `kind/name/status`.
    async fn objects(
        &self,
        req: Request<Incoming>,
        object_path: &str,
    ) -> Result<Answer, hyper::Error> {
        let (kind, rest) = object_path.split_once('/').unwrap_or((object_path, ""));
        let (name, subresource) = rest.split_once('/').unwrap_or((rest, ""));
        let name = &*percent_decode_str(name).decode_utf8_lossy();
        let query = req.uri().query().unwrap_or("").to_owned();
        let query = Query(&query);
        match (req.method().clone(), name.is_empty()) {
            (Method::GET, true) if query.has("watch") => Ok(self.watch(kind, &query).await),
            (Method::GET, true) => Ok(self.list(kind, &query).await),
            (Method::GET, false) => Ok(self.get(kind, name).await),
            (Method::POST, true) => {
                self.write(req, kind, "", |store, kind, _, object| {
                    store.create(kind, object)
                })
                .await
            }
            (Method::PUT, false) if subresource == "status" => {
                self.write(req, kind, name, Store::replace_status).await
            }
            (Method::PUT, false) => self.write(req, kind, name, Store::replace).await,
            (Method::DELETE, false) => Ok(self.delete(kind, name, &query).await),
            _ => Ok(status(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    async fn get(&self, kind: &str, name: &str) -> Answer {
        let mut store = self.store.lock().await;
        store.counters.reads += 1;
        store
            .get(kind, name)
            .map_or_else(|| status(StatusCode::NOT_FOUND), json)
    }

    async fn list(&self, kind: &str, query: &Query<'_>) -> Answer {
        let mut store = self.store.lock().await;
        store.counters.reads += 1;
        let after = percent_decode_str(query.text("after")).decode_utf8_lossy();
        json(&store.page(kind, &after))
    }

    async fn delete(&self, kind: &str, name: &str, query: &Query<'_>) -> Answer {
        let mut store = self.store.lock().await;
        store.counters.writes += 1;
        let written = store.delete(kind, name, query.number("revision"));
        write_response(written)
    }

    async fn write(
        &self,
        req: Request<Incoming>,
        kind: &str,
        name: &str,
        apply: fn(&mut Store, &str, &str, WireObject) -> Written,
    ) -> Result<Answer, hyper::Error> {
        let Ok(body) = Limited::new(req.into_body(), MAX_VALUE_BYTES + MAX_METADATA_BYTES)
            .collect()
            .await
        else {
            return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
        };
        let Ok(object) = serde_json::from_slice::<WireObject>(&body.to_bytes()) else {
            return Ok(status(StatusCode::BAD_REQUEST));
        };
        let mut store = self.store.lock().await;
        store.counters.writes += 1;
        if store.faults.lose_write_answers == 0 {
            return Ok(write_response(apply(&mut store, kind, name, object)));
        }
        store.faults.lose_write_answers -= 1;
        let delay = Duration::from_millis(store.faults.late_write_ms);
        drop(store);
        Timer::after(delay).await;
        apply(&mut *self.store.lock().await, kind, name, object);
        // The client gets a gateway timeout, or has timed out itself, and can't tell whether the write took effect.
        Ok(status(StatusCode::GATEWAY_TIMEOUT))
    }

    async fn watch(&self, kind: &str, query: &Query<'_>) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(query.number("wait_ms"));
        let since = query.number("watch");
        {
            let mut store = self.store.lock().await;
            store.counters.watches += 1;
            store.counters.watches_waiting += 1;
        }
        loop {
            let mut store = self.store.lock().await;
            let events = store.events(kind, since);
            let is_silent = store.faults.silent_watches;
            let is_expired = Instant::now() >= deadline || store.faults.down;
            let answer = match events {
                None => Some(status(StatusCode::GONE)),
                Some(_) if is_silent && !is_expired => None,
                Some(_) if is_silent => Some(json(&WireEvents {
                    events: Readable::default(),
                    store_revision: since,
                })),
                Some(changes) if is_expired || !changes.events.entries.is_empty() => {
                    Some(json(&changes))
                }
                Some(_) => None,
            };
            if let Some(answer) = answer {
                store.counters.watches_waiting -= 1;
                return answer;
            }
            drop(store);
            Timer::after(WATCH_POLL_INTERVAL).await;
        }
    }

    async fn control(&self, req: Request<Incoming>, path: &str) -> Result<Answer, hyper::Error> {
        let method = req.method().clone();
        let body = req.into_body().collect().await?.to_bytes();
        let mut store = self.store.lock().await;
        Ok(match (&method, path) {
            (&Method::GET, "/stand-in/counters") => json(&store.counters),
            (&Method::PUT, "/stand-in/faults") => match serde_json::from_slice::<Faults>(&body) {
                Ok(faults) => {
                    if faults.forget_history {
                        store.forget_history();
                    }
                    store.faults = faults;
                    status(StatusCode::NO_CONTENT)
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            (&Method::PUT, "/stand-in/vms") => match serde_json::from_slice(&body) {
                Ok(vms) => {
                    store.vms = vms;
                    status(StatusCode::NO_CONTENT)
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            _ => status(StatusCode::NOT_FOUND),
        })
    }
}

fn write_response(written: Written) -> Answer {
    match written {
        Written::Done(object) => json(&object),
        Written::Absent => status(StatusCode::NOT_FOUND),
        Written::Conflict(object) => {
            let mut res = json(&object);
            *res.status_mut() = StatusCode::CONFLICT;
            res
        }
    }
}

fn status(code: StatusCode) -> Answer {
    let mut res = Response::new(Full::default());
    *res.status_mut() = code;
    res
}

fn json(value: &impl Serialize) -> Answer {
    Response::new(Full::from(serde_json::to_vec(value).unwrap_or_default()))
}

struct Query<'a>(&'a str);

impl Query<'_> {
    fn text(&self, name: &str) -> &str {
        self.0
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
            .unwrap_or("")
    }

    fn has(&self, name: &str) -> bool {
        !self.text(name).is_empty()
    }

    fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}
