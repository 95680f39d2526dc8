//! A fake backend server with configurable slots, work, nested calls and faults that counts its
//! executions.

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

const CHUNK_BYTES: usize = 64 << 10;

/// A fake backend server. Clones share their state.
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
    local_client: Option<Client>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            plan: Plan::default(),
            slots: Arc::new(Semaphore::new(1)),
            executions_by_key: HashMap::new(),
            local_client: None,
        }
    }
}

/// Serves requests on `listener` until the future is dropped.
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
        let (backend, ex_of_conn) = (backend.clone(), Arc::clone(&ex));
        let conn = async move {
            let service = service_fn(|req| backend.handle(&ex_of_conn, req));
            let _ = http1::Builder::new()
                .serve_connection(hyper_io(tcp), service)
                .await;
        };
        ex.spawn(conn).detach();
    }
}

/// Counts a request as cancelled if it is dropped before it has finished.
struct CancellationGuard {
    cancelled: Arc<AtomicU64>,
    finished: bool,
}

impl Drop for CancellationGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl FakeBackend {
    /// Replaces the plan; requests in progress continue with the old one.
    pub fn set_plan(&self, plan: Plan) {
        let mut state = self.lock();
        if plan.slots != state.plan.slots {
            state.slots = Arc::new(Semaphore::new(plan.slots.max(1)));
        }
        if plan.local != state.plan.local {
            state.local_client = None;
        }
        state.plan = plan;
    }

    /// Updates the plan in place.
    pub fn change_plan(&self, change: impl FnOnce(&mut Plan)) {
        let mut plan = self.lock().plan.clone();
        change(&mut plan);
        self.set_plan(plan);
    }

    /// The number of requests whose execution began.
    pub fn executions(&self) -> u64 {
        self.executions.load(Ordering::Relaxed)
    }

    /// The number of requests refused before execution.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// The number of requests cancelled by their caller.
    pub fn cancelled(&self) -> u64 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// The number of executions by `x-execution-key` and kind, as `"{key} {kind}"`.
    pub fn executions_by_key(&self) -> HashMap<String, u32> {
        self.lock().executions_by_key.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(
        &self,
        ex: &Arc<Executor<'static>>,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Infallible> {
        let path = req.uri().path().to_owned();
        Ok(match (req.method(), path.as_str()) {
            (&Method::PUT, "/fake/plan") => self.receive_plan(req).await,
            (&Method::GET, "/fake/ran") => {
                let json = serde_json::to_vec(&self.executions_by_key()).unwrap_or_default();
                full_response(StatusCode::OK, json)
            }
            (&Method::GET, "/fake/counts") => {
                let counts = [self.executions(), self.cancelled()];
                full_response(
                    StatusCode::OK,
                    serde_json::to_vec(&counts).unwrap_or_default(),
                )
            }
            _ => self.execute(ex, req).await,
        })
    }

    async fn receive_plan(&self, req: Request<Incoming>) -> Response<Body> {
        let body = req.into_body().collect().await.map(|body| body.to_bytes());
        let plan = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok());
        match plan {
            Some(plan) => {
                self.set_plan(plan);
                full_response(StatusCode::OK, "{}")
            }
            None => full_response(StatusCode::BAD_REQUEST, "the body is not a valid plan"),
        }
    }

