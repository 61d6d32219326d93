use std::fmt::Write;
use std::net::SocketAddr;

use schema::section::{Kind, Section as Table};
use schema::settings::{
    Calls, Hedging, Link, Listen, Log, Node, Retries, Rollouts, Spread, Stop, Store, Tenants,
    Upstream,
};
use types::rate::Share;
use types::{Finding, Findings, id};

use crate::Document;

/// Settings file of the node daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Identity and place of the node.
    pub node: Node,
    /// Addresses that the node listens on.
    pub listen: Listen,
    /// Key-value store of the platform.
    pub store: Store,
    /// Distribution of versions and membership.
    pub spread: Spread,
    /// Call path.
    pub calls: Calls,
    /// Upstream beside the node.
    pub upstream: Upstream,
    /// Retries of the whole mesh.
    pub retries: Retries,
    /// Second attempts for slow calls.
    pub hedging: Hedging,
    /// Network link of the instance.
    pub link: Link,
    /// Tenants.
    pub tenants: Tenants,
    /// Roll-outs.
    pub rollouts: Rollouts,
    /// Planned stop.
    pub stop: Stop,
    /// Log output.
    pub log: Log,
}

const KINDS: [&str; 13] = [
    Node::SECTION.name,
    Listen::SECTION.name,
    Store::SECTION.name,
    Spread::SECTION.name,
    Calls::SECTION.name,
    Upstream::SECTION.name,
    Retries::SECTION.name,
    Hedging::SECTION.name,
    Link::SECTION.name,
    Tenants::SECTION.name,
    Rollouts::SECTION.name,
    Stop::SECTION.name,
    Log::SECTION.name,
];

impl Settings {
    /// Reads a settings file. `file` is the name that findings show.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file.
    pub fn read(file: &str, text: &str) -> Result<Self, Findings> {
        let (document, mut findings) = Document::read(file, text);
        document.check_kinds(&KINDS, &mut findings);
        let settings = Self {
            node: document.fill(&Node::SECTION, &mut findings),
            listen: document.fill(&Listen::SECTION, &mut findings),
            store: document.fill(&Store::SECTION, &mut findings),
            spread: document.fill(&Spread::SECTION, &mut findings),
            calls: document.fill(&Calls::SECTION, &mut findings),
            upstream: document.fill(&Upstream::SECTION, &mut findings),
            retries: document.fill(&Retries::SECTION, &mut findings),
            hedging: document.fill(&Hedging::SECTION, &mut findings),
            link: document.fill(&Link::SECTION, &mut findings),
            tenants: document.fill(&Tenants::SECTION, &mut findings),
            rollouts: document.fill(&Rollouts::SECTION, &mut findings),
            stop: document.fill(&Stop::SECTION, &mut findings),
            log: document.fill(&Log::SECTION, &mut findings),
        };
        settings.check(&document, &mut findings);
        findings.or(settings)
    }

    /// Text of a settings file with all keys, which [`Settings::read`] reads back.
    #[must_use]
    pub fn print(&self) -> String {
        let sections = [
            print(&Node::SECTION, &self.node),
            print(&Listen::SECTION, &self.listen),
            print(&Store::SECTION, &self.store),
            print(&Spread::SECTION, &self.spread),
            print(&Calls::SECTION, &self.calls),
            print(&Upstream::SECTION, &self.upstream),
            print(&Retries::SECTION, &self.retries),
            print(&Hedging::SECTION, &self.hedging),
            print(&Link::SECTION, &self.link),
            print(&Tenants::SECTION, &self.tenants),
            print(&Rollouts::SECTION, &self.rollouts),
            print(&Stop::SECTION, &self.stop),
            print(&Log::SECTION, &self.log),
        ];
        sections.join("\n")
    }

