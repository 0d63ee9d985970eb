//! Declarations: templates with typed parameters, and their instances for tenants.
//!
//! A check covers the whole declaration: its own fields, the types and bounds of its parameters, and its references.
//! Each problem states the field and the remedy.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Prefix of a value that refers to a parameter.
const PARAMETER_PREFIX: char = '$';

/// The kind of service that a template defines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Programs: sequences of dependent calls on model engines.
    Program,
    /// Plain requests: independent requests to a back end, outside of any program.
    Plain,
}

/// The type of a parameter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParameterType {
    /// A whole number within the parameter's limits.
    Integer,
    /// A string; may be limited to allowed values.
    String,
}

/// A parameter of a template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// The type that values of the parameter must have.
    #[serde(rename = "type")]
    pub kind: ParameterType,
    /// The value if the instance gives none; without a default the instance must give one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default: Option<Value>,
    /// The minimum of an integer parameter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub minimum: Option<i64>,
    /// The maximum of an integer parameter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub maximum: Option<i64>,
    /// The allowed values of a string parameter; all values if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed: Vec<String>,
}

/// A policy with parameters, from which instances are made for tenants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The template's name, unique among the templates.
    pub name: String,
    /// The template's parameters by name.
    #[serde(default)]
    pub parameters: BTreeMap<String, Parameter>,
    /// The fields of [`Policy`]; a string `$name` refers to a parameter.
    pub spec: Map<String, Value>,
}

/// An instance of a template for a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The instance's name, unique among the instances of all tenants.
    pub name: String,
    /// The tenant that may use the instance.
    pub tenant: String,
    /// The name of the template.
    pub template: String,
    /// Values of the template's parameters.
    #[serde(default)]
    pub values: Map<String, Value>,
}

/// The resolved policy of an instance, with the values of all parameters filled in.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The kind of service that the instance provides.
    pub service: ServiceKind,
    /// The model that the engines have to serve, or the name of the plain service.
    pub model: String,
    /// The model's adapter; empty for none.
    #[serde(default)]
    pub adapter: String,
    /// Tokens that one program may use.
    #[serde(default = "default_budget_tokens")]
    pub budget_tokens: u64,
    /// Calls that one program may make.
    #[serde(default = "default_call_limit")]
    pub call_limit: u32,
    /// The priority, from 0 (first) to 9 (last).
    #[serde(default = "default_priority")]
    pub priority: u32,
    /// Milliseconds for which an engine holds a call's memory after the answer, while the caller runs its tools.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// Milliseconds without use after which a program is ended.
    #[serde(default = "default_idle_ms")]
    pub idle_ms: u64,
    /// Maximum estimated wait, in milliseconds, at which a call is accepted.
    #[serde(default = "default_max_wait_ms")]
    pub max_wait_ms: u64,
    /// Weight of the prefill time of tokens that are not cached, in percent. Values above 100 favour engines with a
    /// cached prefix over a short wait.
    #[serde(default = "default_cache_weight")]
    pub cache_weight: u64,
}

fn default_budget_tokens() -> u64 {
    100_000
}
fn default_call_limit() -> u32 {
    400
}
fn default_priority() -> u32 {
    5
}
fn default_hold_ms() -> u64 {
    10_000
}
fn default_idle_ms() -> u64 {
    600_000
}
fn default_max_wait_ms() -> u64 {
    5_000
}
fn default_cache_weight() -> u64 {
    100
}

/// A problem found in a declaration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{object}: {field}: {problem}; {remedy}")]
pub struct Problem {
    /// The declaration, as `kind/name`.
    pub object: String,
    /// The path of the field.
    pub field: String,
    /// Description of the problem, without the object and the field.
    pub problem: String,
    /// Instruction for correcting the problem.
    pub remedy: String,
}

impl Problem {
    fn new(object: &str, field: impl Into<String>, problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self { object: object.to_owned(), field: field.into(), problem: problem.into(), remedy: remedy.into() }
    }
}

/// Checks a name: 1 to 64 letters, digits, `-`, `_` or `.`.
fn check_name(object: &str, field: &str, name: &str, problems: &mut Vec<Problem>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        let remedy = format!("use 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
        problems.push(Problem::new(object, field, format!("'{name}' is not a valid name"), remedy));
    }
}

impl Parameter {
    fn check_value(&self, object: &str, field: &str, value: &Value, problems: &mut Vec<Problem>) {
        match (self.kind, value) {
            (ParameterType::Integer, Value::Number(number)) if number.is_i64() => {
                let number = number.as_i64().unwrap_or_default();
                self.check_bounds(object, field, number, problems);
            }
            (ParameterType::String, Value::String(text)) => {
                if !self.allowed.is_empty() && !self.allowed.contains(text) {
                    let remedy = format!("use one of {}", self.allowed.join(", "));
                    problems.push(Problem::new(object, field, format!("'{text}' is not allowed"), remedy));
                }
            }
            (kind, _) => {
                let kind = if kind == ParameterType::Integer { "a whole number" } else { "a string" };
                let problem = format!("{value} is not {kind}");
                problems.push(Problem::new(object, field, problem, format!("give {kind}")));
            }
        }
    }

