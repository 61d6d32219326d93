//! Text forms of the value types.

use proptest::prelude::*;
use types::{Digest, Fault, Outcome, Version, id, rate};

/// Guards against an id whose text form reads back as another id.
#[test]
fn ids_reject_text_that_would_break_keys_and_headers() {
    for text in ["", "a/b", "a b", "a\n", "é", &"x".repeat(id::ID_LIMIT + 1)] {
        assert!(text.parse::<id::Service>().is_err(), "{text:?}");
    }
}

/// Guards against parts that run together into the same digest.
#[test]
fn digest_separates_parts() {
    let one = Digest::of_parts([b"ab".as_slice(), b"c"]);
    let other = Digest::of_parts([b"a".as_slice(), b"bc"]);
    assert_ne!(one, other);
}

proptest! {
    /// Guards against a text form that does not read back.
    #[test]
    fn text_forms_read_back(number: u64, name in "[a-z][a-z0-9-]{0,20}", percent in 0u32..=100, bytes: Vec<u8>) {
        let version = Version::new(number);
        prop_assert_eq!(version.to_string().parse(), Ok(version));
        let service: id::Service = name.parse().unwrap();
        let fault = Fault::Service(service);
        prop_assert_eq!(fault.to_string().parse(), Ok(fault));
        let share = rate::Percent::new(percent);
        prop_assert_eq!(share.to_string().parse(), Ok(share));
        let digest = Digest::of(&bytes);
        prop_assert_eq!(digest.to_string().parse(), Ok(digest));
        for outcome in [Outcome::NotRun, Outcome::Ran, Outcome::Unknown] {
            prop_assert_eq!(outcome.to_string().parse(), Ok(outcome));
        }
    }
}
