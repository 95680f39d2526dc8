//! Client for control calls to other daemons. Connections are reused, and closed after [`IDLE_TIMEOUT`]
//! without a call.

pub(crate) use crate::fleet::control::ControlClient;
use crate::{
    fleet::control::transport,
    node::{Node, lock},
};
use async_compat::Compat;
use displaydoc::Display;
use smol::{Timer, future::FutureExt, net::TcpStream};
use sorrelturn_policy::Now;
use sorrelturn_protocol::{Incarnation, MemberRecord};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tarpc::{client, context};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
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

/// Open connections to the control ports of other daemons, with the time of their last use.
#[derive(Default)]
pub(crate) struct ControlLinks {
    open: Mutex<HashMap<Incarnation, (ControlClient, Now)>>,
}

impl ControlLinks {
    fn get(&self, now: Now, incarnation: Incarnation) -> Option<ControlClient> {
        let mut open = lock(&self.open);
        let (client, last_used) = open.get_mut(&incarnation)?;
        *last_used = now;
        Some(client.clone())
    }

    fn insert(&self, now: Now, incarnation: Incarnation, client: &ControlClient) {
        let mut open = lock(&self.open);
        open.insert(incarnation, (client.clone(), now));
    }

    /// Closes connections that were unused for [`IDLE_TIMEOUT`].
    pub(crate) fn close_idle(&self, now: Now) {
        lock(&self.open).retain(|_, (_, last_used)| now.saturating_sub(*last_used) < IDLE_TIMEOUT);
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
    let timeout = async {
        Timer::after(CALL_TIMEOUT).await;
        Err(ControlError::Timeout)
    };
    let result = async {
        let client = match node.control_links.get(node.now(), to.incarnation) {
            Some(client) => client,
            None => connect(node, to).await?,
        };
        let mut cx = context::current();
        cx.deadline = Instant::now() + CALL_TIMEOUT;
        Compat::new(call(client, cx))
            .await
            .map_err(|error| ControlError::Interrupted(error.to_string()))
    }
    .or(timeout)
    .await;
    if result.is_err() {
        node.control_links.remove(to.incarnation);
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
    let new_client = ControlClient::new(client::Config::default(), transport(node, stream));
    let dispatch = async {
        let _ = Compat::new(new_client.dispatch).await;
    };
    node.ex.spawn(dispatch).detach();
    let now = node.now();
    node.control_links
        .insert(now, to.incarnation, &new_client.client);
    Ok(new_client.client)
}
