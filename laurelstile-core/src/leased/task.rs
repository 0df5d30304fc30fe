//! Identifiers of jobs, tasks and runs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::serde_defaults::is_zero;

/// Length of a job id as text, in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;

/// Id of a job, chosen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The text is not the id of a job or task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not the id of a job or task")]
pub struct ParseIdError;

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let is_well_formed = text.len() == JOB_ID_DIGITS
            && text
                .bytes()
                .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        if !is_well_formed {
            return Err(ParseIdError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError)
    }
}

/// Id of a task of a job. As text: `JOB.REPETITION.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Which execution of the job's steps, for a job that repeats them; 0 otherwise.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub repetition: u32,
    /// Index of the step within the job.
    #[serde(rename = "s")]
    pub step: u32,
    /// Index of the task within its step.
    #[serde(rename = "i")]
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}.{}",
            self.job, self.repetition, self.step, self.index
        )
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(ParseIdError)?.parse()?;
        let mut number = || -> Result<u32, ParseIdError> {
            let part = parts.next().ok_or(ParseIdError)?;
            part.parse().map_err(|_| ParseIdError)
        };
        let task = Self {
            job,
            repetition: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(task),
            Some(_) => Err(ParseIdError),
        }
    }
}

/// Number of a run of a task, rising from 1 with each start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

/// One run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// Task that is run.
    pub task: TaskId,
    /// Which run of the task.
    pub run: RunNumber,
}
