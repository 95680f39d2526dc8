//! Watching the platform's store and VM list on behalf of a failure domain. See `docs/design/spread.md`.
//!
//! A daemon with a route table runs on a platform that charges for each call and has no VM list. Its watchers
//! therefore call the platform less often and ping the members themselves.

use crate::{
    clock::unix_ms,
    config::fetch::{self, LearnedFrom},
    fleet::control_client,
    fleet::evacuation,
    fleet::gossip,
    node::{Node, lock},
    store::{self, member_record},
};
use smol::{
    Timer,
    channel::{self, Receiver},
    future::{self, FutureExt},
};
use sorrelturn_bundle::SignedManifest;
use sorrelturn_fleet::{
    Source, VmListDiff, WATCHER_COUNT, diff_vm_list, predecessors, ranked, silence_timeout,
};
use sorrelturn_platform::{Changes, Expected, Object, PlatformError, VmState, keys};
use sorrelturn_policy::Now;
use sorrelturn_protocol::{MemberRecord, MemberState};
use sorrelturn_telemetry::{Field, events};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Interval at which a daemon checks whether those ranked before it are alive.
const RANK_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Duration of one long-poll watch.
const WATCH_DURATION: Duration = Duration::from_secs(10);
/// Interval of direct reads of the VM list, which can't be watched.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between checks whether the watch of the head has reported the version in force. A watch may report it
/// slightly later than others.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Duration of one long-poll watch with a route table.
const ROUTE_TABLE_WATCH_DURATION: Duration = Duration::from_secs(30);
/// Delay between two watches of the members with a route table. Batches the many updates at the start of a fleet.
const ROUTE_TABLE_WATCH_DELAY: Duration = Duration::from_secs(1);
/// Duration of one long-poll watch of the evacuated failure domains. Short, since a watch whose connection has stalled
/// is noticed only at its end.
const EVACUATION_WATCH_DURATION: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between pings, each of which goes to one member.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an answer after which a member is declared gone, longer than usual network partitions and VM pauses.
const GONE_TIMEOUT: Duration = Duration::from_secs(15);
const STATUS_WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Watches the platform whenever this daemon is one of the watchers of its failure domain.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        while !should_watch(&node).await {
            Timer::after(RANK_CHECK_INTERVAL).await;
        }
        node.counts.watching.store(true, Ordering::Relaxed);
        node.record_event(&events::WATCHER_STARTED, Vec::new());
        let until_replaced = async {
            while should_watch(&node).await {
                Timer::after(RANK_CHECK_INTERVAL).await;
            }
        };
        watch_all(&node).or(until_replaced).await;
        node.counts.watching.store(false, Ordering::Relaxed);
        node.record_event(&events::WATCHER_ENDED, Vec::new());
    }
}

/// Returns whether fewer than [`WATCHER_COUNT`] daemons ranked before this one are alive.
async fn should_watch(node: &Arc<Node>) -> bool {
    let higher_ranked: Option<Vec<MemberRecord>> = {
        let membership = lock(&node.membership);
        let ranked = ranked(membership.present(), &node.settings.failure_domain);
        predecessors(&ranked, &node.settings.instance).map(|higher_ranked| {
            higher_ranked
                .iter()
                .map(|record| (*record).clone())
                .collect()
        })
    };
    let Some(higher_ranked) = higher_ranked else {
        return false;
    };
    let mut alive_count = 0;
    for record in higher_ranked {
        if alive_count == WATCHER_COUNT {
            break;
        }
        alive_count += usize::from(control_client::is_alive(node, &record).await);
    }
    alive_count < WATCHER_COUNT
}

async fn watch_all(node: &Arc<Node>) {
    let watched = WatchedVersion::default();
    let (restart_head_tx, restart_head) = channel::bounded(1);
    let (restart_members_tx, restart_members) = channel::bounded(1);
    let restart_watches = || {
        // A full channel already holds a restart request.
        let _ = restart_head_tx.try_send(());
        let _ = restart_members_tx.try_send(());
    };
    let watch_store = watch_config_head(node, &watched, &restart_head)
        .or(restart_stalled_watches(node, &watched, restart_watches))
        .or(watch_members(node, &restart_members))
        .or(watch_evacuations(node));
    if node.settings.routes.is_some() {
        return watch_store.or(ping_members(node)).await;
    }
    watch_store
        .or(read_vm_list(node))
        .or(write_status(node))
        .await;
}

/// The bundle version that the watch of the head, the object at [`config_head_key`], has reported.
#[derive(Default)]
struct WatchedVersion(AtomicU64);

