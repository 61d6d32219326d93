use std::collections::HashMap;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use http::StatusCode;
use route::{
    AgeEstimator, Candidate, Choice, Criteria, Hedge, Hedger, Locality, NoRoute, Plan, Query,
    RetryBudget, Routes,
};
use tokio::time::{Instant, sleep, timeout_at};
use types::rate::Share;
use types::{Deadline, Outcome, id};

use crate::call_record::CallRecord;
use crate::payload::Payload;
use crate::peer;
use crate::pool::Pool;
use crate::routed_call::RoutedCall;
use crate::target_stats::{InFlight, TargetStats};
use crate::upstream_answer::UpstreamAnswer;
use crate::{Accounts, Answer, Failure, MeshView, Request, Target};

/// Longest time between two checks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Targets that one call may be sent to. A refusal by the node beside a target costs no retry, but
/// takes time.
const MAX_TARGETS_PER_CALL: usize = 3;

/// Call that may be sent to a second target.
#[derive(Clone, Copy)]
struct Hedging<'a> {
    plan: &'a Plan,
    call: &'a RoutedCall,
    payload: &'a Payload,
    candidates: &'a [Candidate],
}

/// Numbers of hedged calls since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HedgeCounts {
    /// Calls that were sent to a second target while the first one was at work.
    pub sent: u64,
    /// Those that the second target answered first.
    pub won: u64,
}

#[derive(Default)]
struct HedgeCounters {
    sent: AtomicU64,
    won: AtomicU64,
}

impl HedgeCounters {
    fn record_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    fn record_won(&self) {
        self.won.fetch_add(1, Ordering::Relaxed);
    }

    fn read(&self) -> HedgeCounts {
        HedgeCounts {
            sent: self.sent.load(Ordering::Relaxed),
            won: self.won.load(Ordering::Relaxed),
        }
    }
}

/// Caller side of the call path. Clones share their state.
#[derive(Clone)]
pub struct Caller(Arc<Shared>);

struct Shared {
    locality: Locality,
    mesh: MeshView,
    target: Target,
    accounts: Arc<Accounts>,
    pool: Pool,
    target_stats: TargetStats,
    retry_budgets: Mutex<HashMap<id::Service, RetryBudget>>,
    age_estimator: Mutex<AgeEstimator>,
    hedger: Mutex<Hedger>,
    hedges: HedgeCounters,
}

impl Caller {
    /// Creates the caller side of the node at `locality`, whose own upstream is behind `target`.
    /// Connections to other nodes are closed after `idle_limit` without use.
    ///
    /// Must be called within a Tokio runtime, since it spawns the task that closes idle
    /// connections.
    #[must_use]
    pub fn new(
        locality: Locality,
        mesh: MeshView,
        target: Target,
        accounts: Arc<Accounts>,
        idle_limit: Duration,
    ) -> Self {
        let shared = Arc::new(Shared {
            locality,
            mesh,
            target,
            accounts,
            pool: Pool::new(idle_limit),
            target_stats: TargetStats::default(),
            retry_budgets: Mutex::default(),
            age_estimator: Mutex::default(),
            hedger: Mutex::new(Hedger::new(Share::NONE)),
            hedges: HedgeCounters::default(),
        });
        tokio::spawn(close_idle_connections(
            Arc::downgrade(&shared),
            idle_limit.min(IDLE_CHECK_INTERVAL),
        ));
        Self(shared)
    }

    /// Sends a call through the mesh. A failure is returned as an answer with its outcome, fault
    /// and reason. Dropping the future, the answer or its body cancels the call.
    pub async fn call(&self, request: Request) -> Answer {
        let routes = self.0.mesh.routes();
        let mut record = CallRecord::new(
            Arc::clone(&self.0.accounts),
            request.id.clone(),
            request.owner.clone(),
            routes.version(),
        );
        match self.0.run(&routes, request, &mut record).await {
            Ok((answer, in_flight)) => record.succeed(answer, in_flight),
            Err(failure) => record.fail(failure),
        }
    }

