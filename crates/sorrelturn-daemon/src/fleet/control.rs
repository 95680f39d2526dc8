//! RPC service for control messages between daemons, built on `tarpc`. See `docs/design/between-daemons.md`.

use crate::{
    config::confirmation,
    config::fetch,
    config::in_force::Origin,
    fleet::control_codec::{ControlCodec, Side},
    fleet::evacuation,
    fleet::gossip,
    fleet::metered::MeteredStream,
    fleet::quota,
    fleet::suspects,
    net::serve::{Accepted, Closing},
    net::stream::BoxStream,
    node::{Node, lock},
    operators::explain,
};
use async_compat::Compat;
use serde::{Serialize, de::DeserializeOwned};
use smol::{future::FutureExt, stream::StreamExt};
use sorrelturn_bundle::{ContentHash, SectionBytes, SignedManifest};
use sorrelturn_fleet::{Evacuations, ExchangeReply, ExchangeRequest, KnownVersion, Report};
use sorrelturn_policy::LeavingCause;
use sorrelturn_protocol::{CrashUpdate, Incarnation, MemberRecord};
use sorrelturn_quota::{AcquireReply, AcquireRequest};
use sorrelturn_telemetry::{EventRecord, Field, events};
use std::sync::Arc;
use tarpc::{
    context,
    server::{BaseChannel, Channel},
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// Leaves ample space for bundle sections, which are limited to one megabyte.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Calls between daemons. Methods are identified by position on the wire, so their order is fixed.
#[allow(
    missing_docs,
    reason = "the macro generates items that can't be documented"
)]
mod service {
    use super::*;

    #[tarpc::service]
    pub trait Control {
        /// Compares the membership, bundle version and crash reports of two daemons.
        async fn exchange(request: ExchangeRequest) -> ExchangeReply;
        /// Returns the member records in the given buckets.
        async fn members(buckets: Vec<u8>) -> Vec<MemberRecord>;
        /// Delivers member records that are new to the sender or missing at the receiver.
        async fn update_members(records: Vec<MemberRecord>);
        /// Announces what the sender knows of the bundle and returns what the receiver knows.
        async fn announce(from: String, known: KnownVersion) -> KnownVersion;
        /// Leases quota shares to the allocator and acquires grants from it.
        async fn acquire(request: AcquireRequest) -> AcquireReply;
        /// Delivers backend server crashes and cleared requests known to the sender.
        async fn update_crashes(update: CrashUpdate);
        /// Returns the signed manifest in force, if the configuration is a signed bundle.
        async fn manifest() -> Option<SignedManifest>;
        /// Returns the source text of the route table in force, if the configuration is one.
        async fn routes() -> Option<String>;
        /// Returns the sections with the given hashes that are part of the bundle in force.
        async fn sections(hashes: Vec<ContentHash>) -> Vec<SectionBytes>;
        /// Notifies the receiver whether the VM list marks its VM as leaving.
        async fn vm_state(leaving: bool);
        /// Delivers the status report of a member to a watcher.
        async fn report(report: Report);
        /// Returns the incarnation of the daemon; used as a liveness check.
        async fn ping() -> Incarnation;
        /// Returns the events of a request at this daemon and at the daemons that it forwarded the request to.
        async fn explain(request: String, hops_left: u8) -> Vec<EventRecord>;
        /// Delivers the evacuated failure domains that the sender knows.
        async fn update_evacuations(evacuations: Evacuations);
    }
}

pub(crate) use service::{Control, ControlClient};

#[derive(Clone)]
struct Server {
    node: Arc<Node>,
}

impl Control for Server {
    async fn exchange(self, _: context::Context, request: ExchangeRequest) -> ExchangeReply {
        let from = request.from.instance.clone();
        gossip::record_inbound_peer(&self.node, &from);
        gossip::receive_member_records(&self.node, vec![request.from]);
        gossip::tell_unknown_leave(&self.node, &from).await;
        evacuation::receive(&self.node, &request.evacuations);
        fetch::fetch_if_newer(
            &self.node,
            request.version,
            sorrelturn_fleet::Source::Peer(from),
        );
        let members = lock(&self.node.membership).digest();
        let differs = members.checksum() != request.members;
        let suspected_requests = &self.node.suspected_requests;
        let crashes_differ = suspected_requests.checksum(self.node.now()) != request.crashes;
        ExchangeReply {
            known: confirmation::known_version(&self.node),
            members: differs.then_some(members),
            crashes: crashes_differ.then(|| suspected_requests.snapshot(self.node.now())),
            evacuations: self.node.evacuation.current(),
        }
    }

