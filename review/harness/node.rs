//! Sidecar processes, started with the command and the settings template of `deploy/system.toml`.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Bounds of the Skip Permit site.
pub const DRAIN: Duration = Duration::from_millis(2500);
pub const GRACE: Duration = Duration::from_secs(6);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2500);
pub const STABLE_WINDOW: Duration = Duration::from_millis(4000);

/// One machine with its sidecar process.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub app: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Arc<Mutex<Option<Child>>>,
    record: Record,
}

/// What the settings of a process are filled with.
pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub region: &'a str,
    pub service: &'a str,
    pub ip: &'a str,
    pub base_port: u16,
    pub store: SocketAddr,
}

/// Finds a port from which eight ports are free on every address.
pub fn find_ports(ips: &[String]) -> Option<u16> {
    let start = 10_000 + (std::process::id() % 1800) as u16 * 10;
    (0..200).map(|step| start + step * 10).find(|base| {
        ips.iter()
            .all(|ip| (*base..base + 8).all(|port| TcpListener::bind((ip.as_str(), port)).is_ok()))
    })
}

impl Node {
    pub fn new(place: &Place<'_>, folder: &Path, record: &Record) -> std::io::Result<Self> {
        let address = |offset: u16| -> SocketAddr {
            format!("{}:{}", place.ip, place.base_port + offset)
                .parse()
                .unwrap()
        };
        let (outbound, ready, control, app) = (address(2), address(3), address(4), address(5));
        let values = [
            ("node", place.name.to_owned()),
            ("region", place.region.to_owned()),
            ("zone", place.zone.to_owned()),
            ("ip", place.ip.to_owned()),
            ("listen.outbound", outbound.to_string()),
            ("listen.inbound", address(6).to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.control", control.to_string()),
            ("internalPorts.0", place.base_port.to_string()),
            ("internalPorts.1", (place.base_port + 1).to_string()),
            ("platform.address", place.store.to_string()),
            ("service", place.service.to_owned()),
            ("appAddr", app.to_string()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryBudgetSlack", "64".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("limits.linkMbps", "1000.0".to_owned()),
        ];
        let template = deploy_value("template").expect("template in deploy/system.toml");
        let template = fs::read_to_string(template)?;
        let settings = folder.join(format!("{}.settings", place.name));
        fs::write(&settings, render(&template, &values))?;
        Ok(Self {
            name: place.name.to_owned(),
            outbound,
            ready,
            control,
            app,
            settings,
            log: folder.join(format!("{}.log", place.name)),
            process: Arc::default(),
            record: record.clone(),
        })
    }

    pub fn spawn(&self) -> std::io::Result<()> {
        let run = deploy_value("run").expect("run in deploy/system.toml");
        let mut words = run.split(' ');
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(words.next().unwrap_or_default())
            .args(words)
            .env("DANDELIONSEAM_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .note(&format!("{} started, process {}", self.name, child.id()));
        *self.process.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            self.record.note(&format!("{} killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process as planned: SIGTERM, and SIGKILL after the grace time.
    pub fn terminate(&self) {
        let Some(mut child) = self.process.lock().unwrap().take() else {
            return;
        };
        self.record.say(&format!("{} gets SIGTERM", self.name));
        let _ = Command::new("sh")
            .args(["-c", &format!("kill -TERM {}", child.id())])
            .status();
        let end = Instant::now() + GRACE;
        while Instant::now() < end {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.record.say(&format!("{} has ended", self.name));
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.say(&format!(
            "{} is killed at the end of the grace time",
            self.name
        ));
        let _ = child.kill();
        let _ = child.wait();
    }

    pub fn is_ready(&self) -> bool {
        let headers = [("Host", self.ready.to_string())];
        let timeout = Duration::from_secs(1);
        http::exchange(self.ready, "GET /v1/ready HTTP/1.1", &headers, b"", timeout)
            .is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Text value of a key in the deploy file.
fn deploy_value(key: &str) -> Option<String> {
    let text = fs::read_to_string("deploy/system.toml").ok()?;
    let line = text.lines().find(|line| {
        line.split_once('=')
            .is_some_and(|(name, _)| name.trim() == key)
    })?;
    Some(line.split_once('=')?.1.trim().trim_matches('"').to_owned())
}

/// Fills a settings template; sections of values that are not given are left out.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let find = |name: &str| values.iter().find(|(known, _)| *known == name);
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let end = start + text[start..].find("}}").expect("end of a section's head");
        let name = text[start + 3..end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let stop = end + text[end..].find(&close).expect("end of a section");
        let inner = if find(&name).is_some() {
            text[end + 2..stop].to_owned()
        } else {
            String::new()
        };
        text.replace_range(start..stop + close.len(), &inner);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}
