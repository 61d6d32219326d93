use std::fs;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;

use futures::{StreamExt, TryStreamExt, stream};
use tempfile::TempDir;
use tokio::process::Command;
use tokio::time::sleep;
use types::Deadline;
use types::report::Member;

use crate::{Address, Error, Plan, Process, Scrape, Usage, files};

/// Longest wait for the nodes to start.
pub(crate) const START_LIMIT: Duration = Duration::from_mins(2);

/// Time after the start in which links settle before anything is counted. Records of the start are
/// compared and repaired for some seconds after the last node is ready.
pub(crate) const SETTLE_DELAY: Duration = Duration::from_secs(15);

/// Nodes that are asked at the same time.
const PARALLEL: usize = 16;

/// Time between two looks at something that is waited for.
const POLL: Duration = Duration::from_millis(50);

/// Ports that are given to processes.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Ports that are tried before giving up.
const PORT_ATTEMPTS: usize = 100;

/// Nodes that every node has as seeds.
const SEEDS: usize = 4;

/// One started node.
pub struct Node {
    /// Number of the node.
    pub number: usize,
    /// Addresses of the node.
    pub address: Address,
    process: Option<Process>,
    settings: PathBuf,
}

/// Started processes of one measurement; all are killed when it is dropped.
pub struct Mesh {
    /// What was started.
    pub plan: Plan,
    /// The nodes in the order of their numbers.
    pub nodes: Vec<Node>,
    client: reqwest::Client,
    store: Process,
    store_url: String,
    store_control: String,
    folder: TempDir,
    services: PathBuf,
    revision: u64,
}

impl Mesh {
    /// Starts the store, publishes the first version and starts all nodes.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not start.
    pub async fn start(plan: Plan) -> Result<Self, Error> {
        let folder = TempDir::new().map_err(|error| Error::Io("folder".to_owned(), error))?;
        let services = folder.path().join("services");
        fs::create_dir(&services).map_err(|error| Error::Io("folder".to_owned(), error))?;
        let (listen, control) = (free_address()?, free_address()?);
        let arguments = ["--listen", &listen, "--control", &control].map(str::to_owned);
        let store = Process::start(
            "standin-store",
            &arguments,
            &folder.path().join("store.log"),
        )?;
        let mut mesh = Self {
            plan,
            nodes: Vec::new(),
            client: reqwest::Client::builder()
                .timeout(Duration::from_secs(5))
                .build()?,
            store,
            store_url: format!("http://{listen}"),
            store_control: format!("http://{control}"),
            folder,
            services,
            revision: 0,
        };
        mesh.wait_store().await?;
        for number in 0..plan.services {
            files::write_service(&mesh.services, number, 0)?;
        }
        mesh.publish_files().await?;
        mesh.create_nodes()?;
        for number in 0..plan.nodes {
            mesh.start_node(number)?;
        }
        Ok(mesh)
    }

    fn create_nodes(&mut self) -> Result<(), Error> {
        // All ports are held until the last one is chosen, so that none is given out twice.
        let mut held = Vec::new();
        for number in 0..self.plan.nodes {
            let mut port = || {
                let listener = listen()?;
                let address = address_of(&listener)?;
                held.push(listener);
                Ok::<_, Error>(address)
            };
            let address = Address {
                callers: port()?,
                peers: port()?,
                admin: port()?,
            };
            let settings = self.folder.path().join(format!("n{number}.ini"));
            self.nodes.push(Node {
                number,
                address,
                process: None,
                settings,
            });
        }
        let seeds: Vec<_> = self
            .nodes
            .iter()
            .take(SEEDS)
            .map(|node| node.address.peers.clone())
            .collect();
        for node in &self.nodes {
            files::write_settings(
                &node.settings,
                &self.plan,
                node.number,
                &node.address,
                &seeds,
                &self.store_url,
            )?;
        }
        Ok(())
    }

    /// Starts the process of a node.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when it cannot be started.
    pub fn start_node(&mut self, number: usize) -> Result<(), Error> {
        let log = self.folder.path().join(format!("n{number}.log"));
        let node = &mut self.nodes[number];
        let arguments = ["--settings".to_owned(), node.settings.display().to_string()];
        node.process = Some(Process::start("dandelionseamd", &arguments, &log)?);
        Ok(())
    }

    /// Kills the process of a node.
    pub fn kill_node(&mut self, number: usize) {
        if let Some(process) = self.nodes[number].process.take() {
            process.close();
        }
    }

    /// Base URL of a node's admin port.
    #[must_use]
    pub fn admin(&self, number: usize) -> String {
        format!("http://{}", self.nodes[number].address.admin)
    }

    /// Waits until the nodes are ready.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Deadline`] when they are not before the deadline.
    pub async fn wait_ready(&self, numbers: &[usize], deadline: Deadline) -> Result<(), Error> {
        for number in numbers {
            let url = format!("{}/ready", self.admin(*number));
            while !self.is_ok(&url).await {
                check_deadline(deadline, &format!("readiness of n{number}"))?;
                sleep(POLL).await;
            }
        }
        Ok(())
    }

