//! Tokens, milliseconds and the counters that order events. Arithmetic saturates.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;

use serde::Deserialize;
use serde::Serialize;

/// Defines a `u64` quantity as a type of its own, with saturating arithmetic.
macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Zero, the lowest value.
            pub const ZERO: Self = Self(0);

            /// Returns the next higher value; the highest one returns itself.
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// Returns the difference, or zero if `other` is higher.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
                iter.fold(Self::ZERO, Add::add)
            }
        }
    };
}

counter! {
    /// A number of tokens; those of prompts and answers count alike.
    Tokens
}
counter! {
    /// A point in time or a duration, in milliseconds. Each module states which clock it uses.
    Millis
}
counter! {
    /// A rate of requests, in thousandths of a request per second.
    RequestRate
}
counter! {
    /// Number of an accepted configuration; strictly increasing, zero before the first.
    Revision
}
counter! {
    /// Number of one run of a process on its host or of an upstream; strictly increasing per name.
    Incarnation
}
counter! {
    /// Term of the consensus protocol; each has at most one leader.
    Term
}
counter! {
    /// Position in the replicated log; the first entry has index 1.
    Index
}
counter! {
    /// Fencing token of an order to an upstream; strictly increasing per data centre.
    Fence
}
