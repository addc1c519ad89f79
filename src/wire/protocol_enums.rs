//! Enumerations that are strings in the protocol.
//!
//! A string that this version does not know is deserialized as the enumeration's fallback variant,
//! since a later version of an agent or of the cloud may send one.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Defines an enumeration with the protocol string of each variant. The last variant is the
/// fallback for unknown strings.
macro_rules! protocol_enum {
    (
        $(#[$meta:meta])*
        $name:ident {
            $($(#[$variant_meta:meta])* $variant:ident = $text:literal,)*
            _ => $(#[$fallback_meta:meta])* $fallback:ident = $fallback_text:literal,
        }
    ) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_meta])* $variant,)*
            $(#[$fallback_meta])* $fallback,
        }

        impl $name {
            /// The string that stands for the variant in the protocol.
            pub fn as_str(self) -> &'static str {
                match self {
                    $($name::$variant => $text,)*
                    $name::$fallback => $fallback_text,
                }
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                match text {
                    $($text => $name::$variant,)*
                    _ => $name::$fallback,
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(self.as_str())
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$name, D::Error> {
                let text = String::deserialize(deserializer)?;
                Ok($name::from(text.as_str()))
            }
        }
    };
}

protocol_enum! {
    /// The state of a task in an agent's status. An unknown one counts as running: the task keeps
    /// its placement until a later status shows otherwise.
    TaskState {
        /// The machine is pulling the task's image.
        PullingImage = "pulling",
        /// The task waits for the other tasks of its gang.
        AwaitingGang = "gathering",
        /// The task is being stopped and saves a checkpoint.
        Checkpointing = "flushing",
        /// The task has exited.
        Exited = "ended",
        _ =>
        /// The task is running.
        Running = "running",
    }
}

protocol_enum! {
    /// Why a task exited or was refused. An unknown reason counts as a failure.
    ExitReason {
        /// The task completed its work; in a gang, so have all other tasks.
        Done = "done",
        /// The task was stopped by a command.
        Stopped = "stopped",
        /// Another task of its gang was lost.
        GangMemberLost = "mates_gone",
        /// Its gang was not complete before the timeout.
        GangTimeout = "alone",
        /// Refused: the machine has too few free resources.
        InsufficientCapacity = "full",
        /// Refused: the machine still has the task under another attempt.
        InUse = "in_use",
        /// Refused: the agent does not know the task.
        UnknownTask = "no_such",
        _ =>
        /// The task failed; also stands for reasons that this version does not know.
        Error = "error",
    }
}

protocol_enum! {
    /// The state of a machine in the cloud's machine list. An unknown one counts as running.
    ListedState {
        /// The machine is booting.
        Starting = "starting",
        /// The machine has failed and stopped.
        Failed = "failed",
        _ =>
        /// The machine is running.
        Running = "running",
    }
}
