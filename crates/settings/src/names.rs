//! Checks of names in any file: an unknown one is reported with the nearest known one.

use thiserror::Error;

/// Edits by which a short name may differ from the one that is meant.
const EDITS_MAX: usize = 2;
/// The part of a long name's characters that may differ, as a divisor of its length.
const EDITED_PART: usize = 3;

/// A name that nothing reads. It displays as its hint.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{hint}")]
pub struct UnknownName {
    /// The name as it was written.
    pub name: String,
    /// What may be meant by it.
    pub hint: NameHint,
}

/// What may be meant by an unknown name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameHint {
    /// The known name that is near enough to be meant.
    #[error("unknown; is '{0}' meant?")]
    Nearest(String),
    /// All known names, where none is near enough.
    #[error("unknown; there are {}", .0.join(", "))]
    Known(Vec<String>),
}

/// Returns the known name that is nearest to `name` by its Damerau-Levenshtein distance, `None`
/// where none is near enough to be meant.
pub fn nearest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let distance = |other: &str| strsim::damerau_levenshtein(name, other);
    let nearest = known.into_iter().min_by_key(|other| distance(other))?;
    let distance_max = (name.chars().count() / EDITED_PART).max(EDITS_MAX);
    (distance(nearest) <= distance_max).then_some(nearest)
}

/// Returns each of the names that isn't known, with what may be meant by it.
pub fn unknown_names<'a>(
    names: impl IntoIterator<Item = &'a str>,
    known: &[&str],
) -> impl Iterator<Item = UnknownName> {
    let unknown = names.into_iter().filter(|name| !known.contains(name));
    unknown.map(|name| UnknownName {
        name: name.to_string(),
        hint: match nearest_name(name, known.iter().copied()) {
            Some(nearest) => NameHint::Nearest(nearest.to_string()),
            None => NameHint::Known(known.iter().map(|name| name.to_string()).collect()),
        },
    })
}
