//! The call path.

mod accounts;
mod announcement;
mod answer;
mod body;
mod failure;
mod request;

pub use accounts::{Account, Accounts, Counters, Entry};
pub use announcement::{Announcement, State};
pub use answer::Answer;
pub use body::Body;
pub use failure::{Cut, Failure};
pub use request::{Request, Upload};
