//! Checks for unknown names in files. An unknown name is reported with the nearest known name.

use thiserror::Error;

/// The number of edits by which a short name may differ from the suggested name.
const SHORT_NAME_EDITS_MAX: usize = 2;
/// A longer name may differ by one edit for each this many of its characters.
const CHARACTERS_PER_EDIT: usize = 3;

/// A name that is not known. `Display` prints its hint.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{hint}")]
pub struct UnknownName {
    /// The name as it was written.
    pub name: String,
    /// What the name may have been meant to be.
    pub hint: NameHint,
}

/// What an unknown name may have been meant to be.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameHint {
    /// The nearest known name, if it is close enough to be a likely correction.
    #[error("unknown; did you mean '{0}'?")]
    Nearest(String),
    /// All known names, if none is close enough.
    #[error("unknown; expected one of {}", .0.join(", "))]
    Known(Vec<String>),
}

/// Returns the known name with the smallest Damerau-Levenshtein distance to `name`; `None` if no
/// known name is close enough to be a likely correction.
pub fn nearest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let distance = |other: &str| strsim::damerau_levenshtein(name, other);
    let nearest = known.into_iter().min_by_key(|other| distance(other))?;
    let edits_max = (name.chars().count() / CHARACTERS_PER_EDIT).max(SHORT_NAME_EDITS_MAX);
    (distance(nearest) <= edits_max).then_some(nearest)
}

/// Returns the names that are not in `known`, each with a hint.
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
