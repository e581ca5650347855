//! Bounds on what a JSON text takes once it is decoded.
//!
//! A value of two bytes of text, such as a number in a list, takes many times that once decoded, so a
//! bound on the size of a text does not bound the memory for its values.

use serde::de::DeserializeSeed;
use serde::de::Deserializer;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Fewest bytes of text that a value takes in a list: a digit and a comma.
const MIN_VALUE_BYTES: usize = 2;

/// Returns whether a text holds more than `most` values: strings, numbers, literals, lists and objects,
/// at any depth. A text that is not JSON counts up to its fault.
pub fn has_more_values(text: &[u8], most: usize) -> bool {
    if text.len() / MIN_VALUE_BYTES < most {
        return false;
    }
    let mut left = most;
    let mut exceeded = false;
    let counter = Counter {
        left: &mut left,
        exceeded: &mut exceeded,
    };
    let mut source = serde_json::Deserializer::from_slice(text);
    // What is wrong with the text is told by the decoder that reads it.
    let _ = counter.deserialize(&mut source);
    exceeded
}

/// Counts the values of a text and keeps none of them.
struct Counter<'a> {
    left: &'a mut usize,
    exceeded: &'a mut bool,
}

impl Counter<'_> {
    /// Returns a counter for a value inside this one.
    fn nested(&mut self) -> Counter<'_> {
        Counter {
            left: self.left,
            exceeded: self.exceeded,
        }
    }
}

impl<'de> DeserializeSeed<'de> for Counter<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, source: D) -> Result<(), D::Error> {
        let Some(left) = self.left.checked_sub(1) else {
            *self.exceeded = true;
            return Err(D::Error::custom("too many values"));
        };
        *self.left = left;
        source.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Counter<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(mut self, mut list: A) -> Result<(), A::Error> {
        while list.next_element_seed(self.nested())?.is_some() {}
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(mut self, mut object: A) -> Result<(), A::Error> {
        while object.next_key::<IgnoredAny>()?.is_some() {
            object.next_value_seed(self.nested())?;
        }
        Ok(())
    }
}