    async fn execute(&self, ex: &Arc<Executor<'static>>, req: Request<Incoming>) -> Response<Body> {
        let (plan, slots, client) = {
            let mut state = self.lock();
            let local = state.plan.local;
            if state.local_client.is_none() {
                state.local_client = local.map(|local| Client::new(Arc::clone(ex), local));
            }
            (
                state.plan.clone(),
                Arc::clone(&state.slots),
                state.local_client.clone(),
            )
        };
        if plan.fault == Fault::Refuses {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return full_response(StatusCode::SERVICE_UNAVAILABLE, "busy");
        }
        let mut guard = CancellationGuard {
            cancelled: Arc::clone(&self.cancelled),
            finished: false,
        };
        let (parts, body) = req.into_parts();
        let kind = plan
            .kinds
            .iter()
            .find(|kind| kind.matches(parts.method.as_str(), parts.uri.path()));
        let Some(kind) = kind else {
            guard.finished = true;
            return full_response(
                StatusCode::NOT_FOUND,
                "no kind matches this method and path",
            );
        };
        self.executions.fetch_add(1, Ordering::Relaxed);
        if let Some(key) = header_text(&parts.headers, "x-execution-key") {
            let key_and_kind = format!("{key} {}", kind.name);
            *self
                .lock()
                .executions_by_key
                .entry(key_and_kind)
                .or_default() += 1;
        }
        let _ = body.collect().await;
        let _slot = slots.acquire().await;
        Timer::after(Duration::from_secs_f64(kind.work_ms * plan.slow / 1000.0)).await;
        let nested_calls_succeeded =
            make_nested_calls(client.as_ref(), kind, &plan, &parts.headers).await;
        guard.finished = true;
        if !nested_calls_succeeded {
            return full_response(StatusCode::BAD_GATEWAY, "a nested call failed");
        }
        let query = parts.uri.query().unwrap_or("");
        answer_response(&plan, query, header_text(&parts.headers, "x-echo"))
    }
}

/// Forwards the headers of the request; returns whether all calls succeeded.
async fn make_nested_calls(
    client: Option<&Client>,
    kind: &KindPlan,
    plan: &Plan,
    headers: &HeaderMap,
) -> bool {
    let Some(client) = client else {
        return kind.calls.is_empty();
    };
    for call in &kind.calls {
        let mut succeeded = false;
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
            succeeded = answer.is_ok_and(|answer| answer.status < 400);
            if succeeded {
                break;
            }
        }
        if !succeeded {
            return false;
        }
    }
    true
}

/// The answer according to the plan's fault; the body holds the caller's echo text and a checksum.
fn answer_response(plan: &Plan, query: &str, echo: Option<&str>) -> Response<Body> {
    let bytes: usize = query
        .strip_prefix("bytes=")
        .and_then(|bytes| bytes.parse().ok())
        .unwrap_or(64);
    let body = client::answer_body(echo.unwrap_or("-"), bytes);
    let mut res = match plan.fault {
        Fault::AnswersError => return full_response(StatusCode::INTERNAL_SERVER_ERROR, "broken"),
        Fault::BreaksBeforeHead => {
            let broken = stream::once(Err(io::ErrorKind::BrokenPipe.into()));
            let mut res = Response::new(BodyExt::boxed(StreamBody::new(broken)));
            // An invalid final status makes hyper close the connection without an answer.
            *res.status_mut() = StatusCode::CONTINUE;
            return res;
        }
        Fault::BreaksInBody => {
            let half = body.slice(..body.len() / 2);
            let chunks = [Ok(Frame::data(half)), Err(io::ErrorKind::BrokenPipe.into())];
            let broken = stream::iter(chunks);
            let mut res = Response::new(BodyExt::boxed(StreamBody::new(broken)));
            res.headers_mut()
                .insert(hyper::header::CONTENT_LENGTH, body.len().into());
            res
        }
        _ => {
            let len = body.len();
            let chunks = (0..len.div_ceil(CHUNK_BYTES)).map(move |chunk| {
                let start = chunk * CHUNK_BYTES;
                let end = (start + CHUNK_BYTES).min(len);
                Ok(Frame::data(body.slice(start..end)))
            });
            let mut res = Response::new(BodyExt::boxed(StreamBody::new(stream::iter(chunks))));
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

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn full_response(status: StatusCode, content: impl Into<Bytes>) -> Response<Body> {
    let body = http_body_util::Full::new(content.into()).map_err(|never| match never {});
    let mut res = Response::new(body.boxed());
    *res.status_mut() = status;
    res
}
