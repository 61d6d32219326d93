//! Amounts with their unit in the type.

use std::fmt::{self, Display, Formatter};
use std::num::ParseIntError;
use std::str::FromStr;

macro_rules! size {
    ($(#[$doc:meta])* $name:ident, $number:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name($number);

        impl $name {
            /// Creates the amount from its number.
            #[must_use]
            pub const fn new(number: $number) -> Self {
                Self(number)
            }

            /// Number of the amount.
            #[must_use]
            pub const fn get(self) -> $number {
                self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

size! {
    /// A number of bytes.
    Bytes, u64
}
size! {
    /// Requests that a target runs at the same time.
    Slots, u32
}
size! {
    /// Connections that a target accepts.
    Connections, u32
}
size! {
    /// Calls that wait for a slot.
    Queue, u32
}
size! {
    /// Requests that may come at a time beyond a sustained rate.
    Burst, u32
}