    fn check_bounds(&self, object: &str, field: &str, number: i64, problems: &mut Vec<Problem>) {
        if let Some(minimum) = self.minimum.filter(|minimum| number < *minimum) {
            let problem = format!("{number} is below the minimum");
            problems.push(Problem::new(object, field, problem, format!("use {minimum} or more")));
        }
        if let Some(maximum) = self.maximum.filter(|maximum| number > *maximum) {
            let problem = format!("{number} is above the maximum");
            problems.push(Problem::new(object, field, problem, format!("use {maximum} or less")));
        }
    }
}

impl Template {
    /// Checks the template without its instances. If all parameters have defaults, also checks the spec that results
    /// from them.
    pub fn check(&self) -> Vec<Problem> {
        let object = format!("template/{}", self.name);
        let mut problems = Vec::new();
        check_name(&object, "name", &self.name, &mut problems);
        for (name, parameter) in &self.parameters {
            let field = format!("parameters.{name}");
            check_name(&object, &field, name, &mut problems);
            if let Some(default) = &parameter.default {
                parameter.check_value(&object, &format!("{field}.default"), default, &mut problems);
            }
        }
        for (field, value) in &self.spec {
            if let Some(name) = parameter_name(value).filter(|name| !self.parameters.contains_key(*name)) {
                let problem = format!("parameter '{name}' is not declared");
                let remedy = format!("declare parameters.{name}, or replace the reference to it by a fixed value");
                problems.push(Problem::new(&object, format!("spec.{field}"), problem, remedy));
            }
        }
        if problems.is_empty() && self.parameters.values().all(|parameter| parameter.default.is_some()) {
            if let Err(found) = self.resolve(&object, &Map::new()) {
                problems.extend(found);
            }
        }
        problems
    }

    /// Replaces the parameters in the spec by `values` and defaults.
    ///
    /// # Errors
    /// Every problem found, reported for `object`.
    pub fn resolve(&self, object: &str, values: &Map<String, Value>) -> Result<Policy, Vec<Problem>> {
        let mut problems = Vec::new();
        for (name, value) in values {
            let field = format!("values.{name}");
            match self.parameters.get(name) {
                Some(parameter) => parameter.check_value(object, &field, value, &mut problems),
                None => {
                    let known: Vec<&str> = self.parameters.keys().map(String::as_str).collect();
                    let remedy = format!("use one of the template's parameters: {}", known.join(", "));
                    problems.push(Problem::new(object, field, "the template has no such parameter", remedy));
                }
            }
        }
        let mut spec = Map::new();
        for (field, value) in &self.spec {
            let Some(name) = parameter_name(value) else {
                spec.insert(field.clone(), value.clone());
                continue;
            };
            let default = self.parameters.get(name).and_then(|parameter| parameter.default.as_ref());
            match values.get(name).or(default) {
                Some(value) => {
                    spec.insert(field.clone(), value.clone());
                }
                None => {
                    let remedy = "give it a value, or a default in the template";
                    problems.push(Problem::new(object, format!("values.{name}"), "no value is given", remedy));
                }
            }
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        let policy = serde_json::from_value::<Policy>(Value::Object(spec));
        policy.map_err(|error| {
            let remedy = format!("correct the spec of template '{}'", self.name);
            vec![Problem::new(object, "spec", error.to_string(), remedy)]
        })
    }
}

/// The name of the parameter to which a value refers, if any.
fn parameter_name(value: &Value) -> Option<&str> {
    value.as_str().and_then(|text| text.strip_prefix(PARAMETER_PREFIX))
}

/// A set of declarations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Declarations {
    /// Templates by name.
    pub templates: BTreeMap<String, Template>,
    /// Instances by name.
    pub instances: BTreeMap<String, Instance>,
}

impl Declarations {
    /// Checks every template, and every instance with its reference to a template. Returns all problems found.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems: Vec<Problem> = self.templates.values().flat_map(Template::check).collect();
        for instance in self.instances.values() {
            if let Err(found) = self.resolve(instance) {
                problems.extend(found);
            }
        }
        problems
    }

    /// Returns the policy of an instance, with its template's parameters replaced by values.
    ///
    /// # Errors
    /// Every problem found in the instance.
    pub fn resolve(&self, instance: &Instance) -> Result<Policy, Vec<Problem>> {
        let object = format!("instance/{}", instance.name);
        let mut problems = Vec::new();
        check_name(&object, "name", &instance.name, &mut problems);
        check_name(&object, "tenant", &instance.tenant, &mut problems);
        let Some(template) = self.templates.get(&instance.template) else {
            let problem = format!("there is no template '{}'", instance.template);
            problems.push(Problem::new(&object, "template", problem, "declare the template, or name another"));
            return Err(problems);
        };
        match template.resolve(&object, &instance.values) {
            Ok(policy) if problems.is_empty() => Ok(policy),
            Ok(_) => Err(problems),
            Err(found) => {
                problems.extend(found);
                Err(problems)
            }
        }
    }
}
