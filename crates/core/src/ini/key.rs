//! One key of a table.

use super::Fault;

/// A typed key: how it is read into a `T`, printed from it and described.
#[derive(Debug)]
pub struct Key<T> {
    /// The section that it stands in.
    pub section: &'static str,
    /// Its name.
    pub name: &'static str,
    /// What it means.
    pub description: &'static str,
    /// What it takes, as a noun phrase.
    pub expected: &'static str,
    /// Lowest and highest accepted value as text.
    pub range: fn() -> Option<(String, String)>,
    /// Reads a text into its field.
    pub read: fn(&mut T, &str) -> Result<(), Fault>,
    /// Prints the value of its field.
    pub print: fn(&T) -> String,
    /// Copies its field from the first to the second.
    pub copy: fn(&T, &mut T),
}

/// Makes a [`Key`] for a field, or for a field of a field.
///
/// `key!("section", field: Codec, "Meaning.")` takes every value of the codec;
/// `key!("section", field: Codec, "Meaning.", LOWEST..=HIGHEST)` a range of them.
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
