//! Preemption: which tasks a job may preempt on a machine, and which victims cost the least.

mod preemptor;
mod victims;

pub(super) use preemptor::Preemptor;
pub(super) use victims::VictimSelector;
