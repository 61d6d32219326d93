use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use http::{HeaderMap, StatusCode};
use route::{ANNOUNCEMENT_TTL, Load, Probe};
use store::Store;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};
use types::rate::{Bandwidth, PerSecond};
use types::{Deadline, id, size};

use crate::active_calls::ActiveCalls;
use crate::idempotency_store::IdempotencyStore;
use crate::inlet::{Arrival, Inlet, large_body_size};
use crate::limiter::Limiter;
use crate::local_upstream::{LocalUpstream, PROBE_INTERVAL};
use crate::payload::Payload;
use crate::routed_call::RoutedCall;
use crate::run::Run;
use crate::shaper::{Reservation, Shaper};
use crate::upstream::Upstream;
use crate::upstream_answer::UpstreamAnswer;
use crate::{Announcement, Failure, HeaderCodec, MeshView, Notice};

/// Target side of the call path, for the node beside an upstream. Clones share their state.
#[derive(Clone)]
pub struct Target(Arc<Shared>);

struct Shared {
    mesh: MeshView,
    idempotency: Option<Arc<IdempotencyStore>>,
    local: ArcSwapOption<LocalUpstream>,
    active_calls: Arc<ActiveCalls>,
    draining: AtomicBool,
    announced: watch::Sender<Option<Announcement>>,
    options: TargetOptions,
    shaper: Arc<Shaper>,
    inlet: Arc<Inlet>,
    /// Number of calls from other nodes whose answers have not been sent.
    serving: watch::Sender<usize>,
}

/// Options of a [`Target`], which depend on the interface that its upstream uses.
pub struct TargetOptions {
    /// Headers exchanged between the node and the upstream.
    pub header_codec: Arc<HeaderCodec>,
    /// Time after which an announcement expires unless it is renewed.
    pub announcement_ttl: Duration,
    /// Whether the upstream's health endpoint is probed. Otherwise its health follows from calls
    /// only.
    pub probes: bool,
    /// Bandwidth of the instance's link, which large answers to other nodes share.
    pub link: Bandwidth,
    /// Called with each run of a call at the upstream.
    pub observe: Box<Observe>,
}

/// Observes a run: the route, and the status or the failure with the time until the head of the answer.
pub type Observe = dyn Fn(&id::Route, &Result<StatusCode, Failure>, Duration) + Send + Sync;

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            header_codec: Arc::default(),
            announcement_ttl: ANNOUNCEMENT_TTL,
            probes: true,
            link: Bandwidth::default(),
            observe: Box::new(|_, _, _| {}),
        }
    }
}

impl Target {
    /// Creates the target side without an upstream. Without a store, non-repeatable calls with an
    /// idempotency key are refused.
    #[must_use]
    pub fn new(mesh: MeshView, store: Option<Store>) -> Self {
        Self::with_options(mesh, store, TargetOptions::default())
    }

    /// Creates the target side with options.
    #[must_use]
    pub fn with_options(mesh: MeshView, store: Option<Store>, options: TargetOptions) -> Self {
        let idempotency = store.map(|store| Arc::new(IdempotencyStore::new(store, mesh.clone())));
        Self(Arc::new(Shared {
            mesh,
            idempotency,
            local: ArcSwapOption::empty(),
            active_calls: Arc::default(),
            draining: AtomicBool::new(false),
            announced: watch::Sender::new(None),
            shaper: Arc::new(Shaper::new(options.link)),
            inlet: Arc::new(Inlet::new(options.link)),
            serving: watch::Sender::new(0),
            options,
        }))
    }

    /// Accepts or renews the announcement of the upstream, which expires after the TTL of the
    /// options.
    ///
    /// Must be called within a Tokio runtime, since it spawns the task that supervises the
    /// upstream.
    pub fn announce(&self, announcement: Announcement) {
        let draining = self.0.draining.load(Ordering::Acquire);
        let routes = self.0.mesh.routes();
        let queue = routes.queue_limit(&announcement.service, announcement.slots);
        let known = self.0.local.load_full();
        if let Some(local) = known.filter(|local| local.is_same_process(&announcement)) {
            local.announce(announcement, queue, draining);
        } else {
            let local = Arc::new(self.0.new_local(announcement.clone(), queue));
            local.announce(announcement, queue, draining);
            self.0.local.store(Some(Arc::clone(&local)));
            tokio::spawn(supervise(Arc::downgrade(&self.0), local));
        }
        self.0.publish();
    }

