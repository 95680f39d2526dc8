//! Entries of other writers that can't be parsed, in every response of the store that holds objects.

mod common;

use assert_matches::assert_matches;
use bytes::Bytes;
use common::{
    TIMEOUT, answered_with, check_version_is_read, keys, list_around_odd, list_page, object,
};
use hyper::Request;
use smol::{Executor, net::TcpListener};
use sorrelturn_platform::{Expected, Platform, StandIn, http::exchange, serve};
use std::{net::SocketAddr, sync::Arc};

/// Deeper than JSON libraries parse.
const DEPTH: usize = 2_000;

/// Values that JSON libraries can't hold, or that some serializers write though they aren't JSON.
fn odd_values() -> Vec<Vec<u8>> {
    let digits = "9".repeat(400);
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let nested_objects = format!("{}1{}", r#"{"a":"#.repeat(DEPTH), "}".repeat(DEPTH));
    let texts = [
        "1e400",
        "-1e400",
        &digits,
        r#"{"port":1e400}"#,
        r#""\ud800""#,
        r#"{"name":"\udc00 \ud800"}"#,
        r#"{"\ud800":1}"#,
        &nested,
        &nested_objects,
        "NaN",
        "-Infinity",
        r#"{"rate":Infinity,"text":"NaN \" Infinity"}"#,
        "\"a\tb\nc\u{1}\"",
    ];
    let mut values: Vec<Vec<u8>> = texts.iter().map(|text| text.as_bytes().to_vec()).collect();
    values.push(b"\"\xff\xfe\"".to_vec());
    values.push(b"{\"\xc3\":1}".to_vec());
    values
}

/// Guards against one entry of another writer that hides all others of its page, so that daemons never find one another.
#[test]
fn an_entry_that_cant_be_parsed_hides_no_other_of_a_list() {
    for value in odd_values() {
        let page = list_around_odd(&value);
        let listed = answered_with(200, vec![page], async |platform| {
            platform.list("kind/").await
        });
        let value = String::from_utf8_lossy(&value[..value.len().min(40)]).into_owned();
        let listed = listed.unwrap_or_else(|error| panic!("{value}: {error}"));
        assert_eq!(keys(&listed), ["kind/first", "kind/last"], "{value}");
        assert_eq!(listed.revision, 9);
    }
}

/// Guards against a watch that fails as long as the store remembers such a change.
#[test]
fn an_event_that_cant_be_parsed_hides_no_other_of_a_watch() {
    for value in odd_values() {
        let event = |object: Vec<u8>, removed: bool| {
            let start = format!(r#"{{"removed":{removed},"object":"#);
            [start.as_bytes(), &object, b"}"].concat()
        };
        let events = [
            event(object("odd", 2, &value), false),
            event(object("new", 3, br#""v""#), false),
            event(object("odd", 4, &value), true),
        ]
        .join(&b","[..]);
        let page = [br#"{"events":["#, &events[..], br#"],"store_revision":9}"#].concat();
        let changes = answered_with(200, vec![page], async |platform| {
            platform.watch("kind/", 1, TIMEOUT).await
        });
        let value = String::from_utf8_lossy(&value[..value.len().min(40)]).into_owned();
        let changes = changes.unwrap_or_else(|error| panic!("{value}: {error}"));
        assert_eq!(keys(&changes), ["kind/new"], "{value}");
        assert_eq!(changes.removed, ["kind/odd"], "{value}");
        assert_eq!(changes.revision, 9);
    }
}

/// Guards against an own record that can't be replaced for good, since its version can't be read.
#[test]
fn the_version_of_an_object_that_cant_be_parsed_is_read() {
    for value in odd_values() {
        check_version_is_read(&value);
    }
}

/// Guards against a list that ends at, or repeats, a page whose last entry can't be parsed.
#[test]
fn a_list_goes_on_after_a_page_that_ends_with_an_odd_entry() {
    for value in odd_values() {
        let first = object("odd", 2, &value);
        let first = [
            br#"{"items":["#,
            &first[..],
            br#"],"has_more":true,"store_revision":9}"#,
        ];
        let second = list_page(&[object("last", 3, br#""v""#)]);
        let pages = vec![first.concat(), second];
        let listed = answered_with(200, pages, async |platform| platform.list("kind/").await);
        assert_eq!(keys(&listed.expect("a list")), ["kind/last"]);
    }
}

/// Guards against finalizers of another writer that make an object unreadable.
#[test]
fn odd_finalizers_make_no_object_unreadable() {
    let object = br#"{"metadata":{"name":"a","revision":7,"finalizers":[1e400,"\ud800"],"new":1e400},"value":"v"}"#;
    let got = answered_with(200, vec![object.to_vec()], async |platform| {
        platform.get("kind/a").await
    });
    assert_matches!(got, Ok(Some(object)) if object.version == 7 && object.value == "v");
}

/// Text in strings isn't touched by the replacement of words that aren't JSON.
#[test]
fn strings_beside_invalid_words_stay_as_they_are() {
    let text = r#""NaN, \"Infinity\" and \\ 1.5.2""#;
    let page = list_page(&[
        object("odd", 1, b"NaN"),
        object("text", 2, text.as_bytes()),
        object("number", 3, b"-1.5e3"),
    ]);
    let listed = answered_with(200, vec![page], async |platform| {
        platform.list("kind/").await
    });
    let listed = listed.expect("a list");
    let values: Vec<&str> = listed.objects.iter().map(|o| o.value.as_str()).collect();
    assert_eq!(values, ["null", r#"NaN, "Infinity" and \ 1.5.2"#, "-1.5e3"]);
}

/// Guards against a name of another writer that ends the process, since no path can hold it as it is.
#[test]
fn an_object_of_any_name_is_read_written_and_deleted() {
    let ex = Arc::new(Executor::new());
    smol::block_on(ex.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("address");
        let _serving = ex.spawn(serve(Arc::clone(&ex), listener, StandIn::default()));
        let platform = Platform::new(addr, TIMEOUT);
        for name in [
            "a b", "a?watch=1", "a#b", "a%2Fb", "\u{e4}\u{1f600}", "{\"a\"}", "a\nb", "..", "a\\b",
        ] {
            let key = format!("kind/{name}");
            let written = platform.put(&key, name, Expected::Anything).await;
            let version = written.unwrap_or_else(|error| panic!("{name:?}: {error}"));
            let found = platform.get(&key).await;
            assert_matches!(found, Ok(Some(object)) if object.key == key && object.version == version);
            let listed = platform.list("kind/").await.expect("a list");
            assert_eq!(keys(&listed), [key.as_str()]);
            platform.delete(&key).await.expect("it is deleted");
            assert_matches!(platform.get(&key).await, Ok(None));
        }
    }));
}

/// The stand-in keeps what it is given, or tests couldn't play such entries.
#[test]
fn the_stand_in_returns_a_value_as_it_was_written() {
    let ex = Arc::new(Executor::new());
    smol::block_on(ex.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("address");
        let _serving = ex.spawn(serve(Arc::clone(&ex), listener, StandIn::default()));
        let value = r#"{"a":1e400,"b":"\ud800"}"#;
        let written = call(addr, "POST", "kind", object("odd", 0, value.as_bytes())).await;
        assert!(written.contains(value), "{written}");
        let listed = call(addr, "GET", "kind", Vec::new()).await;
        assert!(listed.contains(value), "{listed}");
        let found = Platform::new(addr, TIMEOUT).get("kind/odd").await;
        assert_matches!(found, Ok(Some(object)) if object.value == value);
    }));
}

async fn call(addr: SocketAddr, method: &str, path: &str, body: Vec<u8>) -> String {
    let req = Request::builder()
        .method(method)
        .uri(format!("/v1/objects/{path}"))
        .body(Bytes::from(body));
    let res = exchange(addr, req.expect("a request"), TIMEOUT).await;
    String::from_utf8_lossy(res.expect("a response").body()).into_owned()
}
