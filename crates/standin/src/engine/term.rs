//! Terms: promises to candidates, promotion to primary, and following a primary.

use std::sync::Arc;
use std::time::Instant;

use model::{Role, Term};

use super::Engine;
use super::event::Effect;
use super::log::{Entry, Op};
use super::log_event::LogEvent;
use crate::config::{InstanceConfig, Primary};

/// The durable state of an instance about terms; the highest term always wins.
#[derive(Clone, Debug)]
pub(crate) struct Terms {
    /// The highest promised term; promotions, orders to follow and log entries from
    /// primaries of lower terms are refused.
    pub(crate) promised: Term,
    /// The candidate to which it was promised; `None` if the term came with `follow`
    /// or with the settings.
    pub(crate) candidate: Option<Arc<str>>,
    /// The last term in which the instance became primary.
    pub(crate) led_term: Option<Term>,
    /// The primary that it was last told to follow, and the primary's term.
    pub(crate) followed_primary: Option<(Term, Primary)>,
}

impl Terms {
    /// Returns the state at the start: of the earlier run, or from the settings.
    pub(crate) fn start(cfg: &InstanceConfig) -> Self {
        match &cfg.restart {
            Some(restart) => Self {
                promised: restart.promised,
                candidate: restart.candidate.clone(),
                led_term: restart.led_term,
                followed_primary: restart.followed_primary.clone(),
            },
            None => Self {
                promised: cfg.term,
                candidate: None,
                led_term: (cfg.role == Role::Primary).then_some(cfg.term),
                followed_primary: cfg.primary.clone().map(|primary| (cfg.term, primary)),
            },
        }
    }
}

impl Engine {
    /// Promises a term to a candidate if it is higher than any promised before.
    ///
    /// Returns whether this candidate has the promise, so a repeated call succeeds.
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
            self.cancel_pull();
            return true;
        }
        term == self.terms.promised && self.terms.candidate == Some(candidate)
    }

    /// Becomes primary in the promised term, if it was promised to this candidate and
    /// the instance doesn't follow another primary in it.
    ///
    /// Returns whether the instance leads the term, so a repeated call succeeds.
    pub(crate) fn promote(
        &mut self,
        now: Instant,
        term: Term,
        candidate: Arc<str>,
        out: &mut Vec<Effect>,
    ) -> bool {
        let promised = term == self.terms.promised && self.terms.candidate == Some(candidate);
        let other_leads = self
            .terms
            .followed_primary
            .as_ref()
            .is_some_and(|(followed, _)| *followed == term);
        if !promised || other_leads {
            return false;
        }
        if self.terms.led_term != Some(term) {
            self.terms.led_term = Some(term);
            self.terms.followed_primary = None;
            self.start_leading(now, out);
        }
        true
    }

    /// Follows a primary, unless its term is lower than the promised one or led by this
    /// instance.
    ///
    /// Returns whether the instance now follows that primary, or is that primary itself.
    pub(crate) fn follow(&mut self, term: Term, primary: Primary, out: &mut Vec<Effect>) -> bool {
        let leads_term = self.terms.led_term == Some(term);
        if term < self.terms.promised || leads_term {
            return leads_term
                && term == self.terms.promised
                && primary.upstream == self.cfg.upstream;
        }
        if term > self.terms.promised {
            self.terms.promised = term;
            self.terms.candidate = None;
        }
        let followed_primary = Some((term, primary.clone()));
        if self.terms.followed_primary != followed_primary {
            out.push(Effect::Log(LogEvent::Follows {
                upstream: self.cfg.upstream.clone(),
                term,
                primary: primary.upstream,
            }));
            self.terms.followed_primary = followed_primary;
            self.cancel_pull();
            self.start_pull(out);
        }
        true
    }

    /// Appends the first entry of a term that the instance leads.
    pub(crate) fn start_leading(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let upstream = self.cfg.upstream.clone();
        out.push(Effect::Log(LogEvent::Primary {
            upstream: upstream.clone(),
            term: self.terms.promised,
        }));
        self.append_entry(now, vec![Op::Lead(upstream)], out);
    }

    /// Appends an entry to the log in the promised term.
    pub(crate) fn append_entry(&mut self, now: Instant, ops: Vec<Op>, out: &mut Vec<Effect>) {
        let entry = Entry::new(self.log.position(), self.terms.promised, now, ops);
        self.log.push(entry);
        self.answer_ready_calls(now, out);
    }
}
