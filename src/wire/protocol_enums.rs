//! Enumerations whose values are words of the protocol.
//!
//! A word that this version does not know reads as the variant that stands for it, since a
//! later version of the other side may send one.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Defines an enumeration with the word of each variant. The last variant also stands for
/// words that are not known.
macro_rules! protocol_words {
    (
        $(#[$meta:meta])*
        $name:ident {
            $($(#[$variant_meta:meta])* $variant:ident = $word:literal,)*
            _ => $(#[$unknown_meta:meta])* $unknown:ident = $unknown_word:literal,
        }
    ) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $name {
            $($(#[$variant_meta])* $variant,)*
            $(#[$unknown_meta])* $unknown,
        }

        impl $name {
            /// Its word in the protocol.
            pub fn word(self) -> &'static str {
                match self {
                    $($name::$variant => $word,)*
                    $name::$unknown => $unknown_word,
                }
            }
        }

        impl From<&str> for $name {
            fn from(word: &str) -> $name {
                match word {
                    $($word => $name::$variant,)*
                    _ => $name::$unknown,
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.word())
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(self.word())
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$name, D::Error> {
                let word = String::deserialize(deserializer)?;
                Ok($name::from(word.as_str()))
            }
        }
    };
}

protocol_words! {
    /// The state of a task in an agent's status. One that is not known counts as running: the
    /// task keeps its placement until a status shows otherwise.
    TaskState {
        /// Waits for its image.
        PullingImage = "pulling",
        /// Waits for the other tasks of its gang.
        AwaitingGang = "gathering",
        /// Was told to stop and saves a checkpoint.
        Checkpointing = "flushing",
        /// Has exited.
        Exited = "ended",
        _ =>
        /// Runs.
        Running = "running",
    }
}

protocol_words! {
    /// Why a task exited or was refused. A reason that is not known counts as a failure.
    ExitReason {
        /// Completed.
        Done = "done",
        /// Stopped by a command.
        Stopped = "stopped",
        /// Another task of its gang is gone.
        GangMemberLost = "mates_gone",
        /// Its gang was not complete in time.
        GangTimeout = "alone",
        /// Refused: not enough free resources.
        InsufficientCapacity = "full",
        /// Refused: the task is there with another attempt.
        InUse = "in_use",
        /// Refused: the agent knows no such task.
        UnknownTask = "no_such",
        _ =>
        /// Failed.
        Error = "error",
    }
}

protocol_words! {
    /// The state of a machine in the provider's list. One that is not known counts as running.
    ListedState {
        /// Boots.
        Starting = "starting",
        /// Has stopped on its own.
        Failed = "failed",
        _ =>
        /// Is up.
        Running = "running",
    }
}
