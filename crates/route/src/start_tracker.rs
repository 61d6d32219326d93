use std::time::Duration;

use tokio::time::Instant;
use types::Timestamp;

use crate::Stage;

/// Time without announcements of the current start, or since a departure was restored, after which an
/// older start is accepted again. The clock of the later one may have been ahead when it started.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the start of a process of the node within which announcements that were sent before may
/// still arrive.
const LATE_ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time by which the start of an upstream may lie ahead of the node's clock. The clocks of
/// an upstream and its node may differ by seconds; a later start is invalid and would outrank every
/// true one.
const MAX_CLOCK_LEAD: Duration = Duration::from_mins(1);

/// Maximum length of the identity of an upstream process, in bytes.
const MAX_INSTANCE_BYTES: usize = 128;

/// Maximum number of departed starts that are kept, so that a delayed announcement of one of them
/// doesn't make it current again.
const MAX_DEPARTED: usize = 16;

/// Part of an announcement that identifies the start of the upstream and orders its announcements.
///
/// A start is one run of an upstream process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementHeader {
    /// Identity of the upstream process.
    pub instance: String,
    /// Time of the start, by the upstream's clock. An upstream may restart under the same identity.
    pub started: Timestamp,
    /// Sequence number; increases with each announcement of one start.
    pub sequence: u64,
    /// Lifecycle stage that the upstream announces.
    pub stage: Stage,
}

impl AnnouncementHeader {
    /// Returns the reason why no running upstream can have sent this header; `None` if one can.
    /// `clock` is the node's time of day.
    #[must_use]
    pub fn find_fault(&self, clock: Timestamp) -> Option<&'static str> {
        if !(1..=MAX_INSTANCE_BYTES).contains(&self.instance.len()) {
            return Some("identity is empty or too long");
        }
        is_ahead(self.started, clock).then_some("start lies in the future")
    }
}

/// Whether a start lies too far ahead of the node's clock to be true.
#[must_use]
pub fn is_ahead(started: Timestamp, clock: Timestamp) -> bool {
    u128::from(started.since(clock)) > MAX_CLOCK_LEAD.as_millis()
}

/// Result of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// The announcement is from the current start.
    Current(Stage),
    /// The announcement is from a start that is current from now on.
    New(Stage),
    /// The start may have departed at an earlier process of the node, which is no longer known. It gets
    /// no calls before [`StartTracker::confirm`].
    Unconfirmed,
    /// The announcement has no effect, for this reason.
    Ignored(&'static str),
}

/// Tracks which start of an upstream is current, that is, which one a node sends calls to.
///
/// Announcements can arrive late and out of order, and an address is used by one start after
/// another. A start that drains or has departed never gets calls again.
#[derive(Debug, Default)]
pub struct StartTracker {
    current: Option<Current>,
    departed: Vec<(String, Timestamp)>,
    /// Start of the last departure before this process of the node, and when it was restored.
    restored_departure: Option<(Timestamp, Instant)>,
    predecessor: Option<Predecessor>,
}

/// Earlier process of the node, whose record of departures may be lost.
#[derive(Debug)]
struct Predecessor {
    /// Time of day at which it had ended.
    ended_by: Timestamp,
    /// Time after which no announcements from its time arrive any more.
    forgotten_at: Instant,
}

#[derive(Debug)]
struct Current {
    instance: String,
    started: Timestamp,
    sequence: u64,
    draining: bool,
    /// Whether it is known not to have departed at an earlier process of the node.
    confirmed: bool,
    last_announcement: Instant,
}

impl StartTracker {
    /// Creates the tracker of a process that begins at `now` and may follow an earlier one of the same
    /// node. That one may have recorded departures which did not outlive it, so the starts from its time
    /// get no calls before they are confirmed. `clock` is the node's time of day.
    #[must_use]
    pub fn with_predecessor(clock: Timestamp, now: Instant) -> Self {
        Self {
            predecessor: Some(Predecessor {
                ended_by: clock,
                forgotten_at: now + LATE_ANNOUNCEMENT_TIMEOUT,
            }),
            ..Self::default()
        }
    }

