use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// TCP relay that can stop forwarding without closing its connections.
pub struct Relay {
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (cut, seen) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(carry(socket, target, seen.clone()));
            }
        });
        Self { address, cut }
    }

    /// Stops forwarding on open and on new connections; none is closed.
    pub fn cut(&self) {
        self.cut.send_replace(true);
    }

    /// Forwards again.
    pub fn heal(&self) {
        self.cut.send_replace(false);
    }
}

async fn carry(mut from: TcpStream, target: SocketAddr, mut cut: watch::Receiver<bool>) {
    if cut.wait_for(|cut| !cut).await.is_err() {
        return;
    }
    let Ok(mut to) = TcpStream::connect(target).await else {
        return;
    };
    loop {
        tokio::select! {
            biased;
            result = cut.wait_for(|cut| *cut) => if result.is_err() { return },
            _ = copy_bidirectional(&mut from, &mut to) => return,
        }
        if cut.wait_for(|cut| !cut).await.is_err() {
            return;
        }
    }
}
