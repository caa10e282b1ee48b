//! The platform's table: reads, writes and what follows from them.

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
    pub(super) fn membership_input(&mut self, input: MembershipInput) {
        for action in self.membership.handle(Now::read(), input) {
            self.membership_action(action);
        }
    }

    pub(super) fn table_read(&mut self, read: Result<Box<TableSnapshot>, TableError>) {
        self.count_read(&read);
        match read {
            Ok(snapshot) => self.membership_input(MembershipInput::Read(snapshot)),
            Err(error) => {
                log::warn!("table was not read: {error}");
                self.membership_input(MembershipInput::ReadFailed);
            }
        }
    }

    fn membership_action(&mut self, action: MembershipAction) {
        match action {
            MembershipAction::Read => self.read_table(),
            MembershipAction::Write(write) => self.write_table(write),
            MembershipAction::OwnershipBegan {
                shard,
                epoch,
                written_at,
                known,
            } => self.own(shard, epoch, Takeover::new(written_at, known)),
            MembershipAction::Acknowledged { shard, at, agents } => {
                self.owner_input(shard, OwnerInput::OwnershipAcknowledged(at, agents));
            }
            MembershipAction::Send(entry, message) => self.say(&entry, message),
            MembershipAction::OwnerReady(shard) => {
                self.front_input(FrontInput::OwnerReady(shard));
            }
            MembershipAction::OwnershipConfirmed { shard, at } => {
                self.owner_input(shard, OwnerInput::OwnershipConfirmed(at));
            }
            MembershipAction::OwnershipLost(shard) => self.depose(shard),
            MembershipAction::OwnerChanged(owner) => {
                self.front_input(FrontInput::OwnerChanged(owner));
            }
            MembershipAction::Confirm(endpoint, confirmation) => {
                self.send_agent(&endpoint, Message::Confirmation(confirmation));
            }
            MembershipAction::Members(members) => self.follow(members),
            MembershipAction::Configured(configuration) => self.configured(&configuration),
        }
    }

    fn read_table(&mut self) {
        let read = self.table.read();
        let tx = self.tx.clone();
        ntex::rt::spawn(async move {
            let event = Event::TableRead(read.await.map(Box::new));
            // The loop is gone only when the process ends.
            let _ = tx.send(event).await;
        });
    }

    fn write_table(&mut self, write: TableWrite) {
        let written = self.table.write(write.clone(), Uuid::new_v4().to_string());
        let tx = self.tx.clone();
        ntex::rt::spawn(async move {
            let result = written.await;
            // The loop is gone only when the process ends.
            let _ = tx.send(Event::TableWritten(write, result)).await;
        });
    }

    fn follow(&mut self, list: MemberList) {
        let is_changed = list.members != self.members.members;
        self.members = list;
        if is_changed {
            self.links.follow(&self.members.members);
            self.links.send_all(&Message::Members(self.members.clone()));
        }
    }
}
