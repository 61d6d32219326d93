use schema::gateway::{
    Compare as CompareMessage, CompareResult, CompareTarget, DeleteRangeRequest, PutRequest,
    RangeRequest, RequestOp, ResponseOp, TxnRequest, TxnResponse,
};

use crate::{Error, Lease, Listing, Revision, Value};

/// Condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last changed at this revision. [`Revision::NONE`] holds for an absent key.
    Unchanged(String, Revision),
    /// The key has this value.
    Equal(String, Vec<u8>),
}

/// Operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads a key.
    Get(String),
    /// Writes a key.
    Put {
        /// Key to write.
        key: String,
        /// New content.
        bytes: Vec<u8>,
        /// Lease to attach the key to.
        lease: Option<Lease>,
    },
    /// Deletes a key.
    Delete(String),
}

/// Transaction: runs `then` when all comparisons hold, and `otherwise` when one does not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Operations when all conditions hold.
    pub then: Vec<Operation>,
    /// Operations when a condition does not hold.
    pub otherwise: Vec<Operation>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
    /// One reply for each operation that was run.
    pub replies: Vec<Reply>,
}

/// Result of one operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Value of the key that was read.
    Get(Option<Value>),
    /// The key was written.
    Put,
    /// Whether the key existed before it was deleted.
    Delete(bool),
}

impl Txn {
    /// Creates a transaction that does nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    #[must_use]
    pub fn with_compare(mut self, compare: Compare) -> Self {
        self.compares.push(compare);
        self
    }

    /// Adds an operation for the case that all conditions hold.
    #[must_use]
    pub fn with_then(mut self, operation: Operation) -> Self {
        self.then.push(operation);
        self
    }

    /// Adds an operation for the case that a condition does not hold.
    #[must_use]
    pub fn with_otherwise(mut self, operation: Operation) -> Self {
        self.otherwise.push(operation);
        self
    }

    /// The message of the protocol.
    pub(crate) fn into_request(self) -> TxnRequest {
        let operations = |list: Vec<Operation>| list.into_iter().map(operation).collect();
        TxnRequest {
            compare: self.compares.into_iter().map(compare).collect(),
            success: operations(self.then),
            failure: operations(self.otherwise),
        }
    }
}

fn compare(compare: Compare) -> CompareMessage {
    let mut message = CompareMessage {
        result: CompareResult::Equal.into(),
        ..CompareMessage::default()
    };
    match compare {
        Compare::Absent(key) => {
            message.key = key.into_bytes();
            message.set_target(CompareTarget::Create);
        }
        Compare::Unchanged(key, revision) => {
            message.key = key.into_bytes();
            message.set_target(CompareTarget::Mod);
            message.mod_revision = revision.get();
        }
        Compare::Equal(key, bytes) => {
            message.key = key.into_bytes();
            message.set_target(CompareTarget::Value);
            message.value = bytes;
        }
    }
    message
}

fn operation(operation: Operation) -> RequestOp {
    let mut message = RequestOp::default();
    match operation {
        Operation::Get(key) => {
            message.request_range = Some(RangeRequest {
                key: key.into_bytes(),
                ..RangeRequest::default()
            });
        }
        Operation::Put { key, bytes, lease } => {
            message.request_put = Some(PutRequest {
                key: key.into_bytes(),
                value: bytes,
                lease: Lease::to_number(lease),
            });
        }
        Operation::Delete(key) => {
            message.request_delete_range = Some(DeleteRangeRequest {
                key: key.into_bytes(),
                ..DeleteRangeRequest::default()
            });
        }
    }
    message
}

impl TryFrom<TxnResponse> for TxnReply {
    type Error = Error;

    fn try_from(response: TxnResponse) -> Result<Self, Error> {
        let revision = response.header.map_or(0, |header| header.revision);
        let replies = response.responses.into_iter().map(reply);
        Ok(Self {
            succeeded: response.succeeded,
            revision: Revision::new(revision),
            replies: replies.collect::<Result<_, _>>()?,
        })
    }
}

fn reply(response: ResponseOp) -> Result<Reply, Error> {
    if let Some(range) = response.response_range {
        let mut entries = Listing::from_response(range)?.entries;
        return Ok(Reply::Get(entries.pop().map(|(_, value)| value)));
    }
    if let Some(delete) = response.response_delete_range {
        return Ok(Reply::Delete(delete.deleted > 0));
    }
    match response.response_put {
        Some(_) => Ok(Reply::Put),
        None => Err(Error::AnswerLost(
            "transaction reply without a kind".to_owned(),
        )),
    }
}
