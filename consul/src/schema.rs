//! JSON structure of the health and catalog responses.
//!
//! Each instance is parsed separately, and a value of the wrong type is an error only if it is used, so that an invalid
//! value affects at most one instance.

use crate::error::{KeyError, ListError, SkippedInstance, ValueError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::collections::BTreeMap;

/// Placeholder for the id of an instance whose id can't be read.
pub(crate) const UNKNOWN_ID: &str = "?";

/// A value whose type is checked only when it is used, so that an instance is not skipped because of a malformed value
/// that nothing uses.
#[derive(Clone, Debug, Default)]
pub(crate) enum Field<T> {
    /// The key is absent or `null`.
    #[default]
    Absent,
    Present(T),
    /// The value has the wrong type; the text is the error of the parser.
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
    /// Returns the value, if there is one, or an error if it has the wrong type.
    pub(crate) fn value(&self) -> Result<Option<&T>, ValueError> {
        match self {
            Field::Absent => Ok(None),
            Field::Present(value) => Ok(Some(value)),
            Field::WrongType(message) => Err(ValueError::WrongType(message.clone())),
        }
    }

    /// Returns the value, or an error if it is absent or has the wrong type.
    pub(crate) fn required(&self) -> Result<&T, ValueError> {
        self.value()?.ok_or(ValueError::Missing)
    }

    /// Returns the value if there is one of the right type.
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

/// A tagged address of a service. Consul's documentation spells its keys both with and without capital letters.
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

/// The fields of an element of `/v1/catalog/service/NAME` that identify the instance.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct CatalogEntry {
    #[serde(rename = "Node")]
    pub(crate) node: Field<String>,
    #[serde(rename = "ServiceID")]
    pub(crate) service_id: Field<String>,
}

/// The error of an element, which invalidates either the instance or the whole response.
pub(crate) enum ElementError {
    /// Only the instance is skipped.
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
