use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use bundle::Bundle;
use call::{Accounts, Announcement, Caller, MeshView, Observe, Target, TargetOptions};
use directory::{ConfigWatcher, Directory, Entry, Relay, Upstream, UpstreamStart, WatchOptions};
use front::Server;
use member::{Record, State};
use route::{AnnouncementHeader, AnnouncementOutcome, Locality, Stage, StartTracker};
use settings::Settings;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};
use types::{Deadline, Incarnation, Timestamp, Version, id, size};
use wire::Stream;

use crate::log_budget::LogBudget;
use crate::metrics::Snapshot;
use crate::retry_slack::divide_retry_slack;
use crate::rollouts::STATE_WATCH_OPTIONS;
use crate::tenant_metrics::TenantSnapshot;
use crate::{Adapter, Configuration, Error, Metrics, Quotas, Rollouts};

/// How the configuration is followed. The shortest time between two reads is half of the time within
/// which a new version must be in force.
pub const CONFIGURATION_WATCH_OPTIONS: WatchOptions = WatchOptions {
    min_interval: Duration::from_millis(1200),
    // With the time-out of a lost answer and a retry, a version is in force 4 s after a silence of the
    // store, when the node counts as in touch again.
    max_wait: Duration::from_secs(2),
    max_reader_wait: Duration::from_millis(1500),
    // Long enough to know the nodes to follow, short enough to have the newest version 4 s after the
    // start, when the platform expects it.
    first_watch_delay: Duration::from_millis(2400),
    relist_after_start: false,
    reread_on_change: true,
    list_stale_first: false,
    check_interval: None,
};

/// How the entries of the nodes are followed. Changes may be some seconds late: the node beside a
/// target that has left in the meantime refuses its calls, which are then sent to another target.
pub const NODE_WATCH_OPTIONS: WatchOptions = WatchOptions {
    min_interval: Duration::from_secs(3),
    max_wait: Duration::from_secs(3),
    max_reader_wait: Duration::from_millis(1500),
    first_watch_delay: Duration::from_secs(2),
    relist_after_start: true,
    reread_on_change: false,
    list_stale_first: false,
    check_interval: None,
};

/// Time after which an announcement expires. Announcements may arrive seconds late; a process of
/// the upstream that has died is detected earlier by refused connections.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(10);

/// Time within which a process of the upstream that an earlier process of the node knew is asked whether it
/// still takes calls. Its next announcement comes in 1.5 s and leads to the same question.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which the configuration is read, which has the path to ask at.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an unused connection to another node is closed.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Log lines about refused requests of tenants in one second.
const REFUSAL_LINES: u32 = 5;

/// Checks of the configuration in the time within which a key must be revoked.
const REVOCATION_CHECKS: u32 = 6;

/// State that the ports of a node share.
pub struct Node {
    /// Interface to the platform.
    pub adapter: Adapter,
    /// Id, region and failure domain.
    pub locality: Locality,
    /// Provides the configuration in force.
    pub config_watcher: Arc<ConfigWatcher<Configuration>>,
    /// Entries of the other nodes.
    pub directory: Directory,
    /// Follows the store, and passes its changes on to other nodes.
    pub relay: Relay,
    /// Target side of the call path, with the upstream beside the node.
    pub target: Target,
    /// Caller side of the call path.
    pub caller: Caller,
    /// Decides which process of the upstream receives calls.
    start_tracker: Mutex<StartTracker>,
    /// Whether what an earlier process of this node stored about its upstream is in use.
    restored: watch::Sender<bool>,
    /// Quotas of tenants.
    pub quotas: Quotas,
    /// Roll-outs of new versions of services.
    pub rollouts: Arc<Rollouts>,
    /// Limits the log lines about refused requests of tenants.
    pub(crate) refusal_log: LogBudget,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Settings; reloaded while the node runs.
    pub settings: Arc<ArcSwap<Settings>>,
    /// Time at which a stopping node answers the requests that are still running; `None` before.
    cut_off_at: watch::Sender<Option<Deadline>>,
    closed: AtomicBool,
}