    /// Allows a share of the calls of each service to be sent to a second target while the first one takes
    /// longer than usual.
    #[must_use]
    pub fn with_hedging(self, limit: Share) -> Self {
        *self.0.lock_hedger() = Hedger::new(limit);
        self
    }

    /// Numbers of hedged calls since the start.
    #[must_use]
    pub fn hedge_counts(&self) -> HedgeCounts {
        self.0.hedges.read()
    }

    /// Number of connections to other nodes that are open or being opened.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.0.pool.len()
    }
}

impl Shared {
    async fn run(
        &self,
        routes: &Routes,
        mut request: Request,
        record: &mut CallRecord,
    ) -> Result<(UpstreamAnswer, InFlight), Failure> {
        if !self.mesh.is_ready() {
            return Err(Failure::mesh("starting"));
        }
        let plan = find_route(routes, &request)?;
        let owner = record.set_plan(&plan);
        let priority = request
            .guard
            .take()
            .map_or(Ok(None), |guard| guard(&plan))?;
        let age = self.estimate_age(&plan, request.deadline);
        let (mut call, payload) = prepare(routes, &plan, owner, request, age).await?;
        call.priority = priority.unwrap_or(plan.priority);
        self.try_targets(&plan, &call, &payload).await
    }

    /// Time since the caller first sent the call, estimated from the deadline that it set.
    fn estimate_age(&self, plan: &Plan, deadline: Option<Deadline>) -> Duration {
        let Some(deadline) = deadline else {
            return Duration::ZERO;
        };
        let remaining = deadline.remaining(Instant::now());
        let mut age_estimator = self
            .age_estimator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        age_estimator.estimate_age(&plan.route, remaining)
    }

    /// Tries one target after another within the limits of attempts, retry budget and deadline.
    ///
    /// Only a request that reached an upstream counts as an attempt: a refusal by the node beside
    /// it costs the upstream nothing.
    async fn try_targets(
        &self,
        plan: &Plan,
        call: &RoutedCall,
        payload: &Payload,
    ) -> Result<(UpstreamAnswer, InFlight), Failure> {
        let candidates = self.mesh.targets(&plan.service);
        let mut tried = Vec::new();
        let mut upstream_attempts = 0;
        let mut failure = None;
        self.credit_retry_budget(plan);
        while tried.len() < MAX_TARGETS_PER_CALL && upstream_attempts < plan.attempts {
            let choice = self.choose(plan, &candidates, &tried);
            let Some(choice) = choice else { break };
            if let Some(last) = &failure
                && !(can_answer_in_time(&choice, call)
                    && may_repeat(last, call, payload)
                    && self.allows_retry(plan, upstream_attempts))
            {
                break;
            }
            tried.push(choice.candidate.node.clone());
            log_choice(&choice, call, tried.len());
            let first_attempt = tried.len() == 1;
            let result = if first_attempt && self.hedges_calls() {
                let hedging = Hedging {
                    plan,
                    call,
                    payload,
                    candidates: &candidates,
                };
                // On the heap, so that other calls do not carry the state of two attempts.
                Box::pin(self.attempt_hedged(&choice, hedging, &mut tried)).await
            } else {
                let attempt = self.attempt(&choice, call, payload).await;
                attempt.map_err(|failure| vec![failure])
            };
            match result {
                Ok(answer) => return Ok(answer),
                Err(failures) => {
                    for next in failures {
                        upstream_attempts += u32::from(next.reached_upstream);
                        failure = Some(more_informative(failure, next));
                    }
                }
            }
        }
        Err(failure.unwrap_or_else(|| Failure::mesh("no target within reach")))
    }

    fn choose(&self, plan: &Plan, candidates: &[Candidate], tried: &[id::Node]) -> Option<Choice> {
        let mut stats = self.target_stats.lock();
        let criteria = Criteria {
            scope: plan.scope,
            locality: &self.locality,
            excluded: tried,
            service_time: stats.expected_service_time(&plan.route),
        };
        stats.choose(candidates, &criteria, Instant::now(), &mut rand::rng())
    }

