//! Client of the key-value store through the etcd v3 HTTP/JSON gateway.
