//! Terms: what the instance has promised, leads and follows.

use std::sync::Arc;
use std::time::Instant;

use model::{Role, Term};

use super::Engine;
use super::event::Effect;
use super::log::{Entry, Op};
use super::log_event::LogEvent;
use crate::config::{InstanceConfig, Primary};

/// What the instance durably knows of terms.
#[derive(Clone, Debug)]
pub(crate) struct Terms {
    /// The highest promised term.
    pub(crate) promised: Term,
    /// The candidate that it was promised to.
    pub(crate) candidate: Option<Arc<str>>,
    /// The term that the instance last led.
    pub(crate) leads: Option<Term>,
    /// The primary that it was last told to follow, and in which term.
    pub(crate) follows: Option<(Term, Primary)>,
}

impl Terms {
    /// Returns what an instance knows at its start.
    pub(crate) fn start(cfg: &InstanceConfig) -> Self {
        match &cfg.restart {
            Some(restart) => Self {
                promised: restart.promised,
                candidate: restart.candidate.clone(),
                leads: restart.leads,
                follows: restart.follows.clone(),
            },
            None => Self {
                promised: cfg.term,
                candidate: None,
                leads: (cfg.role == Role::Primary).then_some(cfg.term),
                follows: cfg.primary.clone().map(|primary| (cfg.term, primary)),
            },
        }
    }
}

impl Engine {
    /// Promises a term once, to one candidate.
    pub(crate) fn promise(
        &mut self,
        term: Term,
        candidate: Arc<str>,
        out: &mut Vec<Effect>,
    ) -> bool {
        if term > self.terms.promised {
            let upstream = self.cfg.upstream.clone();
            out.push(Effect::Log(LogEvent::Promised { upstream, term }));
            self.terms.promised = term;
            self.terms.candidate = Some(candidate);
            self.stop_pull();
            return true;
        }
        term == self.terms.promised && self.terms.candidate == Some(candidate)
    }

    /// Becomes primary of a term that was promised to the candidate.
    pub(crate) fn promote(
        &mut self,
        now: Instant,
        term: Term,
        candidate: Arc<str>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let promised = term == self.terms.promised && self.terms.candidate == Some(candidate);
        let other_leads = self.terms.follows.as_ref().is_some_and(|(t, _)| *t == term);
        if !promised || other_leads {
            return false;
        }
        if self.terms.leads != Some(term) {
            self.terms.leads = Some(term);
            self.terms.follows = None;
            self.lead(now, out);
        }
        true
    }

    /// Follows the primary of a term that isn't below the promised one.
    pub(crate) fn follow(&mut self, term: Term, primary: Primary, out: &mut Vec<Effect>) -> bool {
        let leads = self.terms.leads == Some(term);
        if term < self.terms.promised || leads {
            return leads && term == self.terms.promised && primary.upstream == self.cfg.upstream;
        }
        if term > self.terms.promised {
            self.terms.promised = term;
            self.terms.candidate = None;
        }
        let follows = Some((term, primary.clone()));
        if self.terms.follows != follows {
            out.push(Effect::Log(LogEvent::Follows {
                upstream: self.cfg.upstream.clone(),
                term,
                primary: primary.upstream,
            }));
            self.terms.follows = follows;
            self.stop_pull();
            self.pull(out);
        }
        true
    }

    /// Writes the first entry of a term that the instance leads.
    pub(crate) fn lead(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let upstream = self.cfg.upstream.clone();
        out.push(Effect::Log(LogEvent::Primary {
            upstream: upstream.clone(),
            term: self.terms.promised,
        }));
        self.append(now, vec![Op::Lead(upstream)], out);
    }

    /// Writes changes to the log in the promised term.
    pub(crate) fn append(&mut self, now: Instant, ops: Vec<Op>, out: &mut Vec<Effect>) {
        let entry = Entry::new(self.log.position(), self.terms.promised, now, ops);
        self.log.push(entry);
        self.wake_waits(now, out);
    }
}
