//! Control messages between daemons, by `tarpc`. See `docs/design/between-daemons.md`.

use crate::{
    gossip,
    node::{Node, lock},
    serve::Closing,
    stream::BoxStream,
};
use async_compat::Compat;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use smol::{Timer, future::FutureExt, net::TcpStream, stream::StreamExt};
use sorrelturn_bundle::{ContentHash, SectionBytes, SignedManifest};
use sorrelturn_fleet::{Digest, DigestReply, Report};
use sorrelturn_policy::LeavingCause;
use sorrelturn_protocol::{Incarnation, MemberRecord, RequestId};
use sorrelturn_telemetry::{EventRecord, Field, events};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tarpc::{
    client, context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// The longest time for one control call.
const CALL_TIME: Duration = Duration::from_secs(1);
/// The largest control message, in bytes; a section has a megabyte at the most.
const MESSAGE_LIMIT_BYTES: usize = 8 << 20;
/// A connection that nobody used for this long is closed.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// How many hops an explanation follows.
const EXPLAIN_DEPTH: u8 = 16;

/// The calls that daemons make to one another.
#[allow(
    missing_docs,
    reason = "the macro generates items that can't be documented"
)]
mod service {
    use super::*;

    #[tarpc::service]
    pub trait Control {
        /// Compares what two daemons know.
        async fn exchange(digest: Digest) -> DigestReply;
        /// The records of some groups.
        async fn members(buckets: Vec<u8>) -> Vec<MemberRecord>;
        /// Records that are news to the sender.
        async fn news(records: Vec<MemberRecord>);
        /// The sender has this version in force; answers with the version here.
        async fn announce(from: String, version: u64) -> u64;
        /// The manifest in force.
        async fn manifest() -> Option<SignedManifest>;
        /// Sections by content.
        async fn sections(hashes: Vec<ContentHash>) -> Vec<SectionBytes>;
        /// The list of VMs says that this instance leaves, or that it stays.
        async fn vm_state(leaving: bool);
        /// A report to a watcher.
        async fn report(report: Report);
        /// Whether the daemon is alive, and in which run.
        async fn ping() -> Incarnation;
        /// What happened to a request, here and further down.
        async fn explain(request: String, hops_left: u8) -> Vec<EventRecord>;
    }
}

pub(crate) use service::{Control, ControlClient};

/// What a daemon says about itself to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Its own record.
    pub record: MemberRecord,
    /// The version of the bundle in force.
    pub bundle_version: u64,
    /// Calls at the backend server.
    pub in_flight: u32,
    /// Calls that wait for a slot.
    pub waiting: usize,
    /// The concurrency limit now.
    pub limit: u32,
    /// Members that haven't gone, as known here.
    pub members: usize,
    /// Bytes of control messages, both ways, since the start.
    pub control_bytes: u64,
    /// Calls to the platform since the start.
    pub platform_calls: u64,
    /// Whether it watches the platform for its failure domain.
    pub watcher: bool,
}

/// The states of all failure domains, as their watchers wrote them.
pub type FleetReport = Vec<sorrelturn_fleet::DomainStatus>;

/// Why a control call has no answer.
#[derive(Debug, Display)]
pub(crate) enum ControlError {
    /// no connection to the daemon: {0}
    NoConnection(std::io::Error),
    /// the call broke off: {0}
    Broke(String),
    /// no answer in time
    TooLate,
}

#[derive(Clone)]
struct Server {
    node: Arc<Node>,
}

impl Control for Server {
    async fn exchange(self, _: context::Context, digest: Digest) -> DigestReply {
        let from = digest.from.instance.clone();
        gossip::visited_by(&self.node, &from);
        gossip::heard_member(&self.node, digest.from);
        gossip::heard_version(
            &self.node,
            digest.version,
            sorrelturn_fleet::Source::Peer(from),
        );
        let members = lock(&self.node.membership).digest();
        let differs = members.total() != digest.members;
        DigestReply {
            version: lock(&self.node.spread).in_force(),
            members: differs.then_some(members),
        }
    }