/// Watches a prefix indefinitely and passes changes to `on_changes`.
///
/// A message on `restart` abandons the current watch, which has probably stalled, and starts over with a list.
async fn watch_prefix(
    node: &Arc<Node>,
    prefix: &str,
    delay_after: Duration,
    restart: &Receiver<()>,
    on_changes: impl Fn(Changes),
) {
    let mut since = None;
    let mut is_unreachable = false;
    let duration = match node.settings.routes {
        Some(_) => ROUTE_TABLE_WATCH_DURATION,
        None => WATCH_DURATION,
    };
    loop {
        let result = match since {
            None => node.platform.list(prefix).await,
            Some(since) => {
                let restarted = async {
                    let _ = restart.recv().await;
                    Err(PlatformError::WatchStalled)
                };
                node.platform
                    .watch(prefix, since, duration)
                    .or(restarted)
                    .await
            }
        };
        log_platform_state(node, &mut is_unreachable, result.as_ref().err());
        match result {
            Ok(changes) => {
                since = Some(changes.revision);
                store::log_unreadable_entries(node, prefix, &changes);
                on_changes(changes);
                Timer::after(delay_after).await;
            }
            Err(_) => {
                since = None;
                wait_before_retry().await;
            }
        }
    }
}

async fn wait_before_retry() {
    Timer::after(RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
}

fn log_platform_state(node: &Node, is_unreachable: &mut bool, error: Option<&PlatformError>) {
    match (error, *is_unreachable) {
        (Some(error), false) => {
            node.record_event(&events::PLATFORM_LOST, vec![Field::new("error", error)]);
        }
        (None, true) => node.record_event(&events::PLATFORM_BACK, Vec::new()),
        _ => {}
    }
    *is_unreachable = error.is_some();
}

async fn watch_config_head(node: &Arc<Node>, watched: &WatchedVersion, restart: &Receiver<()>) {
    let head = config_head_key(node).to_owned();
    watch_prefix(node, &head, Duration::ZERO, restart, |changes| {
        // The platform watches kinds, and others may write objects of this one under other names.
        let heads = changes.objects.iter().filter(|object| object.key == head);
        for object in heads {
            if let Some(version) = receive_config_head(node, object) {
                watched.0.store(version, Ordering::Relaxed);
            }
        }
    })
    .await;
}

/// Restarts all watches once a version has been in force for some time that the watch of the head hasn't reported.
///
/// If one watch has stalled, the other watches have probably stalled too.
async fn restart_stalled_watches(
    node: &Arc<Node>,
    watched: &WatchedVersion,
    restart_watches: impl Fn(),
) {
    let mut version_before = 0;
    loop {
        Timer::after(STALL_CHECK_INTERVAL).await;
        if version_before > watched.0.load(Ordering::Relaxed) {
            restart_watches();
        }
        version_before = node.bundle_version();
    }
}

/// Returns the key of the head: the signed manifest of the newest bundle, or the route table if one is configured.
fn config_head_key(node: &Node) -> &str {
    let routes = node.settings.routes.as_ref();
    routes.map_or(keys::BUNDLE_HEAD, |routes| &routes.object)
}

/// Puts a new head in force, or starts to fetch its bundle. Returns the version, unless the head is refused.
fn receive_config_head(node: &Arc<Node>, object: &Object) -> Option<u64> {
    let received = match node.settings.routes {
        Some(_) => receive_route_table(node, object),
        None => receive_manifest(node, object),
    };
    received
        .inspect_err(|error| {
            node.record_event(&events::BUNDLE_REFUSED, vec![Field::new("error", error)]);
        })
        .ok()
}

fn receive_route_table(node: &Arc<Node>, object: &Object) -> Result<u64, String> {
    let version = fetch::accept_routes(node, &object.value, LearnedFrom::Watch)?;
    node.route_staleness.record_accepted(object.version);
    Ok(version)
}

fn receive_manifest(node: &Arc<Node>, object: &Object) -> Result<u64, String> {
    let signed = serde_json::from_str::<SignedManifest>(&object.value).ok();
    let manifest = signed.and_then(|signed| signed.verify(&node.trusted).ok());
    let manifest = manifest
        .ok_or("the bundle head in the store is not signed by a trusted operator".to_owned())?;
    fetch::fetch_if_newer(node, manifest.version, Source::Store);
    Ok(manifest.version)
}

async fn watch_members(node: &Arc<Node>, restart: &Receiver<()>) {
    let delay_after = match node.settings.routes {
        Some(_) => ROUTE_TABLE_WATCH_DELAY,
        None => Duration::ZERO,
    };
    watch_prefix(node, keys::MEMBERS, delay_after, restart, |changes| {
        let records = member_record::parse_all(node, &changes.objects);
        gossip::receive_member_records(node, records);
    })
    .await;
}

/// Keeps the evacuated failure domains up to date, if operators can evacuate any.
async fn watch_evacuations(node: &Arc<Node>) {
    let routes = node.settings.routes.as_ref();
    let Some(prefix) = routes.and_then(|routes| routes.evacuations.as_deref()) else {
        return future::pending().await;
    };
    loop {
        let Ok(listed) = node.platform.list(prefix).await else {
            wait_before_retry().await;
            continue;
        };
        store::log_unreadable_entries(node, prefix, &listed);
        evacuation::receive(node, &evacuation::from_list(prefix, &listed));
        if watch_until_change(node, prefix, listed.revision)
            .await
            .is_err()
        {
            wait_before_retry().await;
        }
    }
}

/// Returns after the first change under `prefix`. Its events are not applied: they don't tell the order in which an
/// object was removed and created again.
async fn watch_until_change(
    node: &Arc<Node>,
    prefix: &str,
    mut since: u64,
) -> Result<(), PlatformError> {
    loop {
        let watch = node
            .platform
            .watch(prefix, since, EVACUATION_WATCH_DURATION);
        let changes = watch.await?;
        let is_unchanged = changes.objects.is_empty() && changes.removed.is_empty();
        if !is_unchanged || changes.left_out > 0 {
            return Ok(());
        }
        since = changes.revision;
    }
}

async fn read_vm_list(node: &Arc<Node>) {
    let mut rejected_services = Vec::new();
    loop {
        Timer::after(READ_INTERVAL).await;
        let Ok(vms) = node.platform.vms().await else {
            continue;
        };
        let listed: BTreeMap<&str, bool> = vms
            .iter()
            .map(|vm| (vm.instance.as_str(), vm.state == VmState::Leaving))
            .collect();
        let diff = diff_vm_list(
            &lock(&node.membership),
            &node.settings.failure_domain,
            &listed,
        );
        if diff.rejected_services != rejected_services && !listed.is_empty() {
            for service in &diff.rejected_services {
                let fields = vec![Field::new("service", service)];
                node.record_event(&events::VM_LIST_NOT_BELIEVED, fields);
            }
        }
        apply_vm_list(node, &diff).await;
        rejected_services = diff.rejected_services;
    }
}

/// Pings members and declares unresponsive ones gone. Used with a route table, for which there is no VM list.
///
/// Pings one member of the own failure domain at a time, so that the cost doesn't grow with the fleet.
async fn ping_members(node: &Arc<Node>) {
    let mut unresponsive_since: BTreeMap<String, Now> = BTreeMap::new();
    let mut last_pinged = String::new();
    loop {
        Timer::after(PING_INTERVAL).await;
        let Some(record) = next_member(node, &last_pinged) else {
            continue;
        };
        last_pinged.clone_from(&record.instance);
        if control_client::is_alive(node, &record).await {
            unresponsive_since.remove(&record.instance);
            continue;
        }
        let since = *unresponsive_since
            .entry(record.instance.clone())
            .or_insert_with(|| node.now());
        if node.now() >= since + GONE_TIMEOUT {
            unresponsive_since.remove(&record.instance);
            let fields = vec![Field::new("member", &record.instance)];
            node.record_event(&events::MEMBER_SWEPT, fields);
            declare_gone(node, record).await;
        }
    }
}

/// Returns the next present member of the own failure domain after `last` by name, wrapping around and excluding this
/// daemon.
fn next_member(node: &Node, last: &str) -> Option<MemberRecord> {
    let membership = lock(&node.membership);
    let others_in_domain = || {
        membership
            .present()
            .filter(|record| record.failure_domain == node.settings.failure_domain)
            .filter(|record| record.instance != node.settings.instance)
    };
    let next = others_in_domain().find(|record| record.instance.as_str() > last);
    next.or_else(|| others_in_domain().next()).cloned()
}

async fn apply_vm_list(node: &Arc<Node>, diff: &VmListDiff) {
    for (instances, leaving) in [(&diff.leaving, true), (&diff.staying, false)] {
        for instance in instances {
            let record = lock(&node.membership).get(instance).cloned();
            if let Some(record) = record {
                let _ = control_client::call(node, &record, |client, cx| async move {
                    client.vm_state(cx, leaving).await
                })
                .await;
            }
        }
    }
    for instance in &diff.unlisted {
        let record = lock(&node.membership).get(instance).cloned();
        if let Some(record) = record
            && !control_client::is_alive(node, &record).await
        {
            declare_gone(node, record).await;
        }
    }
}

/// Marks a member as gone, both in the fleet and in the store.
async fn declare_gone(node: &Arc<Node>, mut record: MemberRecord) {
    record.advance();
    record.state = MemberState::Gone;
    gossip::receive_member_records(node, vec![record.clone()]);
    if let Err(error) = member_record::put(node, &record, Expected::Anything).await {
        member_record::log_unsaved(node, &record, error.to_string());
    }
}

async fn write_status(node: &Arc<Node>) {
    loop {
        Timer::after(STATUS_WRITE_INTERVAL.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        let domain = &node.settings.failure_domain;
        let instance = &node.settings.instance;
        let timeout = silence_timeout(node.domain_member_count());
        let status = {
            let membership = lock(&node.membership);
            let mut view = lock(&node.domain_view);
            view.retain_members(|instance| {
                membership
                    .get(instance)
                    .is_some_and(|record| record.state != MemberState::Gone)
            });
            view.status(node.now(), timeout, domain, instance, unix_ms())
        };
        let value = serde_json::to_string(&status).unwrap_or_default();
        let key = keys::status(domain);
        let _ = node.platform.put(&key, &value, Expected::Anything).await;
    }
}
