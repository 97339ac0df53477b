//! The keys that a configuration file contains, to detect a reloaded file that lacks some of them.
//!
//! Many keys have defaults, so that a small deployment can omit them. A file that is reloaded must not fall back to
//! those defaults: a key that the configuration in use has and the new file lacks is an error of the file.

use linnetknot_settings::Fields;
use serde_json::Value;
use std::collections::BTreeMap;

/// Keys that the platform may omit from any file, each with the key of the section that contains it.
const OPTIONAL_KEYS: [(&str, &str); 2] = [("categories", "aim-stretch"), ("fees", "fleet")];

/// The keys of a JSON object. A key whose value is null counts as missing.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PresentKeys(BTreeMap<String, Content>);

/// What a key contains.
#[derive(Clone, Debug, PartialEq)]
enum Content {
    /// A scalar, or a list without names.
    Value,
    /// An object, with its own keys.
    Object(PresentKeys),
    /// A list of objects that are identified by their `name`, such as the classes. Items may be added and removed.
    NamedItems(BTreeMap<String, PresentKeys>),
}

impl PresentKeys {
    /// Returns the keys of an object, including those of the objects within it.
    pub(super) fn of(fields: &Fields) -> Self {
        let present = fields.iter().filter(|(_, value)| !value.is_null());
        PresentKeys(
            present
                .map(|(key, value)| (key.clone(), Content::of(value)))
                .collect(),
        )
    }

    /// Returns the path of the first key that `new` lacks, or `None` if it lacks none.
    pub(super) fn missing_in(&self, new: &PresentKeys) -> Option<String> {
        self.missing_in_section("", new)
    }

    /// Like `missing_in`, for the object with the key `section`.
    fn missing_in_section(&self, section: &str, new: &PresentKeys) -> Option<String> {
        self.0.iter().find_map(|(key, content)| {
            if OPTIONAL_KEYS.contains(&(section, key)) {
                return None;
            }
            let Some(new_content) = new.0.get(key) else {
                return Some(key.clone());
            };
            let missing = content.missing_in(key, new_content)?;
            Some(format!("{key}{missing}"))
        })
    }

    /// Returns the keys that all of `items` have.
    fn common_to<'a>(mut items: impl Iterator<Item = &'a PresentKeys>) -> PresentKeys {
        let mut common = items.next().cloned().unwrap_or_default();
        for item in items {
            common.0.retain(|key, _| item.0.contains_key(key));
        }
        common
    }
}

impl Content {
    fn of(value: &Value) -> Self {
        match value {
            Value::Object(fields) => Content::Object(PresentKeys::of(fields)),
            Value::Array(items) => items
                .iter()
                .map(named_item)
                .collect::<Option<_>>()
                .map_or(Content::Value, Content::NamedItems),
            _ => Content::Value,
        }
    }

    /// Returns the path of the first key that `new` lacks, relative to `key`, which contains both.
    fn missing_in(&self, key: &str, new: &Content) -> Option<String> {
        match (self, new) {
            (Content::Object(own), Content::Object(new)) => own
                .missing_in_section(key, new)
                .map(|path| format!(".{path}")),
            (Content::Object(own), _) => own
                .missing_in_section(key, &PresentKeys::default())
                .map(|path| format!(".{path}")),
            (Content::NamedItems(own), Content::NamedItems(new)) => missing_in_items(key, own, new),
            _ => None,
        }
    }
}

/// Returns the name and the keys of an item of a list, or `None` if the item has no name.
fn named_item(item: &Value) -> Option<(String, PresentKeys)> {
    let fields = item.as_object()?;
    let name = fields.get("name")?.as_str()?;
    Some((name.to_owned(), PresentKeys::of(fields)))
}

/// Returns the path of the first key that an item of `new` lacks. An item that is in both lists must have its old keys.
/// An added item must have the keys that all old items have.
fn missing_in_items(
    key: &str,
    old: &BTreeMap<String, PresentKeys>,
    new: &BTreeMap<String, PresentKeys>,
) -> Option<String> {
    let common = PresentKeys::common_to(old.values());
    new.iter().find_map(|(name, item)| {
        let expected = old.get(name).unwrap_or(&common);
        let missing = expected.missing_in_section(key, item)?;
        Some(format!("[{name}].{missing}"))
    })
}