impl Node {
    /// Starts the tasks of a node.
    ///
    /// Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when a setting is invalid or a metric cannot be registered.
    pub fn start(settings: Settings, adapter: Adapter) -> Result<Arc<Self>, Error> {
        let record = build_record(&settings)?;
        let locality = Locality {
            node: record.id.clone(),
            region: record.region.clone(),
            domain: record.domain.clone(),
        };
        let backend = &adapter.backend;
        let node_prefix = &adapter.keys.node_prefix;
        let list_stale_first = settings.node.first_start;
        let with_start = |options| WatchOptions {
            list_stale_first,
            ..options
        };
        let check_interval = revocation_check_interval(&settings);
        let relay = Relay::start(Arc::clone(backend), record.id.clone())
            .with_confirmations(check_interval.is_some());
        let directory = Directory::start(
            Arc::clone(backend),
            &relay,
            node_prefix,
            with_start(NODE_WATCH_OPTIONS),
            record,
        );
        let decode = Arc::clone(&adapter.decode_configuration);
        let config_watcher = Arc::new(ConfigWatcher::start(
            &relay,
            &adapter.keys.configuration,
            WatchOptions {
                check_interval,
                ..with_start(CONFIGURATION_WATCH_OPTIONS)
            },
            move |bytes| decode(bytes),
        ));
        let start_tracker = if settings.node.first_start {
            StartTracker::default()
        } else {
            StartTracker::with_predecessor(Timestamp::now(), Instant::now())
        };
        let settings = Arc::new(ArcSwap::from_pointee(settings));
        let rollouts = start_rollouts(&settings.load(), &adapter, &relay);
        let mesh = build_mesh_view(&config_watcher, &directory, &rollouts, &settings);
        let options = TargetOptions {
            header_codec: Arc::clone(&adapter.header_codec),
            announcement_ttl: ANNOUNCEMENT_TTL,
            probes: false,
            // The text was validated when the settings were read.
            link: settings.load().link.rate_mbit.parse().unwrap_or_default(),
            observe: build_observer(&directory, &rollouts),
        };
        let target = Target::with_options(mesh.clone(), None, options);
        let accounts = Arc::new(Accounts::new());
        let caller = Caller::new(
            locality.clone(),
            mesh,
            target.clone(),
            accounts,
            PEER_IDLE_TIMEOUT,
        )
        // The text was validated when the settings were read.
        .with_hedging(settings.load().hedging.limit.parse().unwrap_or_default());
        tokio::spawn(publish_upstream(target.watch(), directory.clone()));
        Ok(Arc::new(Self {
            adapter,
            locality,
            config_watcher,
            directory,
            relay,
            target,
            caller,
            start_tracker: Mutex::new(start_tracker),
            restored: watch::Sender::new(false),
            quotas: Quotas::new(Instant::now()),
            rollouts,
            refusal_log: LogBudget::new(REFUSAL_LINES, Instant::now()),
            metrics: Metrics::new()?,
            settings,
            cut_off_at: watch::Sender::new(None),
            closed: AtomicBool::new(false),
        }))
    }

