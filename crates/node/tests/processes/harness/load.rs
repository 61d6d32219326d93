use std::sync::{Arc, Mutex};
use std::time::Duration;

use reqwest::Method;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::{Mesh, Node, header};

/// Calls that go on until they are stopped.
pub struct Load {
    tasks: JoinSet<()>,
    results: Arc<Mutex<Vec<Seen>>>,
    stop: tokio::sync::watch::Sender<bool>,
}

/// What the caller saw of one call.
#[allow(dead_code, reason = "all fields are shown when a test fails")]
#[derive(Clone, Debug)]
pub enum Seen {
    /// A whole answer: status, outcome, fault, reason and version.
    Answer(u16, String, String, String, u64),
    /// The caller could not connect, so nothing was sent.
    NotConnected,
    /// The connection ended without a whole answer.
    Broken(String),
}

impl Seen {
    /// Whether the upstream answered in full.
    pub fn is_good(&self) -> bool {
        matches!(self, Self::Answer(200, outcome, ..) if outcome == "ran")
    }

    /// Whether the caller was told that the call was not run.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Answer(_, outcome, ..) => outcome == "not-run",
            Self::NotConnected => true,
            Self::Broken(_) => false,
        }
    }
}

impl Load {
    /// Starts `tasks` callers of `/desk` at a node, each with a short pause between its calls. An
    /// answer counts as whole when its body has `length` bytes.
    pub fn start(mesh: &Mesh, node: &Node, method: &Method, tasks: usize, length: usize) -> Self {
        let results = Arc::new(Mutex::new(Vec::new()));
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let mut set = JoinSet::new();
        for _ in 0..tasks {
            let request = mesh.request(node, method.clone(), "/desk");
            let (results, stopped) = (Arc::clone(&results), stopped.clone());
            set.spawn(async move {
                while !*stopped.borrow() {
                    let request = request.try_clone().unwrap();
                    let result = call(request, length).await;
                    results.lock().unwrap().push(result);
                    sleep(Duration::from_millis(10)).await;
                }
            });
        }
        Self {
            tasks: set,
            results,
            stop,
        }
    }

    /// Results so far.
    pub fn results(&self) -> Vec<Seen> {
        self.results.lock().unwrap().clone()
    }

    /// Ends the callers after their current calls and returns all results.
    pub async fn stop(mut self) -> Vec<Seen> {
        self.stop.send_replace(true);
        while let Some(joined) = self.tasks.join_next().await {
            joined.unwrap();
        }
        self.results()
    }
}

async fn call(request: reqwest::RequestBuilder, length: usize) -> Seen {
    let answer = match request.send().await {
        Ok(answer) => answer,
        Err(error) if error.is_connect() => return Seen::NotConnected,
        Err(error) => return Seen::Broken(format!("{error:?}")),
    };
    let status = answer.status().as_u16();
    let [outcome, fault, reason, version] = ["outcome", "fault", "reason", "version"]
        .map(|name| header(&answer, &format!("dandelionseam-{name}")));
    match answer.bytes().await {
        Ok(body) if status != 200 || body.len() == length => {
            Seen::Answer(status, outcome, fault, reason, version.parse().unwrap())
        }
        Ok(body) => Seen::Broken(format!("{} bytes of {length}", body.len())),
        Err(error) => Seen::Broken(format!("{error:?}")),
    }
}
