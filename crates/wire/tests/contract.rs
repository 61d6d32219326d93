//! Tests the contract of connections and streams: messages arrive complete, unchanged and in order,
//! and every end of a stream other than a clean one is an error.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes as Buffer;
use proptest::prelude::*;
use schema::bundle::Header as Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use types::Deadline;
use wire::{
    Connection, Error, Frame, Kind, Listener, PING_INTERVAL, PING_TIMEOUT, Received, Stream,
};

fn message(value: &[u8]) -> Message {
    Message {
        value: value.to_vec(),
        ..Message::default()
    }
}

fn into_value(received: Received<Message>) -> Vec<u8> {
    received.message.value
}

/// Sends every message back and ends the stream cleanly.
async fn echo(_kind: Kind, mut stream: Stream) {
    while let Ok(Some(received)) = stream.receiver.recv::<Message>().await {
        if stream.sender.send(&received.message).await.is_err() {
            return;
        }
    }
    let _ = stream.sender.finish();
}

/// Sends the first message back and resets the stream.
async fn echo_then_reset(_kind: Kind, mut stream: Stream) {
    let received = stream.receiver.recv::<Message>().await.unwrap().unwrap();
    stream.sender.send(&received.message).await.unwrap();
    stream.sender.reset();
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Serves [`echo`] on every accepted connection and returns the address.
async fn serve_echo() -> SocketAddr {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(wire::serve(socket, echo));
        }
    });
    address
}

async fn connect(address: SocketAddr) -> Connection {
    Connection::connect(address, Deadline::after_ms(5000))
        .await
        .unwrap()
}

/// Guards against messages that are delivered to another stream of the same connection.
#[tokio::test]
async fn many_streams_on_one_connection_keep_their_own_messages() {
    let connection = connect(serve_echo().await).await;
    let mut calls = Vec::new();
    for call in 0..64u8 {
        let connection = connection.clone();
        calls.push(tokio::spawn(async move {
            let mut stream = connection.open(Kind::Call).await.unwrap();
            for part in 0..20u8 {
                let body = vec![call ^ part; 30_000];
                stream.sender.send(&message(&body)).await.unwrap();
                assert_eq!(
                    into_value(stream.receiver.recv().await.unwrap().unwrap()),
                    body
                );
            }
            stream.sender.finish().unwrap();
            assert!(stream.receiver.recv::<Message>().await.unwrap().is_none());
        }));
    }
    for call in calls {
        call.await.unwrap();
    }
}

/// Guards against plain data that is truncated, reordered or decoded as a message, with a body
/// larger than the window of a stream and than a frame.
#[tokio::test]
async fn data_and_messages_arrive_complete_and_in_order() {
    let (listener, address) = bind().await;
    let body: Buffer = (0..5_000_000u32).map(|n| n.to_le_bytes()[1]).collect();
    let content = body.clone();
    tokio::spawn(async move {
        let (socket, _) = listener.accept().await.unwrap();
        let send = move |_, mut stream: Stream| {
            let body = content.clone();
            async move {
                stream.sender.send(&message(b"head")).await.unwrap();
                stream.sender.send_data(body).await.unwrap();
                stream.sender.send(&message(b"end")).await.unwrap();
                stream.sender.finish().unwrap();
            }
        };
        wire::serve(socket, send).await
    });
    let mut stream = connect(address).await.open(Kind::Call).await.unwrap();
    let mut received = Vec::new();
    let mut messages = Vec::new();
    while let Some(frame) = stream.receiver.recv_frame::<Message>().await.unwrap() {
        match frame {
            Frame::Message(message) => messages.push(message.value),
            Frame::Data(data) => received.extend_from_slice(&data),
        }
    }
    assert_eq!(messages, [b"head".to_vec(), b"end".to_vec()]);
    assert!(
        received == body,
        "received {} bytes that differ from the body",
        received.len()
    );
}

