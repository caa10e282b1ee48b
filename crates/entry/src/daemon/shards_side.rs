//! Handles owned shards: requests from entries, orders to agents and replies.

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
    /// Passes a request to the machine of its shard; drops it if this entry does not
    /// own the shard.
    pub(super) fn owner_request(&mut self, from: EntryId, request: Request) {
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
            self.record_decision(shard, &job, &actions);
        }
        self.execute_owner_actions(actions);
    }

    /// Passes an input to the machine of one shard and executes its actions.
    pub(super) fn owner_input(&mut self, shard: ShardId, input: OwnerInput) {
        let actions = self.shards.handle(Now::read(), shard, input);
        self.execute_owner_actions(actions);
    }

    pub(super) fn execute_owner_actions(&mut self, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Order(endpoint, order) => self.send_order(&endpoint, order),
                OwnerAction::Reply(entry, reply) => self.send_reply(&entry, reply),
            }
        }
    }

    pub(super) fn begin_ownership(&mut self, shard: ShardId, epoch: Epoch, takeover: Takeover) {
        let detail = format!("shard {shard} epoch {epoch}");
        log::info!("began to own {detail}");
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
        let actions = self
            .shards
            .begin_ownership(now, conf, takeover, &agents, configuration);
        self.execute_owner_actions(actions);
    }

    pub(super) fn end_ownership(&mut self, shard: ShardId) {
        log::info!("lost the ownership of shard {shard}");
        self.metrics.set_ownership(shard, 0);
        self.timeline.add_process_event(
            SystemTime::now(),
            EventKind::Deposed,
            format!("shard {shard}"),
        );
        self.shards.end_ownership(shard);
    }

    fn send_order(&mut self, endpoint: &EndpointId, order: AgentOrder) {
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

    fn send_reply(&mut self, entry: &EntryId, reply: JobReply) {
        if *entry == self.me.entry {
            self.record_reply(&reply);
            self.front_input(FrontInput::Reply(reply));
        } else {
            self.reply_to_entry(entry, Message::Reply(reply));
        }
    }
}
