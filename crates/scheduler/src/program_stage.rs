//! Determines whether a request belongs to a program that has already begun.
//!
//! When engines or limits have little capacity left, new programs are refused, because the refusal of a new program
//! loses no earlier work. Running programs are not refused. So the rules for a program's stage decide who is refused
//! under load:
//!
//! - a plain request is [`ProgramStage::Running`]: it belongs to no program, and is refused only when engines refuse
//!   it;
//! - a turn that continues an earlier turn, or resumes a stream that has begun, is `Running`;
//! - a turn with a token budget is `Running` when the replicas report that another turn of its program is running or
//!   has produced events;
//! - any other turn is `New`. So a turn with neither a budget nor a previous turn is always `New`, because nothing is
//!   known about its program.
//!
//! A program that was refused and tries again is still `New`. When refused programs counted as `Running`, all of them
//! were admitted half a second later, and fewer programs were served in an overload.

use crate::quota::ProgramStage;

/// The stage of a plain request.
pub const PLAIN_REQUEST_STAGE: ProgramStage = ProgramStage::Running;

/// The stage of a turn's program. `continues` states whether the turn continues an earlier turn or resumes a stream.
/// `has_other_turns` states whether replicas report another turn of the program that is running or has produced events;
/// it is also false when nothing is known about the program.
pub fn program_stage_at_turn(continues: bool, has_other_turns: bool) -> ProgramStage {
    if continues || has_other_turns {
        ProgramStage::Running
    } else {
        ProgramStage::New
    }
}