    /// Whether the node accepts calls.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.config_watcher.is_ready() && self.directory.is_ready()
    }

    /// Encodes the metrics in the Prometheus text format. `callers` is the server of the caller
    /// port.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be encoded.
    pub fn encode_metrics(&self, callers: &Server) -> Result<String, prometheus::Error> {
        let load = self.target.load().unwrap_or_default();
        let version = self
            .config_watcher
            .current()
            .map(|config| config.bundle.version);
        self.metrics.encode(&Snapshot {
            ready: self.is_ready(),
            version: version.unwrap_or(Version::NONE).get(),
            nodes: self.directory.node_count(),
            exchanges: callers.exchanges(),
            connections: callers.connections(),
            peers: self.caller.connection_count(),
            parents: self.relay.current_parents(),
            children: self.relay.children(),
            running: load.in_use,
            queued: load.queued,
            rate_limit: self.target.rate_limit(),
            store_calls: self.adapter.backend.health.calls(),
            hedges: self.caller.hedge_counts(),
            tenants: TenantSnapshot {
                configuration_age: self.configuration_age(),
                limited_tenants: self.quotas.limited_tenants(),
                reporters: self.quotas.reporters(),
            },
        })
    }

    /// Whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.cut_off_at.borrow().is_some()
    }

    /// Begins a graceful shutdown: the node reports that it is not ready and publishes that it
    /// drains. Requests of callers that are still running at `cut_off_at` are answered as failed.
    pub fn begin_drain(&self, cut_off_at: Deadline) {
        self.cut_off_at.send_replace(Some(cut_off_at));
        self.directory.mark_left();
        self.relay.close_children();
    }

    /// Waits until requests that are still running are answered as failed, which happens only when the
    /// node stops.
    pub(crate) async fn wait_cut_off(&self) {
        let mut cut_off_at = self.cut_off_at.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let deadline = match cut_off_at.wait_for(Option::is_some).await {
            Ok(deadline) => *deadline,
            Err(_) => None,
        };
        match deadline {
            Some(deadline) => sleep_until(deadline.instant()).await,
            None => std::future::pending().await,
        }
    }

    /// Whether the node refuses requests of callers.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Makes the node refuse further requests of callers.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Records that a process of the upstream has left, which gets no further calls. Returns its
    /// start time if it was the process that received calls.
    pub fn record_departure(
        &self,
        instance: &str,
        started: Option<Timestamp>,
    ) -> Option<Timestamp> {
        // The lock keeps a concurrent announcement of the same process from being applied after its
        // departure.
        let mut start_tracker = self.lock_start_tracker();
        let current = start_tracker.record_departure(instance, started, Timestamp::now());
        if current.is_some() {
            self.target.withdraw();
        }
        current
    }

    /// Whether this process of the upstream receives calls and does not drain.
    pub(crate) fn is_upstream_ready(&self, instance: &str, started: Timestamp) -> bool {
        self.lock_start_tracker().is_current(instance, started)
    }

    /// Whether a later process of the upstream is known.
    pub(crate) fn is_upstream_superseded(&self, started: Timestamp) -> bool {
        self.lock_start_tracker().is_superseded(started)
    }

    /// Serves a stream on which another node hands over a departure.
    pub(crate) async fn serve_handoff(&self, stream: Stream) {
        let apply = |departed: &UpstreamStart| {
            // The entry holds the last departure only.
            let is_superseded = self.is_upstream_superseded(departed.started);
            self.record_departure(&departed.instance, Some(departed.started));
            !is_superseded
        };
        self.directory.serve_handoff(stream, apply).await;
    }

    /// Restores what an earlier process of this node stored about its upstream: the process of the
    /// upstream that has left, and the one that received calls. Waits until the store has been
    /// read.
    pub async fn restore(&self) {
        let previous_entry = self.directory.previous_entry().await;
        let upstream = previous_entry.and_then(|entry| self.restore_entry(entry));
        self.restored.send_replace(true);
        let Some(upstream) = upstream else { return };
        let deadline = Deadline::after(CONFIGURATION_TIMEOUT);
        if self.config_watcher.wait_ready(deadline).await {
            self.confirm_upstream(upstream, Deadline::after(RESTORE_TIMEOUT))
                .await;
        }
    }

    /// Lets a process of the upstream get calls if it says that it takes them. The stored entry does not
    /// show whether an earlier process of this node has recorded its departure: the store may not have
    /// taken it before the process ended.
    pub(crate) async fn confirm_upstream(&self, announcement: Announcement, deadline: Deadline) {
        let config = self.config_watcher.current();
        let path = config.and_then(|config| {
            let path = config.health_paths.get(&announcement.service);
            path.cloned()
        });
        let asked = Announcement {
            health: path.unwrap_or_default(),
            ..announcement.clone()
        };
        let is_healthy = self.target.check_health(&asked, deadline).await;
        log::info!(
            instance:% = announcement.instance, is_healthy;
            "upstream of an earlier process asked whether it takes calls"
        );
        if !is_healthy {
            return;
        }
        // The lock keeps a concurrent departure from being undone.
        let mut start_tracker = self.lock_start_tracker();
        let was_confirmed = start_tracker.is_confirmed();
        if start_tracker.confirm(&announcement.instance, announcement.started) && !was_confirmed {
            self.target.announce(announcement);
        }
    }

    /// Whether [`Node::restore`] has ended.
    pub(crate) fn is_restored(&self) -> bool {
        *self.restored.borrow()
    }

    /// Waits until [`Node::restore`] has ended; returns false if the deadline passes first.
    pub(crate) async fn wait_restored(&self, deadline: Deadline) -> bool {
        let mut restored = self.restored.subscribe();
        let waiting = restored.wait_for(|is_restored| *is_restored);
        timeout_at(deadline.instant(), waiting).await.is_ok()
    }

    /// Restores an entry. Returns the upstream that gets calls when it is confirmed.
    fn restore_entry(&self, previous_entry: Entry) -> Option<Announcement> {
        if let Some(departed) = previous_entry.departed {
            log::info!(
                instance:% = departed.instance;
                "departure restored from the entry of an earlier process"
            );
            self.lock_start_tracker().restore_departure(
                &departed.instance,
                departed.started,
                Instant::now(),
            );
        }
        let (current, record) = (previous_entry.current?, previous_entry.record);
        self.restore_upstream(current, record.service?, record.slots, record.build)
    }

    fn restore_upstream(
        &self,
        process: UpstreamStart,
        service: id::Service,
        slots: size::Slots,
        build: Option<id::Build>,
    ) -> Option<Announcement> {
        let address = process.address?;
        let mut start_tracker = self.lock_start_tracker();
        start_tracker.restore(&process.instance, process.started, Instant::now());
        // It may have departed since.
        if !start_tracker.is_current(&process.instance, process.started) {
            return None;
        }
        log::info!(
            instance:% = process.instance;
            "upstream restored from the entry of an earlier process"
        );
        let connections = size::Connections::new(slots.get().saturating_mul(2));
        let mut announcement = Announcement::new(service, address, slots, connections);
        announcement.instance = process.instance;
        announcement.started = process.started;
        announcement.cold_remaining = Some(Duration::ZERO);
        announcement.build = build;
        Some(announcement)
    }

    /// Checks that an announcement names an upstream of this instance.
    ///
    /// # Errors
    ///
    /// Returns the reason when it does not. Such an announcement must not replace the upstream that
    /// receives calls.
    pub(crate) fn check_announcement(
        &self,
        header: &AnnouncementHeader,
        announcement: &Announcement,
    ) -> Result<(), String> {
        if let Some(reason) = header.find_fault(Timestamp::now()) {
            return Err(reason.to_owned());
        }
        let own_address = self.settings.load().upstream.address.parse::<SocketAddr>();
        if own_address.is_ok_and(|own| own.ip() != announcement.address.ip()) {
            return Err("address belongs to another instance".to_owned());
        }
        let is_current = self
            .lock_start_tracker()
            .is_current(&header.instance, header.started);
        let config = self.config_watcher.current();
        let is_unknown = config
            .is_some_and(|config| !config.bundle.services.contains_key(&announcement.service));
        // An upstream whose service is removed from the configuration still reports that it drains.
        if is_unknown && !is_current && header.stage != Stage::Draining {
            return Err(format!("no service `{}`", announcement.service));
        }
        Ok(())
    }

    /// Applies an announcement of the upstream and returns the decision on it.
    pub fn apply_announcement(
        &self,
        header: &AnnouncementHeader,
        announcement: Announcement,
    ) -> AnnouncementOutcome {
        // The lock keeps a concurrent departure from being undone.
        let mut start_tracker = self.lock_start_tracker();
        let outcome = start_tracker.record_announcement(header, Instant::now());
        if let AnnouncementOutcome::Current(stage) | AnnouncementOutcome::New(stage) = outcome {
            self.target.announce(announcement.with_state(stage));
        }
        outcome
    }

    fn lock_start_tracker(&self) -> MutexGuard<'_, StartTracker> {
        self.start_tracker
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Builds the view of the configuration and the other nodes that the call path uses.
fn build_mesh_view(
    config_watcher: &Arc<ConfigWatcher<Configuration>>,
    directory: &Directory,
    rollouts: &Arc<Rollouts>,
    settings: &Arc<ArcSwap<Settings>>,
) -> MeshView {
    let empty = Arc::new(Bundle::empty());
    let (current, ready) = (Arc::clone(config_watcher), Arc::clone(config_watcher));
    let (targets, entries, nodes) = (directory.clone(), directory.clone(), directory.clone());
    let (rollouts, settings) = (Arc::clone(rollouts), Arc::clone(settings));
    let mesh = MeshView::new(
        move || {
            let config = current.current();
            config.map_or_else(|| Arc::clone(&empty), |config| Arc::clone(&config.bundle))
        },
        move |service| rollouts.select(service, targets.targets(service)),
        move || ready.is_ready() && entries.is_ready(),
    );
    mesh.with_retry_slack(move || {
        let nodes = nodes.is_settled().then(|| nodes.node_count());
        // The text was validated when the settings were read.
        let slack = settings.load().retries.slack.parse().unwrap_or_default();
        divide_retry_slack(slack, nodes)
    })
}

