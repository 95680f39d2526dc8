//! Tests the client against the stand-in: conflicts, lost responses, outages and watches.

use assert_matches::assert_matches;
use bytes::Bytes;
use hyper::Request;
use smol::{
    Executor,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use sorrelturn_platform::{
    Expected, Faults, Platform, PlatformError, StandIn, http::exchange, serve,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

const TIMEOUT: Duration = Duration::from_secs(20);

fn with_stand_in<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, Platform) -> F) {
    let ex = Arc::new(Executor::new());
    smol::block_on(ex.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("address");
        let task = ex.spawn(serve(Arc::clone(&ex), listener, StandIn::default()));
        test(addr, Platform::new(addr, TIMEOUT)).await;
        drop(task);
    }));
}

async fn set_faults(addr: SocketAddr, faults: Faults) {
    let body = Bytes::from(serde_json::to_vec(&faults).expect("json"));
    let req = Request::put("/stand-in/faults")
        .body(body)
        .expect("request");
    exchange(addr, req, TIMEOUT)
        .await
        .expect("stand-in answers");
}

#[test]
fn of_two_racing_writers_one_wins_and_the_other_learns_the_version() {
    with_stand_in(|_, platform| async move {
        let first = platform
            .put("a", "1", Expected::Absent)
            .await
            .expect("first");
        assert_matches!(
            platform.put("a", "2", Expected::Absent).await,
            Err(PlatformError::Conflict(version)) if version == first
        );
    });
}

#[test]
fn a_write_whose_answer_is_lost_is_found_by_reading_back() {
    with_stand_in(|addr, platform| async move {
        set_faults(
            addr,
            Faults {
                lose_write_answers: 2,
                ..Faults::default()
            },
        )
        .await;
        assert_matches!(
            platform.put("b", "mine", Expected::Absent).await,
            Err(PlatformError::AnswerLost(_))
        );
        assert_matches!(
            platform
                .put_resolved("b", "mine", Expected::Absent, |v| v == "mine")
                .await,
            Ok(_)
        );
        assert_matches!(
            platform
                .put_resolved("b", "other", Expected::Absent, |v| v == "other")
                .await,
            Err(PlatformError::Conflict(_))
        );
    });
}

#[test]
fn an_outage_is_unavailable_and_ends() {
    with_stand_in(|addr, platform| async move {
        set_faults(
            addr,
            Faults {
                down: true,
                ..Faults::default()
            },
        )
        .await;
        assert_matches!(platform.get("c").await, Err(PlatformError::Unavailable(_)));
        set_faults(addr, Faults::default()).await;
        assert_matches!(platform.get("c").await, Ok(None));
    });
}

#[test]
fn a_watch_goes_on_from_its_revision() {
    with_stand_in(|_, platform| async move {
        let version = platform
            .put("d/1", "x", Expected::Anything)
            .await
            .expect("put");
        let all = platform.list("d/").await.expect("list");
        assert_eq!((all.revision, all.objects.len()), (version, 1));
        platform
            .put("d/2", "y", Expected::Anything)
            .await
            .expect("put");
        let changes = platform.watch("d/", version, TIMEOUT).await.expect("watch");
        assert_eq!(changes.objects.len(), 1);
        assert_eq!(changes.objects[0].key, "d/2");
    });
}

#[test]
fn a_watch_tells_of_removed_objects_and_of_history_that_is_gone() {
    with_stand_in(|addr, platform| async move {
        let version = platform
            .put("e/1", "x", Expected::Absent)
            .await
            .expect("put");
        platform.delete("e/1").await.expect("delete");
        let changes = platform.watch("e/", version, TIMEOUT).await.expect("watch");
        assert_eq!(changes.removed, ["e/1"]);
        let forget = Faults {
            forget_history: true,
            ..Faults::default()
        };
        set_faults(addr, forget).await;
        assert_matches!(
            platform.watch("e/", version, TIMEOUT).await,
            Err(PlatformError::HistoryGone)
        );
    });
}

#[test]
fn a_list_of_many_pages_is_read_whole() {
    with_stand_in(|_, platform| async move {
        for number in 0..1_100 {
            let key = format!("f/{number:04}");
            platform
                .put(&key, "x", Expected::Absent)
                .await
                .expect("put");
        }
        let all = platform.list("f/").await.expect("list");
        assert_eq!(all.objects.len(), 1_100);
        assert_eq!(all.objects[1_099].key, "f/1099");
    });
}

#[test]
fn a_late_write_takes_effect_only_if_its_condition_still_holds() {
    with_stand_in(|addr, platform| async move {
        let first = platform.put("g", "a", Expected::Absent).await.expect("put");
        let late = Faults {
            lose_write_answers: 1,
            late_write_ms: 50,
            ..Faults::default()
        };
        set_faults(addr, late).await;
        let lost = platform.put("g", "late", Expected::Version(first));
        let other = async {
            smol::Timer::after(Duration::from_millis(10)).await;
            platform.put("g", "b", Expected::Version(first)).await
        };
        let (lost, other) = smol::future::zip(lost, other).await;
        assert_matches!(lost, Err(PlatformError::AnswerLost(_)));
        assert_matches!(other, Ok(_));
        let found = platform.get("g").await.expect("get").expect("object");
        assert_eq!(found.value, "b");
    });
}

/// Guards against a list that ends at a page whose objects can't be parsed.
#[test]
fn a_list_goes_on_after_a_page_of_which_nothing_can_be_read() {
    let pages = [
        r#"{"items":[{"metadata":{"name":"a b","revision":"?"}}],"has_more":true,"store_revision":3}"#,
        r#"{"items":[{"metadata":{"name":"good","revision":2},"value":"v"}],"store_revision":3}"#,
    ];
    let ex = Arc::new(Executor::new());
    smol::block_on(ex.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("address");
        let answered = ex.spawn(async move {
            let mut requests = Vec::new();
            for page in pages {
                let (mut tcp, _) = listener.accept().await.expect("a caller");
                let mut buf = [0; 4096];
                let len = tcp.read(&mut buf).await.expect("a request");
                requests.push(String::from_utf8_lossy(&buf[..len]).into_owned());
                let length = page.len();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
                );
                let sent = tcp.write_all((head + page).as_bytes()).await;
                sent.expect("sent");
            }
            requests
        });
        let changes = Platform::new(addr, TIMEOUT).list("kind/").await;
        let changes = changes.expect("a list");
        assert_eq!(changes.objects.len(), 1);
        assert_eq!(changes.left_out, 1);
        let requests = answered.await;
        assert!(requests[1].contains("after=a%20b "), "{}", requests[1]);
    }));
}

/// Guards against one invalid entry of another client hiding a whole list.
#[test]
fn entries_of_a_list_that_cant_be_read_are_left_out_and_counted() {
    let page = r#"{"items":[{"metadata":{"name":"good","revision":2},"value":"v"},7,{"metadata":"none"}],"store_revision":3}"#;
    let ex = Arc::new(Executor::new());
    smol::block_on(ex.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("address");
        let answer = async move {
            let (mut tcp, _) = listener.accept().await.expect("a caller");
            tcp.read(&mut [0; 4096]).await.expect("a request");
            let length = page.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n");
            let sent = tcp.write_all((head + page).as_bytes()).await;
            sent.expect("sent");
            tcp
        };
        let answered = ex.spawn(answer);
        let changes = Platform::new(addr, TIMEOUT).list("kind/").await;
        let changes = changes.expect("a list");
        assert_eq!(changes.objects.len(), 1);
        assert_eq!(changes.left_out, 2);
        drop(answered.await);
    }));
}
