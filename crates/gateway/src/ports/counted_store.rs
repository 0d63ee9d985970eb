//! Counts this process's calls to the metadata store by kind, verb and outcome. Each call costs money, and the whole
//! fleet has one rate limit, so operators need to see which process makes how many calls. Every process wraps its store
//! in [`CountedStore`], which forwards the calls unchanged.

use crate::metrics::{Metrics, StoreCall};
use crate::ports::store::{Changes, Freshness, Kind, Listing, MetadataStore, StoreError};
use foxnotch_wire::ReplicaSet;
use futures_util::future::BoxFuture;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// A store that counts its calls.
pub(crate) struct CountedStore {
    store: Arc<dyn MetadataStore>,
    metrics: Arc<Metrics>,
}

impl CountedStore {
    /// Wraps `store`, and counts the calls to it in `metrics`.
    pub(crate) fn new(store: Arc<dyn MetadataStore>, metrics: Arc<Metrics>) -> Self {
        Self { store, metrics }
    }

    async fn await_and_count<T>(
        &self,
        kind: Kind,
        verb: &'static str,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let answer = call.await;
        let outcome = answer.as_ref().err().map_or("done", StoreError::name);
        self.metrics.count_store_call(StoreCall { kind: kind.name(), verb, outcome });
        answer
    }
}

impl MetadataStore for CountedStore {
    fn received_bytes(&self) -> u64 {
        self.store.received_bytes()
    }

    fn list(&self, kind: Kind, freshness: Freshness) -> BoxFuture<'_, Result<Listing, StoreError>> {
        let verb = match freshness {
            Freshness::Newest => "list",
            Freshness::MayBeOld => "list_old",
        };
        Box::pin(self.await_and_count(kind, verb, self.store.list(kind, freshness)))
    }

    fn watch(&self, kind: Kind, revision: u64, wait: Duration) -> BoxFuture<'_, Result<Changes, StoreError>> {
        Box::pin(self.await_and_count(kind, "watch", self.store.watch(kind, revision, wait)))
    }

    fn probe(&self, within: Duration) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(self.await_and_count(Kind::ReplicaSet, "probe", self.store.probe(within)))
    }

    fn write_replica_set(&self, set: ReplicaSet, revision: Option<u64>) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(self.await_and_count(Kind::ReplicaSet, "write", self.store.write_replica_set(set, revision)))
    }

    fn report_retirement(&self, name: String, done: bool) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(self.await_and_count(Kind::Retirements, "report", self.store.report_retirement(name, done)))
    }
}
