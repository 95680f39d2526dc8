//! Client for control calls to other daemons. Connections are reused, and closed after [`IDLE_TIMEOUT`]
//! without a call.

pub(crate) use crate::fleet::control::ControlClient;
use crate::{
    fleet::control::transport,
    fleet::control_codec::Side,
    node::{Node, lock},
};
use async_compat::Compat;
use displaydoc::Display;
use smol::{Timer, future::FutureExt, lock::Mutex as AsyncMutex, net::TcpStream};
use sorrelturn_policy::Now;
use sorrelturn_protocol::{Incarnation, MemberRecord};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tarpc::{client, context};

/// The timeout of [`call`].
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout for opening a connection. Half of [`CALL_TIMEOUT`], so that a call that has waited for another one's attempt
/// on a broken path has time for its own.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Reasons why a control call failed.
#[derive(Debug, Display)]
pub(crate) enum ControlError {
    /// can't connect to the daemon: {0}
    NoConnection(std::io::Error),
    /// control call interrupted: {0}
    Interrupted(String),
    /// control call timed out
    Timeout,
}

/// Open connections to the control ports of other daemons.
#[derive(Default)]
pub(crate) struct ControlLinks {
    open: Mutex<HashMap<Incarnation, ControlLink>>,
    /// Held while a connection to a daemon is opened, so that all calls that wait for one share it. Without that, a
    /// burst of updates would open as many connections to each neighbour.
    connecting: Mutex<HashMap<Incarnation, Arc<AsyncMutex<()>>>>,
}

struct ControlLink {
    client: ControlClient,
    last_used: Now,
    /// When the connection was opened or carried the last answer.
    last_active: Now,
}

impl ControlLinks {
    fn get(&self, now: Now, incarnation: Incarnation) -> Option<ControlClient> {
        let mut open = lock(&self.open);
        let link = open.get_mut(&incarnation)?;
        link.last_used = now;
        Some(link.client.clone())
    }

    fn insert(&self, now: Now, incarnation: Incarnation, client: &ControlClient) {
        let link = ControlLink {
            client: client.clone(),
            last_used: now,
            last_active: now,
        };
        lock(&self.open).insert(incarnation, link);
    }

    fn record_answer(&self, now: Now, incarnation: Incarnation) {
        if let Some(link) = lock(&self.open).get_mut(&incarnation) {
            link.last_active = now;
        }
    }

    /// Returns the lock that is held while a connection to a daemon is opened.
    fn connect_lock(&self, incarnation: Incarnation) -> Arc<AsyncMutex<()>> {
        Arc::clone(lock(&self.connecting).entry(incarnation).or_default())
    }

    /// Closes connections that were unused for [`IDLE_TIMEOUT`].
    pub(crate) fn close_idle(&self, now: Now) {
        lock(&self.connecting).retain(|_, connecting| Arc::strong_count(connecting) > 1);
        lock(&self.open).retain(|_, link| now.saturating_sub(link.last_used) < IDLE_TIMEOUT);
    }

    /// Closes connections without an answer since a call was sent that timed out, its own among them: if one connection
    /// is silent, the others may be silent too.
    fn close_inactive_since(&self, sent: Now) {
        lock(&self.open).retain(|_, link| link.last_active > sent);
    }

    fn remove(&self, incarnation: Incarnation) {
        lock(&self.open).remove(&incarnation);
    }
}

/// Makes one control call to a daemon, connecting first if necessary. A failure drops the connection.
pub(crate) async fn call<T, F>(
    node: &Arc<Node>,
    to: &MemberRecord,
    call: impl FnOnce(ControlClient, context::Context) -> F,
) -> Result<T, ControlError>
where
    F: Future<Output = Result<T, client::RpcError>>,
{
    call_within(node, to, CALL_TIMEOUT, call).await
}

/// Returns whether the incarnation of this record answers at its address.
pub(crate) async fn is_alive(node: &Arc<Node>, record: &MemberRecord) -> bool {
    call(
        node,
        record,
        |client, cx| async move { client.ping(cx).await },
    )
    .await
    .is_ok_and(|incarnation| incarnation == record.incarnation)
}

/// As [`call`], with another timeout.
pub(crate) async fn call_within<T, F>(
    node: &Arc<Node>,
    to: &MemberRecord,
    timeout: Duration,
    call: impl FnOnce(ControlClient, context::Context) -> F,
) -> Result<T, ControlError>
where
    F: Future<Output = Result<T, client::RpcError>>,
{
    let sent = node.now();
    let timed_out = async {
        Timer::after(timeout).await;
        Err(ControlError::Timeout)
    };
    let open_client = node.control_links.get(sent, to.incarnation);
    let was_open = open_client.is_some();
    let result = async {
        let client = match open_client {
            Some(client) => client,
            None => connect_once(node, to).await?,
        };
        let mut cx = context::current();
        cx.deadline = Instant::now() + timeout;
        Compat::new(call(client, cx))
            .await
            .map_err(|error| ControlError::Interrupted(error.to_string()))
    }
    .or(timed_out)
    .await;
    match &result {
        Ok(_) => node.control_links.record_answer(node.now(), to.incarnation),
        Err(ControlError::Timeout) if was_open => {
            node.control_links.close_inactive_since(sent);
        }
        Err(_) => node.control_links.remove(to.incarnation),
    }
    result
}

/// Connects to a daemon, unless another call has done so meanwhile.
async fn connect_once(node: &Arc<Node>, to: &MemberRecord) -> Result<ControlClient, ControlError> {
    let connecting = node.control_links.connect_lock(to.incarnation);
    let _guard = connecting.lock().await;
    if let Some(client) = node.control_links.get(node.now(), to.incarnation) {
        return Ok(client);
    }
    let timed_out = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(ControlError::Timeout)
    };
    connect(node, to).or(timed_out).await
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
    let new_client = ControlClient::new(
        client::Config::default(),
        transport(node, stream, Side::Client),
    );
    let dispatch = async {
        let _ = Compat::new(new_client.dispatch).await;
    };
    node.ex.spawn(dispatch).detach();
    let now = node.now();
    node.control_links
        .insert(now, to.incarnation, &new_client.client);
    Ok(new_client.client)
}