    /// Checks what the key tables cannot express.
    fn check(&self, document: &Document, findings: &mut Findings) {
        let mut report = |key: &str, message: String| {
            findings.push(
                Finding::new(document.file(), message)
                    .with_line(document.line(key))
                    .with_key(key),
            );
        };
        for (key, text) in [
            ("node.id", &self.node.id),
            ("node.region", &self.node.region),
            ("node.domain", &self.node.domain),
        ] {
            // An empty text is a missing key, which is reported already.
            if let Err(invalid) = text.parse::<id::Node>()
                && !text.is_empty()
            {
                report(key, invalid.to_string());
            }
        }
        let listen = &self.listen;
        let addresses = [
            ("listen.callers", &listen.callers),
            ("listen.peers", &listen.peers),
            ("listen.admin", &listen.admin),
        ];
        let optional = [
            ("listen.ready", &listen.ready),
            ("listen.announcements", &listen.announcements),
            ("listen.metrics", &listen.metrics),
            ("listen.advertised", &listen.advertised),
            ("upstream.address", &self.upstream.address),
        ];
        let addresses = addresses
            .into_iter()
            .chain(optional.into_iter().filter(|(_, text)| !text.is_empty()));
        let seeds = self.node.seeds.iter().map(|seed| ("node.seeds", seed));
        for (key, text) in addresses.chain(seeds) {
            if text.parse::<SocketAddr>().is_err() {
                report(key, format!("`{text}` is not an IP address with a port"));
            }
        }
        for (key, text) in [
            ("retries.ratio", &self.retries.ratio),
            ("retries.slack", &self.retries.slack),
            ("link.rate_mbit", &self.link.rate_mbit),
            ("stop.grace_s", &self.stop.grace_s),
        ] {
            let number = text.parse::<f64>();
            if !number.is_ok_and(|number| number.is_finite() && number >= 0.0) {
                report(key, format!("`{text}` is not a number from 0 up"));
            }
        }
        for (key, text) in [
            ("rollouts.exposure_share", &self.rollouts.exposure_share),
            ("hedging.limit", &self.hedging.limit),
        ] {
            if text.parse::<Share>().is_err() {
                report(key, format!("`{text}` is not a fraction from 0 to 1"));
            }
        }
        for url in &self.store.addresses {
            if !is_http_url(url) {
                report(
                    "store.addresses",
                    format!("`{url}` is not a URL that starts with http:// or https://"),
                );
            }
        }
        self.check_limits(&mut report);
    }

    /// Checks limits that contradict each other.
    fn check_limits<F>(&self, report: &mut F)
    where
        F: FnMut(&str, String),
    {
        let spread = &self.spread;
        if spread.silence_ms < 2 * spread.heartbeat_ms {
            // With less than two heartbeats, one late message makes a healthy peer suspect.
            report(
                "spread.silence_ms",
                "must be at least twice heartbeat_ms".to_owned(),
            );
        }
        if spread.children < spread.fanout {
            report(
                "spread.children",
                "must not be lower than fanout".to_owned(),
            );
        }
        if spread.source == "store" && self.store.addresses.is_empty() {
            report(
                "spread.source",
                "`store` needs addresses in section [store]".to_owned(),
            );
        }
    }
}

fn is_http_url(text: &str) -> bool {
    let rest = text
        .strip_prefix("http://")
        .or_else(|| text.strip_prefix("https://"));
    rest.is_some_and(|rest| {
        !rest.is_empty() && !rest.starts_with('/') && !rest.contains(char::is_whitespace)
    })
}

/// Text of one section.
fn print<S>(table: &Table<S>, value: &S) -> String {
    let mut text = format!("; {}\n[{}]\n", table.doc, table.name);
    for key in table.keys {
        let value = (table.get)(value, key.name).unwrap_or_default();
        // An optional text that is not set cannot be written as an empty value.
        let is_unset = value.is_empty() && !matches!(key.kind, Kind::List);
        let mark = if is_unset { "; " } else { "" };
        // Writing to a string does not fail.
        let _ = writeln!(text, "; {}\n{mark}{} = {value}", key.doc, key.name);
    }
    text
}
