//! Serves each kind of request at the owner of a program.

use super::{run_state_of, Context, EpochCheck, Owner};
use crate::guard::Guard;
use crate::program::tokens_of;
use crate::request::{CallRequest, RefusalKind, Reply, Request, RequestBody, RequestId, RunState};
use foxnotch_wire::{BranchId, BranchOpened, CallKey, Closed, Entry, Opened, Outcome, ROOT_BRANCH};

/// Maximum number of sub-agents of one program.
const MAX_BRANCHES: u32 = 1000;

/// Milliseconds after which a caller should retry a request that was refused because a call is still in flight or
/// because the deadline has passed.
const MISTIMED_CALL_RETRY_MS: u64 = 200;

/// Whether an owner with a newer state might accept a request that is refused for this reason.
fn depends_on_latest_state(kind: RefusalKind) -> bool {
    matches!(
        kind,
        RefusalKind::UnknownProgram
            | RefusalKind::UnknownBranch
            | RefusalKind::UnknownCall
            | RefusalKind::OutOfOrder
            | RefusalKind::BudgetExceeded
    )
}

/// Milliseconds after which a retry may succeed; none if a retry does not help.
fn retry_after(kind: RefusalKind) -> Option<u64> {
    matches!(kind, RefusalKind::OutOfOrder | RefusalKind::DeadlinePassed | RefusalKind::Busy)
        .then_some(MISTIMED_CALL_RETRY_MS)
}

impl Owner {
    /// Serves a request by the current program state. If an owner with a newer state might accept the request, a
    /// refusal is sent only once a majority has confirmed that there is no newer owner.
    pub(super) fn serve(
        &mut self,
        id: RequestId,
        request: Request,
        epoch_check: EpochCheck,
        context: &mut Context<'_>,
    ) {
        let served = self.check_tenant(&request).and_then(|()| self.serve_body(id, &request, context));
        let Err(kind) = served else { return };
        if epoch_check == EpochCheck::Unconfirmed && depends_on_latest_state(kind) {
            self.serve_after_confirmation(id, request, context);
            return;
        }
        context.refuse(id, kind, run_state_of(&request), retry_after(kind));
    }

    fn serve_body(&mut self, id: RequestId, request: &Request, context: &mut Context<'_>) -> Result<(), RefusalKind> {
        match &request.body {
            RequestBody::Open { instance, key } => self.serve_open(id, &request.tenant, instance, key, context),
            RequestBody::Call(call) => self.serve_call(id, call.clone(), context),
            RequestBody::Read(key) => self.serve_read(id, *key, context),
            RequestBody::OpenBranch { parent, key, budget_tokens, .. } => {
                self.serve_open_branch(id, *parent, key, *budget_tokens, context)
            }
            RequestBody::Close { branch, .. } => self.serve_close(id, *branch, context),
            RequestBody::Cancel(key) => self.serve_cancel(id, *key, context),
        }
    }

    fn check_tenant(&self, request: &Request) -> Result<(), RefusalKind> {
        let Some(opened) = &self.state.opened else {
            let opens_program = matches!(request.body, RequestBody::Open { .. });
            return if opens_program { Ok(()) } else { Err(RefusalKind::UnknownProgram) };
        };
        if opened.tenant.bytes == request.tenant.as_bytes() {
            Ok(())
        } else {
            Err(RefusalKind::OtherTenant)
        }
    }

    fn serve_open(
        &mut self,
        id: RequestId,
        tenant: &str,
        instance: &str,
        key: &str,
        context: &mut Context<'_>,
    ) -> Result<(), RefusalKind> {
        if self.state.closed {
            return Err(RefusalKind::Closed);
        }
        if self.state.opened.is_none() {
            let resolved = context.configuration.instance(instance).filter(|resolved| &*resolved.tenant == tenant);
            let policy = &resolved.ok_or(RefusalKind::UnknownInstance)?.policy;
            let opened = Opened {
                tenant: tenant.into(),
                instance: instance.into(),
                key: key.into(),
                budget_tokens: policy.budget_tokens,
                call_limit: policy.call_limit,
            };
            self.append(vec![Entry::Opened(opened)], context);
        }
        self.reply_when_committed(id, Reply::Opened(self.program), context);
        Ok(())
    }

    fn serve_open_branch(
        &mut self,
        id: RequestId,
        parent: BranchId,
        key: &str,
        budget_tokens: u64,
        context: &mut Context<'_>,
    ) -> Result<(), RefusalKind> {
        self.state.check_open(parent)?;
        let known = self.state.branches.iter().find(|(_, branch)| branch.parent == Some(parent) && branch.key == key);
        let known = known.map(|(branch, _)| *branch);
        let branch = match known {
            Some(branch) => branch,
            None => {
                let next = self.state.branches.len() as u32;
                if next > MAX_BRANCHES {
                    return Err(RefusalKind::CallLimit);
                }
                let opened = BranchOpened { branch: BranchId(next), parent, key: key.into(), budget_tokens };
                self.append(vec![Entry::BranchOpened(opened)], context);
                BranchId(next)
            }
        };
        self.reply_when_committed(id, Reply::BranchOpened(branch), context);
        Ok(())
    }

