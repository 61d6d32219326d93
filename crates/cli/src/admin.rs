//! Questions to the admin ports of nodes.

use std::time::Duration;

use futures::{StreamExt, stream};
use reqwest::{Client, Url};
use serde::de::DeserializeOwned;
use types::id;
use types::report::{Account, Counters, Failure as CallFailure, Member, Status};

use crate::Failure;

/// Time for one answer. A node answers from memory.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Nodes that are asked at the same time, to bound the connections of the tool.
const CONCURRENCY: usize = 64;

/// Client of the admin ports.
#[derive(Clone, Debug)]
pub struct Admin {
    client: Client,
}

/// Accounts of one owner at all nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Collection {
    /// Owner of the accounts.
    pub owner: String,
    /// Number of nodes that answered.
    pub answered: usize,
    /// Nodes without an answer, each with the reason. Their calls are not counted.
    pub missing: Vec<(String, String)>,
    /// Sum of the counters.
    pub counters: Counters,
    /// Failures at all nodes with the node's id, oldest first.
    pub failures: Vec<(String, CallFailure)>,
}

impl Admin {
    /// Creates a client. Nothing is sent.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unreachable`] when the HTTP client cannot be set up.
    pub fn new() -> Result<Self, Failure> {
        let client = Client::builder().timeout(ANSWER_LIMIT).no_proxy().build();
        let client = client.map_err(|error| Failure::Unreachable(error.to_string()))?;
        Ok(Self { client })
    }

    /// Status of a node.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unreachable`] when the node gives no usable answer.
    pub async fn status(&self, node: &Url) -> Result<Status, Failure> {
        self.get(node, "status").await
    }

    /// Status of a reader, whose summaries cover the whole mesh. It is the node itself or a reader
    /// that the node names.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unreachable`] when neither gives a usable answer.
    pub async fn reader_status(&self, node: &Url) -> Result<Status, Failure> {
        let status = self.status(node).await?;
        if status.reader {
            return Ok(status);
        }
        for url in status
            .readers
            .iter()
            .filter_map(|reader| reader.admin.parse().ok())
        {
            match self.status(&url).await {
                Ok(status) if status.reader => return Ok(status),
                _ => {}
            }
        }
        let text = format!(
            "node {} is not a reader and names no reader that answers",
            status.node
        );
        Err(Failure::Unreachable(text))
    }

    /// All nodes that a node knows.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unreachable`] when the node gives no usable answer.
    pub async fn members(&self, node: &Url) -> Result<Vec<Member>, Failure> {
        self.get(node, "members").await
    }

    /// Account of one owner at one node.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unreachable`] when the node gives no usable answer.
    pub async fn account(&self, node: &Url, owner: &id::Owner) -> Result<Account, Failure> {
        self.get(node, &format!("account/{owner}")).await
    }

    /// Accounts of one owner at all nodes that `node` knows. Nodes that do not answer are listed.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unreachable`] when `node` gives no usable list of nodes.
    pub async fn collect(&self, node: &Url, owner: &id::Owner) -> Result<Collection, Failure> {
        let members = self.members(node).await?;
        let asked = members
            .into_iter()
            .map(|member| self.account_of(member, owner));
        let mut answers = stream::iter(asked).buffer_unordered(CONCURRENCY);
        let mut collection = Collection {
            owner: owner.to_string(),
            ..Collection::default()
        };
        while let Some((id, answer)) = answers.next().await {
            match answer {
                Ok(account) => collection.add(&id, account),
                Err(failure) => collection.missing.push((id, failure.to_string())),
            }
        }
        collection.missing.sort_unstable();
        collection.failures.sort_by(|(_, one), (_, other)| {
            (one.time_ms, &one.request).cmp(&(other.time_ms, &other.request))
        });
        Ok(collection)
    }

    async fn account_of(
        &self,
        member: Member,
        owner: &id::Owner,
    ) -> (String, Result<Account, Failure>) {
        let answer = match member.admin.parse() {
            Ok(url) => self.account(&url, owner).await,
            Err(_) => Err(Failure::Unreachable(
                "address of the admin port is not known".to_owned(),
            )),
        };
        (member.id, answer)
    }

    async fn get<A>(&self, node: &Url, path: &str) -> Result<A, Failure>
    where
        A: DeserializeOwned,
    {
        let unreachable = |reason: String| Failure::Unreachable(format!("node {node}: {reason}"));
        let url = node
            .join(path)
            .map_err(|error| unreachable(error.to_string()))?;
        let response = self
            .client
            .get(url)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status);
        let response = response.map_err(|error| unreachable(error.to_string()))?;
        response
            .json()
            .await
            .map_err(|error| unreachable(error.to_string()))
    }
}

impl Collection {
    fn add(&mut self, node: &str, account: Account) {
        self.answered += 1;
        self.counters += account.counters;
        let failures = account.failures.into_iter();
        self.failures
            .extend(failures.map(|failure| (node.to_owned(), failure)));
    }
}
