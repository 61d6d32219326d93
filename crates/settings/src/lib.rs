//! INI reading with line numbers into the structs of the `schema` crate.
//!
//! A [`Document`] keeps the place of every section and key. [`Document::fill`] sets the fields of a
//! generated struct through its key table. Every fault is collected as a [`types::Finding`], so an
//! operator sees all of them at once.
//!
//! - [`Document`], [`Named`]: any INI file.
//! - [`Settings`]: the settings file of the node daemon.
//! - [`nearest`]: the suggestion for an unknown name.
//!
//! ```
//! use settings::Document;
//! use types::Findings;
//!
//! let text = "[placement]\nreach = region\nsubsett = 4\n";
//! let (document, mut findings) = Document::read("renewals.ini", text);
//! let placement = document.fill(&schema::operator::Placement::SECTION, &mut findings);
//!
//! assert_eq!(placement.reach, "region");
//! assert_eq!(
//!     findings.to_string(),
//!     "renewals.ini:3: placement.subsett: unknown key (did you mean `subset`?)"
//! );
//! # let _: Findings = findings;
//! ```

mod document;
mod named;
mod nearest;
mod reader;
mod section;
mod settings;

pub use document::Document;
pub use named::Named;
pub use nearest::nearest;
pub use section::{Entry, Section};
pub use settings::Settings;
