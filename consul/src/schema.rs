//! JSON shapes of the health and catalog responses.
//!
//! Each instance is parsed on its own, and each of its values only where it is used, so that a fault costs as little
//! as possible: one value, at most one instance.

use crate::error::{KeyError, ListError, SkippedInstance, ValueError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::collections::BTreeMap;

/// Stands in for the id of an instance whose id can't be read.
pub(crate) const UNKNOWN_ID: &str = "?";

/// A value that is checked only where it is used. A malformed value that nothing uses must not hide an instance.
#[derive(Clone, Debug, Default)]
pub(crate) enum Field<T> {
    /// The key is absent or `null`.
    #[default]
    Absent,
    Present(T),
    /// The value has another type; the text is the parser's.
    WrongType(String),
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Field<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = match Value::deserialize(deserializer)? {
            Value::Null => return Ok(Field::Absent),
            value => value,
        };
        Ok(match T::deserialize(value) {
            Ok(value) => Field::Present(value),
            Err(error) => Field::WrongType(error.to_string()),
        })
    }
}

impl<T> Field<T> {
    /// The value, if any; an error where it has the wrong type.
    pub(crate) fn value(&self) -> Result<Option<&T>, ValueError> {
        match self {
            Field::Absent => Ok(None),
            Field::Present(value) => Ok(Some(value)),
            Field::WrongType(message) => Err(ValueError::WrongType(message.clone())),
        }
    }

    /// The value; an error also where it is absent.
    pub(crate) fn required(&self) -> Result<&T, ValueError> {
        self.value()?.ok_or(ValueError::Missing)
    }

    /// The value where it is useful but optional: a wrong type counts as absent.
    pub(crate) fn valid(&self) -> Option<&T> {
        match self {
            Field::Present(value) => Some(value),
            Field::Absent | Field::WrongType(_) => None,
        }
    }
}

/// An element of `/v1/health/service/NAME`.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Instance {
    pub(crate) node: Field<Node>,
    pub(crate) service: Field<Service>,
    pub(crate) checks: Field<Vec<Field<Check>>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Node {
    pub(crate) node: Field<String>,
    pub(crate) address: Field<String>,
    pub(crate) tagged_addresses: Field<BTreeMap<String, Field<String>>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Service {
    #[serde(rename = "ID")]
    pub(crate) id: Field<String>,
    pub(crate) address: Field<String>,
    pub(crate) port: Field<i64>,
    pub(crate) tagged_addresses: Field<BTreeMap<String, Field<TaggedAddress>>>,
    pub(crate) meta: Field<BTreeMap<String, Field<String>>>,
    pub(crate) weights: Field<Weights>,
}

/// A service's tagged address. Consul's documentation spells its keys with and without capitals.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct TaggedAddress {
    #[serde(alias = "address")]
    pub(crate) address: Field<String>,
    #[serde(alias = "port")]
    pub(crate) port: Field<i64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Weights {
    pub(crate) passing: Field<f64>,
    pub(crate) warning: Field<f64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Check {
    #[serde(rename = "CheckID")]
    pub(crate) id: Field<String>,
    pub(crate) status: Field<String>,
    pub(crate) notes: Field<String>,
}

/// An element of `/v1/catalog/service/NAME`, as far as it identifies the instance.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct CatalogEntry {
    #[serde(rename = "Node")]
    pub(crate) node: Field<String>,
    #[serde(rename = "ServiceID")]
    pub(crate) service_id: Field<String>,
}

/// How far the fault of an element reaches.
pub(crate) enum ElementError {
    /// The instance alone is left out.
    Instance(SkippedInstance),
    /// The whole response is rejected.
    Response(ListError),
}

/// Parses an element of a health response.
pub(crate) fn parse_instance(element: &[u8]) -> Result<Instance, ElementError> {
    serde_json::from_slice(element).map_err(|error| {
        let message = error.to_string();
        if error.is_data() {
            ElementError::Instance(SkippedInstance {
                uid: UNKNOWN_ID.to_owned(),
                fault: KeyError::new(".", ValueError::WrongType(message)),
            })
        } else {
            ElementError::Response(ListError::InvalidJson(message))
        }
    })
}

/// Parses an element of a catalog response.
pub(crate) fn parse_catalog_entry(element: &[u8]) -> Result<CatalogEntry, ListError> {
    serde_json::from_slice(element).map_err(|error| ListError::InvalidJson(error.to_string()))
}
