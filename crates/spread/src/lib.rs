//! Tasks that carry versions and membership between the store and the nodes.
