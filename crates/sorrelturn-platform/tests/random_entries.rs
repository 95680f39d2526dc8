//! Random entries of other writers, in the bytes of the store's responses: none hides another one, whatever it holds.

mod common;

use common::{TIMEOUT, answered_with, check_version_is_read, keys, list_around_odd, object};
use proptest::prelude::*;

/// Deeper than JSON libraries parse.
const MAX_DEPTH: usize = 300;

/// A number as some serializer may write it, in range or not, or a word in its place.
fn any_number() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        "-?(0|[1-9][0-9]{0,40})(\\.[0-9]{1,30})?([eE][+-]?[0-9]{1,4})?",
        Just("NaN".to_owned()),
        Just("-Infinity".to_owned()),
        Just("Infinity".to_owned()),
        Just("nan".to_owned()),
        Just("+1".to_owned()),
        Just(".5".to_owned()),
        Just("0x10".to_owned()),
    ]
    .prop_map(String::into_bytes)
}

/// A string with escapes, halves of surrogate pairs, control characters and bytes other than UTF-8.
fn any_string() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        "[a-zA-Z0-9 {}\\[\\]:,.+-]{1,5}".prop_map(String::into_bytes),
        "\\\\u[0-9a-fA-F]{4}".prop_map(String::into_bytes),
        "\\\\[\"\\\\/bfnrt]".prop_map(String::into_bytes),
        (0_u8..32).prop_map(|byte| vec![byte]),
        (128_u8..=255).prop_map(|byte| vec![byte]),
    ];
    proptest::collection::vec(piece, 0..6)
        .prop_map(|pieces| [b"\"".to_vec(), pieces.concat(), b"\"".to_vec()].concat())
}

fn any_json() -> impl Strategy<Value = Vec<u8>> {
    let scalar = prop_oneof![
        any_number(),
        any_string(),
        Just(b"null".to_vec()),
        Just(b"true".to_vec()),
    ];
    let nested = scalar.prop_recursive(4, 24, 4, |inner| {
        let member = (any_string(), inner.clone())
            .prop_map(|(name, value)| [&name[..], b":", &value].concat());
        prop_oneof![
            proptest::collection::vec(inner, 0..4).prop_map(|items| [
                b"[",
                &items.join(&b","[..])[..],
                b"]"
            ]
            .concat()),
            proptest::collection::vec(member, 0..4).prop_map(|members| [
                b"{",
                &members.join(&b","[..])[..],
                b"}"
            ]
            .concat()),
        ]
    });
    (nested, 0..MAX_DEPTH)
        .prop_map(|(value, depth)| [&b"[".repeat(depth)[..], &value, &b"]".repeat(depth)].concat())
}

proptest! {
    /// Guards against one entry of another writer that hides all others of its page, or its own version.
    #[test]
    fn no_entry_hides_another_one(value in any_json()) {
        let listed = answered_with(200, vec![list_around_odd(&value)], async |platform| {
            platform.list("kind/").await
        });
        let listed = listed.expect("a list");
        prop_assert_eq!(keys(&listed), ["kind/first", "kind/last"]);
        check_version_is_read(&value);
    }

    /// Guards against a panic, which would end the daemon.
    #[test]
    fn any_bytes_are_parsed_or_refused(body in proptest::collection::vec(any::<u8>(), 0..200), value in any_json()) {
        let cut = &object("odd", 2, &value)[..];
        let cut = cut[..body.len().min(cut.len())].to_vec();
        for body in [body, cut] {
            for status in [200, 404, 409, 410, 503] {
                answered_with(status, vec![body.clone(); 3], async |platform| {
                    // Errors are as good as results here.
                    let _ = platform.list("kind/").await;
                    let _ = platform.watch("kind/", 1, TIMEOUT).await;
                    let _ = platform.get("kind/odd").await;
                });
            }
        }
    }
}
