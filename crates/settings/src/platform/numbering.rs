//! The numbers by which flows and connections refer to traffic classes and tenants. An entry keeps
//! its number when settings are reloaded, wherever it stands in its list then.

use super::keys;
use super::values::Settings;
use crate::error::{SettingsError, SettingsProblem};

/// The numbers of a list's entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct EntryNumbers {
    /// The numbers in the order of the entries.
    numbers: Vec<usize>,
    /// The number of the next entry whose name is not known. Numbers are not used again: a
    /// connection of a removed entry may still be open.
    next: usize,
}

impl EntryNumbers {
    /// Returns the numbers of the first settings of a balancer: the positions of the entries.
    pub(super) fn by_position(entries: usize) -> Self {
        EntryNumbers {
            numbers: (0..entries).collect(),
            next: entries,
        }
    }

    /// Returns the numbers in the order of the entries.
    pub(super) fn iter(&self) -> impl Iterator<Item = usize> {
        self.numbers.iter().copied()
    }

    /// Returns the numbers of a list that replaces the list with these numbers. An entry whose name
    /// was in the previous list keeps its number.
    fn after_reload(&self, previous_names: &[String], names: &[String]) -> Self {
        let mut next = self.next;
        let mut number = |name: &String| {
            let position = previous_names.iter().position(|previous| previous == name);
            position.map_or_else(
                || {
                    next += 1;
                    next - 1
                },
                |position| self.numbers[position],
            )
        };
        let numbers = names.iter().map(&mut number).collect();
        EntryNumbers { numbers, next }
    }
}

impl Settings {
    /// Returns these settings for a balancer that has run with the settings `previous`: traffic
    /// classes and tenants that both name keep their numbers. Names that only `previous` has are
    /// forgotten; their flows bring along all that decisions about them need.
    ///
    /// # Errors
    /// If a traffic class or a tenant has no name, or two have the same name.
    pub fn numbered_after(&self, previous: &Settings) -> Result<Settings, SettingsError> {
        let mut settings = self.clone();
        settings.class_numbers = previous.class_numbers.after_reload(
            &previous.names(keys::TRAFFIC_CLASSES),
            &self.unique_names(keys::TRAFFIC_CLASSES)?,
        );
        settings.tenant_numbers = previous.tenant_numbers.after_reload(
            &previous.names(keys::TENANTS),
            &self.unique_names(keys::TENANTS)?,
        );
        Ok(settings)
    }

    /// Returns the names in a list whose entries are objects with a name.
    fn unique_names(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        let mut names: Vec<String> = Vec::new();
        for entry in self.list(list) {
            let name = entry.get(keys::NAME).and_then(|name| name.as_str());
            let name = name.filter(|name| names.iter().all(|known| known != name));
            let missing = || SettingsError::new(list, SettingsProblem::MissingOrDuplicateName);
            names.push(name.ok_or_else(missing)?.to_string());
        }
        Ok(names)
    }
}
