//! Tests that bundles survive splitting and joining, and that forged ones are rejected.

use assert_matches::assert_matches;
use proptest::prelude::*;
use sorrelturn_bundle::*;
use std::collections::BTreeMap;

const SECRET: &str = "4242424242424242424242424242424242424242424242424242424242424242";

fn source() -> BundleSource {
    let text = include_str!("../../../bundles/dalaqyz-soft.jsonc");
    parse("dalaqyz-soft.jsonc", text).expect("the example is valid")
}

fn key() -> OperatorKey {
    OperatorKey::from_hex("anna", SECRET).expect("a key")
}

fn trusted() -> TrustedKeys {
    let keys = BTreeMap::from([("anna".to_owned(), key().public_hex())]);
    TrustedKeys::from_hex(&keys).expect("a public key")
}

fn manifest(sections: &[SectionBytes]) -> Manifest {
    Manifest {
        version: 7,
        publication: "p".to_owned(),
        published_ms: 0,
        note: String::new(),
        sections: sections
            .iter()
            .map(|section| (section.name.clone(), ContentHash::of(&section.bytes)))
            .collect(),
    }
}

#[test]
fn a_bundle_is_the_same_after_split_sign_verify_and_join() {
    let sections = split(&source());
    let signed = SignedManifest::sign(&manifest(&sections), &key());
    let verified = signed.verify(&trusted()).expect("the signature is valid");
    let bundle = join(&verified, |hash| {
        let found = sections
            .iter()
            .find(|s| ContentHash::of(&s.bytes) == *hash)?;
        Some(found.bytes.as_slice())
    });
    let bundle = bundle.expect("all sections are present");
    assert_eq!((bundle.version, bundle.source()), (7, &source()));
}

#[test]
fn missing_and_replaced_sections_are_refused() {
    let sections = split(&source());
    let manifest = manifest(&sections);
    assert_matches!(
        join(&manifest, |_| None),
        Err(ManifestError::SectionMissing(_))
    );
    let replaced = join(&manifest, |_| Some(b"{}".as_slice()));
    assert_matches!(replaced, Err(ManifestError::SectionHashMismatch(_)));
}

#[test]
fn an_unknown_operator_is_refused_by_name() {
    let untrusted_key = OperatorKey::from_hex("eve", SECRET).expect("a key");
    let signed = SignedManifest::sign(&manifest(&[]), &untrusted_key);
    assert_eq!(
        signed.verify(&trusted()),
        Err(ManifestError::UnknownOperator("eve".to_owned()))
    );
}

#[test]
fn requests_and_callers_are_matched_as_the_bundle_says() {
    let bundle = Bundle::new(1, source());
    let kind = |method, path| {
        bundle
            .match_kind(method, path)
            .map(|kind| kind.name.as_str())
    };
    assert_eq!(kind("GET", "/balances/17"), Some("balance-view"));
    assert_eq!(kind("POST", "/balances/17"), None);
    assert_eq!(kind("GET", "/balances/"), None);
    assert_eq!(kind("GET", "/balances/17/more"), None);
    let caller = |bearer, ip: &str| {
        let ip = ip.parse().expect("an address");
        bundle
            .match_caller(bearer, ip)
            .map(|caller| caller.name.as_str())
    };
    assert_eq!(caller(None, "10.30.4.5"), Some("residents"));
    assert_eq!(caller(None, "10.31.4.5"), None);
    assert_eq!(
        caller(Some("clerks-example"), "10.30.4.5"),
        Some("utility-clerks")
    );
    assert_eq!(caller(Some("guessed"), "10.30.4.5"), None);
    assert_eq!(
        bundle.kind("tariff-pay").map(|kind| kind.min_executions),
        Some(3)
    );
}

#[test]
fn the_hash_of_a_token_may_be_written_in_upper_case() {
    let mut source = source();
    for caller in source.callers.values_mut() {
        caller.token_blake3 = caller.token_blake3.take().map(|hash| hash.to_uppercase());
    }
    let bundle = Bundle::new(1, source);
    let ip = "10.30.4.5".parse().expect("an address");
    let caller = bundle.match_caller(Some("clerks-example"), ip);
    assert_eq!(
        caller.map(|caller| caller.name.as_str()),
        Some("utility-clerks")
    );
}

proptest! {
    #[test]
    fn no_changed_byte_of_a_signed_manifest_passes(at: prop::sample::Index, flip in 1u8..128) {
        // Only the lower seven bits are flipped, so that the text stays ASCII.
        let signed = SignedManifest::sign(&manifest(&split(&source())), &key());
        let mut bytes = signed.manifest.clone().into_bytes();
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        if let Ok(text) = String::from_utf8(bytes) {
            let forged = SignedManifest { manifest: text, ..signed };
            prop_assert!(forged.verify(&trusted()).is_err());
        }
    }
}
