//! Names of an earlier version, which are still read.

/// A key or value that the file has under the name of an earlier version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeprecatedName {
    /// What the file has, with its tables before it.
    pub old: &'static str,
    /// What it is called now.
    pub new: &'static str,
}

/// Keys that have been renamed, by their paths.
const RENAMED_KEYS: [DeprecatedName; 2] = [
    DeprecatedName {
        old: "door",
        new: "admission",
    },
    DeprecatedName {
        old: "peers.to",
        new: "peers.addresses",
    },
];
/// The paths under which a file may have the key of admission control.
const ADMISSION_KEY_PATHS: [&str; 2] = ["admission.by", "door.by"];
/// The key of admission control that has been renamed.
const RENAMED_ADMISSION_KEY: &str = "customer";
const RENAMED_BY: DeprecatedName = DeprecatedName {
    old: "by = \"customer\"",
    new: "by = \"tenant\"",
};

/// Returns what the file has under the names of an earlier version.
pub(super) fn deprecated_names(file: &toml::Table) -> Vec<DeprecatedName> {
    let value = |path: &str| {
        let mut keys = path.split('.');
        let first = file.get(keys.next()?)?;
        keys.try_fold(first, |value, key| value.get(key))
    };
    let mut deprecated = RENAMED_KEYS.to_vec();
    deprecated.retain(|key| value(key.old).is_some());
    let admission_key = ADMISSION_KEY_PATHS.into_iter().find_map(value);
    if admission_key.and_then(toml::Value::as_str) == Some(RENAMED_ADMISSION_KEY) {
        deprecated.push(RENAMED_BY);
    }
    deprecated
}

/// Returns what the file calls the key whose current path is `current`.
pub(super) fn name_in_file(current: &'static str, deprecated: &[DeprecatedName]) -> &'static str {
    let renamed = deprecated.iter().find(|key| key.new == current);
    renamed.map_or(current, |key| key.old)
}

/// Returns the current name of the file's key `name`, whose path is `path`.
pub(super) fn current_name<'a>(path: &str, name: &'a str) -> &'a str {
    let renamed = RENAMED_KEYS.iter().find(|renamed| renamed.old == path);
    renamed.map_or(name, |renamed| {
        renamed.new.rsplit('.').next().unwrap_or(name)
    })
}