/// Guards against a reset that the receiver takes for a clean end of the stream.
#[tokio::test]
async fn reset_is_an_error() {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        let (socket, _) = listener.accept().await.unwrap();
        wire::serve(socket, echo_then_reset).await
    });
    let mut stream = connect(address).await.open(Kind::Call).await.unwrap();
    stream.sender.send(&message(b"one")).await.unwrap();
    let first = stream.receiver.recv::<Message>().await;
    let end = match first {
        Ok(Some(_)) => stream.receiver.recv::<Message>().await,
        other => other,
    };
    assert!(matches!(end, Err(Error::Stream(_))), "{end:?}");
}

/// Forwards bytes between two sockets and closes both after `limit` bytes from the server.
async fn relay(client: TcpStream, server: SocketAddr, limit: usize) {
    let server = TcpStream::connect(server).await.unwrap();
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let upload = tokio::spawn(async move {
        let _ = tokio::io::copy(&mut client_read, &mut server_write).await;
    });
    let mut remaining = limit;
    let mut buffer = [0; 4096];
    while remaining > 0 {
        let length = remaining.min(buffer.len());
        let count = server_read.read(&mut buffer[..length]).await.unwrap_or(0);
        if count == 0 || client_write.write_all(&buffer[..count]).await.is_err() {
            break;
        }
        remaining -= count;
    }
    upload.abort();
}

/// Guards against a false message or a false clean end when the connection breaks off after any
/// byte.
#[tokio::test]
async fn connection_cut_at_every_byte_never_gives_a_false_message() {
    let server = serve_echo().await;
    let body = b"a short body".to_vec();
    let mut completed = 0;
    for limit in 1..240 {
        let (listener, address) = bind().await;
        let proxy = tokio::spawn(async move {
            let (client, _) = listener.accept().await.unwrap();
            relay(client, server, limit).await;
        });
        let exchange = async {
            let mut stream = Connection::connect(address, Deadline::after_ms(5000))
                .await?
                .open(Kind::Call)
                .await?;
            stream.sender.send(&message(&body)).await?;
            stream.sender.finish()?;
            let received = stream.receiver.recv::<Message>().await?;
            assert_eq!(received.map(into_value), Some(body.clone()));
            let end = stream.receiver.recv::<Message>().await?;
            assert!(end.is_none());
            Ok::<(), Error>(())
        };
        completed += usize::from(
            timeout(Duration::from_secs(10), exchange)
                .await
                .unwrap()
                .is_ok(),
        );
        proxy.abort();
    }
    assert!(completed < 239, "no connection was cut");
    assert!(completed > 0, "every connection was cut");
}

/// Forwards one connection until the returned sender is set to true. Both sockets then stay open,
/// but nothing is forwarded any more.
async fn relay_until_silenced(
    server: SocketAddr,
) -> (SocketAddr, tokio::sync::watch::Sender<bool>) {
    let (listener, address) = bind().await;
    let (silence, mut silent) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        let (client, _) = listener.accept().await.unwrap();
        let server = TcpStream::connect(server).await.unwrap();
        let (mut client_read, mut client_write) = client.into_split();
        let (mut server_read, mut server_write) = server.into_split();
        tokio::select! {
            _ = tokio::io::copy(&mut client_read, &mut server_write) => {}
            _ = tokio::io::copy(&mut server_read, &mut client_write) => {}
            _ = silent.wait_for(|silent| *silent) => {}
        }
        // Keeps both sockets open.
        std::future::pending::<()>().await;
    });
    (address, silence)
}

/// Twice the specified detection time of 2 s, since tests may run on a shared machine.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(4);

/// Guards against a connection that stays in use after the network path has lost its state, so that
/// nothing arrives and no socket is closed.
#[tokio::test]
async fn silent_connection_is_closed_within_the_ping_limits() {
    let (address, silence) = relay_until_silenced(serve_echo().await).await;
    let connection = connect(address).await;
    let mut stream = connection.open(Kind::Control).await.unwrap();
    stream.sender.send(&message(b"alive")).await.unwrap();
    assert_eq!(
        into_value(stream.receiver.recv().await.unwrap().unwrap()),
        b"alive"
    );
    silence.send_replace(true);
    assert!(PING_INTERVAL + PING_TIMEOUT <= DETECTION_TIMEOUT / 2);
    let end = timeout(DETECTION_TIMEOUT, stream.receiver.recv::<Message>()).await;
    assert!(matches!(end, Ok(Err(_))), "{end:?}");
    assert!(connection.is_closed());
}

