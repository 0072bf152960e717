//! A simulated host: its groups and its confirmation of writes, with a caller that writes at an
//! interval.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use decide::commit::{CommitOutcome, CommitTracker};
use decide::event::ProbeResult;
use decide::group::{GroupMsg, Groups};
use decide::spread::Fact;
use decide::upstream_query::{QueryError, QueryId, QueryReply};
use decide::view::{ServiceView, UpstreamView};
use decide::{Cx, Effect, Event, Settings, View};
use model::config::CommitRule;
use model::{
    Announcement, CONTROL_PART, FIRST_TRAFFIC_PART, HostInfo, InstanceStatus, PartAddr, PartId,
    ServiceId, Term, UpstreamId,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::instance::{Instance, SLOTS, WriteId};

/// Time after which a write that is not confirmed ends unconfirmed.
const WRITE_DEADLINE: Duration = Duration::from_secs(2);

/// An input to the host's reducers.
pub(crate) enum Input {
    Start,
    QueryAnswered(PartId, QueryId, Result<QueryReply, QueryError>),
    PeerMessage(PartAddr, GroupMsg),
    Tick,
    /// Another host's news of the primary of a term.
    Fact(Term, UpstreamId),
    /// A write has run on an instance, which had this status afterwards.
    WriteAnswered(WriteId, UpstreamId, InstanceStatus),
    Announced(Vec<Announcement>),
    Leave,
}

/// One simulated host.
pub(crate) struct Host {
    pub(crate) info: HostInfo,
    pub(crate) alive: bool,
    pub(crate) frozen: bool,
    pub(crate) settings: Settings,
    pub(crate) commit_rule: CommitRule,
    pub(crate) view: View,
    /// The slots that it has claimed on each instance, and when the claim ends.
    pub(crate) claims: BTreeMap<UpstreamId, (u32, Instant)>,
    /// When the next scheduled tick is due.
    pub(crate) tick_at: Option<Instant>,
    groups: Groups,
    commits: CommitTracker,
    rng: SmallRng,
}

/// Effects and results of one input.
#[derive(Default)]
pub(crate) struct HostOutput {
    pub(crate) effects: Vec<(PartId, Effect)>,
    /// Primaries that the host has learned of and passes on.
    pub(crate) learned: Vec<(Term, UpstreamId)>,
    /// Writes that were confirmed or given up.
    pub(crate) resolved: Vec<CommitOutcome>,
}

impl Host {
    pub(crate) fn new(info: HostInfo, seed: u64) -> Self {
        Self {
            info,
            alive: true,
            frozen: false,
            settings: Settings::default(),
            commit_rule: CommitRule::Replicated,
            view: View::default(),
            claims: BTreeMap::new(),
            tick_at: None,
            groups: Groups::new(),
            commits: CommitTracker::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Starts the host again without state, as a new incarnation.
    pub(crate) fn restart(&mut self) {
        self.alive = true;
        self.info.incarnation += 1;
        self.groups = Groups::new();
        self.commits = CommitTracker::new();
        self.claims.clear();
        self.tick_at = None;
        self.view = View::default();
    }

    pub(crate) fn wake_at(&self) -> Option<Instant> {
        self.groups
            .wake_at()
            .into_iter()
            .chain(self.commits.wake_at())
            .min()
    }

    /// Returns the primary that a write is sent to, or `None` if this host has no valid claim on
    /// it or can't confirm the write.
    pub(crate) fn write_target(&mut self, now: Instant, service: &ServiceId) -> Option<UpstreamId> {
        let (_, primary) = self.view.services.get(service)?.primary.clone()?;
        let (slots, until) = self.claims.get(&primary)?;
        if *slots == 0 || *until <= now {
            return None;
        }
        let (mut effects, mut raised) = (Vec::new(), VecDeque::new());
        let Self {
            info,
            settings,
            rng,
            commits,
            view,
            ..
        } = self;
        let cx = cx(now, info, settings, rng, &mut effects, &mut raised);
        commits.can_confirm(&cx, view, service).then_some(primary)
    }

    /// Passes an input to the groups (control part) and the commit tracker (traffic part).
    pub(crate) fn reduce(&mut self, now: Instant, service: &ServiceId, input: Input) -> HostOutput {
        let mut out = HostOutput::default();
        let mut raised = VecDeque::new();
        let mut effects = Vec::new();
        let changed = self.update_view(service, &input);
        {
            let Self {
                info,
                settings,
                rng,
                commits,
                groups,
                view,
                commit_rule,
                ..
            } = self;
            let cx = &mut cx(now, info, settings, rng, &mut effects, &mut raised);
            match &input {
                Input::QueryAnswered(CONTROL_PART, id, result) => {
                    groups.on_query_reply(cx, *id, result.clone())
                }
                Input::PeerMessage(from, msg) => groups.on_msg(cx, from.clone(), msg.clone()),
                Input::Tick => groups.on_tick(cx),
                Input::Leave => groups.stop_and_unclaim(cx),
                _ if changed => groups.sync(cx, view),
                _ => {}
            }
            out.effects
                .extend(cx.effects.drain(..).map(|e| (CONTROL_PART, e)));
            match input {
                Input::QueryAnswered(FIRST_TRAFFIC_PART, id, result) => {
                    out.resolved = commits.on_query_reply(cx, id, result);
                }
                Input::Tick => out.resolved = commits.on_tick(cx),
                Input::WriteAnswered(write, primary, status) => {
                    let (rule, position) = (*commit_rule, status.position);
                    let end = now + WRITE_DEADLINE;
                    out.resolved =
                        commits.track(cx, view, write, service, rule, &primary, position, end);
                }
                _ => {}
            }
            out.effects
                .extend(cx.effects.drain(..).map(|e| (FIRST_TRAFFIC_PART, e)));
        }
        for event in raised {
            if let Event::FactLearned(Fact::Primary { term, upstream, .. }) = event {
                out.learned.push((term, upstream));
            }
        }
        self.deliver_probe_results(now, out)
    }

    /// Delivers forwarded probe results to the traffic side, and returns the other effects.
    fn deliver_probe_results(&mut self, now: Instant, mut out: HostOutput) -> HostOutput {
        let (mut effects, mut raised) = (Vec::new(), VecDeque::new());
        let mut kept = Vec::new();
        for (part, effect) in out.effects {
            let Effect::ForwardEvent { event, .. } = effect else {
                kept.push((part, effect));
                continue;
            };
            let Event::UpstreamProbed(probed) = *event else {
                panic!("only probe results are forwarded");
            };
            self.record_claim(&probed);
            let Self {
                info,
                settings,
                rng,
                commits,
                view,
                ..
            } = self;
            let cx = &mut cx(now, info, settings, rng, &mut effects, &mut raised);
            out.resolved.extend(commits.on_probed(cx, view, &probed));
        }
        kept.extend(effects.into_iter().map(|e| (FIRST_TRAFFIC_PART, e)));
        out.effects = kept;
        out
    }

    fn record_claim(&mut self, probed: &ProbeResult) {
        match &probed.claim {
            Some((claim, until)) => {
                self.claims
                    .insert(probed.upstream.clone(), (claim.slots, *until));
            }
            None => {
                self.claims.remove(&probed.upstream);
            }
        }
    }

    /// Updates the view by an input, and returns whether it changed.
    fn update_view(&mut self, service: &ServiceId, input: &Input) -> bool {
        match input {
            Input::Start => true,
            Input::Fact(term, upstream) => {
                let service_view = self.view.services.entry(service.clone()).or_default();
                let is_newer = service_view
                    .primary
                    .as_ref()
                    .is_none_or(|(known_term, _)| known_term < term);
                if is_newer {
                    service_view.primary = Some((*term, upstream.clone()));
                }
                is_newer
            }
            Input::Announced(announcements) => {
                let service_view = self.view.services.entry(service.clone()).or_default();
                service_view.group_size = announcements[0].group_size;
                service_view.upstreams = announcements.iter().map(|a| a.upstream.clone()).collect();
                for announcement in announcements {
                    let upstream = self.view.upstreams.get_mut(&announcement.upstream);
                    if let Some(upstream) = upstream {
                        upstream.announcement = announcement.clone();
                    }
                }
                true
            }
            _ => false,
        }
    }

    /// Sets the view to all instances, each owned by the hosts of its data centre.
    pub(crate) fn init_view(&mut self, service: &ServiceId, all: &[Instance], infos: &[HostInfo]) {
        let size = all.len() as u8;
        let upstreams: Vec<UpstreamId> = all.iter().map(|instance| instance.id.clone()).collect();
        let service_view = ServiceView {
            primary: None,
            upstreams,
            group_size: size,
        };
        self.view.services.insert(service.clone(), service_view);
        for instance in all {
            let owners = infos
                .iter()
                .filter(|info| info.data_centre == instance.data_centre)
                .map(|info| info.host.clone())
                .collect();
            let upstream = UpstreamView {
                announcement: announcement(service, instance, size),
                owners,
                last_ready_at: None,
            };
            self.view.upstreams.insert(instance.id.clone(), upstream);
        }
    }
}

/// Returns what an instance announces.
pub(crate) fn announcement(service: &ServiceId, instance: &Instance, size: u8) -> Announcement {
    Announcement {
        upstream: instance.id.clone(),
        service: service.clone(),
        addr: "127.0.0.1:5432".parse().expect("a valid literal"),
        data_centre: instance.data_centre.clone(),
        group_size: size,
        slots: SLOTS,
        connections: 40,
        sequence: 1,
        incarnation: 0,
        role: None,
        warming: false,
        draining: instance.draining,
        leaving: instance.leaving,
    }
}

fn cx<'a>(
    now: Instant,
    me: &'a HostInfo,
    settings: &'a Settings,
    rng: &'a mut SmallRng,
    effects: &'a mut Vec<Effect>,
    raised: &'a mut VecDeque<Event>,
) -> Cx<'a> {
    Cx {
        now,
        me,
        part: CONTROL_PART,
        settings,
        rng,
        effects,
        raised_events: raised,
    }
}