    async fn is_ok(&self, url: &str) -> bool {
        let answer = self.client.get(url).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    async fn wait_store(&self) -> Result<(), Error> {
        let deadline = Deadline::after(Duration::from_secs(10));
        while !self
            .is_ok(&format!("{}/counters", self.store_control))
            .await
        {
            check_deadline(deadline, "start of the store")?;
            sleep(POLL).await;
        }
        Ok(())
    }

    /// Changes one service, publishes it with the command-line tool and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error when the publication fails.
    pub async fn publish_change(&mut self) -> Result<u64, Error> {
        self.revision += 1;
        let number = usize::try_from(self.revision).unwrap_or_default() % self.plan.services;
        files::write_service(&self.services, number, self.revision)?;
        self.publish_files().await
    }

    async fn publish_files(&self) -> Result<u64, Error> {
        let own =
            std::env::current_exe().map_err(|error| Error::Io("own program".to_owned(), error))?;
        let output = Command::new(own.with_file_name("dandelionseam"))
            .args(["publish", "--json", "--store", &self.store_url])
            .arg(&self.services)
            .output()
            .await
            .map_err(|error| Error::Io("dandelionseam".to_owned(), error))?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let version = serde_json::from_str::<serde_json::Value>(&text)
            .ok()
            .and_then(|report| report.get("version")?.as_u64());
        version.ok_or_else(|| {
            Error::Answer(format!("{text}{}", String::from_utf8_lossy(&output.stderr)))
        })
    }

    /// Waits until every node holds at least `version` and returns the last scrapes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Deadline`] when a node does not hold it before the deadline.
    pub async fn wait_version(
        &self,
        version: u64,
        deadline: Deadline,
    ) -> Result<Vec<Scrape>, Error> {
        loop {
            let scrapes = self.scrape().await?;
            let lowest = scrapes
                .iter()
                .map(|scrape| scrape.sum("dandelionseam_version", |_| true))
                .fold(f64::INFINITY, f64::min);
            #[expect(
                clippy::cast_precision_loss,
                reason = "versions of a measurement are small"
            )]
            if lowest >= version as f64 {
                return Ok(scrapes);
            }
            check_deadline(deadline, &format!("version {version} on every node"))?;
            sleep(POLL).await;
        }
    }

    /// Processor time and memory of all running nodes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when a node has ended.
    pub fn usage(&self) -> Result<Vec<Usage>, Error> {
        let processes = self.nodes.iter().filter_map(|node| node.process.as_ref());
        processes.map(|process| Usage::read(process.id())).collect()
    }

    /// Reads the metrics of all nodes; those that do not run have none.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Http`] when a running node does not answer.
    pub async fn scrape(&self) -> Result<Vec<Scrape>, Error> {
        let reads = self.nodes.iter().map(|node| {
            let (client, admin) = (self.client.clone(), self.admin(node.number));
            let runs = node.process.is_some();
            async move {
                if runs {
                    Scrape::read(&client, &admin).await
                } else {
                    Ok(Scrape::default())
                }
            }
        });
        stream::iter(reads).buffered(PARALLEL).try_collect().await
    }

    /// Processor time and memory of one node.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Ended`] when the node does not run.
    pub fn usage_of(&self, number: usize) -> Result<Usage, Error> {
        let process = self.nodes[number].process.as_ref();
        Usage::read(
            process
                .ok_or_else(|| Error::Ended(format!("n{number}")))?
                .id(),
        )
    }

    /// Number of members that the node `number` does not show as down or left.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Http`] when the node does not answer.
    pub async fn live_members(&self, number: usize) -> Result<usize, Error> {
        let scrape = Scrape::read(&self.client, &self.admin(number)).await?;
        let members = scrape.sum("dandelionseam_members", |_| true);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a count of nodes"
        )]
        let members = members as usize;
        Ok(members)
    }

    /// Number of members that the node `number` lists.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Http`] when the node does not answer with a list.
    pub async fn listed_members(&self, number: usize) -> Result<usize, Error> {
        let url = format!("{}/members", self.admin(number));
        let members: Vec<Member> = self.client.get(url).send().await?.json().await?;
        Ok(members.len())
    }

    /// Calls that the store has counted, by kind.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Http`] when the store does not answer.
    pub async fn store_calls(&self) -> Result<std::collections::BTreeMap<String, u64>, Error> {
        let url = format!("{}/counters", self.store_control);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Checks that all processes still run.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Ended`] when one does not.
    pub fn check(&mut self) -> Result<(), Error> {
        self.store.check()?;
        let processes = self
            .nodes
            .iter_mut()
            .filter_map(|node| node.process.as_mut());
        processes.into_iter().try_for_each(Process::check)
    }

    /// Folder for files of the measurement.
    #[must_use]
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Stops all processes and removes all files.
    pub fn close(self) {
        drop(self);
    }
}

fn check_deadline(deadline: Deadline, what: &str) -> Result<(), Error> {
    if deadline.has_passed(tokio::time::Instant::now()) {
        return Err(Error::Deadline(what.to_owned()));
    }
    Ok(())
}

/// Listens on a free port below the range from which the system takes the ports of outgoing
/// connections, so that the port is still free when the process that gets it starts.
fn listen() -> Result<TcpListener, Error> {
    let mut last = None;
    for _ in 0..PORT_ATTEMPTS {
        match TcpListener::bind(("127.0.0.1", rand::random_range(PORTS))) {
            Ok(listener) => return Ok(listener),
            Err(error) => last = Some(error),
        }
    }
    Err(Error::Io(
        "port".to_owned(),
        last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()),
    ))
}

fn address_of(listener: &TcpListener) -> Result<String, Error> {
    let address = listener.local_addr();
    Ok(address
        .map_err(|error| Error::Io("port".to_owned(), error))?
        .to_string())
}

/// A loopback address whose port is free now.
pub(crate) fn free_address() -> Result<String, Error> {
    address_of(&listen()?)
}