    /// Evaluates an announcement that arrived at `now`.
    pub fn record_announcement(
        &mut self,
        header: &AnnouncementHeader,
        now: Instant,
    ) -> AnnouncementOutcome {
        if self.has_departed(&header.instance, header.started) {
            return AnnouncementOutcome::Ignored("upstream has departed");
        }
        let is_before_departure = self.is_before_restored_departure(header.started, now);
        let confirmed = self.is_confirmed_start(header.started, now);
        match &mut self.current {
            Some(current)
                if current.instance == header.instance && current.started == header.started =>
            {
                // A sequence number that is too large, from another sender, must not exclude the
                // upstream for good.
                let is_silent =
                    now.saturating_duration_since(current.last_announcement) >= SILENCE_TIMEOUT;
                if header.sequence <= current.sequence && !is_silent {
                    return AnnouncementOutcome::Ignored("announcement is out of order");
                }
                current.sequence = header.sequence;
                current.last_announcement = now;
                current.draining |= header.stage == Stage::Draining;
                current.confirmed |= confirmed;
                if current.draining {
                    AnnouncementOutcome::Current(Stage::Draining)
                } else if current.confirmed {
                    AnnouncementOutcome::Current(header.stage)
                } else {
                    AnnouncementOutcome::Unconfirmed
                }
            }
            Some(current)
                if header.started < current.started
                    && now.saturating_duration_since(current.last_announcement)
                        < SILENCE_TIMEOUT =>
            {
                AnnouncementOutcome::Ignored("a later start is known")
            }
            _ if is_before_departure => AnnouncementOutcome::Ignored("a later start has departed"),
            _ => {
                let draining = header.stage == Stage::Draining;
                self.current = Some(Current {
                    instance: header.instance.clone(),
                    started: header.started,
                    sequence: header.sequence,
                    draining,
                    confirmed,
                    last_announcement: now,
                });
                if confirmed || draining {
                    AnnouncementOutcome::New(header.stage)
                } else {
                    AnnouncementOutcome::Unconfirmed
                }
            }
        }
    }

    /// Records that the upstream itself has told that a start takes calls. Returns whether the start is
    /// the current one and may get calls.
    pub fn confirm(&mut self, instance: &str, started: Timestamp) -> bool {
        let is_current = self.is_current(instance, started);
        if let Some(current) = self.current.as_mut().filter(|_| is_current) {
            current.confirmed = true;
        }
        is_current
    }

    /// Whether the current start may get calls.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.confirmed)
    }

    /// Restores the start that an earlier process of the node knew as current, with any next
    /// sequence number. It may have departed since, so it needs to be confirmed, however late that is.
    pub fn restore(&mut self, instance: &str, started: Timestamp, now: Instant) {
        let confirmed = self.predecessor.is_none();
        if self.current.is_none() && !self.has_departed(instance, started) {
            self.current = Some(Current {
                instance: instance.to_owned(),
                started,
                sequence: 0,
                draining: false,
                confirmed,
                last_announcement: now,
            });
        }
    }

    /// Restores the last departure that an earlier process of the node recorded. That process may have
    /// known departures of earlier starts, so late announcements of these are ignored for some seconds.
    pub fn restore_departure(&mut self, instance: &str, started: Timestamp, now: Instant) {
        self.record_departure(instance, Some(started), started);
        self.restored_departure = Some((started, now));
    }

    /// Whether this start is the current one and does not drain.
    #[must_use]
    pub fn is_current(&self, instance: &str, started: Timestamp) -> bool {
        self.current.as_ref().is_some_and(|current| {
            current.instance == instance && current.started == started && !current.draining
        })
    }

    /// Whether a later start than this one is known, so that its departure need not be recorded.
    #[must_use]
    pub fn is_superseded(&self, started: Timestamp) -> bool {
        let current = self.current.as_ref().map(|current| current.started);
        let departed = self.departed.iter().map(|(_, at)| *at);
        departed.chain(current).any(|known| known > started)
    }

    /// Records that a start has departed; the upstream may omit `started`. Returns the start time
    /// if it was the current start.
    ///
    /// An unknown start is assumed to have started before `now`, by the clock of the instance that
    /// the upstream shares with the node.
    pub fn record_departure(
        &mut self,
        instance: &str,
        started: Option<Timestamp>,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let current = self
            .current
            .take_if(|current| {
                current.instance == instance && started.is_none_or(|at| at >= current.started)
            })
            .map(|current| current.started);
        let started_at = started.max(current).unwrap_or(now);
        self.remove_oldest();
        self.departed.push((instance.to_owned(), started_at));
        current
    }

    /// Whether no earlier process of the node can have recorded the departure of a start, or no message
    /// from before it arrives any more.
    fn is_confirmed_start(&self, started: Timestamp, now: Instant) -> bool {
        self.predecessor.as_ref().is_none_or(|predecessor| {
            started >= predecessor.ended_by || now >= predecessor.forgotten_at
        })
    }

    fn is_before_restored_departure(&self, started: Timestamp, now: Instant) -> bool {
        self.restored_departure
            .is_some_and(|(departed, restored_at)| {
                started < departed && now.saturating_duration_since(restored_at) < SILENCE_TIMEOUT
            })
    }

    fn has_departed(&self, instance: &str, started: Timestamp) -> bool {
        let mut departed = self.departed.iter();
        departed.any(|(known, at)| known == instance && started <= *at)
    }

    fn remove_oldest(&mut self) {
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.remove(0);
        }
    }
}
