//! Lives of the worker that are over.

use std::collections::VecDeque;
use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::super::worker_incarnation::WorkerIncarnation;

/// Most lives that are remembered. Words of a life that come late come within seconds of its
/// end, in which a worker starts again a few times at most.
const MOST_LIVES: usize = 64;

/// For how long after its deregistration a life is held to be about to end. Its process is gone
/// some seconds after it; one that is heard for longer goes on.
const LEAVING: Span = Span::from_secs(30);

#[derive(Clone, Debug)]
struct PastLife {
    name: WorkerIncarnation,
    deregistered: Option<Timestamp>,
}

/// Lives of the worker that have ended, or have said that they end. Late words of theirs are
/// told from those of the present life by them.
#[derive(Debug, Default)]
pub struct PastLives {
    lives: VecDeque<PastLife>,
}

impl PastLives {
    /// A life has ended, or a heartbeat was one of a life that had.
    pub fn note_ended(&mut self, name: WorkerIncarnation) {
        self.note(name, None);
    }

    /// A life has said that it ends.
    pub fn note_deregistered(&mut self, now: Timestamp, name: WorkerIncarnation) {
        self.note(name, Some(now));
    }

    /// The worker of that id has said that it ends, where none of its lives is present: the last
    /// that is known, or one that does not tell its birth.
    pub fn note_deregistered_id(&mut self, now: Timestamp, id: &Arc<str>) {
        let mut lives = self.lives.iter_mut().rev();
        match lives.find(|life| life.name.id == *id) {
            Some(life) => life.deregistered = Some(now),
            None => {
                let id = Arc::clone(id);
                self.note_deregistered(
                    now,
                    WorkerIncarnation {
                        id,
                        started_at: None,
                    },
                );
            }
        }
    }

    /// A life that was held to be over is not.
    pub fn forget(&mut self, name: &WorkerIncarnation) {
        self.lives.retain(|life| life.name != *name);
    }

    /// Whether that life has ended.
    pub fn contains(&self, name: &WorkerIncarnation) -> bool {
        self.lives.iter().any(|life| life.name == *name)
    }

    /// Whether that life has said that it ends, and may not have yet.
    pub fn is_leaving(&self, now: Timestamp, name: &WorkerIncarnation) -> bool {
        let life = self.lives.iter().find(|life| life.name == *name);
        let deregistered = life.and_then(|life| life.deregistered);
        deregistered.is_some_and(|at| now.since(at) <= LEAVING)
    }

    fn note(&mut self, name: WorkerIncarnation, deregistered: Option<Timestamp>) {
        let known = self.lives.iter_mut().find(|life| life.name == name);
        if let Some(known) = known {
            known.deregistered = deregistered.or(known.deregistered);
            return;
        }
        if self.lives.len() == MOST_LIVES {
            self.lives.pop_front();
        }
        self.lives.push_back(PastLife { name, deregistered });
    }
}
