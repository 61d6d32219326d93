//! A small deployment like the Skip Permit site: sidecars, their targets, the store and clients.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::client::{Class, Clients};
use crate::node::{self, Node, Place};
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;

pub const STATUS: Class = Class {
    method: "GET",
    host: "permits.example",
    path: "/status/a",
    deadline: Duration::from_millis(1500),
    body: b"",
    is_chunked: false,
};

pub const RENEW: Class = Class {
    method: "POST",
    host: "permits.example",
    path: "/renew/a",
    deadline: Duration::from_millis(2000),
    body: b"pay for one permit",
    is_chunked: false,
};

/// Time after which all processes are ended, whatever the case does.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Time for which a target works on a request.
pub const WORK: Duration = Duration::from_millis(90);

const ZONES: [(&str, &str); 6] = [
    ("north-a", "north"),
    ("central-a", "central"),
    ("south-a", "south"),
    ("north-b", "north"),
    ("central-b", "central"),
    ("south-b", "south"),
];

const SERVICES: [&str; 3] = ["status-desk", "renewals", "pack-store"];

pub struct World {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub targets: Vec<Target>,
    pub clients: Clients,
    pub record: Record,
    folder: PathBuf,
}

impl World {
    /// Starts `count` machines and waits until all are ready and the entries are known everywhere.
    pub fn start(record: &Record, count: usize) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let net = std::process::id() % 200 + 20;
        let ips: Vec<String> = (0..count)
            .map(|index| format!("127.{net}.1.{}", index + 1))
            .collect();
        let base_port =
            node::find_ports(&ips).ok_or_else(|| std::io::Error::other("no free ports"))?;
        let store = Store::start();
        let store_ip = format!("127.{net}.2.1");
        store.write("op/config", &config(1, "renewals"));
        let (mut nodes, mut targets) = (Vec::new(), Vec::new());
        for (index, ip) in ips.iter().enumerate() {
            let (zone, region) = ZONES[index % ZONES.len()];
            let service = SERVICES[index / ZONES.len() % SERVICES.len()];
            let name = format!("sidecar-{zone}-{}", index / ZONES.len() + 1);
            let place = Place {
                name: &name,
                zone,
                region,
                service,
                ip,
                base_port,
                store: store.listen(&store_ip, index)?,
            };
            let node = Node::new(&place, &folder, record)?;
            node.spawn()?;
            targets.push(Target::start(
                &name,
                service,
                zone,
                node.app,
                node.control,
                WORK,
                record,
            )?);
            nodes.push(node);
        }
        let world = Self {
            store,
            nodes,
            targets,
            clients: Clients::new(record),
            record: record.clone(),
            folder,
        };
        let nodes = world.nodes.clone();
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            for node in &nodes {
                node.kill();
            }
            eprintln!("case could not run: it took too long");
            std::process::exit(2);
        });
        for node in &world.nodes {
            if !node.wait_ready(Duration::from_secs(15)) {
                return Err(std::io::Error::other(format!("{} is not ready", node.name)));
            }
        }
        // The entries are watched at most every 3 s.
        thread::sleep(Duration::from_secs(8));
        Ok(world)
    }

    /// Begins steady requests of both kinds on each machine.
    pub fn begin_traffic(&self) {
        for node in &self.nodes {
            let pause = Duration::from_millis(60);
            self.clients.begin(&node.name, node.outbound, STATUS, pause);
            self.clients.begin(&node.name, node.outbound, RENEW, pause);
        }
    }

    /// Waits until a time since the start of the case.
    pub fn wait_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.record.now()));
    }
}

impl Drop for World {
    /// Ends all processes.
    fn drop(&mut self) {
        self.clients.stop();
        for target in &self.targets {
            target.stop_beats();
        }
        for node in &self.nodes {
            node.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

/// Configuration of the operator, with the service that runs the route of renewals.
pub fn config(version: u32, renewals: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, slo: u32, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"sloMs\":{slo},\"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":{attempts}}}"
        )
    };
    let paths = [
        route("status", "safe", "status-desk", 800, 400, 2),
        route("renew", "unsafe", renewals, 1000, 500, 2),
        route("pack", "download", "pack-store", 800, 400, 2),
    ];
    let services = SERVICES.map(|name| format!("{{\"name\":\"{name}\",\"maxConns\":130}}"));
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"virtualHosts\":[{{\"host\":\"permits.example\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    )
}
