//! Status reports to the watchers of the own failure domain, which aggregate them.

use crate::{
    fleet::control_client,
    node::{Node, lock},
};
use smol::Timer;
use sorrelturn_fleet::{Report, WATCHER_COUNT, ranked, report_interval};
use sorrelturn_protocol::MemberRecord;
use std::{sync::Arc, time::Duration};

const REPORT_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Reports to the watchers whenever the report interval has elapsed since the last report.
pub(crate) async fn run_reports(node: Arc<Node>) {
    loop {
        let jitter = 0.75 + fastrand::f64() / 2.0;
        let elapsed = node.counts.last_report.elapsed_since(node.now());
        if elapsed >= report_interval(node.domain_member_count()) {
            report(&node).await;
        }
        Timer::after(REPORT_CHECK_INTERVAL.mul_f64(jitter)).await;
    }
}

pub(crate) fn spawn_report(node: &Arc<Node>) {
    if node.settings.routes.is_some() {
        // With a route table, the status of failure domains is not published.
        return;
    }
    let node = Arc::clone(node);
    let ex = Arc::clone(&node.ex);
    ex.spawn(async move { report(&node).await }).detach();
}

async fn report(node: &Arc<Node>) {
    let report = Report {
        instance: node.settings.instance.clone(),
        state: node.own_record.load().state,
        version: lock(&node.bundle_tracker).in_force(),
        trouble: None,
    };
    node.counts.last_report.set(node.now());
    for watcher in watchers(node) {
        let report = report.clone();
        if watcher.instance == node.settings.instance {
            lock(&node.domain_view).record_report(node.now(), report);
            continue;
        }
        let _ = control_client::call(node, &watcher, |client, cx| async move {
            client.report(cx, report).await
        })
        .await;
    }
}

fn watchers(node: &Node) -> Vec<MemberRecord> {
    let membership = lock(&node.membership);
    ranked(membership.present(), &node.settings.failure_domain)
        .into_iter()
        .take(WATCHER_COUNT)
        .cloned()
        .collect()
}