    async fn members(self, _: context::Context, buckets: Vec<u8>) -> Vec<MemberRecord> {
        lock(&self.node.membership).in_buckets(&buckets)
    }

    async fn news(self, _: context::Context, records: Vec<MemberRecord>) {
        for record in records {
            gossip::heard_member(&self.node, record);
        }
    }

    async fn announce(self, _: context::Context, from: String, version: u64) -> u64 {
        gossip::heard_version(&self.node, version, sorrelturn_fleet::Source::Peer(from));
        lock(&self.node.spread).in_force()
    }

    async fn manifest(self, _: context::Context) -> Option<SignedManifest> {
        let in_force = self.node.in_force.load_full()?;
        Some(in_force.manifest.clone())
    }

    async fn sections(self, _: context::Context, hashes: Vec<ContentHash>) -> Vec<SectionBytes> {
        let Some(in_force) = self.node.in_force.load_full() else {
            return Vec::new();
        };
        in_force
            .sections
            .iter()
            .filter(|section| hashes.contains(&ContentHash::of(&section.bytes)))
            .cloned()
            .collect()
    }

    async fn vm_state(self, _: context::Context, leaving: bool) {
        let news = if leaving {
            self.node.leave(LeavingCause::VmList)
        } else {
            self.node.stay(LeavingCause::VmList)
        };
        if news.is_some() {
            gossip::spread_own_record(&self.node);
        }
    }

    async fn report(self, _: context::Context, report: Report) {
        lock(&self.node.view).report(self.node.now(), report);
    }

    async fn ping(self, _: context::Context) -> Incarnation {
        self.node.incarnation
    }

    async fn explain(
        self,
        _: context::Context,
        request: String,
        hops_left: u8,
    ) -> Vec<EventRecord> {
        match request.parse() {
            Ok(request) => explain_from(&self.node, request, hops_left).await,
            Err(_) => Vec::new(),
        }
    }
}

/// What happened to a request, here and at the daemons that it was forwarded to.
pub(crate) async fn explain(node: &Arc<Node>, request: RequestId) -> Vec<EventRecord> {
    explain_from(node, request, EXPLAIN_DEPTH).await
}

async fn explain_from(node: &Arc<Node>, request: RequestId, hops_left: u8) -> Vec<EventRecord> {
    let mut records = node.events.of_request(request);
    let mut next: Vec<String> = records
        .iter()
        .filter_map(|record| record.field("to"))
        .filter(|instance| *instance != node.settings.instance)
        .map(str::to_owned)
        .collect();
    next.sort();
    next.dedup();
    if hops_left == 0 {
        return records;
    }
    for instance in next {
        let Some(record) = lock(&node.membership).get(&instance).cloned() else {
            continue;
        };
        let further = call(node, &record, |client, cx| async move {
            client.explain(cx, request.to_string(), hops_left - 1).await
        });
        if let Ok(further) = further.await {
            let unseen = further
                .into_iter()
                .filter(|record| !records.contains(record))
                .collect::<Vec<_>>();
            records.extend(unseen);
        }
    }
    records.sort_by_key(|record| record.at_ms);
    records
}

/// Serves the control calls of one connection.
pub(crate) async fn serve(node: Arc<Node>, tcp: TcpStream, closing: Closing) {
    let Ok(stream) = node.keys.accept(tcp).await else {
        node.note(&events::BAD_PEER, vec![Field::new("port", "control")]);
        return;
    };
    let channel = BaseChannel::with_defaults(transport(&node, stream));
    let server = Server {
        node: Arc::clone(&node),
    };
    let ex = Arc::clone(&node.ex);
    let answer = async move {
        let mut calls = std::pin::pin!(channel.execute(server.serve()));
        while let Some(call) = calls.next().await {
            ex.spawn(Compat::new(call)).detach();
        }
    };
    let closed = async {
        let _ = closing.recv().await;
    };
    Compat::new(answer.or(closed)).await;
}

type Wire<Item, SinkItem> =
    tarpc::serde_transport::Transport<Compat<Metered>, Item, SinkItem, Bincode<Item, SinkItem>>;

