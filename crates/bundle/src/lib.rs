//! Operator files to one validated bundle; deltas, digests and publish merge.
