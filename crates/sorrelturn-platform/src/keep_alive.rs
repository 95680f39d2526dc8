//! Noticing that the other end of a connection is gone without a word.

use smol::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};
use std::{io, time::Duration};

/// While a connection rests or an answer is waited for, the other end's kernel is asked this often
/// whether it is there. It costs no processor time here.
const EVERY: Duration = Duration::from_secs(1);
/// And so many times without an answer before the connection is given up.
const TRIES: u32 = 2;

/// Has the kernel end a connection whose other end doesn't answer it any more.
pub fn keep_alive(tcp: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(EVERY)
        .with_interval(EVERY)
        .with_retries(TRIES);
    SockRef::from(tcp).set_tcp_keepalive(&keepalive)
}
