//! Membership table, record merge, tree position and parent choice.
