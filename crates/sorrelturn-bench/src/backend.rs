//! A fake backend server: slots, work, nested calls, faults on command, and a count of what ran.

use crate::{
    client::{self, Client},
    plan::{Fault, KindPlan, Plan},
};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody, combinators::BoxBody};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use smol::{Executor, Timer, lock::Semaphore, net::TcpListener, stream};
use sorrelturn_platform::hyper_io;
use std::{
    collections::HashMap,
    convert::Infallible,
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

type Body = BoxBody<Bytes, io::Error>;

/// The size of the pieces in which answers are sent.
const PIECE_BYTES: usize = 64 << 10;

/// A fake backend server's state.
#[derive(Clone, Default)]
pub struct FakeBackend {
    state: Arc<Mutex<State>>,
    executions: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
    cancelled: Arc<AtomicU64>,
}

struct State {
    plan: Plan,
    slots: Arc<Semaphore>,
    executions_by_key: HashMap<String, u32>,
    clients: Option<Client>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            plan: Plan::default(),
            slots: Arc::new(Semaphore::new(1)),
            executions_by_key: HashMap::new(),
            clients: None,
        }
    }
}

/// Serves on `listener` until the task is dropped.
pub async fn serve_backend(
    ex: Arc<Executor<'static>>,
    listener: TcpListener,
    backend: FakeBackend,
) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let _ = tcp.set_nodelay(true);
        let (backend, nested) = (backend.clone(), Arc::clone(&ex));
        let conn = async move {
            let service = service_fn(|req| backend.answer(&nested, req));
            let _ = http1::Builder::new()
                .serve_connection(hyper_io(tcp), service)
                .await;
        };
        ex.spawn(conn).detach();
    }
}

