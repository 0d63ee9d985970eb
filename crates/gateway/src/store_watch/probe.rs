//! Detects a store that no longer answers. Such a store never answers the waiting watches, even after it has recovered.

use crate::logging::part;
use crate::peers::watcher_role::WatcherRole;
use crate::ports::store::MetadataStore;
use std::sync::Arc;
use tokio::time::sleep;

/// Probes the store regularly while this node has to watch it; never returns. Skips a probe if the store has answered
/// this node within the last period. The first failed probe is reported through
/// [`WatcherRole::report_unanswered_probe`], which makes all waiting watches fail. Further failures are not reported
/// until a probe has succeeded.
pub async fn probe_store(store: Arc<dyn MetadataStore>, watcher_role: Arc<WatcherRole>) {
    let period = watcher_role.times().probe_period;
    let mut answered = true;
    loop {
        sleep(period).await;
        watcher_role.wait_until_must_watch_is(true).await;
        if watcher_role.contact_age().is_some_and(|age| age < period) {
            continue;
        }
        let received = store.received_bytes();
        match store.probe(period).await {
            Ok(()) => {
                watcher_role.record_contact();
                answered = true;
            }
            // A large answer that this node is receiving delays the answer to the probe. Reporting silence would only
            // abort the call for the large answer, which would then have to be made again.
            Err(_) if store.received_bytes() > received => {}
            Err(error) => {
                if std::mem::replace(&mut answered, false) {
                    log::info!(
                     target: part::STORE,
                     "The store does not answer a probe, so this node aborts its waiting watches and repeats them: \
                      {error}.",
                    );
                    watcher_role.report_unanswered_probe();
                }
            }
        }
    }
}
