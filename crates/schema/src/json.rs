//! Helpers of the JSON mapping of protocol buffers, used by generated code.

/// Whether a value is the default of its type, which the mapping leaves out.
pub(crate) fn is_default<T>(value: &T) -> bool
where
    T: Default + PartialEq,
{
    *value == T::default()
}

/// 64-bit numbers as strings. A plain number is accepted too, as the mapping asks.
pub(crate) mod number {
    use std::fmt::Display;
    use std::str::FromStr;

    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Form {
        Text(String),
        Number(serde_json::Number),
    }

    pub(crate) fn serialize<T, S>(value: &T, serializer: S) -> Result<S::Ok, S::Error>
    where
        T: Display,
        S: Serializer,
    {
        serializer.collect_str(value)
    }

    pub(crate) fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
    where
        T: FromStr<Err: Display>,
        D: Deserializer<'de>,
    {
        let text = match Form::deserialize(deserializer)? {
            Form::Text(text) => text,
            Form::Number(number) => number.to_string(),
        };
        text.parse().map_err(Error::custom)
    }
}

/// Bytes as base64.
pub(crate) mod base64 {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S>(value: &[u8], serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD.encode(value))
    }

    pub(crate) fn deserialize<'de, D>(deserializer: D) -> Result<Vec<u8>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(Error::custom)
    }
}

/// Defines a module with the text form of an enum.
macro_rules! names {
    ($module:ident, $kind:ident) => {
        mod $module {
            use super::$kind;
            use serde::de::Error as _;
            use serde::ser::Error as _;
            use serde::{Deserialize, Deserializer, Serializer};

            pub(super) fn serialize<S>(value: &i32, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: Serializer,
            {
                let kind = $kind::try_from(*value).map_err(S::Error::custom)?;
                serializer.serialize_str(kind.as_str_name())
            }

            pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<i32, D::Error>
            where
                D: Deserializer<'de>,
            {
                let name = String::deserialize(deserializer)?;
                let kind = $kind::from_str_name(&name);
                kind.map(i32::from)
                    .ok_or_else(|| D::Error::custom(format!("unknown value `{name}`")))
            }
        }
    };
}
pub(crate) use names;
