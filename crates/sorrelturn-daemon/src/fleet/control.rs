//! Control messages between daemons, by `tarpc`. See `docs/design/between-daemons.md`.

use crate::{
    config::fetch,
    config::in_force::Origin,
    fleet::gossip,
    fleet::metered::Metered,
    fleet::quota,
    fleet::suspects,
    net::serve::{Accepted, Closing},
    net::stream::BoxStream,
    node::{Node, lock},
    operators::explain,
};
use async_compat::Compat;
use serde::{Deserialize, Serialize};
use smol::{future::FutureExt, stream::StreamExt};
use sorrelturn_bundle::{ContentHash, SectionBytes, SignedManifest};
use sorrelturn_fleet::{Digest, DigestReply, Report};
use sorrelturn_policy::LeavingCause;
use sorrelturn_protocol::{CrashUpdate, Incarnation, MemberRecord};
use sorrelturn_quota::{AcquireReply, AcquireRequest};
use sorrelturn_telemetry::{EventRecord, Field, events};
use std::sync::Arc;
use tarpc::{
    context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// The largest control message, in bytes; a section has a megabyte at the most.
const MESSAGE_LIMIT_BYTES: usize = 8 << 20;
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
        /// Lends shares of quotas, and draws from one.
        async fn draw(draw: AcquireRequest) -> AcquireReply;
        /// What the sender knows of crashes of backend servers.
        async fn crashes(news: CrashUpdate);
        /// The manifest in force.
        async fn manifest() -> Option<SignedManifest>;
        /// The route table in force, as operators wrote it.
        async fn routes() -> Option<String>;
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

#[derive(Clone)]
struct Server {
    node: Arc<Node>,
}

impl Control for Server {
    async fn exchange(self, _: context::Context, digest: Digest) -> DigestReply {
        let from = digest.from.instance.clone();
        gossip::visited_by(&self.node, &from);
        gossip::heard_member(&self.node, digest.from);
        fetch::heard_version(
            &self.node,
            digest.version,
            sorrelturn_fleet::Source::Peer(from),
        );
        let knowledge_age_ms = self.node.knowledge.age_ms(self.node.now());
        let members = lock(&self.node.membership).digest();
        let differs = members.total() != digest.members;
        let suspects = &self.node.suspects;
        let crashes_differ = suspects.sum(self.node.now()) != digest.crashes;
        DigestReply {
            knowledge_age_ms,
            version: lock(&self.node.bundle_tracker).in_force(),
            members: differs.then_some(members),
            crashes: crashes_differ.then(|| suspects.news(self.node.now())),
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
        fetch::heard_version(&self.node, version, sorrelturn_fleet::Source::Peer(from));
        lock(&self.node.bundle_tracker).in_force()
    }

    async fn draw(self, _: context::Context, draw: AcquireRequest) -> AcquireReply {
        quota::answer(&self.node, &draw)
    }

    async fn crashes(self, _: context::Context, news: CrashUpdate) {
        suspects::heard(&self.node, &news);
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
            gossip::stay(&self.node, LeavingCause::VmList);
        }
    }

    async fn report(self, _: context::Context, report: Report) {
        lock(&self.node.domain_view).report(self.node.now(), report);
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
            Ok(request) => explain::explain_from(&self.node, request, hops_left).await,
            Err(_) => Vec::new(),
        }
    }
}

/// Serves the control calls of one connection.
pub(crate) async fn serve(node: Arc<Node>, accepted: Accepted, closing: Closing) {
    let Accepted { tcp, conn } = accepted;
    // Control messages come at any time, so it never rests.
    let _carries = conn.carries();
    let Ok(stream) = node.keys.accept(tcp).await else {
        node.record_event(&events::BAD_PEER, vec![Field::new("port", "control")]);
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

pub(crate) fn transport<Item, SinkItem>(node: &Arc<Node>, stream: BoxStream) -> Wire<Item, SinkItem>
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