    /// Asks the health endpoint of the upstream process that an announcement names whether it takes
    /// calls.
    pub async fn check_health(&self, announcement: &Announcement, deadline: Deadline) -> bool {
        let upstream = self.0.new_upstream(announcement);
        upstream.probe(announcement.health_path(), deadline).await == Probe::Healthy
    }

    /// Withdraws the announcement, so that new calls are refused.
    pub fn withdraw(&self) {
        if let Some(local) = self.0.local.swap(None) {
            local
                .limiter
                .update(|admission| admission.set_draining(true));
        }
        self.0.publish();
    }

    /// Watches the announcement to publish to callers' nodes; `None` while the upstream is absent.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Option<Announcement>> {
        self.0.announced.subscribe()
    }

    /// Load of the upstream; `None` without an upstream.
    #[must_use]
    pub fn load(&self) -> Option<Load> {
        self.0
            .local
            .load()
            .as_ref()
            .map(|local| local.limiter.load())
    }

    /// Requests that the upstream takes from all nodes together; `None` without a limit.
    #[must_use]
    pub fn rate_limit(&self) -> Option<PerSecond> {
        let local = self.0.local.load();
        local.as_ref().and_then(|local| local.limiter.rate_limit())
    }

    /// Reads the notice in the answer of an upstream of the mesh.
    pub(crate) fn read_notice(&self, headers: &HeaderMap) -> Notice {
        (self.0.options.header_codec.read_notice)(headers)
    }

    /// Refuses new and queued calls, then waits until the running ones have ended.
    ///
    /// Returns the number of calls that are still running, or whose answers are still unsent, at
    /// the deadline.
    pub async fn drain(&self, deadline: Deadline) -> u32 {
        self.0.draining.store(true, Ordering::Release);
        if let Some(local) = self.0.local.load_full() {
            local
                .limiter
                .update(|admission| admission.set_draining(true));
            local.limiter.wait_idle(deadline).await;
        }
        // Calls to an upstream that has been withdrawn continue to run.
        let running = self.0.active_calls.wait_idle(deadline).await;
        // The transmission of a large answer continues after its call has released the slot.
        let mut serving = self.0.serving.subscribe();
        let sent = serving.wait_for(|serving| *serving == 0);
        if timeout_at(deadline.instant(), sent).await.is_err() {
            let unsent = *self.0.serving.borrow();
            return running.max(u32::try_from(unsent).unwrap_or(u32::MAX));
        }
        running
    }

    /// Counts a call from another node until the result is dropped.
    pub(crate) fn start_serving(&self) -> ServingGuard {
        self.0.serving.send_modify(|serving| *serving += 1);
        ServingGuard(self.0.serving.clone())
    }

    /// Whether a call with this request id is running at the upstream. Calls that the upstream
    /// makes on its behalf carry the same id.
    #[must_use]
    pub fn is_running(&self, request: &id::Request) -> bool {
        self.0.active_calls.contains(request)
    }

    /// Runs a call at the upstream. Dropping the future or the answer cancels the call.
    ///
    /// # Errors
    ///
    /// Returns a failure with outcome `not-run` only when nothing was sent to the upstream or the
    /// upstream itself refused the call.
    pub(crate) async fn run(
        &self,
        call: RoutedCall,
        payload: Payload,
    ) -> Result<UpstreamAnswer, Failure> {
        let local = self.admit(&call)?;
        if let Some(limit) = call.rate_limit {
            local.adopt_rate_limit(limit);
        }
        let permit = match local.limiter.acquire(call.requirements()).await {
            Ok(permit) => permit,
            Err(refusal) => {
                let failure = Failure::service(&call.service, refusal.reason());
                return Err(failure.with_load(local.limiter.load()));
            }
        };
        let idempotency = self.0.idempotency.clone();
        let active_call = self.0.active_calls.add(&call.request);
        let route = call.route.clone();
        let started_at = Instant::now();
        let result = Run::new(call, Arc::clone(&local), permit, idempotency, active_call)
            .start(payload)
            .await;
        if local.is_leaving() {
            self.0.publish();
        }
        let observed = match &result {
            Ok(answer) => Ok(answer.status),
            Err(failure) => Err(failure.clone()),
        };
        (self.0.options.observe)(&route, &observed, started_at.elapsed());
        result
    }

    /// Reserves time on the link for the answer to a call from another node if it is marked as
    /// large.
    pub(crate) fn reserve(&self, call: &RoutedCall) -> Result<Option<Reservation>, Failure> {
        if !call.bulk {
            return Ok(None);
        }
        let local = self.0.local.load_full();
        let requirements = call.requirements();
        let service_time = local
            .as_ref()
            .map(|local| local.limiter.expected_time(&requirements));
        match self
            .0
            .shaper
            .admit(&requirements, service_time.unwrap_or_default())
        {
            Ok(reservation) => Ok(Some(reservation)),
            Err(refusal) => {
                let failure = Failure::service(&call.service, refusal.reason());
                Err(match local {
                    Some(local) => failure.with_load(local.limiter.load()),
                    None => failure,
                })
            }
        }
    }

    /// Reserves the link for the body of a call from another node if it is large; `None` for other bodies.
    pub(crate) fn reserve_body(&self, call: &RoutedCall) -> Result<Option<Arrival>, Failure> {
        let Some(bytes) = large_body_size(&call.headers) else {
            return Ok(None);
        };
        let local = self.admit(call)?;
        let requirements = call.requirements();
        let service_time = local.limiter.expected_time(&requirements);
        let admitted = self.0.inlet.admit(bytes, &requirements, service_time);
        admitted.map(Some).map_err(|refusal| {
            let failure = Failure::service(&call.service, refusal.reason());
            failure.with_load(local.limiter.load())
        })
    }

    /// Checks the conditions that do not depend on the load.
    fn admit(&self, call: &RoutedCall) -> Result<Arc<LocalUpstream>, Failure> {
        if self.0.draining.load(Ordering::Acquire) {
            return Err(Failure::mesh("node is draining"));
        }
        if !self.0.mesh.is_ready() {
            return Err(Failure::mesh("starting"));
        }
        if call.deadline.has_passed(Instant::now()) {
            return Err(Failure::caller(
                StatusCode::GATEWAY_TIMEOUT,
                "no time left on arrival",
            ));
        }
        let local = self.0.local.load_full();
        let local = local
            .filter(|local| local.serves(&call.service))
            .ok_or_else(|| Failure::service(&call.service, "no upstream announced"))?;
        local.check()?;
        Ok(local)
    }
}

