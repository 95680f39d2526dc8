//! The baselines for comparison, without sorrelturn: every hop calls a random instance and retries on
//! failure, with or without a fixed concurrency limit.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use smol::{Executor, Timer, net::TcpListener};
use sorrelturn_bundle::Bundle;
use sorrelturn_platform::hyper_io;
use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::client::Client;

const MAX_ATTEMPTS: u32 = 3;
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// The kinds of baselines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// Every call is passed on.
    PassThrough,
    /// An instance accepts one and a half times as many concurrent calls as it has slots, and refuses the
    /// rest.
    FixedLimits,
}

struct Target {
    client: Client,
    in_flight: AtomicUsize,
    max_in_flight: usize,
}

/// A proxy that knows every backend server. One instance serves all callers.
#[derive(Clone)]
pub struct Baseline {
    bundle: Arc<Bundle>,
    targets: Arc<Mutex<HashMap<String, Vec<Arc<Target>>>>>,
    kind: BaselineKind,
}

impl Baseline {
    /// Creates a proxy without backend servers.
    pub fn new(kind: BaselineKind, bundle: Bundle) -> Self {
        Self {
            bundle: Arc::new(bundle),
            targets: Arc::default(),
            kind,
        }
    }

    /// Adds a backend server of a service.
    pub fn add_backend(&self, ex: &Arc<Executor<'static>>, service: &str, addr: SocketAddr) {
        let slots = self.bundle.service(service).map_or(1, |s| s.slots as usize);
        let target = Target {
            client: Client::new(Arc::clone(ex), addr),
            in_flight: AtomicUsize::new(0),
            max_in_flight: match self.kind {
                BaselineKind::PassThrough => usize::MAX,
                BaselineKind::FixedLimits => slots + slots / 2,
            },
        };
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        targets
            .entry(service.to_owned())
            .or_default()
            .push(Arc::new(target));
    }

    /// Serves callers and nested calls until the task is dropped.
    pub async fn serve(self, ex: Arc<Executor<'static>>, listener: TcpListener) {
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                Timer::after(Duration::from_millis(10)).await;
                continue;
            };
            let _ = tcp.set_nodelay(true);
            let proxy = self.clone();
            let conn = async move {
                let service = service_fn(|req| proxy.answer(req));
                let _ = http1::Builder::new()
                    .serve_connection(hyper_io(tcp), service)
                    .await;
            };
            ex.spawn(conn).detach();
        }
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let (mut parts, body) = req.into_parts();
        parts.headers.remove(hyper::header::HOST);
        let body = body
            .collect()
            .await
            .map_or_else(|_| Bytes::new(), |body| body.to_bytes());
        let kind = self
            .bundle
            .match_kind(parts.method.as_str(), parts.uri.path());
        let Some(kind) = kind else {
            return Ok(empty_response(StatusCode::NOT_FOUND));
        };
        let mut answer = empty_response(StatusCode::BAD_GATEWAY);
        for _ in 0..MAX_ATTEMPTS {
            let Some(target) = self.random_target(&kind.service) else {
                break;
            };
            let mut req = Request::new(body.clone());
            *req.method_mut() = Method::clone(&parts.method);
            *req.uri_mut() = parts.uri.clone();
            *req.headers_mut() = parts.headers.clone();
            answer = target.call(req).await;
            if !answer.status().is_server_error() {
                break;
            }
        }
        Ok(answer)
    }

    fn random_target(&self, service: &str) -> Option<Arc<Target>> {
        let targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        let targets = targets.get(service)?;
        targets.get(fastrand::usize(..targets.len())).cloned()
    }
}

impl Target {
    async fn call(&self, req: Request<Bytes>) -> Response<Full<Bytes>> {
        let _guard = InFlightGuard::new(&self.in_flight);
        if self.in_flight.load(Ordering::Relaxed) > self.max_in_flight {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        match self.client.send_within(req, None, ATTEMPT_TIMEOUT).await {
            Ok(answer) => {
                let mut res = Response::new(Full::new(answer.body));
                *res.status_mut() = answer.status.try_into().unwrap_or_default();
                res
            }
            Err(_) => empty_response(StatusCode::BAD_GATEWAY),
        }
    }
}

/// Counts a call until it is dropped, also when its caller disconnects.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl<'a> InFlightGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn empty_response(code: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = code;
    res
}
