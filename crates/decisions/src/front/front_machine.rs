//! State machine that serves the callers of one entry.

use {
    crate::front::{FrontAction, FrontInput, Pending, PendingKey, ReplyKind, Request, WaiterId},
    chestnutrun_types::{EntryId, JobReply, Reply, ShardId, ShardOwner},
    indexmap::{IndexMap, IndexSet},
};

/// Identity of the entry that the machine serves, and the number of shards.
#[derive(Clone, Debug)]
pub struct FrontConf {
    /// This entry.
    pub me: EntryId,
    /// Number of shards of the site.
    pub shards: ShardId,
}

/// Forwards requests of callers to the owners of shards, and replies to callers.
#[derive(Debug)]
pub struct FrontMachine {
    conf: FrontConf,
    owners: IndexMap<ShardId, ShardOwner>,
    links: IndexSet<EntryId>,
    pending: IndexMap<PendingKey, Pending>,
    keys_by_waiter: IndexMap<WaiterId, PendingKey>,
    actions: Vec<FrontAction>,
}

impl FrontMachine {
    /// Creates a machine that knows no owners yet.
    #[must_use]
    pub fn new(conf: FrontConf) -> Self {
        Self {
            conf,
            owners: IndexMap::new(),
            links: IndexSet::new(),
            pending: IndexMap::new(),
            keys_by_waiter: IndexMap::new(),
            actions: Vec::new(),
        }
    }

