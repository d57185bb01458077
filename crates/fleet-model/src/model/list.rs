//! The list of servers that discovery keeps, with the version of each entry.

use nettlemux_policy::EndpointState;

/// One server's entry.
struct Entry {
    state: EndpointState,
    /// The version of the list that the entry changed with.
    version: u64,
    /// How many faults make discovery list the server as gone.
    hidden_by: usize,
}

/// The list and the faults of its delivery.
pub(super) struct ServerList {
    entries: Vec<Entry>,
    version: u64,
    /// How many faults keep discovery from answering.
    pub(super) outages: usize,
    /// Seconds that faults add to the delay of a delivery.
    pub(super) extra_delay: f64,
}

impl ServerList {
    /// A list of so many ready servers, at version 1.
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

    /// The current version.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Adds a server that has not been listed yet.
    pub(super) fn add(&mut self) {
        self.entries.push(Entry {
            state: EndpointState::Removed,
            version: 0,
            hidden_by: 0,
        });
    }

    /// Sets a server's state. Returns whether it was another one.
    pub(super) fn set_state(&mut self, server: usize, state: EndpointState) -> bool {
        let before = std::mem::replace(&mut self.entries[server].state, state);
        before != state
    }

    /// Hides a server once more.
    pub(super) fn hide(&mut self, server: usize) {
        self.entries[server].hidden_by += 1;
    }

    /// Takes back one hiding of a server.
    pub(super) fn unhide(&mut self, server: usize) {
        self.entries[server].hidden_by -= 1;
    }

    /// Gives a server's entry a new version.
    pub(super) fn touch(&mut self, server: usize) {
        self.version += 1;
        self.entries[server].version = self.version;
    }

    /// Gives all entries one new version.
    pub(super) fn touch_all(&mut self) {
        self.version += 1;
        for entry in &mut self.entries {
            entry.version = self.version;
        }
    }

    /// The state that discovery tells of a server.
    pub(super) fn visible_state(&self, server: usize) -> EndpointState {
        let entry = &self.entries[server];
        if entry.hidden_by > 0 {
            EndpointState::Removed
        } else {
            entry.state
        }
    }

    /// The servers whose entries changed after one version and up to another.
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
