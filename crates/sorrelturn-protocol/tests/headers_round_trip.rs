//! Contexts and tokens decode to the values that were encoded, and malformed input is an error.

use proptest::prelude::*;
use sorrelturn_protocol::*;

fn context(request: u128, attempts: u32, nonce: u128, kind: String) -> CallContext {
    CallContext {
        request: RequestId(request),
        trace: request ^ 1,
        parent: SpanId(7),
        kind,
        service: "certification".to_owned(),
        importance: Importance::High,
        depth: 3,
        deadline_ms: 250,
        attempts,
        token: Some(ExecutionToken {
            owner: Incarnation(9),
            issued_ms: 12,
            nonce,
        }),
        caller: CallerId(5),
        level: 0,
        repeat_share: RepeatShare::of_call(0.25),
        names: RequestFingerprints {
            path: RequestFingerprint(request as u64),
            with_query: Some(RequestFingerprint(nonce as u64)),
        },
        work_times_reported: true,
        root_precedence: Precedence::new(Importance::High, true),
        refused_fraction: nonce as u8,
    }
}

proptest! {
    #[test]
    fn a_call_context_reads_back_as_written(
        request: u128,
        attempts: u32,
        nonce: u128,
        kind in "[a-z-]{1,24}",
    ) {
        let written = context(request, attempts, nonce, kind);
        prop_assert_eq!(CallContext::decode(written.encode().as_bytes()), Ok(written));
    }

    #[test]
    fn a_token_reads_back_as_written(owner: u64, issued_ms: u64, nonce: u128) {
        let token = ExecutionToken { owner: Incarnation(owner), issued_ms, nonce };
        prop_assert_eq!(token.to_string().parse(), Ok(token));
    }

    #[test]
    fn decoding_an_invalid_context_header_does_not_panic(text in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = CallContext::decode(&text);
        let _ = AnswerContext::decode(&text);
    }
}

#[test]
fn the_headers_of_a_hop_stay_small() {
    let call = context(
        u128::MAX,
        u32::MAX,
        u128::MAX,
        "certificate-issue".to_owned(),
    );
    assert!(call.encode().len() <= 180, "{}", call.encode().len());
    let answer = AnswerContext {
        refusal: Some(Refusal::BackendRefused),
        retry_after_ms: 30_000,
        attempts_left: 100,
        threshold: Priority::HIGHEST,
        load: 500,
        bundle_version: 1_000_000,
        incarnation: Incarnation(u64::MAX),
        ..AnswerContext::default()
    };
    assert!(answer.encode().len() <= 50, "{}", answer.encode().len());
}

#[test]
fn a_token_with_parts_missing_or_left_over_is_malformed() {
    for text in ["", "1-2", "1-2-3-4", "x-2-3", "1--3"] {
        assert_eq!(
            text.parse::<ExecutionToken>(),
            Err(TokenError::Malformed),
            "{text}"
        );
    }
}

#[test]
fn importance_outweighs_every_shedding_bucket() {
    for pair in Importance::ALL.windows(2) {
        assert!(Priority::new(pair[0], u8::MAX) < Priority::new(pair[1], 0));
        assert_eq!(Priority::new(pair[1], 0).importance(), pair[1]);
    }
}

#[test]
fn combining_two_verdicts_returns_the_greater_one() {
    assert_eq!(
        Verdict::NotRun.combine(Verdict::MayHaveRun),
        Verdict::MayHaveRun
    );
    assert_eq!(Verdict::Ran.combine(Verdict::NotRun), Verdict::Ran);
}