    /// Processes one input and returns the resulting actions.
    pub fn handle(&mut self, input: FrontInput) -> Vec<FrontAction> {
        match input {
            FrontInput::Request(waiter, request) => self.request(waiter, request),
            FrontInput::Abandon(waiter) => self.abandon(waiter),
            FrontInput::Reply(reply) => self.reply(&reply),
            FrontInput::OwnerChanged(owner) => self.set_owner(owner),
            FrontInput::OwnerReady(shard) => self.resend(|of_shard| of_shard == shard),
            FrontInput::LinkUp(entry) => self.link_up(&entry),
            FrontInput::LinkDown(entry) => {
                self.links.shift_remove(&entry);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of pending requests; requests that share a reply count
    /// once.
    #[must_use]
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Whether a caller waits for this reply. No caller waits for a duplicate.
    #[must_use]
    pub fn has_waiter_for(&self, reply: &JobReply) -> bool {
        let has_waiters = |digest| {
            let key = PendingKey {
                job: reply.job.clone(),
                digest,
            };
            let pending = self.pending.get(&key);
            pending.is_some_and(|pending| !pending.waiters.is_empty())
        };
        has_waiters(reply.digest) || has_waiters(None)
    }

    /// Returns the known owners of shards.
    pub fn owners(&self) -> impl Iterator<Item = &ShardOwner> {
        self.owners.values()
    }

    fn request(&mut self, waiter: WaiterId, request: Request) {
        let key = PendingKey::of(&request);
        let pending = self.pending.entry(key.clone()).or_default();
        pending.waiters.insert(waiter, ReplyKind::of(&request));
        self.keys_by_waiter.insert(waiter, key.clone());
        if let Request::Submit(submit) = &request {
            if pending.submit.is_some() {
                // Only one submission of a body is sent at a time. The refusal of
                // a second submission would also reach the callers of the first,
                // whose job may run.
                return;
            }
            pending.submit = Some(submit.clone());
        }
        self.send(&key, request);
    }

    fn abandon(&mut self, waiter: WaiterId) {
        let Some(key) = self.keys_by_waiter.swap_remove(&waiter) else {
            return;
        };
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        pending.waiters.shift_remove(&waiter);
        if pending.waiters.is_empty() && pending.submit.is_none() {
            self.pending.shift_remove(&key);
        }
    }

    fn reply(&mut self, reply: &JobReply) {
        let is_answer = matches!(reply.reply, Reply::Answered(_));
        let key = PendingKey {
            job: reply.job.clone(),
            digest: reply.digest,
        };
        if is_answer && key.digest.is_some() {
            let query_key = PendingKey {
                digest: None,
                ..key.clone()
            };
            self.complete(&query_key, reply);
        }
        if matches!(reply.reply, Reply::Accepted) {
            self.answer_receipts(&key, &reply.reply);
        } else {
            self.complete(&key, reply);
        }
    }

    /// Answers the callers that wait only for the receipt of a job.
    fn answer_receipts(&mut self, key: &PendingKey, reply: &Reply) {
        let Some(pending) = self.pending.get_mut(key) else {
            return;
        };
        let waiters = pending.take_receipts();
        if pending.waiters.is_empty() && pending.submit.is_none() {
            self.pending.shift_remove(key);
        }
        self.answer(waiters, reply);
    }

    /// Answers every caller that waits under a key with the owner's final reply.
    ///
    /// A reply "not run" of an earlier owner is ignored if the request has since
    /// been sent to a later owner. The later owner may run the job, and its reply
    /// follows.
    fn complete(&mut self, key: &PendingKey, reply: &JobReply) {
        let Some(pending) = self.pending.get_mut(key) else {
            return;
        };
        let is_outdated = pending.sent_epoch > Some(reply.epoch);
        if is_outdated && reply.reply.claims_not_run() {
            return;
        }
        let waiters = pending.take_all();
        self.pending.shift_remove(key);
        self.answer(waiters, &reply.reply);
    }

    fn answer(&mut self, waiters: Vec<WaiterId>, reply: &Reply) {
        for waiter in waiters {
            self.keys_by_waiter.swap_remove(&waiter);
            self.actions
                .push(FrontAction::Answer(waiter, reply.clone()));
        }
    }

    fn set_owner(&mut self, owner: ShardOwner) {
        let known = self.owners.get(&owner.shard);
        if known.is_some_and(|known| known.epoch >= owner.epoch) {
            return;
        }
        let shard = owner.shard;
        self.owners.insert(shard, owner);
        self.resend(|of_shard| of_shard == shard);
    }

    fn link_up(&mut self, entry: &EntryId) {
        self.links.insert(entry.clone());
        let owned: Vec<ShardId> = self
            .owners
            .values()
            .filter(|owner| owner.entry == *entry)
            .map(|owner| owner.shard)
            .collect();
        self.resend(|shard| owned.contains(&shard));
    }

    /// Sends the pending requests of the chosen shards again. Submissions go
    /// first, so that the owner knows a job before its cancellation arrives.
    fn resend(&mut self, is_chosen: impl Fn(ShardId) -> bool) {
        let shards = self.conf.shards;
        let mut chosen: Vec<PendingKey> = self
            .pending
            .keys()
            .filter(|key| is_chosen(key.job.shard(shards)))
            .cloned()
            .collect();
        chosen.sort_by_key(|key| key.digest.is_none());
        for key in chosen {
            for request in self.requests_to_resend(&key) {
                self.send(&key, request);
            }
        }
    }

    fn requests_to_resend(&mut self, key: &PendingKey) -> Vec<Request> {
        let Some(pending) = self.pending.get_mut(key) else {
            return Vec::new();
        };
        let was_sent = pending.sent_epoch.is_some();
        if let Some(submit) = &mut pending.submit {
            submit.may_be_older |= was_sent;
        }
        pending.requests(&key.job)
    }

    fn send(&mut self, key: &PendingKey, request: Request) {
        let shard = key.job.shard(self.conf.shards);
        let Some(owner) = self.owners.get(&shard) else {
            return;
        };
        let is_local = owner.entry == self.conf.me;
        if !is_local && !self.links.contains(&owner.entry) {
            return;
        }
        if let Some(pending) = self.pending.get_mut(key) {
            pending.sent_epoch = Some(owner.epoch);
        }
        self.actions
            .push(FrontAction::Send(owner.entry.clone(), request));
    }
}
