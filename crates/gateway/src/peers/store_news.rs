//! What a gateway that watches the platform's store tells the others of its group, and what those do with it.

use crate::logging::part;
use crate::peers::members::Members;
use crate::peers::watch_duty::group_of;
use foxnotch_core::membership::Datagram;
use foxnotch_wire::{MemberState, MemberUpdate, Message, NodeId, StoreNews};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

impl Members {
    /// Decides for ever whether this gateway watches the platform's store, and tells its group what the store tells.
    pub async fn share_store_news(self: Arc<Self>) {
        let mut changed = self.view.subscribe();
        let mut ticks = tokio::time::interval(self.duty.times().period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                _ = changed.changed() => {}
            }
            let others = self.group();
            let is_first = others.iter().all(|other| self.own < other.node);
            self.duty.set_first(is_first);
            let watched = self.duty.must_watch();
            if self.duty.review() != watched {
                log::info!(target: part::STORE, "The store is {} this gateway: first={is_first} group={}.", if watched { "left to another than" } else { "watched by" }, others.len() + 1);
            }
            if is_first {
                self.tell_store_news(&others);
            }
        }
    }

    /// The other gateways of this one's group.
    fn group(&self) -> Vec<MemberUpdate> {
        let (own, zone) = self.with(|membership| {
            let own = *membership.own();
            let members = membership.members().map(|member| member.update);
            let zone: Vec<MemberUpdate> = members
                .filter(|update| update.state != MemberState::Dead && update.state != MemberState::Leaving)
                .filter(|update| update.zone == own.zone && update.address.caller_port != 0)
                .collect();
            (own.node, zone)
        });
        let nodes: Vec<NodeId> = zone.iter().map(|update| update.node).collect();
        let group = group_of(own, &nodes);
        zone.into_iter().filter(|update| group.contains(&update.node)).collect()
    }

    fn tell_store_news(&self, others: &[MemberUpdate]) {
        let Some(age) = self.duty.contact_age() else { return };
        let view = self.view.get();
        let news = StoreNews {
            configuration_revision: view.configuration.revision,
            engines_revision: view.engines.revision,
            contact_age_ms: age.as_millis() as u32,
        };
        let datagrams = others.iter().map(|other| Datagram {
            to: other.node,
            address: other.address,
            message: Message::StoreNews(news),
        });
        self.send(datagrams.collect());
    }

    /// Takes what a watching gateway tells, and pulls from it what is new.
    pub(super) fn on_store_news(self: &Arc<Self>, from: NodeId, news: StoreNews) {
        self.duty.take_news(Duration::from_millis(u64::from(news.contact_age_ms)));
        let Some(update) = self.known(from) else { return };
        self.pull_view(update, Duration::ZERO, move |view| {
            news.configuration_revision > view.configuration.revision || news.engines_revision > view.engines.revision
        });
    }
}
