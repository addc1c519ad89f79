//! The two settings files of a controller.
//!
//! - [`Settings`]: what the platform provides (JSON). Unknown fields are ignored, as later
//!   versions of the platform may add fields.
//! - [`OperatorSettings`]: what operators may choose (TOML). Unknown keys are refused, as they
//!   are most likely misspelled.
//!
//! Both are validated when they are loaded, so that the rest of the program can rely on their
//! values. Field names are the keys in the files, unless an attribute gives another key.

mod checks;
mod duties;
mod error;
mod files;
mod limits;
mod objectives;
mod operator;
mod platform;

pub use duties::{DutySettings, FencingMode};
pub use error::SettingsError;
pub use limits::{CloudLimits, NextLimits, ProcessLimits, StoreLimits};
pub use objectives::{ObjectiveKind, ServiceLevelObjective};
pub use operator::OperatorSettings;
pub use platform::{AgentTimings, ClusterSettings, Endpoints, Peer, Settings, Team};
