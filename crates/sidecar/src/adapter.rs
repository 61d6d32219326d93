use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bundle::Bundle;
use call::{Announcement, HeaderCodec};
use directory::Backend;
use http::request::Parts;
use http::{HeaderMap, Method};
use route::AnnouncementHeader;
use tenant::Registry;
use types::{Timestamp, Version, id};

use crate::RolloutAdapter;

/// Interface to a platform: its store, and closures that convert its messages.
pub struct Adapter {
    /// Store of the platform.
    pub backend: Arc<Backend>,
    /// Keys of the configuration and of the nodes in the store.
    pub keys: Keys,
    /// Decodes a stored configuration. Returns the reason when it is invalid.
    pub decode_configuration: Arc<DecodeConfiguration>,
    /// Reads the metadata in the head of a caller's request.
    pub read_request: Box<dyn Fn(&Parts) -> RequestMetadata + Send + Sync>,
    /// Reads the API key in the head of a caller's request.
    pub read_key: Box<ReadKey>,
    /// Sets the request header that names the tenant of the caller, and removes one that the caller set
    /// itself. The name is empty for a caller without a tenant.
    pub set_tenant: Box<SetHeaders<str>>,
    /// Sets the request headers that name the service beside this node.
    pub set_caller_service: Box<SetHeaders<str>>,
    /// Sets the response headers that tell a caller how long to wait before a retry.
    pub set_retry_after: Box<SetHeaders<Duration>>,
    /// Parses a message of the upstream. Returns the reason when it is invalid.
    pub parse_message: Box<ParseMessage>,
    /// Orders of roll-outs; `None` if the platform has none.
    pub rollouts: Option<RolloutAdapter>,
    /// Encodes and decodes the headers exchanged between the node and the upstream.
    pub header_codec: Arc<HeaderCodec>,
}

/// Reads an API key; `None` if there is none.
type ReadKey = dyn Fn(&Parts) -> Option<String> + Send + Sync;

/// Sets the headers that carry a value.
type SetHeaders<V> = dyn Fn(&V, &mut HeaderMap) + Send + Sync;

/// Parses a message from its method, path and body.
type ParseMessage = dyn Fn(&Method, &str, &[u8]) -> Result<UpstreamMessage, String> + Send + Sync;

type DecodeConfiguration = dyn Fn(&[u8]) -> Result<(Version, Configuration), String> + Send + Sync;

/// Keys in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Key of the configuration.
    pub configuration: String,
    /// Prefix of the keys of node entries.
    pub node_prefix: String,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Services and routes.
    pub bundle: Arc<Bundle>,
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Paths of the health endpoints of the services that do not use `/health`.
    pub health_paths: HashMap<id::Service, String>,
    /// Tenants; `None` where requests need no key.
    pub tenants: Option<Tenants>,
}

/// Tenants of one configuration version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    /// Tenants and their keys.
    pub registry: Registry,
    /// Routes whose requests need no key, with the services that declare them.
    pub public_routes: HashSet<(id::Service, id::Route)>,
}

/// Metadata of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the call; `None` when the caller sent no valid one.
    pub id: Option<id::Request>,
    /// Time for which the caller waits for the answer.
    pub timeout: Option<Duration>,
}

/// Message from the upstream to the node beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamMessage {
    /// The upstream is running.
    Heartbeat(AnnouncementHeader, Announcement),
    /// A process of the upstream shuts down.
    Leave {
        /// Id of the instance that the process belongs to.
        instance: String,
        /// Start time of the process, if the message gives it.
        started: Option<Timestamp>,
    },
}
