use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use call::{Accounts, Caller, MeshView, Target};
use member::Record;
use route::{Candidate, Locality};
use settings::Settings;
use spread::{Config, Direction, Spread};
use store::Store;

use crate::{ControlTraffic, Error, Metrics, upstream};

/// State of the node, shared by its three ports.
pub struct Node {
    /// Region, failure domain and id.
    pub locality: Locality,
    /// Configuration versions and membership.
    pub spread: Spread,
    /// Target side of the call path, in front of the upstream beside the node.
    pub target: Target,
    /// Caller side of the call path.
    pub caller: Caller,
    /// Call counters and recent failures of each owner.
    pub accounts: Arc<Accounts>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    store: Option<Store>,
    draining: AtomicBool,
}

impl Node {
    /// Starts the tasks of the node whose own membership record is `record`.
    ///
    /// Must be called in a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when the metrics or the store client cannot be set up.
    pub fn start(settings: &Settings, record: Record) -> Result<Arc<Self>, Error> {
        let metrics = Arc::new(Metrics::new()?);
        let store = open_store(&settings.store.addresses)?;
        let locality = Locality {
            node: record.id.clone(),
            region: record.region.clone(),
            domain: record.domain.clone(),
        };
        let spread = Spread::start(build_spread_config(settings)?, record, store.clone());
        let mesh = build_mesh(&spread);
        let target = Target::new(mesh.clone(), store.clone());
        let accounts = Arc::new(Accounts::new());
        let idle_timeout = Duration::from_millis(settings.calls.idle_ms);
        let caller = Caller::new(
            locality.clone(),
            mesh,
            target.clone(),
            Arc::clone(&accounts),
            idle_timeout,
        )
        // The text was validated when the settings were read.
        .with_hedging(settings.hedging.limit.parse().unwrap_or_default());
        tokio::spawn(upstream::sync_membership(target.watch(), spread.clone()));
        tokio::spawn(record_versions(spread.clone(), Arc::clone(&metrics)));
        Ok(Arc::new(Self {
            locality,
            spread,
            target,
            caller,
            accounts,
            metrics,
            store,
            draining: AtomicBool::new(false),
        }))
    }

    /// Whether the node accepts calls.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.unready_reason().is_none()
    }

    /// Reason why the node accepts no calls; `None` when it accepts them.
    #[must_use]
    pub fn unready_reason(&self) -> Option<&'static str> {
        if self.is_draining() {
            Some("draining")
        } else if self.spread.is_ready() {
            None
        } else {
            Some("starting")
        }
    }

    /// Whether a graceful shutdown has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins a graceful shutdown: refuses new calls and announces this to the mesh.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.spread.drain();
    }

    /// Renders the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be encoded.
    pub fn render_metrics(&self) -> Result<String, prometheus::Error> {
        self.metrics.set_ready(self.is_ready());
        let is_member = |record: &&Record| !record.state.is_gone();
        let members = self.spread.table().iter().filter(is_member).count();
        self.metrics.set_members(members);
        let traffic = self.spread.traffic();
        self.metrics
            .set_control_traffic(traffic.iter().map(|row| ControlTraffic {
                kind: row.kind,
                direction: match row.direction {
                    Direction::Sent => "sent",
                    Direction::Received => "received",
                },
                region: row.region.as_ref().map_or("", |region| region.as_str()),
                bytes: row.bytes.get(),
            }));
        if let Some(store) = &self.store {
            let totals = store.counters().into_iter().zip(store.bytes());
            let totals: Vec<_> = totals
                .map(|((kind, calls), (_, bytes))| (kind.to_string(), calls, bytes))
                .collect();
            let totals = totals.iter();
            self.metrics.set_store_calls(
                totals.map(|(kind, calls, bytes)| (kind.as_str(), *calls, *bytes)),
            );
        }
        self.metrics.encode()
    }
}

fn open_store(addresses: &[String]) -> Result<Option<Store>, Error> {
    if addresses.is_empty() {
        return Ok(None);
    }
    let parse = |address: &String| {
        let url = address.parse();
        url.map_err(|_| Error::Address(address.clone()))
    };
    let urls = addresses.iter().map(parse).collect::<Result<_, _>>()?;
    Ok(Some(Store::new(urls)?))
}

fn build_spread_config(settings: &Settings) -> Result<Config, Error> {
    let parse = |seed: &String| {
        let address = seed.parse();
        address.map_err(|_| Error::Address(seed.clone()))
    };
    let seeds = settings.node.seeds.iter().map(parse);
    let store_timeout = Duration::from_millis(settings.store.deadline_ms);
    Ok(Config::from(&settings.spread)
        .with_seeds(seeds.collect::<Result<_, _>>()?)
        .with_store_timeout(store_timeout))
}

/// Gives the call path access to configuration versions and membership.
fn build_mesh(spread: &Spread) -> MeshView {
    let (versions, members, readiness) = (spread.clone(), spread.clone(), spread.clone());
    MeshView::new(
        move || versions.bundle(),
        move |service| {
            let table = members.table();
            table.targets(service).map(Candidate::from).collect()
        },
        move || readiness.is_ready(),
    )
}

/// Records each configuration version that is put in force.
async fn record_versions(spread: Spread, metrics: Arc<Metrics>) {
    let mut bundles = spread.watch_bundle();
    drop(spread);
    while bundles.changed().await.is_ok() {
        let bundle = Arc::clone(&bundles.borrow_and_update());
        let convergence_ms = types::Timestamp::now().since(bundle.published);
        metrics.record_version(bundle.version, convergence_ms);
        log::info!(version:% = bundle.version, convergence_ms; "version in force");
    }
}
