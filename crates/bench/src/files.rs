//! Files that a measurement writes: settings of nodes and operator files.

use std::fs;
use std::path::Path;

use crate::{Baseline, Error, Plan};

/// Addresses of one node.
#[derive(Clone, Debug)]
pub struct Address {
    /// Caller port, IP and port.
    pub callers: String,
    /// Peer port, IP and port.
    pub peers: String,
    /// Admin port, IP and port.
    pub admin: String,
}

/// Writes the settings of node `number`.
///
/// # Errors
///
/// Returns [`Error::Io`] when the file cannot be written.
pub fn write_settings(
    path: &Path,
    plan: &Plan,
    number: usize,
    address: &Address,
    seeds: &[String],
    store: &str,
) -> Result<(), Error> {
    let domain = plan.domain(number);
    let region = plan.region(domain);
    let source = if plan.baseline == Baseline::Store {
        "store"
    } else {
        "tree"
    };
    let deltas = if plan.baseline == Baseline::Snapshots {
        "no"
    } else {
        "yes"
    };
    let text = format!(
        "[node]\nid = n{number}\nregion = r{region}\ndomain = r{region}-d{domain}\nseeds = {}\n\n\
         [listen]\ncallers = {}\npeers = {}\nadmin = {}\n\n\
         [store]\naddresses = {store}\n\n\
         [spread]\nsource = {source}\ndeltas = {deltas}\nfanout = {}\nchildren = {}\n\
         domain_delay_us = {}\nregion_delay_us = {}\n\n\
         [log]\nlevel = info\n",
        seeds.join(", "),
        address.callers,
        address.peers,
        address.admin,
        plan.fanout,
        plan.fanout * 2,
        plan.domain_delay_us,
        plan.region_delay_us,
    );
    write(path, &text)
}

/// Writes the operator file of service `number`; each `revision` differs in one deadline.
///
/// # Errors
///
/// Returns [`Error::Io`] when the file cannot be written.
pub fn write_service(folder: &Path, number: usize, revision: u64) -> Result<(), Error> {
    let deadline = 1000 + revision % 10_000;
    let text = format!(
        "[service]\nname = service-{number}\nowner = owner-{}\nslots = 12\nconnections = 130\nqueue = 24\n\n\
         [route read]\npath = /service-{number}/read\nmethods = GET\ndeadline_ms = {deadline}\nrepeatable = yes\n\n\
         [route write]\npath = /service-{number}/write\nmethods = POST\ndeadline_ms = 2000\nrepeatable = no\n",
        number % 40,
    );
    write(&folder.join(format!("service-{number}.ini")), &text)
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|error| Error::Io(path.display().to_string(), error))
}