    async fn members(self, _: context::Context, buckets: Vec<u8>) -> Vec<MemberRecord> {
        lock(&self.node.membership).in_buckets(&buckets)
    }

    async fn update_members(self, _: context::Context, records: Vec<MemberRecord>) {
        gossip::receive_member_records(&self.node, records);
    }

    async fn announce(
        self,
        _: context::Context,
        from: String,
        known: KnownVersion,
    ) -> KnownVersion {
        confirmation::receive_announcement(&self.node, from, known);
        confirmation::known_version(&self.node)
    }

    async fn acquire(self, _: context::Context, request: AcquireRequest) -> AcquireReply {
        quota::answer(&self.node, &request)
    }

    async fn update_crashes(self, _: context::Context, update: CrashUpdate) {
        suspects::receive_update(&self.node, &update);
    }

    async fn manifest(self, _: context::Context) -> Option<SignedManifest> {
        let in_force = self.node.in_force.load_full()?;
        match &in_force.origin {
            Origin::Signed { manifest, .. } => Some(manifest.clone()),
            Origin::Routes(_) => None,
        }
    }

    async fn routes(self, _: context::Context) -> Option<String> {
        let in_force = self.node.in_force.load_full()?;
        match &in_force.origin {
            Origin::Signed { .. } => None,
            Origin::Routes(text) => Some(text.clone()),
        }
    }

    async fn sections(self, _: context::Context, hashes: Vec<ContentHash>) -> Vec<SectionBytes> {
        let Some(in_force) = self.node.in_force.load_full() else {
            return Vec::new();
        };
        in_force
            .sections()
            .iter()
            .filter(|section| hashes.contains(&ContentHash::of(&section.bytes)))
            .cloned()
            .collect()
    }

    async fn vm_state(self, _: context::Context, leaving: bool) {
        if leaving {
            gossip::leave(&self.node, LeavingCause::VmList);
        } else {
            gossip::revoke_leave(&self.node, LeavingCause::VmList);
        }
    }

    async fn report(self, _: context::Context, report: Report) {
        lock(&self.node.domain_view).record_report(self.node.now(), report);
    }

    async fn ping(self, _: context::Context) -> Incarnation {
        self.node.incarnation
    }

    async fn update_evacuations(self, _: context::Context, evacuations: Evacuations) {
        evacuation::receive(&self.node, &evacuations);
    }

    async fn explain(
        self,
        _: context::Context,
        request: String,
        hops_left: u8,
    ) -> Vec<EventRecord> {
        match request.parse() {
            Ok(request) => explain::explain_from(&self.node, request, hops_left).await,
            Err(_) => Vec::new(),
        }
    }
}

/// Serves control calls on one connection until it ends or the listener closes.
pub(crate) async fn serve(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let Accepted { tcp, conn } = accepted;
    let Ok(stream) = node.keys.accept(tcp).await else {
        node.record_event(&events::BAD_PEER, vec![Field::new("port", "control")]);
        return;
    };
    let channel = BaseChannel::with_defaults(transport(&node, stream, Side::Server));
    let server = Server {
        node: Arc::clone(&node),
    };
    let ex = Arc::clone(&node.ex);
    let mark_used = || conn.mark_used();
    let serve_calls = async move {
        let mut calls = std::pin::pin!(channel.execute(server.serve()));
        while let Some(call) = calls.next().await {
            mark_used();
            ex.spawn(Compat::new(call)).detach();
        }
    };
    let closed = async {
        let _ = closing.recv().await;
    };
    Compat::new(serve_calls.or(closed).or(conn.wait_for_close())).await;
}

type ControlTransport<Item, SinkItem> = tarpc::serde_transport::Transport<
    Compat<MeteredStream>,
    Item,
    SinkItem,
    ControlCodec<Item, SinkItem>,
>;

pub(crate) fn transport<Item, SinkItem>(
    node: &Arc<Node>,
    stream: BoxStream,
    side: Side,
) -> ControlTransport<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec();
    let metered = MeteredStream {
        node: Arc::clone(node),
        stream,
    };
    let framed = Framed::new(Compat::new(metered), codec);
    let node = Arc::clone(node);
    let report = move |error: &std::io::Error| {
        let fields = vec![Field::new("port", "control"), Field::new("error", error)];
        node.record_event(&events::BAD_PEER, fields);
    };
    tarpc::serde_transport::new(framed, ControlCodec::new(side, report))
}
