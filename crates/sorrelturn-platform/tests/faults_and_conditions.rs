//! The client against the stand-in: races, lost answers, outages, watches.

use assert_matches::assert_matches;
use bytes::Bytes;
use hyper::Request;
use smol::{Executor, net::TcpListener};
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

async fn play(addr: SocketAddr, faults: Faults) {
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
        play(
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
        play(
            addr,
            Faults {
                down: true,
                ..Faults::default()
            },
        )
        .await;
        assert_matches!(platform.get("c").await, Err(PlatformError::Unavailable(_)));
        play(addr, Faults::default()).await;
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
        let news = platform.watch("d/", version, TIMEOUT).await.expect("watch");
        assert_eq!(news.objects.len(), 1);
        assert_eq!(news.objects[0].key, "d/2");
    });
}
