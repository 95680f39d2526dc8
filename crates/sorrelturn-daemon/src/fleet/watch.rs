//! Watching the platform for a failure domain. See `docs/design/spread.md`.

use crate::{
    clock::unix_ms,
    config::fetch::{self, FetchError},
    config::knowledge,
    fleet::control_client as control,
    fleet::gossip,
    node::{Node, lock},
    store::{self, member_record},
};
use smol::{
    Timer,
    channel::{self, Receiver},
    future::FutureExt,
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

/// How often a daemon that stands by asks those before it.
const RANK_EVERY: Duration = Duration::from_secs(1);
/// How long one watch waits; a watch counts as a call for the platform.
const WATCH_TIME: Duration = Duration::from_secs(10);
/// How often a watcher reads the head besides, because a watch may have stopped silently.
const READ_EVERY: Duration = Duration::from_secs(2);
/// The same where calls are priced: a watch that was cut ends with an error, and of the six or more
/// watchers of a fleet one is enough.
const PRICED_READ_EVERY: Duration = Duration::from_secs(5);
/// How long a watch waits where calls are priced: the longest that the users' platform allows.
const PRICED_WATCH_TIME: Duration = Duration::from_secs(30);
/// The pause between two watches of the members where calls are priced. Each news ends a watch; when a
/// fleet starts, all its members are news within seconds. Neighbours tell one another meanwhile.
const PRICED_NEWS_PAUSE: Duration = Duration::from_secs(1);
/// The pause after a failed call to the platform.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How often a member is asked whether it is there.
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// A member that was silent for so long has gone: cuts and pauses of VMs last a few seconds, and until
/// then it costs its peers a try now and then.
const SILENCE_OF_THE_GONE: Duration = Duration::from_secs(15);
/// How often the status of the failure domain is written.
const STATUS_EVERY: Duration = Duration::from_secs(5);

/// Decides every second whether this daemon watches, and watches.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        while !is_due(&node).await {
            Timer::after(RANK_EVERY).await;
        }
        node.counts.watching.store(true, Ordering::Relaxed);
        node.record_event(&events::WATCHER_STARTED, Vec::new());
        let until_relieved = async {
            while is_due(&node).await {
                Timer::after(RANK_EVERY).await;
            }
        };
        watch_all(&node).or(until_relieved).await;
        node.counts.watching.store(false, Ordering::Relaxed);
        node.record_event(&events::WATCHER_ENDED, Vec::new());
    }
}

/// Whether fewer than the wanted number of daemons before this one are alive.
async fn is_due(node: &Arc<Node>) -> bool {
    let before: Option<Vec<MemberRecord>> = {
        let membership = lock(&node.membership);
        let ranked = ranked(membership.present(), &node.settings.failure_domain);
        predecessors(&ranked, &node.settings.instance)
            .map(|before| before.iter().map(|record| (*record).clone()).collect())
    };
    let Some(before) = before else {
        return false;
    };
    let mut alive = 0;
    for record in before {
        if alive == WATCHER_COUNT {
            break;
        }
        alive += usize::from(answers(node, &record).await);
    }
    alive < WATCHER_COUNT
}

async fn answers(node: &Arc<Node>, record: &MemberRecord) -> bool {
    control::call(
        node,
        record,
        |client, cx| async move { client.ping(cx).await },
    )
    .await
    .is_ok_and(|incarnation| incarnation == record.incarnation)
}

async fn watch_all(node: &Arc<Node>) {
    let told = Told::default();
    let (head_is_silent, restart_head) = channel::bounded(1);
    let (members_are_silent, restart_members) = channel::bounded(1);
    let silent = || {
        // One that is there already says the same.
        let _ = head_is_silent.try_send(());
        let _ = members_are_silent.try_send(());
    };
    let follow = watch_head(node, &told, &restart_head)
        .or(read_head(node, &told, silent))
        .or(watch_members(node, &restart_members));
    if node.settings.routes.is_some() {
        return follow.or(sweep(node)).await;
    }
    follow.or(read_vm_list(node)).or(write_status(node)).await;
}

/// The revision of the store up to which a watch has told what changed.
#[derive(Default)]
struct Told(AtomicU64);

