//! Starts and stops the processes of a small mesh.

mod load;
mod process;
mod relay;

use std::cell::RefCell;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Output;
use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, Response};
use schema::standin::{Behaviour, Faults, Log, LogEntry, Runs};
use serde::de::DeserializeOwned;
use tempfile::TempDir;
use tokio::process::Command;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Instant, sleep, timeout};
use types::report;

pub use load::{Load, Seen};
pub use process::{Process, program_path};
pub use relay::Relay;

/// Bound for states that the mesh reaches by itself, far above the bounds of the design.
pub const SETTLED: Duration = Duration::from_secs(40);

/// Meshes that run at the same time. More of them slow each other beyond the bounds of the design.
static MESHES: Semaphore = Semaphore::const_new(2);

/// A store and the files of a mesh.
pub struct Mesh {
    pub store: Process,
    pub client: Client,
    folder: TempDir,
    seeds: RefCell<Vec<String>>,
    _permit: SemaphorePermit<'static>,
}

/// A node process.
pub struct Node {
    pub process: Process,
    pub id: String,
    settings: PathBuf,
}

/// An upstream process.
pub struct Upstream {
    pub process: Process,
}

/// Place and settings of a node to start.
#[derive(Clone)]
pub struct Plan {
    pub id: &'static str,
    pub region: &'static str,
    pub domain: &'static str,
    /// Store to use; the one of the mesh when empty.
    pub store: String,
}

impl Plan {
    pub fn new(id: &'static str, region: &'static str, domain: &'static str) -> Self {
        Self {
            id,
            region,
            domain,
            store: String::new(),
        }
    }
}

/// Plans of nodes `n1`, `n2` and `n3`, each in a region of its own.
pub fn three_regions() -> [Plan; 3] {
    [
        Plan::new("n1", "north", "north-a"),
        Plan::new("n2", "central", "central-a"),
        Plan::new("n3", "south", "south-a"),
    ]
}

impl Mesh {
    /// Starts the store.
    pub async fn start() -> Self {
        let permit = MESHES.acquire().await.unwrap();
        let folder = TempDir::new().unwrap();
        let log = folder.path().join("store.log");
        let arguments = ["--listen", "127.0.0.1:0"];
        Self {
            store: Process::start("standin-store", &arguments, &log).await,
            client: Client::builder().no_proxy().build().unwrap(),
            folder,
            seeds: RefCell::default(),
            _permit: permit,
        }
    }

    /// Base URL of the store.
    pub fn store_url(&self) -> String {
        format!("http://{}", self.store.port("store"))
    }

    /// Starts a node on free ports.
    pub async fn node(&self, plan: &Plan) -> Node {
        let ports = ["127.0.0.1:0"; 3];
        let settings = self.write_settings(plan, ports);
        let process = self.daemon(plan.id, &settings).await;
        let node = Node {
            process,
            id: plan.id.to_owned(),
            settings,
        };
        // A restarted node keeps its ports, so that the mesh knows its address.
        let ports = ["callers", "peers", "admin"].map(|name| node.process.port(name));
        let [callers, peers, admin] = ports.each_ref();
        self.write_settings(plan, [callers, peers, admin]);
        self.seeds.borrow_mut().push(peers.clone());
        node
    }

    /// Starts the process of a node again, with the same ports.
    pub async fn restart(&self, node: &mut Node) {
        for name in ["callers", "peers", "admin"] {
            wait_free(&node.process.port(name)).await;
        }
        node.process = self.daemon(&node.id, &node.settings).await;
    }

    /// Starts nodes and waits until each takes calls.
    pub async fn ready_nodes(&self, plans: &[Plan]) -> Vec<Node> {
        let mut nodes = Vec::new();
        for plan in plans {
            nodes.push(self.node(plan).await);
        }
        for node in &nodes {
            self.wait_ready(node).await;
        }
        nodes
    }

    /// Starts an upstream beside a node and waits until the whole mesh can call it.
    pub async fn upstream(&self, node: &Node, service: &str, arguments: &[&str]) -> Upstream {
        let log = self.folder.path().join(format!("upstream-{}.log", node.id));
        let admin = node.url("admin");
        let mut all = vec!["--service", service, "--admin", &admin];
        all.extend_from_slice(arguments);
        Upstream {
            process: Process::start("standin-upstream", &all, &log).await,
        }
    }

    /// Waits until `viewer` sees `count` ready targets of the service.
    pub async fn wait_targets(&self, viewer: &Node, service: &str, count: usize) {
        let what = format!("{count} targets of {service} at {}", viewer.id);
        wait_for(&what, SETTLED, async || {
            let members = self.members(viewer).await;
            let ready =
                |member: &&report::Member| member.service == service && member.state == "ready";
            members.iter().filter(ready).count() == count
        })
        .await;
    }

    pub async fn wait_ready(&self, node: &Node) {
        let what = format!("{} is ready", node.id);
        wait_for(&what, SETTLED, async || self.is_ready(node).await).await;
    }

