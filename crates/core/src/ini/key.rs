//! Typed keys of a table.

use super::Fault;

/// A typed key: how its value is parsed into a field of `T`, formatted and documented.
#[derive(Debug)]
pub struct Key<T> {
    /// The section that contains the key.
    pub section: &'static str,
    /// The name of the key.
    pub name: &'static str,
    /// The description shown on the reference page.
    pub description: &'static str,
    /// The expected form of the value, as a noun phrase.
    pub expected: &'static str,
    /// The minimum and maximum value as text; `None` if every value is valid.
    pub range: fn() -> Option<(String, String)>,
    /// Parses a text into the field.
    pub read: fn(&mut T, &str) -> Result<(), Fault>,
    /// Formats the value of the field.
    pub print: fn(&T) -> String,
    /// Copies the field from the first argument to the second.
    pub copy: fn(&T, &mut T),
}

/// Creates a [`Key`] for a field or a nested field.
///
/// `key!("section", field: Codec, "Description.")` accepts every value of the codec;
/// `key!("section", field: Codec, "Description.", MIN..=MAX)` accepts only the given range.
macro_rules! key {
    ($section:literal, $outer:ident . $field:ident : $($rest:tt)+) => {
        $crate::ini::key!(@ $section, $field, [$outer.$field], $($rest)+)
    };
    ($section:literal, $field:ident : $($rest:tt)+) => {
        $crate::ini::key!(@ $section, $field, [$field], $($rest)+)
    };
    (@ $section:literal, $name:ident, [$($path:tt)+], $codec:ty, $description:literal) => {
        $crate::ini::Key {
            section: $section,
            name: stringify!($name),
            description: $description,
            expected: <$codec as $crate::ini::codec::Codec>::EXPECTED,
            range: || None,
            read: |target, text| {
                target.$($path)+ = $crate::ini::codec::read::<$codec>(stringify!($name), text)?;
                Ok(())
            },
            print: |target| <$codec as $crate::ini::codec::Codec>::print(&target.$($path)+),
            copy: |from, to| to.$($path)+.clone_from(&from.$($path)+),
        }
    };
    (@ $section:literal, $name:ident, [$($path:tt)+], $codec:ty, $description:literal, $range:expr) => {
        $crate::ini::Key {
            section: $section,
            name: stringify!($name),
            description: $description,
            expected: <$codec as $crate::ini::codec::Codec>::EXPECTED,
            range: || Some($crate::ini::codec::bounds::<$codec>(&$range)),
            read: |target, text| {
                target.$($path)+ =
                    $crate::ini::codec::read_within::<$codec>(stringify!($name), text, &$range)?;
                Ok(())
            },
            print: |target| <$codec as $crate::ini::codec::Codec>::print(&target.$($path)+),
            copy: |from, to| to.$($path)+.clone_from(&from.$($path)+),
        }
    };
}

pub(crate) use key;