/// Waits for changes under a prefix, for ever. When `silent` says so, the watch that waits isn't heard any
/// more and is left.
async fn follow(
    node: &Arc<Node>,
    prefix: &str,
    pause_after: Duration,
    silent: &Receiver<()>,
    changed: impl Fn(Changes),
) {
    let mut since = None;
    let mut lost = false;
    let wait = match node.settings.routes {
        Some(_) => PRICED_WATCH_TIME,
        None => WATCH_TIME,
    };
    loop {
        let result = match since {
            None => node.platform.list(prefix).await,
            Some(since) => {
                let left = async {
                    let _ = silent.recv().await;
                    Err(PlatformError::WatchStalled)
                };
                node.platform.watch(prefix, since, wait).or(left).await
            }
        };
        note_platform(node, &mut lost, result.as_ref().err());
        match result {
            Ok(changes) => {
                since = Some(changes.revision);
                store::note_left_out(node, prefix, &changes);
                changed(changes);
                Timer::after(pause_after).await;
            }
            Err(_) => {
                since = None;
                pause().await;
            }
        }
    }
}

async fn pause() {
    Timer::after(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
}

fn note_platform(node: &Node, lost: &mut bool, error: Option<&PlatformError>) {
    match (error, *lost) {
        (Some(error), false) => {
            node.record_event(&events::PLATFORM_LOST, vec![Field::new("error", error)]);
        }
        (None, true) => node.record_event(&events::PLATFORM_BACK, Vec::new()),
        _ => {}
    }
    *lost = error.is_some();
}

async fn watch_head(node: &Arc<Node>, told: &Told, silent: &Receiver<()>) {
    let head = head_key(node).to_owned();
    follow(node, &head, Duration::ZERO, silent, |changes| {
        told.0.store(changes.revision, Ordering::Relaxed);
        for object in changes.objects {
            heard_head(node, &object);
        }
    })
    .await;
}

/// Reads the head now and then. If it is newer than what the watch has told, the watch is silent, and the
/// others on their way to the store are likely to be.
async fn read_head(node: &Arc<Node>, told: &Told, silent: impl Fn()) {
    let pause = match node.settings.routes {
        Some(_) => PRICED_READ_EVERY,
        None => READ_EVERY,
    };
    loop {
        Timer::after(pause.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        if let Some(routes) = &node.settings.routes {
            let read = knowledge::read_table(node, &routes.object).await;
            if node.knowledge.newest() > told.0.load(Ordering::Relaxed) {
                silent();
            }
            if let Err(FetchError::RoutesRefused(error)) = read {
                node.record_event(&events::BUNDLE_REFUSED, vec![Field::new("error", error)]);
            }
        } else if let Ok(Some(object)) = node.platform.get(head_key(node)).await {
            if object.version > told.0.load(Ordering::Relaxed) {
                silent();
            }
            heard_head(node, &object);
        }
    }
}

/// The object by which a new bundle is noticed.
fn head_key(node: &Node) -> &str {
    let routes = node.settings.routes.as_ref();
    routes.map_or(keys::BUNDLE_HEAD, |routes| &routes.object)
}

fn heard_head(node: &Arc<Node>, object: &Object) {
    let value = object.value.as_str();
    if node.settings.routes.is_some() {
        match fetch::take_routes(node, value) {
            Ok(()) => node.knowledge.took(object.version),
            Err(error) => {
                node.record_event(&events::BUNDLE_REFUSED, vec![Field::new("error", error)])
            }
        }
        return;
    }
    let manifest = serde_json::from_str::<SignedManifest>(value)
        .ok()
        .and_then(|signed| signed.verify(&node.trusted).ok());
    match manifest {
        Some(manifest) => fetch::heard_version(node, manifest.version, Source::Store),
        None => node.record_event(
            &events::BUNDLE_REFUSED,
            vec![Field::new(
                "error",
                "the head in the store is not signed by a trusted operator",
            )],
        ),
    }
}

async fn watch_members(node: &Arc<Node>, silent: &Receiver<()>) {
    let pause_after = match node.settings.routes {
        Some(_) => PRICED_NEWS_PAUSE,
        None => Duration::ZERO,
    };
    follow(node, keys::MEMBERS, pause_after, silent, |changes| {
        for object in changes.objects {
            if let Some(record) = member_record::read(node, &object) {
                gossip::heard_member(node, record);
            }
        }
    })
    .await;
}

async fn read_vm_list(node: &Arc<Node>) {
    let mut not_believed = Vec::new();
    loop {
        Timer::after(READ_EVERY).await;
        let Ok(vms) = node.platform.vms().await else {
            continue;
        };
        let listed: BTreeMap<&str, bool> = vms
            .iter()
            .map(|vm| (vm.instance.as_str(), vm.state == VmState::Leaving))
            .collect();
        let advice = diff_vm_list(
            &lock(&node.membership),
            &node.settings.failure_domain,
            &listed,
        );
        if advice.rejected_services != not_believed && !listed.is_empty() {
            for service in &advice.rejected_services {
                let fields = vec![Field::new("service", service)];
                node.record_event(&events::VM_LIST_NOT_BELIEVED, fields);
            }
        }
        act_on(node, &advice).await;
        not_believed = advice.rejected_services;
    }
}

/// Takes members out that answer nobody, where no list tells which VMs there are. One member of the
/// own failure domain is asked each time, so the cost doesn't grow with the fleet.
async fn sweep(node: &Arc<Node>) {
    let mut silent_since: BTreeMap<String, Now> = BTreeMap::new();
    let mut last = String::new();
    loop {
        Timer::after(SWEEP_EVERY).await;
        let Some(record) = next_member(node, &last) else {
            continue;
        };
        last.clone_from(&record.instance);
        if answers(node, &record).await {
            silent_since.remove(&record.instance);
            continue;
        }
        let since = *silent_since
            .entry(record.instance.clone())
            .or_insert_with(|| node.now());
        if node.now() >= since + SILENCE_OF_THE_GONE {
            silent_since.remove(&record.instance);
            let fields = vec![Field::new("member", &record.instance)];
            node.record_event(&events::MEMBER_SWEPT, fields);
            declare_gone(node, record).await;
        }
    }
}

/// The present member of the own failure domain after `last`, itself left out.
fn next_member(node: &Node, last: &str) -> Option<MemberRecord> {
    let membership = lock(&node.membership);
    let of_domain = || {
        membership
            .present()
            .filter(|record| record.failure_domain == node.settings.failure_domain)
            .filter(|record| record.instance != node.settings.instance)
    };
    let next = of_domain().find(|record| record.instance.as_str() > last);
    next.or_else(|| of_domain().next()).cloned()
}

async fn act_on(node: &Arc<Node>, advice: &VmListDiff) {
    for (instances, leaving) in [(&advice.leaving, true), (&advice.staying, false)] {
        for instance in instances {
            let record = lock(&node.membership).get(instance).cloned();
            if let Some(record) = record {
                let _ = control::call(node, &record, |client, cx| async move {
                    client.vm_state(cx, leaving).await
                })
                .await;
            }
        }
    }
    for instance in &advice.unlisted {
        let record = lock(&node.membership).get(instance).cloned();
        if let Some(record) = record
            && !answers(node, &record).await
        {
            declare_gone(node, record).await;
        }
    }
}

/// A member that is neither listed nor answers has gone.
async fn declare_gone(node: &Arc<Node>, mut record: MemberRecord) {
    record.sequence += 1;
    record.state = MemberState::Gone;
    gossip::heard_member(node, record.clone());
    if let Err(error) = member_record::put(node, &record, Expected::Anything).await {
        member_record::note_unsaved(node, &record, error);
    }
}

async fn write_status(node: &Arc<Node>) {
    loop {
        Timer::after(STATUS_EVERY.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        let domain = &node.settings.failure_domain;
        let instance = &node.settings.instance;
        let silence = silence_timeout(node.domain_members());
        let status = {
            let membership = lock(&node.membership);
            let mut view = lock(&node.domain_view);
            view.retain_members(|instance| {
                membership
                    .get(instance)
                    .is_some_and(|record| record.state != MemberState::Gone)
            });
            view.status(node.now(), silence, domain, instance, unix_ms())
        };
        let value = serde_json::to_string(&status).unwrap_or_default();
        let key = keys::status(domain);
        let _ = node.platform.put(&key, &value, Expected::Anything).await;
    }
}
