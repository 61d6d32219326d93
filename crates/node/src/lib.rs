//! The node daemon dandelionseamd.
