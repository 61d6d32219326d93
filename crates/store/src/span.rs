/// Keys of a read, delete or watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Span {
    /// One key.
    Key(String),
    /// All keys that start with a text.
    Prefix(String),
}

impl Span {
    /// First key of the span.
    pub(crate) fn start(&self) -> Vec<u8> {
        match self {
            Self::Key(text) | Self::Prefix(text) => text.clone().into_bytes(),
        }
    }

    /// End of the span in the form of the protocol: empty for a single key, else the first key behind
    /// the span.
    pub(crate) fn end(&self) -> Vec<u8> {
        match self {
            Self::Key(_) => Vec::new(),
            Self::Prefix(prefix) => end_of_prefix(prefix),
        }
    }
}

/// Key texts are UTF-8, so their bytes never reach 255 and the last byte can be raised. An empty
/// prefix names all keys, for which the protocol has a single zero byte.
fn end_of_prefix(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    match end.last_mut() {
        Some(last) => *last += 1,
        None => end.push(0),
    }
    end
}