    /// Sends the call to one target and updates the statistics of that target with the result.
    async fn attempt(
        &self,
        choice: &Choice,
        call: &RoutedCall,
        payload: &Payload,
    ) -> Result<(UpstreamAnswer, InFlight), Failure> {
        let node = &choice.candidate.node;
        let in_flight = self.target_stats.start(node);
        let started_at = Instant::now();
        // The node beside the target may have restarted since it reported the limit.
        let rate_limit = self.target_stats.lock().rate_limit(node);
        let limited_call = rate_limit.is_some().then(|| RoutedCall {
            rate_limit,
            ..call.clone()
        });
        let call = limited_call.as_ref().unwrap_or(call);
        let result = if *node == self.locality.node {
            self.target.run(call.clone(), payload.clone()).await
        } else {
            match self.pool.get(choice.candidate.address, call.deadline).await {
                Ok(connection) => peer::send_call(&connection, call, payload).await,
                Err(error) => Err(Failure::mesh(format!(
                    "link failed before hand-over: {error}"
                ))),
            }
        };
        let result = match result {
            Ok(answer) => {
                self.record_notice(&choice.candidate, &answer, started_at);
                answer.wait_body(call).await
            }
            Err(failure) => Err(failure),
        };
        self.observe(node, &call.route, &result);
        result.map(|answer| (answer, in_flight))
    }

    /// Records what a target tells about itself in the answer to a call that was sent at `sent_at`.
    fn record_notice(&self, candidate: &Candidate, answer: &UpstreamAnswer, sent_at: Instant) {
        // A recorded answer is older than the call.
        if answer.recorded {
            return;
        }
        let notice = self.target.read_notice(&answer.headers);
        let now = Instant::now();
        let mut stats = self.target_stats.lock();
        stats.record_rate_limit(&candidate.node, notice.rate_limit, sent_at, now);
        if notice.is_leaving {
            stats.record_leaving(candidate, now);
        }
    }

    fn observe(
        &self,
        node: &id::Node,
        route: &id::Route,
        result: &Result<UpstreamAnswer, Failure>,
    ) {
        let now = Instant::now();
        let mut stats = self.target_stats.lock();
        let load = match result {
            Ok(answer) => answer.load,
            Err(failure) => failure.load,
        };
        if let Some(load) = load {
            stats.record_load(node, load, now);
        }
        match result {
            Ok(answer) => {
                if answer.status.is_success() {
                    stats.record_service_time(node, route, answer.upstream_time, now);
                }
                stats.record_success(node, now);
            }
            Err(failure) if indicates_broken_target(failure) => stats.record_failure(node, now),
            Err(_) => {}
        }
    }

    fn lock_hedger(&self) -> MutexGuard<'_, Hedger> {
        self.hedger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hedges_calls(&self) -> bool {
        self.lock_hedger().is_enabled()
    }

    /// Sends the call to a target, and to a second one if the first takes longer than usual. The first
    /// answer wins; the other attempt is cancelled. Returns the failures of all attempts when there is no
    /// answer.
    async fn attempt_hedged(
        &self,
        choice: &Choice,
        hedging: Hedging<'_>,
        tried: &mut Vec<id::Node>,
    ) -> Result<(UpstreamAnswer, InFlight), Vec<Failure>> {
        let Hedging { call, payload, .. } = hedging;
        let started_at = Instant::now();
        let delay = self.lock_hedger().delay(&call.route, started_at);
        let mut first = pin!(self.attempt(choice, call, payload));
        let patience = delay.map_or(call.deadline.instant(), |delay| started_at + delay);
        if let Ok(result) = timeout_at(patience, first.as_mut()).await {
            self.record_time(call, &result, started_at);
            return result.map_err(|failure| vec![failure]);
        }
        let Some(second_choice) = self.choose_hedge(hedging, tried) else {
            let result = first.await;
            self.record_time(call, &result, started_at);
            return result.map_err(|failure| vec![failure]);
        };
        tried.push(second_choice.candidate.node.clone());
        log_choice(&second_choice, call, tried.len());
        let mut second = pin!(self.attempt(&second_choice, call, payload));
        tokio::select! {
            result = first.as_mut() => {
                self.record_time(call, &result, started_at);
                match result {
                    Ok(answer) => Ok(answer),
                    Err(failure) => second.await.map_err(|other| vec![failure, other]),
                }
            }
            result = second.as_mut() => match result {
                Ok(answer) => {
                    self.record_slow_first(choice, call, started_at);
                    Ok(answer)
                }
                Err(failure) => first.await.map_err(|other| vec![failure, other]),
            },
        }
    }

