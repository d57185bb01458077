//! Settings that a running balancer reloads.

use serde_json::Value;

use super::keys;
use super::values::Settings;
use crate::error::{SettingsError, SettingsProblem};

impl Settings {
    /// Returns these settings for a balancer that has run with the settings `previous`. Traffic
    /// classes and tenants keep their numbers, because open flows refer to them by number. Removed
    /// classes and tenants stay in the lists for their remaining flows. New entries are appended.
    ///
    /// # Errors
    /// If a traffic class or a tenant has no name, or two have the same name.
    pub fn merged_with_previous(&self, previous: &Settings) -> Result<Settings, SettingsError> {
        let mut merged = self.clone();
        for list in [keys::TRAFFIC_CLASSES, keys::TENANTS] {
            let entries = merge(list, previous.list(list), self.list(list))?;
            merged.set(list, Value::Array(entries));
        }
        Ok(merged)
    }
}

/// Returns the previous entries, each replaced by the new entry of the same name if there is one,
/// followed by the other new entries.
fn merge(list: &str, previous: &[Value], new: &[Value]) -> Result<Vec<Value>, SettingsError> {
    let mut merged = previous.to_vec();
    let mut new_names = Vec::new();
    for entry in new {
        let entry_name = name(entry).filter(|name| !new_names.contains(name));
        let entry_name = entry_name
            .ok_or_else(|| SettingsError::new(list, SettingsProblem::MissingOrDuplicateName))?;
        match merged
            .iter_mut()
            .find(|known| name(known) == Some(entry_name))
        {
            Some(known) => *known = entry.clone(),
            None => merged.push(entry.clone()),
        }
        new_names.push(entry_name);
    }
    Ok(merged)
}

fn name(entry: &Value) -> Option<&str> {
    entry.get(keys::NAME)?.as_str()
}
