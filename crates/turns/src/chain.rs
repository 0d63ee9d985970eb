//! Assembles a chain of turns from the records that replicas and caches return.

use crate::quorum::Tally;
use foxnotch_wire::{Chain, TurnId, TurnRecord};
use std::collections::HashMap;
use std::sync::Arc;

/// The identifier that stands for no turn. The record of the first turn of a chain has it as [`TurnRecord::previous`].
pub const NO_TURN: TurnId = TurnId(0);

/// The records of a chain that were received so far, and the replies of replicas that do not have the chain's newest
/// turn (denials).
#[derive(Debug, Default)]
pub struct ChainAssembly {
    records: HashMap<TurnId, Arc<TurnRecord>>,
    denials: Tally,
}

impl ChainAssembly {
    /// Adds the record of `turn`, for example from a cache.
    pub fn insert(&mut self, turn: TurnId, record: Arc<TurnRecord>) {
        self.records.insert(turn, record);
    }

    /// Adds a replica's reply to a read of `newest`. A reply without the newest turn counts as a denial, unless the
    /// replica knows that other replicas store the turn's record.
    pub fn add_reply(&mut self, newest: TurnId, chain: Chain) {
        let is_absent = chain.links.first().is_none_or(|link| link.turn != newest);
        let denied = is_absent && chain.elsewhere == 0;
        if denied {
            self.denials.add(chain.report.clone());
        }
        self.add_reply_for_older_turn(chain);
    }

    /// Adds a replica's reply to a read of an older turn of the chain. It never counts as a denial of the newest turn.
    pub fn add_reply_for_older_turn(&mut self, chain: Chain) {
        for link in chain.links {
            self.records.insert(link.turn, Arc::new(link.record));
        }
    }

    /// Returns the chain that ends with `newest`, oldest turn first.
    ///
    /// # Errors
    /// The first turn, going back from `newest`, whose record has not been received.
    pub fn chain_ending_with(&self, newest: TurnId) -> Result<Vec<(TurnId, Arc<TurnRecord>)>, TurnId> {
        let mut chain = Vec::new();
        let mut next = newest;
        while next != NO_TURN {
            let record = self.records.get(&next).ok_or(next)?;
            chain.push((next, record.clone()));
            next = record.previous;
        }
        chain.reverse();
        Ok(chain)
    }

    /// Number of replicas that do not have the newest turn and whose replies count ([`Tally::counted_reply_count`]).
    pub fn denial_count(&self) -> usize {
        self.denials.counted_reply_count()
    }
}

/// Builds the request body for an engine: inputs and outputs of the chain, oldest turn first, then the new input.
pub fn compose_body(chain: &[(TurnId, Arc<TurnRecord>)], input: &[u8]) -> Vec<u8> {
    let length: usize = chain.iter().map(|(_, record)| record.text_bytes()).sum();
    let mut body = Vec::with_capacity(length + input.len());
    for (_, record) in chain {
        body.extend_from_slice(&record.input.bytes);
        body.extend_from_slice(&record.output.bytes);
    }
    body.extend_from_slice(input);
    body
}