    /// Chooses the second target for a call that the first one has not answered yet; `None` if it is not to
    /// get one.
    fn choose_hedge(&self, hedging: Hedging<'_>, tried: &[id::Node]) -> Option<Choice> {
        let Hedging {
            plan,
            call,
            payload,
            candidates,
        } = hedging;
        let now = Instant::now();
        let choice = self.choose(plan, candidates, tried)?;
        let stats = self.target_stats.lock();
        let hedge = Hedge {
            is_repeatable: call.repeatable && call.key.is_none(),
            is_large: call.bulk || !payload.is_replayable(),
            attempts_left: plan.attempts.saturating_sub(1),
            is_shedding: stats.is_shedding(&choice.candidate, now),
            load: stats.load_with_call(&choice.candidate, now),
            expected_time: choice.expected_time,
            remaining: call.objective.unwrap_or(call.deadline).remaining(now),
        };
        drop(stats);
        match self.lock_hedger().try_hedge(&hedge, &plan.service) {
            Ok(()) => {
                self.hedges.record_sent();
                Some(Choice {
                    reason: "hedge of a slow call",
                    ..choice
                })
            }
            Err(reason) => {
                log::debug!(request:% = call.request, reason = reason.reason(); "slow call not hedged");
                None
            }
        }
    }

    /// Records the time of a first attempt that was answered.
    fn record_time<T>(&self, call: &RoutedCall, result: &Result<T, Failure>, started_at: Instant) {
        if result.is_ok() {
            let now = Instant::now();
            self.lock_hedger()
                .record_time(&call.route, now - started_at, now);
        }
    }

    /// Records that the first target has not answered in the time in which a second one has.
    fn record_slow_first(&self, choice: &Choice, call: &RoutedCall, started_at: Instant) {
        let now = Instant::now();
        let elapsed = now - started_at;
        self.hedges.record_won();
        self.lock_hedger().record_time(&call.route, elapsed, now);
        let node = &choice.candidate.node;
        let mut stats = self.target_stats.lock();
        stats.record_service_time(node, &call.route, elapsed, now);
    }

    fn credit_retry_budget(&self, plan: &Plan) {
        let hedges = self
            .lock_hedger()
            .record_call(&plan.service, plan.retry_percent);
        self.update_retry_budget(plan, |budget| {
            budget.record_hedged_call(plan.retry_percent, hedges);
        });
    }

    /// Whether the call may be sent again. This counts as a retry once the call has reached an
    /// upstream.
    fn allows_retry(&self, plan: &Plan, upstream_attempts: u32) -> bool {
        upstream_attempts == 0
            || self.update_retry_budget(plan, |budget| budget.try_retry(plan.retry_percent))
    }

    fn update_retry_budget<F, T>(&self, plan: &Plan, change: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let slack = self.mesh.retry_slack();
        let mut retry_budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let retry_budget = retry_budgets
            .entry(plan.service.clone())
            .or_insert_with(|| slack.map_or_else(RetryBudget::new, RetryBudget::with_slack));
        if let Some(slack) = slack {
            retry_budget.resize(slack);
        }
        change(retry_budget)
    }
}

fn find_route(routes: &Routes, request: &Request) -> Result<Arc<Plan>, Failure> {
    let path = request.target.split('?').next().unwrap_or_default();
    if !route::is_normalized_path(path) {
        let reason = "path is not absolute or has dot segments";
        return Err(Failure::caller(StatusCode::BAD_REQUEST, reason));
    }
    let query = Query {
        host: &request.host,
        method: request.method.as_str(),
        path,
        draw: rand::random(),
    };
    routes.find(query).map_err(|error| match error {
        NoRoute::Path => Failure::caller(StatusCode::NOT_FOUND, "no route for the path"),
        NoRoute::Method => Failure::caller(
            StatusCode::METHOD_NOT_ALLOWED,
            "no route for the method on this path",
        ),
    })
}

