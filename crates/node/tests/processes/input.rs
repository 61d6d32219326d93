//! Invalid input on every port and in the settings.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::time::timeout;

use crate::harness::{Mesh, NodeConfig, build_service_file, program_path};

const SEED: u64 = 11;

/// Most memory growth that invalid input may cause.
const MAX_GROWTH_BYTES: u64 = 32 * 1024 * 1024;

/// Sends bytes and reads until the connection ends or `limit` has passed.
async fn send(address: SocketAddr, input: &[u8], limit: Duration) -> Vec<u8> {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let mut received = Vec::new();
    // The node may close before everything is written.
    let _ = socket.write_all(input).await;
    let _ = timeout(limit, socket.read_to_end(&mut received)).await;
    received
}

/// Opens a stream to the peer port with the given protocol version, sends `data` and returns the
/// status.
async fn open_peer_stream(address: SocketAddr, protocol: &str, data: Vec<u8>) -> Option<u16> {
    let socket = TcpStream::connect(address).await.unwrap();
    let (mut requests, connection) = h2::client::handshake(socket).await.unwrap();
    let driver = tokio::spawn(connection);
    let request = http::Request::post(format!("http://{address}/control"))
        .header("dandelionseam-protocol", protocol)
        .body(())
        .unwrap();
    let (answer, mut stream) = requests.send_request(request, false).unwrap();
    // The send fails when the stream is refused.
    let _ = stream.send_data(Bytes::from(data), false);
    let status = timeout(Duration::from_secs(10), answer).await;
    driver.abort();
    status.ok()?.ok().map(|answer| answer.status().as_u16())
}

/// Guards against input that ends the process, exhausts its memory or blocks a port for others.
#[tokio::test]
async fn bad_input_on_every_port_is_refused() {
    let mesh = Mesh::start().await;
    let (name, text) = build_service_file("desk", 2000);
    mesh.publish(&[(&name, text)]).await;
    let config = NodeConfig::new("n1", "north", "north-a");
    let mut node = mesh.start_ready_nodes(&[config]).await.remove(0);
    let upstream = mesh.start_upstream(&node, "desk", &["--echo"]).await;
    mesh.wait_targets(&node, "desk", 1).await;
    let before = node.process.read_resident_bytes();

    let mut random = StdRng::seed_from_u64(SEED);
    let header = format!("x: {}\r\n", "x".repeat(8000));
    let head = format!("GET /desk HTTP/1.1\r\n{}\r\n", header.repeat(500));
    for port in ["callers", "peers", "admin"] {
        let address = node.address(port);
        for _ in 0..20 {
            let mut noise = vec![0; 4096];
            random.fill(noise.as_mut_slice());
            send(address, &noise, Duration::from_millis(100)).await;
        }
        let answer = send(address, head.as_bytes(), Duration::from_secs(2)).await;
        assert!(!answer.starts_with(b"HTTP/1.1 2"), "{port}");
    }
    let peers = node.address("peers");
    assert_eq!(open_peer_stream(peers, "99", Vec::new()).await, Some(505));
    for _ in 0..20 {
        let mut frame = u32::MAX.to_le_bytes().to_vec();
        frame.extend([0; 4096]);
        assert_eq!(open_peer_stream(peers, "1", frame).await, Some(200));
    }
    let announcement = format!("{{\"service\":\"{}\"}}", "x".repeat(1_000_000));
    let url = format!("{}/announce", node.url("admin"));
    let answer = mesh.client.post(&url).body(announcement).send().await;
    assert!(answer.is_err() || answer.is_ok_and(|answer| answer.status().is_client_error()));
    let bad = r#"{"service":"desk","address":"nowhere","slots":1,"connections":1,"state":"ready"}"#;
    let answer = mesh.client.post(&url).body(bad).send().await.unwrap();
    assert_eq!(answer.status(), 400);

    // Senders that never finish a request must not block the ports.
    let mut slow = Vec::new();
    for port in ["callers", "peers", "admin"] {
        for _ in 0..100 {
            let mut socket = TcpStream::connect(node.address(port)).await.unwrap();
            socket.write_all(b"POST /desk HT").await.unwrap();
            slow.push(socket);
        }
    }
    assert_eq!(mesh.call(&node, "/desk").await.status(), 200);
    assert!(mesh.is_ready(&node).await);
    assert!(node.process.is_running());
    let growth = node.process.read_resident_bytes().saturating_sub(before);
    assert!(growth < MAX_GROWTH_BYTES, "memory grew by {growth} bytes");
    let log = mesh.log(&upstream).await;
    assert_eq!(log.len(), 1, "invalid input reached the upstream");
}

/// Guards against a refusal of a large announcement after which the client may send another request
/// on a connection that the node is closing.
#[tokio::test]
async fn refusals_of_large_announcements_close_the_connection() {
    let mesh = Mesh::start().await;
    let node = mesh
        .start_node(&NodeConfig::new("n1", "north", "north-a"))
        .await;
    let body = "x".repeat(1_000_000);
    let request = format!(
        "POST /announce HTTP/1.1\r\nhost: n1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    for play in 0..40 {
        let address = node.address("admin");
        let answer = send(address, request.as_bytes(), Duration::from_secs(2)).await;
        let answer = String::from_utf8_lossy(&answer).to_ascii_lowercase();
        assert!(answer.starts_with("http/1.1 413"), "play {play}: {answer}");
        assert!(
            answer.contains("connection: close"),
            "play {play}: {answer}"
        );
    }
}

/// Guards against invalid settings that are accepted, or whose errors are reported one at a time.
#[tokio::test]
async fn bad_settings_are_refused_with_all_findings() {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("node.ini");
    std::fs::write(
        &path,
        "[node]\nid = a b\nregio = north\n[log]\nlevel = loud\n",
    )
    .unwrap();
    let run = async |arguments: &[&str]| {
        let mut command = Command::new(program_path("dandelionseamd"));
        let command = command.args(arguments).kill_on_drop(true);
        let limit = Duration::from_secs(20);
        let output = timeout(limit, command.output()).await.unwrap().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8(text).unwrap())
    };
    let file = path.to_str().unwrap();
    for arguments in [&["--settings", file][..], &["--settings", file, "--check"]] {
        let (code, text) = run(arguments).await;
        assert_eq!(code, Some(1));
        for finding in [
            "node.ini:2:",
            "node.ini:3:",
            "`region`",
            "node.domain",
            "node.ini:5:",
        ] {
            assert!(text.contains(finding), "{finding}: {text}");
        }
    }
    std::fs::write(&path, "[node]\nid = n1\nregion = north\ndomain = a\n").unwrap();
    assert_eq!(run(&["--settings", file, "--check"]).await.0, Some(0));
    let (code, printed) = run(&["--settings", file, "--print-settings"]).await;
    assert_eq!(code, Some(0));
    std::fs::write(&path, &printed).unwrap();
    assert_eq!(
        run(&["--settings", file, "--print-settings"]).await.1,
        printed
    );
    assert_eq!(run(&["--setings"]).await.0, Some(2));
    assert_eq!(run(&[]).await.0, Some(2));
    assert_eq!(run(&["--version"]).await.0, Some(0));
}
