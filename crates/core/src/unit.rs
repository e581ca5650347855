//! Units: tokens, milliseconds and the counters that order events.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;

use serde::Deserialize;
use serde::Serialize;

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The lowest value.
            pub const ZERO: Self = Self(0);

            /// The next higher value.
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// Difference that stops at zero.
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
    /// A number of tokens, prompt and generated alike.
    Tokens
}
counter! {
    /// A point in time or a span, in milliseconds. A module says which clock it means.
    Millis
}
counter! {
    /// Number of an accepted configuration; strictly rising, zero before the first.
    Revision
}
counter! {
    /// Number of one start of a process on its host or of an upstream; strictly rising per name.
    Incarnation
}
counter! {
    /// Term of the agreement protocol.
    Term
}
counter! {
    /// Position in the replicated log; the first entry has index 1.
    Index
}
counter! {
    /// Fencing number of an order; strictly rising per data centre.
    Fence
}
