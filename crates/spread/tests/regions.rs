//! Links between regions, cut and joined again.

mod support;

use std::time::Duration;

use member::State;
use spread::Direction;
use support::relay::Relay;
use support::{Mesh, Node};

/// Guards against nodes that are reported down because their region is cut off, against versions that
/// wait for another region, and against tables that do not converge after the cut.
#[tokio::test(flavor = "multi_thread")]
async fn regions_that_are_cut_apart_join_again() {
    let mut mesh = Mesh::start_nodes(3).await;
    let (listener, shown) = Relay::bind().await;
    let config = spread::Config::default();
    let south = Node::start(
        "s0",
        "south/c",
        config,
        Some(mesh.client()),
        None,
        Some(shown),
    )
    .await;
    let relay = Relay::forward(listener, south.address);
    mesh.nodes.push(south);
    mesh.wait_version(1).await;
    mesh.wait_members().await;
    let reader = mesh.wait_reader().await;
    mesh.wait("summaries of both regions", |mesh| {
        let summaries = mesh.node(&reader).spread.summaries();
        summaries.iter().map(|summary| summary.nodes).sum::<u32>() == 4
    })
    .await;
    relay.set_cut(true);
    mesh.pass(Duration::from_secs(8)).await;
    mesh.publish(2).await;
    mesh.add("late", "a").await;
    mesh.wait_version(2).await;
    assert_eq!(
        mesh.node("s0").state_of("late"),
        None,
        "the regions are cut apart"
    );
    for node in &mesh.nodes {
        assert!(
            node.state_of("s0").is_some_and(State::is_live),
            "at {}",
            node.id
        );
    }
    relay.set_cut(false);
    mesh.wait_members().await;
    // Versions come from the store in each region and never cross a link between regions.
    let rows: Vec<_> = mesh
        .nodes
        .iter()
        .flat_map(|node| node.spread.traffic())
        .collect();
    let crossed = rows.iter().filter(|row| {
        row.kind == "update"
            && row
                .region
                .as_ref()
                .is_some_and(|region| region.as_str() == "south")
    });
    assert_eq!(crossed.count(), 0);
    assert!(rows.iter().any(|row| {
        let south = row
            .region
            .as_ref()
            .is_some_and(|region| region.as_str() == "south");
        south && row.kind == "heartbeat" && row.direction == Direction::Sent
    }));
}