/// Follows the state of roll-outs, where the settings have them.
fn start_rollouts(settings: &Settings, adapter: &Adapter, relay: &Relay) -> Arc<Rollouts> {
    // The text was validated when the settings were read.
    let exposure = settings.rollouts.exposure_share.parse().unwrap_or_default();
    let rollouts = Arc::new(Rollouts::new(exposure));
    if let Some(adapter) = &adapter.rollouts
        && rollouts.is_enabled()
    {
        let consumer = Arc::clone(&rollouts);
        let options = WatchOptions {
            list_stale_first: settings.node.first_start,
            ..STATE_WATCH_OPTIONS
        };
        relay.add_table(&adapter.state_prefix, options, move |update, _| {
            consumer.apply(update)
        });
    }
    rollouts
}

/// Counts the answers of the own upstream for the roll-out of its service. A cold target is slow, which says
/// nothing about its version.
fn build_observer(directory: &Directory, rollouts: &Arc<Rollouts>) -> Box<Observe> {
    if !rollouts.is_enabled() {
        return Box::new(|_, _, _| {});
    }
    let (directory, rollouts) = (directory.clone(), Arc::clone(rollouts));
    Box::new(move |route, result, elapsed| {
        if let Some(service) = directory.own_record().service {
            rollouts.observe(&service, route, result, elapsed);
        }
    })
}