    fn serve_call(
        &mut self,
        id: RequestId,
        request: CallRequest,
        context: &mut Context<'_>,
    ) -> Result<(), RefusalKind> {
        let branch = self.state.branches.get(&request.key.branch).ok_or(RefusalKind::UnknownBranch)?;
        let next = branch.next_sequence();
        if request.key.sequence < next {
            let call = &branch.calls[request.key.sequence as usize];
            if call.input != request.input {
                return Err(RefusalKind::Conflict);
            }
            return self.serve_read(id, request.key, context);
        }
        let branch = self.state.check_open(request.key.branch)?;
        let is_next_call = request.key.sequence == next && branch.running_call().is_none();
        if !is_next_call && (context.guards.is_active(Guard::SequenceCheck) || request.key.sequence != next) {
            return Err(RefusalKind::OutOfOrder);
        }
        if context.now >= request.deadline {
            return Err(RefusalKind::DeadlinePassed);
        }
        let call_limit = self.state.opened.as_ref().map_or(0, |opened| opened.call_limit);
        if self.state.calls_made >= call_limit {
            return Err(RefusalKind::CallLimit);
        }
        let reserved_tokens = tokens_of(request.input.len()) + u64::from(request.maximum_output_tokens);
        if context.guards.is_active(Guard::Reservation) {
            self.state.check_budget(request.key.branch, reserved_tokens)?;
        }
        self.dispatch_new(id, request, reserved_tokens, context);
        Ok(())
    }

    /// Adds the caller to a call in flight, or returns the result of a call that has ended.
    fn serve_read(&mut self, id: RequestId, key: CallKey, context: &mut Context<'_>) -> Result<(), RefusalKind> {
        let branch = self.state.branches.get(&key.branch).ok_or(RefusalKind::UnknownBranch)?;
        let call = branch.calls.get(key.sequence as usize).ok_or(RefusalKind::UnknownCall)?;
        if let Some(end) = &call.end {
            let reply =
                Reply::Finished { outcome: end.outcome, text: end.output.clone(), charged_tokens: end.charged_tokens };
            self.reply_when_committed(id, reply, context);
            return Ok(());
        }
        self.follow_call(id, key, context);
        Ok(())
    }

    fn serve_close(&mut self, id: RequestId, branch: BranchId, context: &mut Context<'_>) -> Result<(), RefusalKind> {
        let closed = self.state.branches.get(&branch).ok_or(RefusalKind::UnknownBranch)?.closed;
        if !closed {
            self.cancel_running_calls(branch, context);
            if self.has_running_calls(branch) {
                // A call that an engine might still start, such as one from an earlier owner, ends only once its latest
                // start time has passed.
                return Err(RefusalKind::Busy);
            }
            self.append(vec![Entry::Closed(Closed { branch })], context);
        }
        self.reply_when_committed(id, Reply::Closed, context);
        Ok(())
    }

    /// Cancels the calls in flight in `branch` and in its descendants.
    fn cancel_running_calls(&mut self, branch: BranchId, context: &mut Context<'_>) {
        let running: Vec<CallKey> = self
            .state
            .running_calls()
            .filter(|(other, _, _)| branch == ROOT_BRANCH || self.is_same_or_below(*other, branch))
            .map(|(branch, sequence, _)| self.call_key(branch, sequence))
            .collect();
        for key in running {
            self.stop_call(key, Outcome::Cancelled, context);
        }
    }

    /// Whether calls are in flight in `branch` or in its descendants.
    fn has_running_calls(&self, branch: BranchId) -> bool {
        self.state.running_calls().any(|(other, _, _)| branch == ROOT_BRANCH || self.is_same_or_below(other, branch))
    }

    /// Whether `branch` is `ancestor` or one of its descendants.
    fn is_same_or_below(&self, branch: BranchId, ancestor: BranchId) -> bool {
        let mut next = Some(branch);
        while let Some(identifier) = next {
            if identifier == ancestor {
                return true;
            }
            next = self.state.branches.get(&identifier).and_then(|branch| branch.parent);
        }
        false
    }

    fn serve_cancel(&mut self, id: RequestId, key: CallKey, context: &mut Context<'_>) -> Result<(), RefusalKind> {
        let branch = self.state.branches.get(&key.branch).ok_or(RefusalKind::UnknownBranch)?;
        let call = branch.calls.get(key.sequence as usize).ok_or(RefusalKind::UnknownCall)?;
        if call.end.is_none() {
            self.stop_call(key, Outcome::Cancelled, context);
        }
        self.serve_read(id, key, context)
    }

    /// Refuses a call that this owner did not send to an engine.
    pub(super) fn refuse_call(
        id: RequestId,
        resend: bool,
        kind: RefusalKind,
        retry_after: u64,
        context: &mut Context<'_>,
    ) {
        let run = if resend { RunState::MayHaveRun } else { RunState::NotRun };
        context.refuse(id, kind, run, Some(retry_after));
    }
}
