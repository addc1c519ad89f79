//! The two settings files of a controller.
//!
//! - [`Settings`]: what the platform provides (JSON). Unknown fields are ignored, as later
//!   versions of the platform may add some.
//! - [`OperatorSettings`]: what operators may choose (TOML). Unknown keys are refused, as they
//!   are most likely typing errors.
//!
//! Both are checked when they are loaded, so the rest of the program relies on their values. The
//! names of the fields are the keys in the files.

mod checks;
mod duties;
mod error;
mod files;
mod limits;
mod objectives;
mod operator;
mod platform;

pub use duties::{DutyFence, DutySettings};
pub use error::SettingsError;
pub use limits::{CloudLimits, NextLimits, ProcessLimits, StoreLimits};
pub use objectives::{ObjectiveKind, ServiceLevelObjective};
pub use operator::OperatorSettings;
pub use platform::{AgentTimings, ClusterSettings, Endpoints, Peer, Settings, Team};