/// Time between two checks of the configuration; `None` where keys need not be revoked everywhere.
fn revocation_check_interval(settings: &Settings) -> Option<Duration> {
    let revocation = Duration::from_millis(settings.tenants.revocation_ms);
    (!revocation.is_zero()).then(|| revocation / REVOCATION_CHECKS)
}

/// Builds the first record of this process.
fn build_record(settings: &Settings) -> Result<Record, Error> {
    let peers = match settings.listen.advertised.as_str() {
        "" => settings.listen.peers.as_str(),
        advertised => advertised,
    };
    let address = peers.parse();
    Ok(Record::new(
        settings.node.id.parse()?,
        address.map_err(|_| Error::InvalidAddress(peers.to_owned()))?,
        settings.node.region.parse()?,
        settings.node.domain.parse()?,
        Incarnation::new(Timestamp::now().get()),
    ))
}

/// Publishes each change of the upstream in the directory.
async fn publish_upstream(
    mut announcements: watch::Receiver<Option<Announcement>>,
    directory: Directory,
) {
    loop {
        let upstream = announcements.borrow_and_update().clone();
        match &upstream {
            Some(announcement) => log::info!(
                service:% = announcement.service, instance:% = announcement.instance,
                stage:? = announcement.state;
                "upstream announced"
            ),
            None => log::info!("no upstream"),
        }
        if let Some(announcement) = &upstream
            && announcement.state == Stage::Draining
        {
            // The next process of this node must not send calls to it.
            directory.set_departed(UpstreamStart {
                instance: announcement.instance.clone(),
                started: announcement.started,
                address: None,
            });
        }
        directory.set_upstream(upstream.map(|announcement| Upstream {
            service: announcement.service,
            slots: announcement.slots,
            build: announcement.build,
            state: member_state(announcement.state),
            start: UpstreamStart {
                instance: announcement.instance,
                started: announcement.started,
                address: Some(announcement.address),
            },
        }));
        if announcements.changed().await.is_err() {
            return;
        }
    }
}

const fn member_state(stage: Stage) -> State {
    match stage {
        Stage::Starting => State::Starting,
        Stage::Ready => State::Ready,
        Stage::Draining => State::Draining,
    }
}
