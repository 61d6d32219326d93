//! The call path.

mod accounts;
mod announcement;
mod answer;
mod body;
mod caller;
mod exchange;
mod failure;
mod gate;
mod held;
mod in_flight;
mod job;
mod ledger;
mod local;
mod mesh;
mod message;
mod once;
mod pool;
mod reply;
mod request;
mod run;
mod serve;
mod target;
mod upstream;

pub use accounts::{Account, Accounts, Counters, Entry};
pub use announcement::Announcement;
pub use answer::Answer;
pub use body::Body;
pub use caller::Caller;
pub use failure::{Cut, Failure};
pub use mesh::Mesh;
pub use request::{Request, Upload};
pub use target::Target;
