//! Commands that are sent directly to agents instead of in the response to a heartbeat.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::wire::Command;

/// Commands that are queued to be sent, by machine.
#[derive(Debug, Default)]
pub(super) struct DirectCommands {
    by_machine: BTreeMap<Arc<str>, Vec<Command>>,
}

impl DirectCommands {
    pub(super) fn push(&mut self, machine: Arc<str>, command: Command) {
        self.by_machine.entry(machine).or_default().push(command);
    }

    pub(super) fn extend(&mut self, machine: Arc<str>, commands: Vec<Command>) {
        if !commands.is_empty() {
            self.by_machine.entry(machine).or_default().extend(commands);
        }
    }

    /// Removes and returns the commands of one machine.
    pub(super) fn take(&mut self, machine: &str) -> Vec<Command> {
        self.by_machine.remove(machine).unwrap_or_default()
    }

    /// Removes and returns the commands of all machines.
    pub(super) fn take_all(&mut self) -> BTreeMap<Arc<str>, Vec<Command>> {
        std::mem::take(&mut self.by_machine)
    }
}
