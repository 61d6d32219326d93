//! Small store and upstream for the demo and tests.
