//! Deprecated names of keys and values, which are still accepted.

/// A key or value that the file has under its deprecated name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeprecatedName {
    /// The deprecated name in the file, with the path of its tables.
    pub deprecated: &'static str,
    /// The current name.
    pub current: &'static str,
}

/// The paths of renamed keys.
const RENAMED_KEYS: [DeprecatedName; 2] = [
    DeprecatedName {
        deprecated: "door",
        current: "admission",
    },
    DeprecatedName {
        deprecated: "peers.to",
        current: "peers.addresses",
    },
];
/// The paths at which a file may set what identifies a key of admission control.
const ADMISSION_KEY_PATHS: [&str; 2] = ["admission.by", "door.by"];
/// The deprecated value at these paths.
const DEPRECATED_ADMISSION_KEY: &str = "customer";
const RENAMED_ADMISSION_KEY: DeprecatedName = DeprecatedName {
    deprecated: "by = \"customer\"",
    current: "by = \"tenant\"",
};

/// Returns the deprecated names in the file.
pub(super) fn deprecated_names(file: &toml::Table) -> Vec<DeprecatedName> {
    let value = |path: &str| {
        let mut keys = path.split('.');
        let first = file.get(keys.next()?)?;
        keys.try_fold(first, |value, key| value.get(key))
    };
    let mut deprecated = RENAMED_KEYS.to_vec();
    deprecated.retain(|key| value(key.deprecated).is_some());
    let admission_key = ADMISSION_KEY_PATHS.into_iter().find_map(value);
    if admission_key.and_then(toml::Value::as_str) == Some(DEPRECATED_ADMISSION_KEY) {
        deprecated.push(RENAMED_ADMISSION_KEY);
    }
    deprecated
}

/// Returns the path in the file of the key whose current path is `current`.
pub(super) fn name_in_file(current: &'static str, deprecated: &[DeprecatedName]) -> &'static str {
    let renamed = deprecated.iter().find(|key| key.current == current);
    renamed.map_or(current, |key| key.deprecated)
}

/// Returns the current name of the key that has the name `name` and the path `path` in the file.
pub(super) fn current_name<'a>(path: &str, name: &'a str) -> &'a str {
    let renamed = RENAMED_KEYS
        .iter()
        .find(|renamed| renamed.deprecated == path);
    renamed.map_or(name, |renamed| {
        renamed.current.rsplit('.').next().unwrap_or(name)
    })
}
