//! Judges where a response ends, for everything that reads responses: a response whose head leaves that in doubt is
//! malformed, and no part of it may reach a caller. See `docs/design/streaming.md`.

use displaydoc::Display;
use hyper::{
    HeaderMap, Response, Version,
    header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
};

/// The only transfer coding that daemons can decode.
const CHUNKED: &str = "chunked";

/// Why a response is malformed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum MalformedResponse {
    /// its head can't be parsed
    Head,
    /// its head states a length and a transfer coding
    LengthBesideCoding,
    /// its transfer coding isn't `chunked` alone
    Coding,
    /// its head doesn't state exactly one length in digits
    Length,
    /// its head states no length, and names the coding `chunked` in another field than `Transfer-Encoding`
    MisnamedCoding,
    /// its body begins like the rest of a head
    SplitHead,
    /// it sends more than is allowed before or after its body
    TooLong,
}

impl std::error::Error for MalformedResponse {}

/// Checks that the head of a response tells in exactly one way where its body ends.
///
/// A body without a length and without chunks ends with its connection, so whatever spoils the field that tells its end
/// would make another body of it that looks whole.
///
/// # Errors
///
/// If the head states none, several or contradicting ends.
pub fn check_framing<B>(res: &Response<B>) -> Result<(), MalformedResponse> {
    let headers = res.headers();
    let has_length = headers.contains_key(CONTENT_LENGTH);
    if headers.contains_key(TRANSFER_ENCODING) {
        return match (has_length, is_chunked_alone(headers)) {
            (true, _) => Err(MalformedResponse::LengthBesideCoding),
            (false, false) => Err(MalformedResponse::Coding),
            (false, true) => Ok(()),
        };
    }
    if has_length {
        return match has_one_length(headers) {
            true => Ok(()),
            false => Err(MalformedResponse::Length),
        };
    }
    match headers.values().any(is_chunked) {
        true => Err(MalformedResponse::MisnamedCoding),
        false => Ok(()),
    }
}

/// Makes the version of a response that of the next connection, whose framing is its own.
///
/// A response of HTTP/1.0 that is passed on as such would end with its connection, and a cut one would look whole.
pub fn normalize_version<B>(res: &mut Response<B>) {
    *res.version_mut() = Version::HTTP_11;
}

/// Returns what is wrong with a response that could not be read; `None` if its connection broke off or the request could
/// not be sent.
pub fn malformed_by(error: &hyper::Error) -> Option<MalformedResponse> {
    if error.is_parse() {
        return Some(MalformedResponse::Head);
    }
    let source = std::error::Error::source(error)?;
    let io_error = source.downcast_ref::<std::io::Error>()?;
    io_error.get_ref()?.downcast_ref().copied()
}

fn is_chunked_alone(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    codings.next().is_some_and(is_chunked) && codings.next().is_none()
}

fn is_chunked(value: &HeaderValue) -> bool {
    value.as_bytes().eq_ignore_ascii_case(CHUNKED.as_bytes())
}

fn has_one_length(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let is_number = lengths.next().is_some_and(|length| {
        let digits = length.as_bytes();
        !digits.is_empty() && digits.iter().all(u8::is_ascii_digit)
    });
    is_number && lengths.next().is_none()
}