/// Counts a request that was dropped before its end as cancelled.
struct Running {
    cancelled: Arc<AtomicU64>,
    finished: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.finished {
            self.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl FakeBackend {
    /// Replaces the plan; requests under way go on with the old one.
    pub fn set_plan(&self, plan: Plan) {
        let mut state = self.lock();
        if plan.slots != state.plan.slots {
            state.slots = Arc::new(Semaphore::new(plan.slots.max(1)));
        }
        if plan.local != state.plan.local {
            state.clients = None;
        }
        state.plan = plan;
    }

    /// Changes a part of the plan.
    pub fn change_plan(&self, change: impl FnOnce(&mut Plan)) {
        let mut plan = self.lock().plan.clone();
        change(&mut plan);
        self.set_plan(plan);
    }

    /// How many requests were begun.
    pub fn executions(&self) -> u64 {
        self.executions.load(Ordering::Relaxed)
    }

    /// How many requests were refused before any work.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// How many requests were dropped by their caller.
    pub fn cancelled(&self) -> u64 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// How often each request that carried `x-execution-key` was begun.
    pub fn executions_by_key(&self) -> HashMap<String, u32> {
        self.lock().executions_by_key.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(
        &self,
        ex: &Arc<Executor<'static>>,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Infallible> {
        let path = req.uri().path().to_owned();
        Ok(match (req.method(), path.as_str()) {
            (&Method::PUT, "/fake/plan") => self.take_plan(req).await,
            (&Method::GET, "/fake/ran") => {
                let text = serde_json::to_vec(&self.executions_by_key()).unwrap_or_default();
                whole(StatusCode::OK, text)
            }
            (&Method::GET, "/fake/counts") => {
                let counts = [self.executions(), self.cancelled()];
                whole(
                    StatusCode::OK,
                    serde_json::to_vec(&counts).unwrap_or_default(),
                )
            }
            _ => self.work(ex, req).await,
        })
    }

    async fn take_plan(&self, req: Request<Incoming>) -> Response<Body> {
        let body = req.into_body().collect().await.map(|body| body.to_bytes());
        let plan = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok());
        match plan {
            Some(plan) => {
                self.set_plan(plan);
                whole(StatusCode::OK, "{}")
            }
            None => whole(StatusCode::BAD_REQUEST, "no plan"),
        }
    }

    async fn work(&self, ex: &Arc<Executor<'static>>, req: Request<Incoming>) -> Response<Body> {
        let (plan, slots, client) = {
            let mut state = self.lock();
            let local = state.plan.local;
            if state.clients.is_none() {
                state.clients = local.map(|local| Client::new(Arc::clone(ex), local));
            }
            (
                state.plan.clone(),
                Arc::clone(&state.slots),
                state.clients.clone(),
            )
        };
        if plan.fault == Fault::Refuses {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return whole(StatusCode::SERVICE_UNAVAILABLE, "busy");
        }
        let mut running = Running {
            cancelled: Arc::clone(&self.cancelled),
            finished: false,
        };
        let (parts, body) = req.into_parts();
        let kind = plan
            .kinds
            .iter()
            .find(|kind| kind.matches(parts.method.as_str(), parts.uri.path()));
        let Some(kind) = kind else {
            running.finished = true;
            return whole(StatusCode::NOT_FOUND, "no such kind");
        };
        self.executions.fetch_add(1, Ordering::Relaxed);
        if let Some(key) = text(&parts.headers, "x-execution-key") {
            let name = format!("{key} {}", kind.name);
            *self.lock().executions_by_key.entry(name).or_default() += 1;
        }
        let _ = body.collect().await;
        let _slot = slots.acquire().await;
        Timer::after(Duration::from_secs_f64(kind.work_ms * plan.slow / 1000.0)).await;
        let nested = nested_calls(client.as_ref(), kind, &plan, &parts.headers).await;
        running.finished = true;
        if !nested {
            return whole(StatusCode::BAD_GATEWAY, "a nested call failed");
        }
        let query = parts.uri.query().unwrap_or("");
        finish(&plan, query, text(&parts.headers, "x-echo"))
    }
}

/// Makes the nested calls as a well-behaved backend server does: with the headers of its request.
async fn nested_calls(
    client: Option<&Client>,
    kind: &KindPlan,
    plan: &Plan,
    headers: &HeaderMap,
) -> bool {
    let Some(client) = client else {
        return kind.calls.is_empty();
    };
    for call in &kind.calls {
        let mut good = false;
        for _ in 0..plan.nested_tries.max(1) {
            let mut req = Request::new(Bytes::new());
            *req.method_mut() = call.method.parse().unwrap_or(Method::GET);
            *req.uri_mut() = call.path.parse().unwrap_or_default();
            for name in ["traceparent", "sorrelturn-parent", "x-execution-key"] {
                if let Some(value) = headers.get(name) {
                    req.headers_mut().insert(name, value.clone());
                }
            }
            let answer = client.send(req, None).await;
            good = answer.is_ok_and(|answer| answer.status < 400);
            if good {
                break;
            }
        }
        if !good {
            return false;
        }
    }
    true
}

/// The answer: the caller's own words, then bytes with a checksum.
fn finish(plan: &Plan, query: &str, echo: Option<&str>) -> Response<Body> {
    let bytes: usize = query
        .strip_prefix("bytes=")
        .and_then(|bytes| bytes.parse().ok())
        .unwrap_or(64);
    let body = client::answer_body(echo.unwrap_or("-"), bytes);
    let mut res = match plan.fault {
        Fault::AnswersError => return whole(StatusCode::INTERNAL_SERVER_ERROR, "broken"),
        Fault::BreaksBeforeHead => {
            let broken = stream::once(Err(io::ErrorKind::BrokenPipe.into()));
            let mut res = Response::new(BodyExt::boxed(StreamBody::new(broken)));
            // An impossible head makes the server give the connection up before it answers.
            *res.status_mut() = StatusCode::CONTINUE;
            return res;
        }
        Fault::BreaksInBody => {
            let half = body.slice(..body.len() / 2);
            let pieces = [Ok(Frame::data(half)), Err(io::ErrorKind::BrokenPipe.into())];
            let broken = stream::iter(pieces);
            let mut res = Response::new(BodyExt::boxed(StreamBody::new(broken)));
            res.headers_mut()
                .insert(hyper::header::CONTENT_LENGTH, body.len().into());
            res
        }
        _ => {
            let len = body.len();
            let pieces = (0..len.div_ceil(PIECE_BYTES)).map(move |piece| {
                let start = piece * PIECE_BYTES;
                let end = (start + PIECE_BYTES).min(len);
                Ok(Frame::data(body.slice(start..end)))
            });
            let mut res = Response::new(BodyExt::boxed(StreamBody::new(stream::iter(pieces))));
            res.headers_mut()
                .insert(hyper::header::CONTENT_LENGTH, len.into());
            res
        }
    };
    if plan.fault == Fault::Drains {
        res.headers_mut()
            .insert("x-draining", hyper::header::HeaderValue::from_static("1"));
    }
    res
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn whole(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let body = http_body_util::Full::new(text.into()).map_err(|never| match never {});
    let mut res = Response::new(body.boxed());
    *res.status_mut() = status;
    res
}
