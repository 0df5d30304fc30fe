//! Log lines of the daemons: JSON, perhaps after a prefix such as a time and a node.

use serde::Deserialize;
use serde_json::{Map, Value};

/// A log line.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// When, as the process wrote it.
    pub timestamp: String,
    /// The last word before the JSON, such as the name of a node.
    pub source: Option<String>,
    /// The fields.
    pub fields: Map<String, Value>,
}

#[derive(Deserialize)]
struct Json {
    timestamp: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; `None` if it is none of ours.
    pub fn parse(line: &str) -> Option<Self> {
        let begin = line.find('{')?;
        let (prefix, json) = line.split_at(begin);
        let parsed: Json = serde_json::from_str(json).ok()?;
        Some(Self {
            timestamp: parsed.timestamp,
            source: prefix.split_whitespace().last().map(str::to_owned),
            fields: parsed.kvs,
        })
    }

    /// A field that is a text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// A field that is a whole number.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// Whether a field is there and true.
    pub fn flag(&self, field: &str) -> bool {
        self.fields.get(field) == Some(&Value::Bool(true))
    }

    /// What happened.
    pub fn event(&self) -> Option<&str> {
        self.text("event")
    }

    /// The job that it is about: a job's id, or that in the name of a task.
    pub fn job(&self) -> Option<&str> {
        let name = self.text("job").or_else(|| self.text("task"))?;
        name.split('.').next()
    }
}
