use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use member::{Record, State};
use spread::{Config, Spread};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use types::{Incarnation, Timestamp};

/// Node on a thread and runtime of its own, so that it can be killed or frozen like a process.
pub struct Node {
    pub id: String,
    pub address: SocketAddr,
    pub spread: Spread,
    runtime: Handle,
    stop: oneshot::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl Node {
    /// Starts a node in region `north` or, for a place `region/domain`, in that region. It listens
    /// on `address` and tells others to dial `shown`, or the same address.
    pub async fn start(
        id: &str,
        place: &str,
        config: Config,
        store: Option<store::Store>,
        address: Option<SocketAddr>,
        shown: Option<SocketAddr>,
    ) -> Self {
        let (region, domain) = place.split_once('/').unwrap_or(("north", place));
        let (id, region, domain) = (
            id.parse().unwrap(),
            region.parse().unwrap(),
            domain.parse().unwrap(),
        );
        let name = format!("{id}");
        let (stop, stopped) = oneshot::channel();
        let (started, running) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async {
                let local = address.unwrap_or_else(|| "127.0.0.1:0".parse().unwrap());
                let listener = listen(local).await;
                let address = listener.local_addr().unwrap();
                let incarnation = Incarnation::new(Timestamp::now().get());
                let me = Record::new(id, shown.unwrap_or(address), region, domain, incarnation);
                let spread = Spread::start(config, me, store);
                tokio::spawn(accept(listener, spread.clone()));
                started.send((address, spread, Handle::current())).ok();
                stopped.await.ok();
            });
            // Dropping the runtime drops all tasks and closes all sockets at once.
        });
        let (address, spread, runtime) = running.await.unwrap();
        Self {
            id: name,
            address,
            spread,
            runtime,
            stop,
            thread,
        }
    }

    pub fn version(&self) -> u64 {
        self.spread.bundle().version.get()
    }

    /// Ids of the nodes that this node knows as live.
    pub fn live(&self) -> BTreeSet<String> {
        let table = self.spread.table();
        let live = table.iter().filter(|record| record.state.is_live());
        live.map(|record| record.id.to_string()).collect()
    }

    /// State in which this node knows another one.
    pub fn state_of(&self, id: &str) -> Option<State> {
        let id = id.parse().unwrap();
        self.spread.table().get(&id).map(|record| record.state)
    }

    /// Ends the node at once, without taking leave.
    pub fn kill(self) {
        self.stop.send(()).ok();
        self.thread.join().unwrap();
    }

    /// Stops everything in the node for a time, with its sockets open.
    pub fn freeze(&self, duration: Duration) {
        self.runtime.spawn(async move { thread::sleep(duration) });
    }

    /// Stops the node as planned.
    pub async fn close(self) {
        let spread = self.spread.clone();
        self.runtime.spawn(spread.close()).await.unwrap();
        self.kill();
    }
}

/// Listens on an address; a port of a killed node may be free only after a moment.
async fn listen(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{address} is in use");
}

async fn accept(listener: TcpListener, spread: Spread) {
    while let Ok((socket, _)) = listener.accept().await {
        let spread = spread.clone();
        tokio::spawn(wire::serve(socket, move |_, stream| spread.serve(stream)));
    }
}
