//! Rule names: the key of a rule in the file, such as `customer.totara`.

use std::{fmt, str::FromStr};

use clem_types::{CustomerId, KeyId, ModelId, ParseError, PlacementId, RouteId, TargetId};
use serde::{Deserialize, Serialize};

/// The result of parsing a rule name.
type Result<T> = std::result::Result<T, NameError>;

/// The kinds of rule in a rules file; each is the part of a rule name before the dot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RuleKind {
    /// A customer with its rate limit and scheduling weight.
    Customer,
    /// The API key of a customer.
    Key,
    /// A model that may be placed on engines, with its adapters.
    Model,
    /// The number of replicas of a model version in a data centre.
    Placement,
    /// A name that callers send requests to, with the back end that serves it.
    Route,
    /// A model engine or service replica.
    Target,
}

/// The full name of a rule: its kind and its id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum RuleName {
    /// `customer.ID`.
    Customer(CustomerId),
    /// `key.ID`.
    Key(KeyId),
    /// `model.ID`.
    Model(ModelId),
    /// `place.ID`.
    Placement(PlacementId),
    /// `route.ID`.
    Route(RouteId),
    /// `target.ID`.
    Target(TargetId),
}

/// Why a string is not a valid rule name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NameError {
    /// There is no dot between kind and id.
    NoKind,
    /// The part before the dot is not a [`RuleKind`].
    UnknownKind,
    /// The part after the dot is not a valid id.
    Id(ParseError),
}

impl RuleName {
    /// The kind of the named rule: the part before the dot.
    pub fn kind(&self) -> RuleKind {
        match self {
            Self::Customer(_) => RuleKind::Customer,
            Self::Key(_) => RuleKind::Key,
            Self::Model(_) => RuleKind::Model,
            Self::Placement(_) => RuleKind::Placement,
            Self::Route(_) => RuleKind::Route,
            Self::Target(_) => RuleKind::Target,
        }
    }
}

impl fmt::Display for RuleKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Customer => "customer",
            Self::Key => "key",
            Self::Model => "model",
            Self::Placement => "place",
            Self::Route => "route",
            Self::Target => "target",
        })
    }
}

impl FromStr for RuleKind {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "customer" => Ok(Self::Customer),
            "key" => Ok(Self::Key),
            "model" => Ok(Self::Model),
            "place" => Ok(Self::Placement),
            "route" => Ok(Self::Route),
            "target" => Ok(Self::Target),
            _ => Err(NameError::UnknownKind),
        }
    }
}

impl fmt::Display for RuleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = self.kind();
        match self {
            Self::Customer(id) => write!(f, "{kind}.{id}"),
            Self::Key(id) => write!(f, "{kind}.{id}"),
            Self::Model(id) => write!(f, "{kind}.{id}"),
            Self::Placement(id) => write!(f, "{kind}.{id}"),
            Self::Route(id) => write!(f, "{kind}.{id}"),
            Self::Target(id) => write!(f, "{kind}.{id}"),
        }
    }
}

impl FromStr for RuleName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self> {
        let Some((kind, id)) = text.split_once('.') else {
            return Err(NameError::NoKind);
        };
        let kind: RuleKind = kind.parse()?;
        let name = match kind {
            RuleKind::Customer => Self::Customer(id.parse()?),
            RuleKind::Key => Self::Key(id.parse()?),
            RuleKind::Model => Self::Model(id.parse()?),
            RuleKind::Placement => Self::Placement(id.parse()?),
            RuleKind::Route => Self::Route(id.parse()?),
            RuleKind::Target => Self::Target(id.parse()?),
        };
        Ok(name)
    }
}

impl TryFrom<String> for RuleName {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<RuleName> for String {
    fn from(name: RuleName) -> Self {
        name.to_string()
    }
}

impl From<ParseError> for NameError {
    fn from(error: ParseError) -> Self {
        Self::Id(error)
    }
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoKind => f.write_str("the name has no kind before a dot, as in customer.totara"),
            Self::UnknownKind => {
                f.write_str("the kind is not customer, key, model, place, route or target")
            }
            Self::Id(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for NameError {}