/// Guard that counts a call from another node as being served.
pub(crate) struct ServingGuard(watch::Sender<usize>);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.send_modify(|serving| *serving -= 1);
    }
}

impl Shared {
    /// Creates the state of an upstream that has announced itself.
    fn new_local(&self, announcement: Announcement, queue: size::Queue) -> LocalUpstream {
        let (slots, connections) = (announcement.slots, announcement.connections);
        let upstream = self.new_upstream(&announcement);
        let usable_slots = Upstream::usable_slots(slots, connections);
        let ttl = self.options.announcement_ttl;
        LocalUpstream::new(
            announcement,
            Limiter::new(usable_slots, queue, Arc::clone(&self.shaper)),
            upstream,
            ttl,
        )
    }

    fn new_upstream(&self, announcement: &Announcement) -> Upstream {
        Upstream::new(
            announcement.address,
            announcement.instance.clone(),
            Arc::clone(&self.options.header_codec),
            announcement.slots,
            announcement.connections,
        )
    }

    fn publish(&self) {
        let current = self.local.load();
        let announcement = current.as_ref().and_then(|local| local.announcement());
        self.announced.send_if_modified(|known| {
            let changed = *known != announcement;
            *known = announcement;
            changed
        });
    }

    fn is_current(&self, local: &Arc<LocalUpstream>) -> bool {
        let current = self.local.load();
        current
            .as_ref()
            .is_some_and(|current| Arc::ptr_eq(current, local))
    }
}

/// Supervises an upstream every [`PROBE_INTERVAL`] until its announcement expires or is replaced.
async fn supervise(shared: Weak<Shared>, local: Arc<LocalUpstream>) {
    loop {
        let next = Deadline::after(PROBE_INTERVAL).min(local.expires_at());
        sleep_until(next.instant()).await;
        let Some(shared) = shared.upgrade().filter(|shared| shared.is_current(&local)) else {
            return;
        };
        if shared.options.probes {
            local.probe().await;
        }
        if !shared.is_current(&local) {
            return;
        }
        if local.expires_at().has_passed(Instant::now()) {
            shared.local.store(None);
            local
                .limiter
                .update(|admission| admission.set_draining(true));
            shared.publish();
            return;
        }
        shared.publish();
    }
}
