//! The stand-in's HTTP face.

use crate::{
    Faults,
    store::{Store, VALUE_LIMIT_BYTES},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header::IF_MATCH, server::conn::http1,
    service::service_fn,
};
use serde::Serialize;
use smol::{Executor, Timer, lock::Mutex, net::TcpListener};
use smol_hyper::rt::FuturesIo;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// How often a waiting watch looks for changes; far below the seconds that a spread may take.
const WATCH_STEP: Duration = Duration::from_millis(5);

/// The stand-in's state.
#[derive(Clone, Default)]
pub struct StandIn {
    store: Arc<Mutex<Store>>,
}

/// Serves the object API on `listener` until the task is dropped.
pub async fn serve(ex: Arc<Executor<'static>>, listener: TcpListener, stand_in: StandIn) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(WATCH_STEP).await;
            continue;
        };
        let stand_in = stand_in.clone();
        let conn = async move {
            let service = service_fn(|req| stand_in.answer(req));
            let _ = http1::Builder::new()
                .serve_connection(FuturesIo::new(stream), service)
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
        if faults.down {
            return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if let Some(key) = path.strip_prefix("/v1/objects/") {
            return match *req.method() {
                Method::PUT => self.put(req, key).await,
                Method::DELETE => Ok(self.delete(key).await),
                _ => Ok(self.get(key).await),
            };
        }
        let query = Query(req.uri().query().unwrap_or(""));
        Ok(match path.as_str() {
            "/v1/list" => self.list(&query).await,
            "/v1/watch" => self.watch(&query).await,
            "/v1/vms" => {
                let mut store = self.store.lock().await;
                store.counters.reads += 1;
                json(&store.vms)
            }
            _ => status(StatusCode::NOT_FOUND),
        })
    }

    async fn get(&self, key: &str) -> Answer {
        let mut store = self.store.lock().await;
        store.counters.reads += 1;
        store
            .get(key)
            .map_or_else(|| status(StatusCode::NOT_FOUND), json)
    }

    async fn delete(&self, key: &str) -> Answer {
        let mut store = self.store.lock().await;
        store.counters.writes += 1;
        store.delete(key);
        status(StatusCode::NO_CONTENT)
    }

    async fn put(&self, req: Request<Incoming>, key: &str) -> Result<Answer, hyper::Error> {
        let expected = req
            .headers()
            .get(IF_MATCH)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let Ok(body) = Limited::new(req.into_body(), VALUE_LIMIT_BYTES)
            .collect()
            .await
        else {
            return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
        };
        let Ok(value) = String::from_utf8(body.to_bytes().to_vec()) else {
            return Ok(status(StatusCode::BAD_REQUEST));
        };
        let mut store = self.store.lock().await;
        store.counters.writes += 1;
        let result = store.put(key, value, expected);
        if store.faults.lose_write_answers > 0 {
            store.faults.lose_write_answers -= 1;
            // The client sees a gateway's time-out, which leaves the write's fate open.
            return Ok(status(StatusCode::GATEWAY_TIMEOUT));
        }
        Ok(match result {
            Ok(version) => json(&version),
            Err(current) => {
                let mut res = json(&current);
                *res.status_mut() = StatusCode::CONFLICT;
                res
            }
        })
    }

    async fn list(&self, query: &Query<'_>) -> Answer {
        let mut store = self.store.lock().await;
        store.counters.reads += 1;
        json(&store.changes(query.text("prefix"), 0))
    }

    async fn watch(&self, query: &Query<'_>) -> Answer {
        let until = Instant::now() + Duration::from_millis(query.number("wait_ms"));
        let since = query.number("since");
        {
            let mut store = self.store.lock().await;
            store.counters.watches += 1;
            store.counters.watches_waiting += 1;
        }
        loop {
            let mut store = self.store.lock().await;
            let mut changes = store.changes(query.text("prefix"), since);
            if store.faults.silent_watches {
                changes.objects.clear();
                changes.revision = since;
            }
            let over = Instant::now() >= until || store.faults.down;
            if over || !changes.objects.is_empty() {
                store.counters.watches_waiting -= 1;
                return json(&changes);
            }
            drop(store);
            Timer::after(WATCH_STEP).await;
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

    fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}