/// Determines the deadline and buffers the first part of the body.
async fn prepare(
    routes: &Routes,
    plan: &Plan,
    owner: id::Owner,
    request: Request,
    age: Duration,
) -> Result<(RoutedCall, Payload), Failure> {
    let now = Instant::now();
    let latest = Deadline::after(plan.deadline);
    let deadline = request.deadline.map_or(latest, |set| set.min(latest));
    if deadline.has_passed(Instant::now()) {
        let reason = "no time left on arrival";
        return Err(Failure::caller(StatusCode::GATEWAY_TIMEOUT, reason));
    }
    let reading = Payload::read(request.body);
    let Ok(payload) = timeout_at(deadline.instant(), reading).await else {
        let reason = "request body did not arrive by the deadline";
        return Err(Failure::caller(StatusCode::REQUEST_TIMEOUT, reason));
    };
    let payload = payload.map_err(|error| {
        let reason = format!("request body broke off: {error}");
        Failure::caller(StatusCode::BAD_REQUEST, reason)
    })?;
    let call = RoutedCall {
        request: request.id,
        owner,
        service: plan.service.clone(),
        declared_by: plan.declared_by.clone(),
        route: plan.route.clone(),
        method: request.method,
        target: request.target,
        headers: request.headers,
        deadline,
        repeatable: plan.repeatable,
        key: request.idempotency_key,
        version: routes.version(),
        priority: plan.priority,
        bulk: plan.scope.bulk,
        rate_limit: None,
        objective: (!plan.objective.is_zero())
            .then(|| Deadline::new(now + plan.objective.saturating_sub(age))),
    };
    Ok((call, payload))
}

/// Whether another target is expected to answer within the objective, or within the deadline when
/// there is no objective or it has passed.
fn can_answer_in_time(choice: &Choice, call: &RoutedCall) -> bool {
    let now = Instant::now();
    let objective = call
        .objective
        .filter(|objective| !objective.has_passed(now));
    choice.expected_time <= objective.unwrap_or(call.deadline).remaining(now)
}

/// Whether a call may be repeated after a failure.
fn may_repeat(failure: &Failure, call: &RoutedCall, payload: &Payload) -> bool {
    let safe = match failure.outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => call.repeatable,
        Outcome::Ran => false,
    };
    safe && failure.fault != types::Fault::Caller
        && payload.is_replayable()
        && !call.deadline.has_passed(Instant::now())
}

/// Returns the failure that says more about the call. An attempt that may have run takes precedence
/// over one that did not run, and a refusal by a target's node over a failed link.
fn more_informative(earlier: Option<Failure>, later: Failure) -> Failure {
    let rank = |failure: &Failure| (failure.outcome != Outcome::NotRun, failure.load.is_some());
    match earlier {
        Some(earlier) if rank(&earlier) > rank(&later) => earlier,
        _ => later,
    }
}

/// Whether a failure indicates that the target or the link to it is broken. A target that refuses a
/// call because of its load reports that load, and the choice of targets takes it into account.
fn indicates_broken_target(failure: &Failure) -> bool {
    let overloaded = failure.outcome == Outcome::NotRun && failure.load.is_some();
    failure.fault != types::Fault::Caller && failure.outcome != Outcome::Ran && !overloaded
}

fn log_choice(choice: &Choice, call: &RoutedCall, attempt: usize) {
    log::info!(
        request:% = call.request, owner:% = call.owner, service:% = call.service,
        route:% = call.route, target:% = choice.candidate.node, tier = choice.tier.name(),
        version:% = call.version, attempt, reason = choice.reason; "call routed"
    );
}

/// Closes idle connections periodically until the caller side is dropped.
async fn close_idle_connections(shared: Weak<Shared>, interval: Duration) {
    loop {
        sleep(interval).await;
        match shared.upgrade() {
            Some(shared) => shared.pool.close_idle(Instant::now()),
            None => return,
        }
    }
}
