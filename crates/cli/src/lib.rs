//! The command-line tool dandelionseam.
