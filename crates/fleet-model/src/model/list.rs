//! The endpoint list that discovery maintains, with a version for each entry.

use nettlemux_policy::EndpointState;

/// The entry of one server.
struct Entry {
    state: EndpointState,
    /// The version of the list at which the entry last changed.
    version: u64,
    /// The number of faults that make discovery list the server as removed.
    hidden_by: usize,
}

/// The endpoint list, and the faults that affect its delivery.
pub(super) struct ServerList {
    entries: Vec<Entry>,
    version: u64,
    /// The number of faults that keep discovery from answering.
    pub(super) outages: usize,
    /// Seconds that faults add to the delivery delay.
    pub(super) extra_delay: f64,
}

impl ServerList {
    /// Creates a list of `servers` ready servers, at version 1.
    pub(super) fn new(servers: usize) -> Self {
        let entry = |_| Entry {
            state: EndpointState::Ready,
            version: 1,
            hidden_by: 0,
        };
        ServerList {
            entries: (0..servers).map(entry).collect(),
            version: 1,
            outages: 0,
            extra_delay: 0.0,
        }
    }

    /// Returns the current version of the list.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Adds an entry for a new server, which is not listed yet.
    pub(super) fn add(&mut self) {
        self.entries.push(Entry {
            state: EndpointState::Removed,
            version: 0,
            hidden_by: 0,
        });
    }

    /// Sets a server's state. Returns whether the state has changed.
    pub(super) fn set_state(&mut self, server: usize, state: EndpointState) -> bool {
        let before = std::mem::replace(&mut self.entries[server].state, state);
        before != state
    }

    /// Adds a fault that hides a server.
    pub(super) fn hide(&mut self, server: usize) {
        self.entries[server].hidden_by += 1;
    }

    /// Removes a fault that hides a server.
    pub(super) fn unhide(&mut self, server: usize) {
        self.entries[server].hidden_by -= 1;
    }

    /// Increments the version of the list and assigns it to a server's entry.
    pub(super) fn bump_version(&mut self, server: usize) {
        self.version += 1;
        self.entries[server].version = self.version;
    }

    /// Increments the version of the list and assigns it to all entries.
    pub(super) fn bump_all_versions(&mut self) {
        self.version += 1;
        for entry in &mut self.entries {
            entry.version = self.version;
        }
    }

    /// Returns the state that discovery lists for a server.
    pub(super) fn visible_state(&self, server: usize) -> EndpointState {
        let entry = &self.entries[server];
        if entry.hidden_by > 0 {
            EndpointState::Removed
        } else {
            entry.state
        }
    }

    /// Returns the servers whose entries changed after version `after`, up to and including `up_to`.
    pub(super) fn changed_between(
        &self,
        after: u64,
        up_to: u64,
    ) -> impl Iterator<Item = usize> + '_ {
        let versions = self.entries.iter().map(|entry| entry.version).enumerate();
        versions
            .filter(move |(_, version)| (after + 1..=up_to).contains(version))
            .map(|(server, _)| server)
    }
}
