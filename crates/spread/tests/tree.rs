//! Versions and membership through a tree of real nodes.

mod support;

use support::Mesh;

/// Guards against versions or records that do not reach every node of a tree.
#[tokio::test(flavor = "multi_thread")]
async fn versions_and_members_reach_every_node() {
    let mut mesh = Mesh::start().await;
    mesh.publish(1).await;
    for (id, domain) in [
        ("n0", "a"),
        ("n1", "a"),
        ("n2", "b"),
        ("n3", "b"),
        ("n4", "a"),
        ("n5", "b"),
    ] {
        mesh.add(id, domain).await;
    }
    mesh.wait_version(1).await;
    mesh.wait_members().await;
    for version in 2..6 {
        mesh.publish(version).await;
    }
    mesh.wait_version(5).await;
}
