//! Hands a departure over to other nodes while the store does not take it.
//!
//! A node has no disk, so a departure that only its memory holds ends with the process. The node beside the
//! upstream deposits the departure at several other nodes, the keepers. When its process ends before
//! the store has the departure, each keeper delivers it to the next process of the node.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::seq::IteratorRandom;
use schema::directory::{Custody, Departure as Message, HandoffMessage, handoff_message::Kind};
use thiserror::Error;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use types::{Deadline, id};
use wire::{Connection, Receiver, Sender, Stream};

use crate::UpstreamStart;
use crate::handle::Shared;

/// Nodes that are asked to keep a departure. Half of them must accept.
const MAX_KEEPERS: usize = 8;

/// Maximum number of departures that this node keeps for others.
const MAX_KEPT: usize = 256;

/// Time after which a kept departure is dropped. An upstream that has left ends within seconds.
const KEEP_TIMEOUT: Duration = Duration::from_mins(1);

/// Timeout for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for the first message of a stream, and for the last one to arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the first repetition of a delivery. It doubles up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay between two deliveries. A restarted node is in touch 4 s after its start.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Reason why a stream of a handoff has failed.
#[derive(Debug, Error)]
enum Failure {
    #[error("{0}")]
    Wire(#[from] wire::Error),
    #[error("ended by the other node")]
    Ended,
    #[error("unexpected message")]
    UnexpectedMessage,
}

/// Departures of the own upstream that other nodes keep, and those that this node keeps for others.
pub(crate) struct Handoff {
    deposit: Mutex<Option<Arc<Deposit>>>,
    deposits: Mutex<JoinSet<()>>,
    permits: Semaphore,
}

/// Departure of the own upstream, and how many nodes keep it.
struct Deposit {
    departed: UpstreamStart,
    required: usize,
    keepers: watch::Sender<usize>,
}

/// Departure that concerns a node.
#[derive(Clone, Debug)]
pub(crate) struct Departure {
    pub(crate) node: id::Node,
    /// Address of the peer port of the node.
    pub(crate) address: SocketAddr,
    pub(crate) departed: UpstreamStart,
}

impl Default for Handoff {
    fn default() -> Self {
        Self {
            deposit: Mutex::default(),
            deposits: Mutex::default(),
            permits: Semaphore::new(MAX_KEPT),
        }
    }
}

impl Deposit {
    fn is_complete(&self) -> bool {
        *self.keepers.borrow() >= self.required
    }

    /// Waits until enough nodes keep the departure; returns false if the deadline passes first.
    async fn wait_complete(&self, deadline: Deadline) -> bool {
        let mut keepers = self.keepers.subscribe();
        let waiting = keepers.wait_for(|count| *count >= self.required);
        let complete = timeout_at(deadline.instant(), waiting).await;
        complete.is_ok()
    }
}

impl Departure {
    fn to_message(&self) -> Message {
        Message {
            node: self.node.to_string(),
            address: self.address.to_string(),
            departed: Some((&self.departed).into()),
        }
    }