fn transport<Item, SinkItem>(node: &Arc<Node>, stream: BoxStream) -> Wire<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_LIMIT_BYTES)
        .new_codec();
    let metered = Metered {
        node: Arc::clone(node),
        stream,
    };
    let framed = Framed::new(Compat::new(metered), codec);
    tarpc::serde_transport::new(framed, Bincode::default())
}

/// Counts the bytes of control messages.
pub(crate) struct Metered {
    node: Arc<Node>,
    stream: BoxStream,
}

mod metered {
    use super::Metered;
    use smol::io::{AsyncRead, AsyncWrite};
    use std::{
        io::Result,
        pin::Pin,
        sync::atomic::Ordering,
        task::{Context, Poll},
    };

    impl Metered {
        fn count(&self, polled: &Poll<Result<usize>>) {
            if let Poll::Ready(Ok(len)) = polled {
                let counter = &self.node.counts.control_bytes;
                counter.fetch_add(*len as u64, Ordering::Relaxed);
            }
        }
    }

    impl AsyncRead for Metered {
        fn poll_read(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            buf: &mut [u8],
        ) -> Poll<Result<usize>> {
            let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
            self.count(&polled);
            polled
        }
    }

    impl AsyncWrite for Metered {
        fn poll_write(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            buf: &[u8],
        ) -> Poll<Result<usize>> {
            let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
            self.count(&polled);
            polled
        }

        fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
            Pin::new(&mut self.stream).poll_flush(cx)
        }

        fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
            Pin::new(&mut self.stream).poll_close(cx)
        }
    }
}

/// The connections to other daemons' control ports.
#[derive(Default)]
pub(crate) struct ControlLinks {
    open: Mutex<HashMap<Incarnation, (ControlClient, Instant)>>,
}

impl ControlLinks {
    fn get(&self, incarnation: Incarnation) -> Option<ControlClient> {
        let mut open = lock(&self.open);
        let (client, used) = open.get_mut(&incarnation)?;
        *used = Instant::now();
        Some(client.clone())
    }

    fn keep(&self, incarnation: Incarnation, client: &ControlClient) {
        let mut open = lock(&self.open);
        open.insert(incarnation, (client.clone(), Instant::now()));
    }

    /// Closes connections that nobody used for a while.
    pub(crate) fn close_idle(&self) {
        lock(&self.open).retain(|_, (_, used)| used.elapsed() < IDLE_TIME);
    }

    fn drop_link(&self, incarnation: Incarnation) {
        lock(&self.open).remove(&incarnation);
    }
}

/// Makes one control call to a daemon.
pub(crate) async fn call<T, F>(
    node: &Arc<Node>,
    to: &MemberRecord,
    make: impl FnOnce(ControlClient, context::Context) -> F,
) -> Result<T, ControlError>
where
    F: Future<Output = Result<T, client::RpcError>>,
{
    let too_late = async {
        Timer::after(CALL_TIME).await;
        Err(ControlError::TooLate)
    };
    let result = async {
        let client = match node.control_links.get(to.incarnation) {
            Some(client) => client,
            None => connect(node, to).await?,
        };
        let mut cx = context::current();
        cx.deadline = Instant::now() + CALL_TIME;
        Compat::new(make(client, cx))
            .await
            .map_err(|error| ControlError::Broke(error.to_string()))
    }
    .or(too_late)
    .await;
    if result.is_err() {
        node.control_links.drop_link(to.incarnation);
    }
    result
}

async fn connect(node: &Arc<Node>, to: &MemberRecord) -> Result<ControlClient, ControlError> {
    let tcp = TcpStream::connect(to.control_addr)
        .await
        .map_err(ControlError::NoConnection)?;
    let stream = node
        .keys
        .connect(tcp)
        .await
        .map_err(ControlError::NoConnection)?;
    let new = ControlClient::new(client::Config::default(), transport(node, stream));
    let dispatch = async {
        let _ = Compat::new(new.dispatch).await;
    };
    node.ex.spawn(dispatch).detach();
    node.control_links.keep(to.incarnation, &new.client);
    Ok(new.client)
}