/// Guards against sending a call that must not be repeated over a connection that went silent while
/// idle, and against a check that fails on a working connection.
#[tokio::test]
async fn ensure_alive_detects_a_connection_that_went_silent_while_idle() {
    let (address, silence) = relay_until_silenced(serve_echo().await).await;
    let connection = connect(address).await;
    tokio::time::sleep(2 * PING_INTERVAL).await;
    let deadline = || Deadline::after(DETECTION_TIMEOUT);
    connection.ensure_alive(deadline()).await.unwrap();
    silence.send_replace(true);
    tokio::time::sleep(2 * PING_INTERVAL).await;
    let check = timeout(DETECTION_TIMEOUT, connection.ensure_alive(deadline())).await;
    assert!(matches!(check, Ok(Err(Error::Closed))), "{check:?}");
    assert!(connection.is_closed());
}

/// Guards against peers with different protocol versions that misread each other's messages.
#[tokio::test]
async fn protocol_version_mismatch_is_an_error_with_the_version_of_the_peer() {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        let (socket, _) = listener.accept().await.unwrap();
        let mut peer = h2::server::handshake(socket).await.unwrap();
        while let Some(Ok((_, mut response))) = peer.accept().await {
            let head = http::Response::builder()
                .status(505)
                .header("dandelionseam-protocol", "99")
                .body(())
                .unwrap();
            response.send_response(head, true).unwrap();
        }
    });
    let mut stream = connect(address).await.open(Kind::Control).await.unwrap();
    let reply = stream.receiver.recv::<Message>().await;
    match reply {
        Err(Error::ProtocolVersion { peer, .. }) => assert_eq!(peer, "99"),
        other => panic!("{other:?}"),
    }
}

/// Guards against a server that accepts streams with another protocol version or an unknown path.
#[tokio::test]
async fn server_refuses_other_versions_and_unknown_paths() {
    for (path, version, status) in [
        ("/control", "2", 505),
        ("/control", "x", 505),
        ("/other", "1", 404),
    ] {
        let socket = TcpStream::connect(serve_echo().await).await.unwrap();
        let (mut requests, connection) = h2::client::handshake(socket).await.unwrap();
        tokio::spawn(connection);
        let request = http::Request::post(format!("http://peer{path}"))
            .header("dandelionseam-protocol", version)
            .body(())
            .unwrap();
        let (response, _) = requests.send_request(request, true).unwrap();
        assert_eq!(
            response.await.unwrap().status().as_u16(),
            status,
            "{path} {version}"
        );
    }
}

/// Sends raw bytes as the data of a stream and returns the result of the receiver.
async fn receive_raw(bytes: Vec<u8>) -> Result<Option<Received<Message>>, Error> {
    let (listener, address) = bind().await;
    let receiving = tokio::spawn(async move {
        let (socket, _) = listener.accept().await.unwrap();
        let (result, received) = tokio::sync::oneshot::channel();
        let result = std::sync::Mutex::new(Some(result));
        let serving = wire::serve(socket, move |_, mut stream: Stream| {
            let result = result.lock().unwrap().take();
            async move {
                let message = stream.receiver.recv::<Message>().await;
                let _ = result.unwrap().send(message);
            }
        });
        tokio::select! {
            ended = serving => panic!("connection ended before a result: {ended:?}"),
            message = received => message.unwrap(),
        }
    });
    let socket = TcpStream::connect(address).await.unwrap();
    let (mut requests, connection) = h2::client::handshake(socket).await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::post("http://peer/call")
        .header("dandelionseam-protocol", wire::PROTOCOL_VERSION)
        .body(())
        .unwrap();
    let (_response, mut sender) = requests.send_request(request, false).unwrap();
    sender.send_data(bytes.into(), true).unwrap();
    receiving.await.unwrap()
}

