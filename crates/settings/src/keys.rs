//! Names of keys, whatever the file: unknown ones are told with the nearest known one. It owns nothing.

/// The known name that is nearest to this one, where one is near enough to be meant.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let far = |other: &str| strsim::damerau_levenshtein(name, other);
    let near = known.into_iter().min_by_key(|other| far(other))?;
    // A slip or two, or a third of a long name.
    (far(near) <= (name.chars().count() / 3).max(2)).then_some(near)
}

/// Each name that isn't known, and what it may have been meant to be.
pub fn unknown<'a>(
    names: impl IntoIterator<Item = &'a str>,
    known: &[&str],
) -> impl Iterator<Item = (String, String)> {
    names
        .into_iter()
        .filter(|name| !known.contains(name))
        .map(|name| {
            let why = match nearest(name, known.iter().copied()) {
                Some(near) => format!("unknown; is '{near}' meant?"),
                None => format!("unknown; there are {}", known.join(", ")),
            };
            (name.to_string(), why)
        })
}

/// Passes if each name is known; else says which one isn't.
pub fn known<'a>(
    names: impl IntoIterator<Item = &'a str>,
    known: &[&str],
) -> Result<(), (String, String)> {
    unknown(names, known).next().map_or(Ok(()), Err)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_nearest_name_is_told() {
        let names = ["limits", "listen", "settings"];
        assert_eq!(known(["limits", "listen"], &names), Ok(()));
        for (slip, near) in [
            ("limts", "limits"),
            ("lsiten", "listen"),
            ("setings", "settings"),
        ] {
            assert_eq!(
                known([slip], &names),
                Err((slip.into(), format!("unknown; is '{near}' meant?")))
            );
        }
        assert_eq!(
            known(["frobnicate"], &names).unwrap_err().1,
            "unknown; there are limits, listen, settings"
        );
    }
}