    pub async fn is_ready(&self, node: &Node) -> bool {
        let url = format!("{}/ready", node.url("admin"));
        let answer = self.client.get(url).send().await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub async fn members(&self, node: &Node) -> Vec<report::Member> {
        self.get(&format!("{}/members", node.url("admin"))).await
    }

    pub async fn status(&self, node: &Node) -> report::Status {
        self.get(&format!("{}/status", node.url("admin"))).await
    }

    pub async fn wait_version(&self, node: &Node, version: u64) {
        let what = format!("version {version} at {}", node.id);
        wait_for(&what, SETTLED, async || {
            self.status(node).await.version == version
        })
        .await;
    }

    pub async fn metrics(&self, node: &Node) -> String {
        let url = format!("{}/metrics", node.url("admin"));
        self.client
            .get(url)
            .send()
            .await
            .unwrap()
            .text()
            .await
            .unwrap()
    }

    /// Log of an upstream.
    pub async fn log(&self, upstream: &Upstream) -> Vec<LogEntry> {
        let url = format!("http://{}/log", upstream.process.port("control"));
        self.get::<Log>(&url).await.entries
    }

    /// Times that an upstream ran for an idempotency key or request id.
    pub async fn runs(&self, upstream: &Upstream, key: &str) -> u32 {
        let url = format!("http://{}/runs?key={key}", upstream.process.port("control"));
        self.get::<Runs>(&url).await.runs
    }

    /// Replaces the behaviour of an upstream.
    pub async fn set_behaviour(&self, upstream: &Upstream, behaviour: &Behaviour) {
        let url = format!("http://{}/control", upstream.process.port("control"));
        let answer = self.client.post(url).json(behaviour).send().await.unwrap();
        assert_eq!(answer.status(), 200);
    }

    /// Replaces the faults of the store.
    pub async fn set_faults(&self, faults: &Faults) {
        let url = format!("http://{}/control", self.store.port("control"));
        let answer = self.client.post(url).json(faults).send().await.unwrap();
        assert_eq!(answer.status(), 200);
    }

    /// Publishes operator files and requires that it succeeds.
    pub async fn publish(&self, files: &[(&str, String)]) {
        let output = self.try_publish(files).await;
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "publish: {text}");
    }

    /// Publishes operator files.
    pub async fn try_publish(&self, files: &[(&str, String)]) -> Output {
        let folder = self.folder.path().join("files");
        std::fs::create_dir_all(&folder).unwrap();
        for (name, text) in files {
            std::fs::write(folder.join(name), text).unwrap();
        }
        Command::new(program_path("dandelionseam"))
            .args(["publish", "--store", &self.store_url()])
            .arg(&folder)
            .kill_on_drop(true)
            .output()
            .await
            .unwrap()
    }

    /// Request to the caller port of a node.
    pub fn request(&self, node: &Node, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", node.url("callers"));
        self.client
            .request(method, url)
            .header("dandelionseam-owner", "caroni")
    }

    /// Sends `GET path` to a node.
    pub async fn call(&self, node: &Node, path: &str) -> Response {
        let request = self.request(node, Method::GET, path);
        request.send().await.unwrap()
    }

    async fn get<A>(&self, url: &str) -> A
    where
        A: DeserializeOwned,
    {
        let answer = self.client.get(url).send().await.unwrap();
        answer.json().await.unwrap()
    }

    async fn daemon(&self, id: &str, settings: &Path) -> Process {
        let log = self.folder.path().join(format!("{id}.log"));
        let arguments = ["--settings", settings.to_str().unwrap()];
        Process::start("dandelionseamd", &arguments, &log).await
    }

    fn write_settings(&self, plan: &Plan, [callers, peers, admin]: [&str; 3]) -> PathBuf {
        let seeds = self.seeds.borrow().join(", ");
        let store = if plan.store.is_empty() {
            self.store_url()
        } else {
            plan.store.clone()
        };
        let mut sections = vec![
            ("node", format!("id = {}", plan.id)),
            ("node", format!("region = {}", plan.region)),
            ("node", format!("domain = {}", plan.domain)),
            ("listen", format!("callers = {callers}")),
            ("listen", format!("peers = {peers}")),
            ("listen", format!("admin = {admin}")),
            ("store", format!("addresses = {store}")),
            ("log", "level = debug".to_owned()),
        ];
        if !seeds.is_empty() {
            sections.push(("node", format!("seeds = {seeds}")));
        }
        let mut text = String::new();
        for name in ["node", "listen", "store", "spread", "calls", "log"] {
            writeln!(text, "[{name}]").unwrap();
            for (_, line) in sections.iter().filter(|(section, _)| *section == name) {
                writeln!(text, "{line}").unwrap();
            }
        }
        let path = self.folder.path().join(format!("{}.ini", plan.id));
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            eprintln!("logs are in {}", self.folder.path().display());
        }
    }
}

impl Node {
    /// Base URL of a port.
    pub fn url(&self, port: &str) -> String {
        format!("http://{}", self.process.port(port))
    }

    pub fn address(&self, port: &str) -> SocketAddr {
        self.process.port(port).parse().unwrap()
    }
}

/// Waits until `check` holds.
pub async fn wait_for<F>(what: &str, limit: Duration, check: F)
where
    F: AsyncFn() -> bool,
{
    let deadline = Instant::now() + limit;
    while !check().await {
        assert!(Instant::now() < deadline, "not in time: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Value of a header, empty when absent.
pub fn header(answer: &Response, name: &str) -> String {
    let value = answer.headers().get(name);
    value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
}

/// Operator file of a service with one route for reading and one that may not be repeated.
pub fn service(name: &str, deadline_ms: u64) -> (String, String) {
    let text = format!(
        "[service]\nname = {name}\nowner = caroni\nslots = 12\nconnections = 130\nqueue = 24\n\
         [retry]\nattempts = 3\n\
         [route read]\npath = /{name}\nmethods = GET\ndeadline_ms = {deadline_ms}\nrepeatable = yes\n\
         [route write]\npath = /{name}\nmethods = POST\ndeadline_ms = {deadline_ms}\nrepeatable = no\n"
    );
    (format!("{name}.ini"), text)
}

/// Waits until an address can be bound. Once its process has ended, the system may give the port to a
/// connection of any other process for a while.
async fn wait_free(address: &str) {
    let binding = async {
        while tokio::net::TcpListener::bind(address).await.is_err() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    let free = timeout(SETTLED, binding).await;
    free.unwrap_or_else(|_| panic!("{address} is used by another process"));
}