/// Guards against a length prefix that makes the receiver allocate unbounded memory.
#[tokio::test]
async fn oversize_frame_is_refused() {
    let reply = receive_raw(u32::MAX.to_le_bytes().to_vec()).await;
    assert!(matches!(reply, Err(Error::TooLarge(_))), "{reply:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic or a wrongly decoded message on random bytes from a peer.
    #[test]
    fn random_bytes_give_an_error_or_a_message(bytes in proptest::collection::vec(any::<u8>(), 1..64)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let reply = runtime.block_on(receive_raw(bytes.clone()));
        if let Ok(Some(frame)) = reply {
            let length = u32::from_le_bytes(bytes[..4].try_into().unwrap()) as usize;
            prop_assert_eq!(schema::codec::decode::<Message>(&bytes[4..4 + length]).unwrap(), frame.message);
        }
    }
}

/// Guards against a node that stops and leaves its peers in doubt whether it accepted a call that
/// they were just sending: the call fails, though it could have been sent to another node.
#[tokio::test]
async fn streams_that_a_closing_peer_did_not_accept_are_known() {
    for round in 0..20 {
        let (socket, address) = bind().await;
        let listener = Listener::start(socket, 10, echo);
        let connection = connect(address).await;
        let mut calls = Vec::new();
        for _ in 0..16 {
            let connection = connection.clone();
            calls.push(tokio::spawn(async move {
                // Ends with the first stream that the peer does not accept.
                loop {
                    let Ok(mut stream) = connection.open(Kind::Call).await else {
                        // Nothing was sent.
                        return Ok(());
                    };
                    let answered = async {
                        stream.sender.send(&message(b"call")).await?;
                        stream.receiver.recv::<Message>().await
                    };
                    match answered.await {
                        Ok(Some(received)) => assert_eq!(into_value(received), b"call"),
                        Ok(None) => return Err("ended without an answer".to_owned()),
                        Err(error) if error.is_unprocessed() => return Ok(()),
                        Err(error) => return Err(error.to_string()),
                    }
                }
            }));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        timeout(
            Duration::from_secs(5),
            listener.close(Deadline::after_ms(5000)),
        )
        .await
        .unwrap();
        for call in calls {
            assert_eq!(call.await.unwrap(), Ok(()), "round {round}");
        }
    }
}

/// Guards against bytes without end that are no HTTP/2 and keep a connection, from either side.
#[tokio::test]
async fn endless_bytes_that_are_no_protocol_end_the_connection() {
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let empty_settings = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    // HEADERS of stream 1 without END_HEADERS, continued for ever.
    let headers = [&preface[..], &empty_settings, &[0, 0, 0, 1, 0, 0, 0, 0, 1]].concat();
    let continuation = [&[0, 0, 200, 9, 0, 0, 0, 0, 1][..], &[0x80; 200]].concat();
    for (first, unit) in [
        (&b""[..], &b"x"[..]),
        (preface, b"x"),
        (&headers, &continuation),
    ] {
        let (listener, address) = bind().await;
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(wire::serve(socket, echo));
            }
        });
        let mut socket = TcpStream::connect(address).await.unwrap();
        socket.write_all(first).await.unwrap();
        send_endless(&mut socket, unit).await;
        let (listener, address) = bind().await;
        let unit = unit.to_vec();
        let sending = tokio::spawn(async move {
            let (mut socket, _) = listener.accept().await.unwrap();
            send_endless(&mut socket, &unit).await;
        });
        // The handshake succeeds before the peer has said anything.
        if let Ok(connection) = Connection::connect(address, Deadline::after_ms(5000)).await {
            timeout(Duration::from_secs(5), connection.wait_closed())
                .await
                .unwrap();
        }
        sending.await.unwrap();
    }
}

/// Sends bytes until the peer closes the connection.
async fn send_endless(socket: &mut TcpStream, unit: &[u8]) {
    let part = unit.repeat(100);
    let sending = async { while socket.write_all(&part).await.is_ok() {} };
    timeout(Duration::from_secs(10), sending).await.unwrap();
}
