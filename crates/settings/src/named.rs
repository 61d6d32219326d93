/// A section with a name, such as `[route renew]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Named<S> {
    /// Second word of the header.
    pub name: String,
    /// Line of the header, counted from 1.
    pub line: u32,
    /// Keys of the section.
    pub value: S,
}
