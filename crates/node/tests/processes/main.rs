//! End-to-end tests with real processes on free loopback ports.
//!
//! The stand-ins and the tool are taken from the build folder of the workspace.

mod harness;
mod path;
