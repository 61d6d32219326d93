use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::Client;
use schema::standin::{Behaviour, HealthMode, UpstreamSettings};
use schema::upstream::Health;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::Instant;

use super::log::Log;
use super::phase::Phase;

/// What the requests and tasks of one upstream share.
pub(crate) struct State {
    pub(crate) settings: UpstreamSettings,
    pub(crate) log: Arc<Log>,
    pub(crate) slots: Semaphore,
    /// Calls that run or wait.
    in_use: AtomicU32,
    /// Wakes the drain when a call has ended.
    pub(crate) ended: Notify,
    pub(crate) client: Client,
    start: Instant,
    behaviour: Mutex<Behaviour>,
    random: Mutex<StdRng>,
    /// When the drain began.
    draining: watch::Sender<Option<Instant>>,
}

impl State {
    pub(crate) fn new(mut settings: UpstreamSettings, client: Client) -> Self {
        let or = |value, default| if value == 0 { default } else { value };
        settings.slots = or(settings.slots, 12);
        settings.connections = or(settings.connections, 130);
        settings.cold_factor = or(settings.cold_factor, 10);
        let start = Instant::now();
        Self {
            log: Arc::new(Log::new(start)),
            slots: Semaphore::new(settings.slots as usize),
            in_use: AtomicU32::new(0),
            ended: Notify::new(),
            client,
            start,
            behaviour: Mutex::new(Behaviour::default()),
            random: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            draining: watch::Sender::new(None),
            settings,
        }
    }

    /// The behaviour in force.
    pub(crate) fn behaviour(&self) -> Behaviour {
        self.lock().clone()
    }

    /// Replaces the behaviour.
    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        *self.lock() = behaviour;
    }

    fn lock(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call that runs or waits; `None` when there is no room for it.
    pub(crate) fn enter(self: &Arc<Self>) -> Option<Place> {
        let limit = self.settings.slots + self.settings.queue;
        let room = |in_use| (in_use < limit).then_some(in_use + 1);
        self.in_use
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, room)
            .ok()?;
        Some(Place(Arc::clone(self)))
    }

    /// Calls that run or wait.
    pub(crate) fn in_use(&self) -> u32 {
        self.in_use.load(Ordering::SeqCst)
    }

    /// Chooses a service time by weight, longer while cold.
    pub(crate) fn service_time(&self) -> Duration {
        let behaviour = self.lock();
        let total: u32 = behaviour.service_times.iter().map(|time| time.weight).sum();
        if total == 0 {
            return Duration::ZERO;
        }
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let mut left = random.random_range(0..total);
        let chosen = behaviour.service_times.iter().find(|time| {
            let found = left < time.weight;
            left = left.saturating_sub(time.weight);
            found
        });
        let time = Duration::from_micros(chosen.map_or(0, |time| time.us.into()));
        let cold = Duration::from_millis(self.settings.cold_ms.into());
        if self.start.elapsed() < cold {
            time * self.settings.cold_factor
        } else {
            time
        }
    }

    /// State at a moment; before the start it is the state at the start.
    pub(crate) fn phase_at(&self, moment: Instant) -> Phase {
        let moment = moment.max(self.start);
        let starting = Duration::from_millis(self.settings.starting_ms.into());
        match *self.draining.borrow() {
            Some(since) if since <= moment => Phase::Draining,
            _ if moment < self.start + starting => Phase::Starting,
            _ => Phase::Ready,
        }
    }

    /// State now.
    pub(crate) fn phase(&self) -> Phase {
        self.phase_at(Instant::now())
    }

    /// Begins to drain. It cannot be taken back.
    pub(crate) fn begin_drain(&self) {
        self.draining.send_if_modified(|since| {
            let begins = since.is_none();
            since.get_or_insert_with(Instant::now);
            begins
        });
    }

    /// Receiver that changes when the drain begins.
    pub(crate) fn watch_drain(&self) -> watch::Receiver<Option<Instant>> {
        self.draining.subscribe()
    }

    /// What the health endpoint shows.
    pub(crate) fn health(&self) -> (Phase, Health) {
        let behaviour = self.behaviour();
        let now = Instant::now();
        let lag = Duration::from_millis(behaviour.health_lag_ms.into());
        let phase = match behaviour.health() {
            HealthMode::Honest => self.phase_at(now),
            HealthMode::Lagging => self.phase_at(now.checked_sub(lag).unwrap_or(self.start)),
            HealthMode::Lying => Phase::Ready,
        };
        let health = Health {
            state: phase.to_string(),
            in_use: self.in_use(),
            slots: self.settings.slots,
        };
        (phase, health)
    }
}

/// Room of one call. Dropping it frees the room.
pub(crate) struct Place(Arc<State>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.in_use.fetch_sub(1, Ordering::SeqCst);
        self.0.ended.notify_waiters();
    }
}
