//! Owned shards: requests in, starts and replies out.

use {
    crate::EntryDaemon,
    chestnutrun_decisions::{
        front::{FrontInput, Request},
        owner::{self, AgentOrder, OwnerAction, OwnerConf, OwnerInput, Takeover},
    },
    chestnutrun_observe::EventKind,
    chestnutrun_protocol::Message,
    chestnutrun_types::{EndpointId, EntryId, Epoch, JobReply, Now, ShardId},
    std::time::SystemTime,
};

impl EntryDaemon {
    /// Takes a request for a shard that this entry may own.
    pub(super) fn take_request(&mut self, from: EntryId, request: Request) {
        let shards = self.conf.shards;
        let submitted = match &request {
            Request::Submit(submit) => Some(submit.job.clone()),
            _ => None,
        };
        let request = match request {
            Request::Submit(submit) => owner::Request::Submit(submit),
            Request::Query(job) | Request::Status(job) => owner::Request::Query(job),
            Request::Cancel(job) => owner::Request::Cancel(job),
        };
        let shard = request.job().shard(shards);
        let input = OwnerInput::Request(from, request);
        let actions = self.shards.handle(Now::read(), shard, input);
        if let Some(job) = submitted {
            self.note_decision(shard, &job, &actions);
        }
        self.owner_actions(actions);
    }

    pub(super) fn owner_input(&mut self, shard: ShardId, input: OwnerInput) {
        let actions = self.shards.handle(Now::read(), shard, input);
        self.owner_actions(actions);
    }

    pub(super) fn owner_actions(&mut self, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Order(endpoint, order) => self.order(&endpoint, order),
                OwnerAction::Reply(entry, reply) => self.reply_to(&entry, reply),
            }
        }
    }

    pub(super) fn own(&mut self, shard: ShardId, epoch: Epoch, takeover: Takeover) {
        let detail = format!("shard {shard} epoch {epoch}");
        log::info!("owns {detail}");
        self.metrics.set_ownership(shard, epoch);
        self.timeline
            .add_process_event(SystemTime::now(), EventKind::Owned, detail);
        let configuration = self.configuration.clone().unwrap_or_default();
        let agents = self.links.known_agents();
        let conf = OwnerConf {
            shard,
            epoch,
            me: self.me.entry.clone(),
        };
        let now = Now::read();
        let actions = self.shards.own(now, conf, takeover, &agents, configuration);
        self.owner_actions(actions);
    }

    pub(super) fn depose(&mut self, shard: ShardId) {
        log::info!("no longer owns shard {shard}");
        self.metrics.set_ownership(shard, 0);
        self.timeline.add_process_event(
            SystemTime::now(),
            EventKind::Deposed,
            format!("shard {shard}"),
        );
        self.shards.depose(shard);
    }

    fn order(&mut self, endpoint: &EndpointId, order: AgentOrder) {
        let message = match order {
            AgentOrder::Fence(fence) => Message::Fence(fence),
            AgentOrder::Lookup(lookup) => Message::Lookup(lookup),
            AgentOrder::Start(start) => {
                self.timeline.add_task_event(
                    SystemTime::now(),
                    EventKind::StartSent,
                    &start.task,
                    endpoint,
                    "",
                );
                Message::Start(start)
            }
        };
        self.send_agent(endpoint, message);
    }

    fn reply_to(&mut self, entry: &EntryId, reply: JobReply) {
        if *entry == self.me.entry {
            self.note_reply(&reply);
            self.front_input(FrontInput::Reply(reply));
        } else {
            self.answer_entry(entry, Message::Reply(reply));
        }
    }
}
