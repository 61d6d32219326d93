use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bundle::Bundle;
use route::{Candidate, Routes};
use types::id;

/// Returns the ready targets of a service.
type Lookup = dyn Fn(&id::Service) -> Vec<Candidate> + Send + Sync;

/// View of the mesh that the call path needs: the current configuration, the targets of a service
/// and whether the node is ready.
///
/// The closures make the call path independent of how configuration and membership are distributed.
#[derive(Clone)]
pub struct MeshView {
    bundle: Arc<dyn Fn() -> Arc<Bundle> + Send + Sync>,
    targets: Arc<Lookup>,
    ready: Arc<dyn Fn() -> bool + Send + Sync>,
    routes: Arc<ArcSwapOption<Routes>>,
    retry_slack: Option<Arc<dyn Fn() -> f64 + Send + Sync>>,
}

impl MeshView {
    /// Creates a view from closures, which must not block.
    ///
    /// `bundle` returns the current configuration, `targets` the ready targets of a service and
    /// `ready` whether this node has a configuration version that it may serve.
    pub fn new<B, T, R>(bundle: B, targets: T, ready: R) -> Self
    where
        B: Fn() -> Arc<Bundle> + Send + Sync + 'static,
        T: Fn(&id::Service) -> Vec<Candidate> + Send + Sync + 'static,
        R: Fn() -> bool + Send + Sync + 'static,
    {
        Self {
            bundle: Arc::new(bundle),
            targets: Arc::new(targets),
            ready: Arc::new(ready),
            routes: Arc::default(),
            retry_slack: None,
        }
    }

    /// Sets the number of retries for each service that this node may send beyond the ratio of its
    /// calls. The limit applies to all nodes together, so each node gets a share of it.
    #[must_use]
    pub fn with_retry_slack<S>(mut self, slack: S) -> Self
    where
        S: Fn() -> f64 + Send + Sync + 'static,
    {
        self.retry_slack = Some(Arc::new(slack));
        self
    }

    /// Retries for each service that this node may accumulate; `None` for the default number.
    #[must_use]
    pub fn retry_slack(&self) -> Option<f64> {
        self.retry_slack.as_ref().map(|slack| slack())
    }

    /// Routes of the current configuration. A call reads them once, so that it sees one version
    /// only.
    #[must_use]
    pub fn routes(&self) -> Arc<Routes> {
        let bundle = (self.bundle)();
        match self.routes.load_full() {
            Some(routes) if Arc::ptr_eq(routes.bundle(), &bundle) => routes,
            _ => {
                let routes = Arc::new(Routes::new(bundle));
                self.routes.store(Some(Arc::clone(&routes)));
                routes
            }
        }
    }

    /// Ready targets of a service.
    #[must_use]
    pub fn targets(&self, service: &id::Service) -> Vec<Candidate> {
        (self.targets)(service)
    }

    /// Whether this node may serve calls.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        (self.ready)()
    }
}
