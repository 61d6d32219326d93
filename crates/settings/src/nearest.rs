/// Lowest similarity at which a name is suggested; below it, suggestions are rarely what was meant.
const SIMILARITY: f64 = 0.6;

/// Valid name that is most similar to `word`; `None` when none is similar.
#[must_use]
pub fn nearest<'a, I>(word: &str, valid: I) -> Option<String>
where
    I: IntoIterator<Item = &'a str>,
{
    valid
        .into_iter()
        .map(|name| {
            (
                strsim::normalized_damerau_levenshtein(&word.to_lowercase(), &name.to_lowercase()),
                name,
            )
        })
        .filter(|(similarity, _)| *similarity >= SIMILARITY)
        .max_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_, name)| name.to_owned())
}
