//! Conversion between the plain types of this crate and the messages of the schema.

use schema::bundle as message;
use schema::control::Update;
use thiserror::Error;
use types::rate::Percent;
use types::{Digest, InvalidDigest, Timestamp, Version, id, size};

use crate::{
    Delta, Manifest, ManifestDelta, ManifestEntry, PieceKey, Reach, Route, Service, WeightedService,
};

/// Reason why a message cannot be converted into a type of this crate.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ConversionError {
    /// A name is not valid.
    #[error("{0}")]
    Name(#[from] id::Invalid),
    /// A digest has the wrong length.
    #[error("{0}")]
    Digest(#[from] InvalidDigest),
    /// The number does not stand for a reach.
    #[error("unknown reach {0}")]
    Reach(i32),
    /// A retry budget is over 100 percent.
    #[error("retry budget of {0}% is over 100%")]
    RetryBudget(u32),
    /// A manifest lists a service twice.
    #[error("manifest lists service `{0}` twice")]
    DuplicateService(id::Service),
}

impl From<&Service> for message::ServiceConfig {
    fn from(service: &Service) -> Self {
        Self {
            name: service.name.to_string(),
            owner: service.owner.to_string(),
            file: service.file.clone(),
            slots: service.slots.get(),
            connections: service.connections.get(),
            queue: service.queue.get(),
            reach: message::Reach::from(service.reach).into(),
            subset: service.subset,
            attempts: service.attempts,
            budget_percent: service.retry_budget.get(),
            routes: service.routes.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<message::ServiceConfig> for Service {
    type Error = ConversionError;

    fn try_from(config: message::ServiceConfig) -> Result<Self, ConversionError> {
        let reach = message::Reach::try_from(config.reach)
            .map_err(|_| ConversionError::Reach(config.reach))?;
        if config.budget_percent > 100 {
            return Err(ConversionError::RetryBudget(config.budget_percent));
        }
        Ok(Self {
            name: config.name.parse()?,
            owner: config.owner.parse()?,
            file: config.file,
            slots: size::Slots::new(config.slots),
            connections: size::Connections::new(config.connections),
            queue: size::Queue::new(config.queue),
            reach: reach.into(),
            subset: config.subset,
            attempts: config.attempts,
            retry_budget: Percent::new(config.budget_percent),
            routes: config
                .routes
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
        })
    }
}

impl From<&Route> for message::RouteConfig {
    fn from(route: &Route) -> Self {
        Self {
            name: route.name.to_string(),
            path: route.path.clone(),
            methods: route.methods.clone(),
            service: route.service.to_string(),
            deadline_ms: route.deadline_ms,
            repeatable: route.repeatable,
            host: route.host.clone(),
            split: route.split.iter().map(Into::into).collect(),
            attempts: route.attempts,
            objective_ms: route.objective_ms,
            priority: route.priority,
            bulk: route.bulk,
        }
    }
}

impl TryFrom<message::RouteConfig> for Route {
    type Error = ConversionError;

    fn try_from(config: message::RouteConfig) -> Result<Self, ConversionError> {
        Ok(Self {
            name: config.name.parse()?,
            path: config.path,
            methods: config.methods,
            service: config.service.parse()?,
            deadline_ms: config.deadline_ms,
            repeatable: config.repeatable,
            host: config.host,
            split: config
                .split
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
            attempts: config.attempts,
            objective_ms: config.objective_ms,
            priority: config.priority,
            bulk: config.bulk,
        })
    }
}

impl From<&WeightedService> for message::Share {
    fn from(share: &WeightedService) -> Self {
        Self {
            service: share.service.to_string(),
            weight: share.weight,
        }
    }
}

impl TryFrom<message::Share> for WeightedService {
    type Error = ConversionError;

    fn try_from(share: message::Share) -> Result<Self, ConversionError> {
        Ok(Self {
            service: share.service.parse()?,
            weight: share.weight,
        })
    }
}

impl From<Reach> for message::Reach {
    fn from(reach: Reach) -> Self {
        match reach {
            Reach::Domain => Self::Domain,
            Reach::Region => Self::Region,
            Reach::Any => Self::Any,
        }
    }
}

impl From<message::Reach> for Reach {
    fn from(reach: message::Reach) -> Self {
        match reach {
            message::Reach::Domain => Self::Domain,
            message::Reach::Region => Self::Region,
            message::Reach::Any => Self::Any,
        }
    }
}

impl From<&Manifest> for message::Manifest {
    fn from(manifest: &Manifest) -> Self {
        Self {
            version: manifest.version.get(),
            parent: manifest.parent.get(),
            publication: manifest
                .publication
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            publisher: manifest.publisher.clone(),
            published_ms: manifest.published.get(),
            digest: manifest.digest.as_bytes().to_vec(),
            entries: manifest.entries.values().map(Into::into).collect(),
            replaced: manifest.replaced.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<message::Manifest> for Manifest {
    type Error = ConversionError;

    fn try_from(message: message::Manifest) -> Result<Self, ConversionError> {
        let mut manifest = Self {
            version: Version::new(message.version),
            parent: Version::new(message.parent),
            publication: Some(message.publication.parse()?),
            publisher: message.publisher,
            published: Timestamp::new(message.published_ms),
            digest: message.digest.as_slice().try_into()?,
            replaced: message
                .replaced
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
            ..Self::empty()
        };
        for entry in message.entries {
            let entry = ManifestEntry::try_from(entry)?;
            if let Some(duplicate) = manifest.entries.insert(entry.piece.service.clone(), entry) {
                return Err(ConversionError::DuplicateService(duplicate.piece.service));
            }
        }
        Ok(manifest)
    }
}

impl From<&ManifestDelta> for message::Head {
    fn from(delta: &ManifestDelta) -> Self {
        Self {
            version: delta.to.get(),
            digest: delta.digest.as_bytes().to_vec(),
            published_ms: delta.published.get(),
            parent: delta.from.get(),
            complete: true,
            changed: delta.changed.iter().map(Into::into).collect(),
            removed: delta.removed.iter().map(ToString::to_string).collect(),
        }
    }
}

impl TryFrom<&message::Head> for ManifestDelta {
    type Error = ConversionError;

    /// Converts a head whose list of differences is complete.
    fn try_from(head: &message::Head) -> Result<Self, ConversionError> {
        let changed = head.changed.iter().cloned().map(ManifestEntry::try_from);
        let removed = head.removed.iter().map(|name| name.parse());
        Ok(Self {
            from: Version::new(head.parent),
            to: Version::new(head.version),
            changed: changed.collect::<Result<_, _>>()?,
            removed: removed.collect::<Result<_, _>>()?,
            digest: Digest::try_from(head.digest.as_slice())?,
            published: Timestamp::new(head.published_ms),
        })
    }
}

impl From<&ManifestEntry> for message::Entry {
    fn from(entry: &ManifestEntry) -> Self {
        Self {
            service: entry.piece.service.to_string(),
            publication: entry.piece.publication.to_string(),
            digest: entry.digest.as_bytes().to_vec(),
            owner: entry.owner.to_string(),
        }
    }
}

impl TryFrom<message::Entry> for ManifestEntry {
    type Error = ConversionError;

    fn try_from(entry: message::Entry) -> Result<Self, ConversionError> {
        Ok(Self {
            piece: PieceKey {
                publication: entry.publication.parse()?,
                service: entry.service.parse()?,
            },
            digest: Digest::try_from(entry.digest.as_slice())?,
            owner: entry.owner.parse()?,
        })
    }
}

impl From<&PieceKey> for message::Piece {
    fn from(piece: &PieceKey) -> Self {
        Self {
            publication: piece.publication.to_string(),
            service: piece.service.to_string(),
        }
    }
}

impl TryFrom<message::Piece> for PieceKey {
    type Error = ConversionError;

    fn try_from(piece: message::Piece) -> Result<Self, ConversionError> {
        Ok(Self {
            publication: piece.publication.parse()?,
            service: piece.service.parse()?,
        })
    }
}

/// Creates one update that holds the whole delta.
impl From<&Delta> for Update {
    fn from(delta: &Delta) -> Self {
        Self {
            from: delta.from.get(),
            to: delta.to.get(),
            changed: delta
                .changed
                .iter()
                .map(|service| service.as_ref().into())
                .collect(),
            removed: delta.removed.iter().map(ToString::to_string).collect(),
            digest: delta.digest.as_bytes().to_vec(),
            published_ms: delta.published.get(),
            last: true,
        }
    }
}

/// The update must hold the whole delta. When a delta is sent in several updates, the receiver
/// joins them first.
impl TryFrom<Update> for Delta {
    type Error = ConversionError;

    fn try_from(update: Update) -> Result<Self, ConversionError> {
        let services = update.changed.into_iter().map(Service::try_from);
        Ok(Self {
            from: Version::new(update.from),
            to: Version::new(update.to),
            changed: services
                .map(|service| service.map(Into::into))
                .collect::<Result<_, _>>()?,
            removed: update
                .removed
                .iter()
                .map(|name| name.parse())
                .collect::<Result<_, _>>()?,
            digest: Digest::try_from(update.digest.as_slice())?,
            published: Timestamp::new(update.published_ms),
        })
    }
}
