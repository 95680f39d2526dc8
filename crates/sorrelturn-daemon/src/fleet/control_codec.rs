//! The encoding of control messages. See `docs/design/between-daemons.md`.

use bincode::{DefaultOptions, Options};
use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{io, marker::PhantomData, pin::Pin, time::Duration};
use tarpc::tokio_serde::{Deserializer, Serializer};

/// Far above the timeout of any control call. The RPC library panics at a deadline that is years ahead.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(600);

/// Whether a codec reads calls or their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// It reads answers.
    Client,
    /// It reads calls.
    Server,
}

/// Encodes and decodes control messages. A message that can't be decoded ends its connection.
pub(crate) struct ControlCodec<Item, SinkItem> {
    side: Side,
    /// Called with the reason why a message can't be decoded; the RPC library only closes the connection.
    report: Box<dyn Fn(&io::Error) + Send + Sync>,
    messages: PhantomData<fn(SinkItem) -> Item>,
}

/// The start of a call, in the order in which the RPC library writes it.
#[derive(Deserialize)]
enum CallStart {
    Request { timeout: Duration },
    Cancel,
}

impl<Item, SinkItem> ControlCodec<Item, SinkItem> {
    pub(crate) fn new(side: Side, report: impl Fn(&io::Error) + Send + Sync + 'static) -> Self {
        Self {
            side,
            report: Box::new(report),
            messages: PhantomData,
        }
    }
}

impl<Item: DeserializeOwned, SinkItem> Deserializer<Item> for ControlCodec<Item, SinkItem> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<Item> {
        let checked = match self.side {
            Side::Client => Ok(()),
            Side::Server => check_timeout(src),
        };
        let decoded = checked.and_then(|()| options().deserialize(src).map_err(invalid_data));
        decoded.inspect_err(|error| (self.report)(error))
    }
}

impl<Item, SinkItem: Serialize> Serializer<SinkItem> for ControlCodec<Item, SinkItem> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, message: &SinkItem) -> io::Result<Bytes> {
        let encoded = options().serialize(message);
        encoded.map(Bytes::from).map_err(invalid_data)
    }
}

fn options() -> impl Options {
    DefaultOptions::new()
}

fn check_timeout(call: &[u8]) -> io::Result<()> {
    let start = options().allow_trailing_bytes().deserialize(call);
    match start.map_err(invalid_data)? {
        CallStart::Request { timeout } if timeout > MAX_CALL_TIMEOUT => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("the timeout is {timeout:?}, the maximum is {MAX_CALL_TIMEOUT:?}"),
        )),
        CallStart::Request { .. } | CallStart::Cancel => Ok(()),
    }
}

fn invalid_data(error: bincode::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
