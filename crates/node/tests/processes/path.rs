//! The whole path: publish, spread, announce, call.

use reqwest::Method;

use crate::harness::{Mesh, header, service, three_regions};

/// Guards against a break anywhere between `dandelionseam publish` and the answer of an upstream
/// that is reached through two nodes.
#[tokio::test]
async fn published_service_is_called_through_two_nodes() {
    let mesh = Mesh::start().await;
    let (name, text) = service("desk", 2000);
    mesh.publish(&[(&name, text)]).await;
    let nodes = mesh.ready_nodes(&three_regions()).await;
    let upstream = mesh.upstream(&nodes[0], "desk", &["--echo"]).await;
    mesh.wait_targets(&nodes[2], "desk", 1).await;

    let request = mesh
        .request(&nodes[2], Method::POST, "/desk/7")
        .header("dandelionseam-request-id", "r-1")
        .body("payment");
    let answer = request.send().await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "dandelionseam-request-id"), "r-1");
    assert_eq!(header(&answer, "dandelionseam-outcome"), "ran");
    assert_eq!(header(&answer, "dandelionseam-fault"), "none");
    assert_eq!(header(&answer, "dandelionseam-version"), "1");
    assert_eq!(answer.text().await.unwrap(), "r-1\npayment");

    let log = mesh.log(&upstream).await;
    assert_eq!(log.len(), 1);
    assert_eq!(
        (log[0].method.as_str(), log[0].path.as_str()),
        ("POST", "/desk/7")
    );

    let none = mesh.call(&nodes[1], "/nothing").await;
    assert_eq!(none.status(), 404);
    assert_eq!(header(&none, "dandelionseam-outcome"), "not-run");
    assert_eq!(header(&none, "dandelionseam-fault"), "caller");
}