    /// Decodes a message; `None` if a field is missing or invalid.
    fn from_message(message: Message) -> Option<Self> {
        Some(Self {
            node: message.node.parse().ok()?,
            address: message.address.parse().ok()?,
            departed: message.departed?.into(),
        })
    }
}

/// Deposits a departure of the own upstream at other nodes. Returns whether enough of them have
/// accepted it by the deadline.
pub(crate) async fn deposit(
    shared: &Arc<Shared>,
    departed: UpstreamStart,
    deadline: Deadline,
) -> bool {
    match start_deposit(shared, departed) {
        Some(deposit) => deposit.wait_complete(deadline).await,
        None => false,
    }
}

/// Starts a deposit unless there is a complete one of this departure. Returns `None` when this node
/// knows no other one.
fn start_deposit(shared: &Arc<Shared>, departed: UpstreamStart) -> Option<Arc<Deposit>> {
    let mut current = lock(&shared.handoff.deposit);
    if let Some(deposit) = current.as_ref()
        && deposit.departed == departed
        && deposit.is_complete()
    {
        return Some(Arc::clone(deposit));
    }
    let keepers = shared.choose_peers(MAX_KEEPERS);
    if keepers.is_empty() {
        return None;
    }
    let departure = shared.departure(departed.clone());
    let deposit = Arc::new(Deposit {
        departed,
        required: keepers.len().div_ceil(2),
        keepers: watch::Sender::new(0),
    });
    log::info!(
        instance:% = deposit.departed.instance, keepers = keepers.len();
        "departure handed over to other nodes"
    );
    let mut tasks = lock(&shared.handoff.deposits);
    // Removes the tasks that have ended.
    while tasks.try_join_next().is_some() {}
    for (node, address) in keepers {
        let (shared, deposit) = (Arc::clone(shared), Arc::clone(&deposit));
        let departure = departure.clone();
        tasks.spawn(async move {
            if let Err(reason) = deposit_at(&shared, &deposit, &departure, address).await {
                log::warn!(keeper:% = node, reason:%; "node does not keep a departure");
            }
        });
    }
    Some(Arc::clone(current.insert(deposit)))
}

/// Deposits a departure at one node, and tells it when the store has the departure.
async fn deposit_at(
    shared: &Shared,
    deposit: &Deposit,
    departure: &Departure,
    address: SocketAddr,
) -> Result<(), Failure> {
    let sequence = shared.sequence();
    let (mut sender, mut receiver) = open(address, Kind::Deposit(departure.to_message())).await?;
    recv_custody(&mut receiver).await?;
    deposit.keepers.send_modify(|count| *count += 1);
    let result = tokio::select! {
        () = shared.wait_written(sequence) => finish(&mut sender, &mut receiver).await,
        end = recv_custody(&mut receiver) => end.and(Err(Failure::UnexpectedMessage)),
    };
    deposit.keepers.send_modify(|count| *count -= 1);
    result
}

/// Serves a stream on which another node deposits or delivers a departure. `apply` is called with a
/// departure that concerns this node, and returns whether it has to be recorded.
pub(crate) async fn serve<A>(shared: &Arc<Shared>, stream: Stream, apply: A)
where
    A: FnOnce(&UpstreamStart) -> bool,
{
    let Stream {
        mut sender,
        mut receiver,
    } = stream;
    let first = timeout(MESSAGE_TIMEOUT, receiver.recv::<HandoffMessage>()).await;
    let kind = match first {
        Ok(Ok(Some(received))) => received.message.kind,
        _ => None,
    };
    let result = match kind {
        Some(Kind::Deposit(message)) => match Departure::from_message(message) {
            Some(departure) => keep(shared, &departure, sender, receiver).await,
            None => Err(Failure::UnexpectedMessage),
        },
        Some(Kind::Delivery(message)) => match Departure::from_message(message) {
            Some(departure) if departure.node == shared.node() => {
                accept(
                    shared,
                    departure.departed,
                    &mut sender,
                    &mut receiver,
                    apply,
                )
                .await
            }
            _ => Err(Failure::UnexpectedMessage),
        },
        Some(Kind::Custody(_)) | None => Err(Failure::UnexpectedMessage),
    };
    if let Err(reason) = result {
        log::info!(reason:%; "handoff of a departure has failed");
    }
}

/// Keeps a departure until the store has it. Delivers it when the process that has deposited it ends
/// before.
async fn keep(
    shared: &Shared,
    departure: &Departure,
    mut sender: Sender,
    mut receiver: Receiver,
) -> Result<(), Failure> {
    let Ok(_permit) = shared.handoff.permits.try_acquire() else {
        log::warn!(limit = MAX_KEPT; "departure refused: too many are kept");
        sender.reset();
        return Ok(());
    };
    let expires_at = Instant::now() + KEEP_TIMEOUT;
    let node = &departure.node;
    log::info!(node:%, instance:% = departure.departed.instance; "departure of another node kept");
    send_custody(&mut sender, false).await?;
    if let Ok(Ok(true)) = timeout_at(expires_at, recv_custody(&mut receiver)).await {
        log::info!(node:%; "kept departure is stored");
        return Ok(());
    }
    drop((sender, receiver));
    log::info!(node:%; "delivering a kept departure");
    let mut delay = MIN_RETRY_DELAY;
    loop {
        match timeout_at(expires_at, deliver(departure)).await {
            Ok(Ok(())) => {
                log::info!(node:%; "kept departure delivered");
                return Ok(());
            }
            Ok(Err(reason)) => log::debug!(node:%, reason:%; "departure not delivered"),
            Err(_) => {
                log::warn!(node:%; "kept departure dropped: its node has not returned");
                return Ok(());
            }
        }
        sleep(delay.mul_f64(rand::random_range(0.7..1.0))).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Delivers a departure to its node, and waits until the store has it.
async fn deliver(departure: &Departure) -> Result<(), Failure> {
    let message = Kind::Delivery(departure.to_message());
    let (_sender, mut receiver) = open(departure.address, message).await?;
    while !recv_custody(&mut receiver).await? {}
    Ok(())
}

/// Applies a departure that an earlier process of this node has handed over, and confirms it when the
/// store has it.
async fn accept<A>(
    shared: &Shared,
    departed: UpstreamStart,
    sender: &mut Sender,
    receiver: &mut Receiver,
    apply: A,
) -> Result<(), Failure>
where
    A: FnOnce(&UpstreamStart) -> bool,
{
    log::info!(
        instance:% = departed.instance;
        "departure received that an earlier process has handed over"
    );
    if apply(&departed) {
        shared.set_departed(departed);
    }
    let sequence = shared.sequence();
    send_custody(sender, false).await?;
    tokio::select! {
        () = shared.wait_written(sequence) => finish(sender, receiver).await,
        () = sender.wait_reset() => Err(Failure::Ended),
    }
}

/// Opens a stream to another node and sends its first message.
async fn open(address: SocketAddr, message: Kind) -> Result<(Sender, Receiver), Failure> {
    let connection = Connection::connect(address, Deadline::after(CONNECT_TIMEOUT)).await?;
    let Stream {
        mut sender,
        receiver,
    } = connection.open(wire::Kind::Handoff).await?;
    let message = HandoffMessage {
        kind: Some(message),
    };
    sender.send(&message).await?;
    Ok((sender, receiver))
}

/// Tells the other node that the store has the departure, and waits until it has read this.
async fn finish(sender: &mut Sender, receiver: &mut Receiver) -> Result<(), Failure> {
    send_custody(sender, true).await?;
    sender.finish()?;
    // The other node ends the stream; it reads the message in any case.
    let _ = timeout(MESSAGE_TIMEOUT, recv_custody(receiver)).await;
    Ok(())
}

async fn send_custody(sender: &mut Sender, stored: bool) -> Result<(), Failure> {
    let message = HandoffMessage {
        kind: Some(Kind::Custody(Custody { stored })),
    };
    sender.send(&message).await?;
    Ok(())
}

/// Receives who has the departure: the store, or the other node only.
async fn recv_custody(receiver: &mut Receiver) -> Result<bool, Failure> {
    let next = receiver.recv::<HandoffMessage>().await?;
    match next.ok_or(Failure::Ended)?.message.kind {
        Some(Kind::Custody(custody)) => Ok(custody.stored),
        _ => Err(Failure::UnexpectedMessage),
    }
}

/// Chooses some of the nodes at random, so that the loss of a failure domain leaves most of them.
pub(crate) fn choose_peers<I>(peers: I, count: usize) -> Vec<(id::Node, SocketAddr)>
where
    I: Iterator<Item = (id::Node, SocketAddr)>,
{
    peers.choose_multiple(&mut rand::rng(), count)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
