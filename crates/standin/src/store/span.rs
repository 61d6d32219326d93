/// Keys named by a request: one key, or those from a start up to an end.
#[derive(Clone, Debug)]
pub(crate) struct Span {
    start: Vec<u8>,
    end: Vec<u8>,
}

impl Span {
    /// Creates a span. An empty end names the single key `start`; an end of one zero byte names all
    /// keys from `start` on.
    pub(crate) fn new(start: &[u8], end: &[u8]) -> Self {
        Self {
            start: start.to_vec(),
            end: end.to_vec(),
        }
    }

    /// First key.
    pub(crate) fn start(&self) -> &[u8] {
        &self.start
    }

    /// Whether a key is named.
    pub(crate) fn holds(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.start,
            [0] => key >= self.start.as_slice(),
            end => key >= self.start.as_slice() && key < end,
        }
    }
}
