//! Parts that the tests of the client share.

#![allow(dead_code, reason = "each test uses some of the parts")]

use standin::Faults;
use standin::store::Store as Standin;
use store::Store;
use types::Deadline;

/// Deadline far above what a call needs on a busy machine.
pub fn soon() -> Deadline {
    Deadline::after_ms(5000)
}

pub async fn start() -> (Standin, Store) {
    let standin = Standin::start_local().await.unwrap();
    let store = client([&standin]);
    (standin, store)
}

pub fn client<const N: usize>(standins: [&Standin; N]) -> Store {
    Store::new(
        standins
            .map(|standin| standin.url().parse().unwrap())
            .into(),
    )
    .unwrap()
}

/// Puts faults in force, given as the JSON of the control endpoint without its braces.
pub async fn set_faults(standin: &Standin, text: &str) {
    let faults: Faults = serde_json::from_str(&format!("{{{text}}}")).unwrap();
    standin.apply_faults(faults).await;
}
