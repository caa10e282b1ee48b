//! Reads and writes the table, and executes the actions of the membership machine.

use {
    crate::{EntryDaemon, event::Event},
    chestnutrun_decisions::{
        front::FrontInput,
        membership::{MembershipAction, MembershipInput},
        owner::{OwnerInput, Takeover},
    },
    chestnutrun_protocol::Message,
    chestnutrun_table::TableError,
    chestnutrun_types::{MemberList, Now, TableSnapshot, TableWrite},
    uuid::Uuid,
};

impl EntryDaemon {
    /// Passes an input to the membership machine and executes its actions.
    pub(super) fn membership_input(&mut self, input: MembershipInput) {
        for action in self.membership.handle(Now::read(), input) {
            self.execute_membership_action(action);
        }
    }

    pub(super) fn handle_table_read(&mut self, read: Result<Box<TableSnapshot>, TableError>) {
        self.count_read(&read);
        match read {
            Ok(snapshot) => self.membership_input(MembershipInput::Read(snapshot)),
            Err(error) => {
                log::warn!("could not read the table: {error}");
                self.membership_input(MembershipInput::ReadFailed);
            }
        }
    }

    fn execute_membership_action(&mut self, action: MembershipAction) {
        match action {
            MembershipAction::Read => self.read_table(),
            MembershipAction::Write(write) => self.write_table(write),
            MembershipAction::OwnershipBegan {
                shard,
                epoch,
                written_at,
                known,
            } => self.begin_ownership(shard, epoch, Takeover::new(written_at, known)),
            MembershipAction::Acknowledged { shard, at, agents } => {
                self.owner_input(shard, OwnerInput::OwnershipAcknowledged(at, agents));
            }
            MembershipAction::Send(entry, message) => self.send_membership_message(&entry, message),
            MembershipAction::OwnerReady(shard) => {
                self.front_input(FrontInput::OwnerReady(shard));
            }
            MembershipAction::OwnershipConfirmed { shard, at } => {
                self.owner_input(shard, OwnerInput::OwnershipConfirmed(at));
            }
            MembershipAction::OwnershipLost(shard) => self.end_ownership(shard),
            MembershipAction::OwnerChanged(owner) => {
                self.front_input(FrontInput::OwnerChanged(owner));
            }
            MembershipAction::Confirm(endpoint, confirmation) => {
                self.send_agent(&endpoint, Message::Confirmation(confirmation));
            }
            MembershipAction::Members(members) => self.update_members(members),
            MembershipAction::Configured(configuration) => self.apply_configuration(&configuration),
        }
    }

    fn read_table(&mut self) {
        let read = self.table.read();
        let tx = self.tx.clone();
        ntex::rt::spawn(async move {
            let event = Event::TableRead(read.await.map(Box::new));
            // Sending fails only if the loop has ended, and then the process ends.
            let _ = tx.send(event).await;
        });
    }

    fn write_table(&mut self, write: TableWrite) {
        let written = self.table.write(write.clone(), Uuid::new_v4().to_string());
        let tx = self.tx.clone();
        ntex::rt::spawn(async move {
            let result = written.await;
            // Sending fails only if the loop has ended, and then the process ends.
            let _ = tx.send(Event::TableWritten(write, result)).await;
        });
    }

    /// Sets the entries of the site; if they changed, updates the dialers and sends the
    /// new list to all peers.
    fn update_members(&mut self, list: MemberList) {
        let is_changed = list.members != self.members.members;
        self.members = list;
        if is_changed {
            self.links.update_members(&self.members.members);
            self.links.send_all(&Message::Members(self.members.clone()));
        }
    }
}
