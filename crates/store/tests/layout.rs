//! Forms that other programs depend on: keys, values and the JSON of the protocol.

use schema::bundle::Head;
use schema::gateway::{
    Compare, CompareResult, CompareTarget, LeaseGrantRequest, RangeResponse, TxnRequest,
    WatchStream,
};
use serde_json::json;
use store::{keys, values};
use types::{Version, id};

/// Guards against a changed key, which would hide the stored versions from newer nodes, and against
/// manifests that do not sort by version.
#[test]
fn keys_keep_their_layout() {
    let region: id::Region = "north".parse().unwrap();
    let publication = "p-1".parse().unwrap();
    let manifest = keys::manifest(Version::new(12));
    assert_eq!(keys::HEAD, "/dandelionseam/head");
    assert_eq!(manifest, "/dandelionseam/manifest/00000000000000000012");
    assert!(manifest > keys::manifest(Version::new(9)));
    assert_eq!(keys::manifest_version(&manifest), Some(Version::new(12)));
    assert_eq!(keys::manifest_version("/dandelionseam/manifest/12"), None);
    let piece = keys::piece(&publication, &"renewals".parse().unwrap());
    assert_eq!(piece, "/dandelionseam/piece/p-1/renewals");
    assert_eq!(
        keys::publication(&publication),
        "/dandelionseam/publication/p-1"
    );
    assert_eq!(keys::reader(&region), "/dandelionseam/reader/north");
    assert_eq!(keys::reader_region(&keys::reader(&region)), Some(region));
    let once = keys::once(
        &"caroni".parse().unwrap(),
        &"renewals".parse().unwrap(),
        &"renew".parse().unwrap(),
        "k/1 ü",
    );
    assert_eq!(once, "/dandelionseam/once/caroni/renewals/renew/k/1 ü");
}

/// Guards against a value that is read as another message after its format changed or it was cut.
#[test]
fn values_check_their_format() {
    let head = Head {
        version: 7,
        digest: vec![1, 2],
        published_ms: 3,
        ..Head::default()
    };
    let value = values::encode(&head).unwrap();
    assert_eq!(value[0], 1);
    assert_eq!(values::decode::<Head>(&value).unwrap(), head);
    let other = [&[2], &value[1..]].concat();
    assert!(matches!(
        values::decode::<Head>(&other),
        Err(values::Error::Format(2))
    ));
    assert!(matches!(
        values::decode::<Head>(&[]),
        Err(values::Error::Empty)
    ));
    for damaged in [&value[..value.len() - 1], &[&value[..], &[0]].concat()] {
        assert!(matches!(
            values::decode::<Head>(damaged),
            Err(values::Error::Codec(_))
        ));
    }
}

/// Guards against requests that a real gateway does not understand: names, base64 and 64-bit numbers
/// as strings.
#[test]
fn requests_follow_the_published_form() {
    let compare = Compare {
        result: CompareResult::NotEqual.into(),
        target: CompareTarget::Mod.into(),
        key: b"foo".into(),
        mod_revision: i64::MAX,
        ..Compare::default()
    };
    let txn = TxnRequest {
        compare: vec![compare],
        ..TxnRequest::default()
    };
    let expected = json!({"compare": [{"result": "NOT_EQUAL", "target": "MOD", "key": "Zm9v",
        "mod_revision": "9223372036854775807"}]});
    assert_eq!(serde_json::to_value(txn).unwrap(), expected);
    let grant = LeaseGrantRequest { ttl: 4, id: 0 };
    assert_eq!(serde_json::to_value(grant).unwrap(), json!({"TTL": "4"}));
}

/// Guards against answers of a real gateway that the client does not understand: unknown fields,
/// numbers that are not strings, defaults left out.
#[test]
fn answers_follow_the_published_form() {
    let range = r#"{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255",
        "revision":"1","raft_term":3,"future":{}},"kvs":[{"key":"Zm9v","create_revision":"2",
        "mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"}"#;
    let range: RangeResponse = serde_json::from_str(range).unwrap();
    assert_eq!(
        range.header.map(|h| (h.revision, h.raft_term)),
        Some((1, 3))
    );
    assert_eq!(
        (&range.kvs[0].value[..], range.kvs[0].lease),
        (&b"bar"[..], 0)
    );
    let stream = r#"{"error":{"grpc_code":14,"http_code":503,"message":"gone","http_status":"x"}}"#;
    let stream: WatchStream = serde_json::from_str(stream).unwrap();
    assert_eq!(stream.error.unwrap().message, "gone");
    for damaged in [r#"{"count":"x"}"#, r#"{"kvs":[{"key":"*"}]}"#, r#"{"kvs":"#] {
        assert!(
            serde_json::from_str::<RangeResponse>(damaged).is_err(),
            "{damaged}"
        );
    }
}
