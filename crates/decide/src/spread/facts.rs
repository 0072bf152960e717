//! What every host should know, merged so that all hosts end up with the same.

use std::collections::BTreeSet;

use model::{Announcement, DataCentreId, HashMap, HostId, HostInfo, ServiceId, Term, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::placement::StableHash;

/// How many parts a digest has.
const BUCKETS: usize = 128;

/// Something that every host should know; a newer one replaces an older one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// A service has a primary.
    Primary {
        /// The service.
        service: ServiceId,
        /// The term.
        term: Term,
        /// The primary of the term.
        upstream: UpstreamId,
    },
    /// A host is alive or not.
    Host {
        /// The host.
        info: HostInfo,
        /// Rises with each change that the host itself makes, so that it can refute its death.
        sequence: u64,
        /// Whether it is alive.
        alive: bool,
        /// The other data centres that the host hears from directly.
        reaches: Vec<DataCentreId>,
    },
    /// An upstream has announced itself or has lapsed.
    Upstream {
        /// What it announced.
        announcement: Announcement,
        /// Whether its announcement is still renewed.
        live: bool,
    },
}

/// What a fact is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FactKey {
    /// A host.
    Host(HostId),
    /// An upstream.
    Upstream(UpstreamId),
    /// A service's primary.
    Primary(ServiceId),
}

/// Orders the facts about one thing; the greater one wins.
type Rank<'a> = (u64, u64, bool, &'a str);

impl Fact {
    /// Returns what the fact is about.
    pub fn key(&self) -> FactKey {
        match self {
            Self::Primary { service, .. } => FactKey::Primary(service.clone()),
            Self::Host { info, .. } => FactKey::Host(info.host.clone()),
            Self::Upstream { announcement, .. } => FactKey::Upstream(announcement.upstream.clone()),
        }
    }

    /// Returns whether this fact replaces another one about the same thing.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Returns whether the fact says that something is gone.
    pub fn is_gone(&self) -> bool {
        match self {
            Self::Primary { .. } => false,
            Self::Host { alive, .. } => !alive,
            Self::Upstream { live, .. } => !live,
        }
    }

    /// Returns the host that the fact is about.
    pub fn as_host(&self) -> Option<&HostInfo> {
        match self {
            Self::Host { info, .. } => Some(info),
            _ => None,
        }
    }

    fn rank(&self) -> Rank<'_> {
        match self {
            Self::Primary { term, upstream, .. } => (*term, 0, false, upstream),
            Self::Host {
                info,
                sequence,
                alive,
                ..
            } => (info.incarnation, *sequence, !alive, ""),
            Self::Upstream { announcement, live } => {
                (announcement.incarnation, announcement.sequence, !live, "")
            }
        }
    }

    fn name(&self) -> (u64, &str) {
        match self {
            Self::Host { info, .. } => (1, &info.host),
            Self::Upstream { announcement, .. } => (2, &announcement.upstream),
            Self::Primary { service, .. } => (3, service),
        }
    }

    /// Returns a hash of the fact and the part of the digest that it belongs to.
    fn digest(&self) -> (u64, usize) {
        let (kind, name) = self.name();
        let name = StableHash::new().add_number(kind).add_text(name).finish();
        let (major, minor, gone, text) = self.rank();
        let hash = StableHash::new()
            .add_number(name)
            .add_number(major)
            .add_number(minor)
            .add_number(gone.into())
            .add_text(text)
            .finish();
        (hash, name as usize % BUCKETS)
    }
}

/// A digest of a table of facts, in parts so that few facts are sent where few differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    parts: Vec<u64>,
    summary: u32,
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            parts: vec![0; BUCKETS],
            summary: 0,
        }
    }
}

impl Digest {
    fn toggle(&mut self, fact: &Fact) {
        let (hash, bucket) = fact.digest();
        self.parts[bucket] ^= hash;
        self.summary ^= (hash >> 32) as u32;
    }

    /// Returns the digest in short.
    pub fn summary(&self) -> u32 {
        self.summary
    }

    fn differs(&self, other: &Self, bucket: usize) -> bool {
        self.parts.get(bucket) != other.parts.get(bucket)
    }
}

/// The outcome of merging a fact.
#[derive(Clone, Debug, PartialEq)]
pub enum Merged {
    /// It was new; this is what it replaced.
    New(Option<Fact>),
    /// It was known.
    Known,
    /// A newer one is known.
    Stale,
}

/// All facts that a host has.
#[derive(Debug, Default)]
pub struct Facts {
    table: HashMap<FactKey, Fact>,
    digest: Digest,
    by_data_centre: HashMap<DataCentreId, BTreeSet<HostId>>,
    reachers: BTreeSet<HostId>,
}

impl Facts {
    /// Merges a fact.
    pub fn merge(&mut self, fact: &Fact) -> Merged {
        let key = fact.key();
        let old = self.table.get(&key);
        match old {
            Some(old) if old.supersedes(fact) => return Merged::Stale,
            Some(old) if !fact.supersedes(old) => return Merged::Known,
            _ => {}
        }
        let old = self.remove(&key);
        self.digest.toggle(fact);
        if let Fact::Host { info, reaches, .. } = fact {
            self.by_data_centre
                .entry(info.data_centre.clone())
                .or_default()
                .insert(info.host.clone());
            if !reaches.is_empty() {
                self.reachers.insert(info.host.clone());
            }
        }
        self.table.insert(key, fact.clone());
        Merged::New(old)
    }

    /// Forgets a fact.
    pub fn remove(&mut self, key: &FactKey) -> Option<Fact> {
        let old = self.table.remove(key)?;
        self.digest.toggle(&old);
        if let Fact::Host { info, .. } = &old {
            if let Some(hosts) = self.by_data_centre.get_mut(&info.data_centre) {
                hosts.remove(&info.host);
            }
            self.reachers.remove(&info.host);
        }
        Some(old)
    }

    /// Returns the fact about something.
    pub fn get(&self, key: &FactKey) -> Option<&Fact> {
        self.table.get(key)
    }

    /// Returns a host and whether it is alive.
    pub fn host(&self, host: &HostId) -> Option<(&HostInfo, bool)> {
        match self.table.get(&FactKey::Host(host.clone()))? {
            Fact::Host { info, alive, .. } => Some((info, *alive)),
            _ => None,
        }
    }

    /// Returns the fact that a host is dead unless it says otherwise.
    pub fn death_of(&self, host: &HostId) -> Option<Fact> {
        let mut fact = self.get(&FactKey::Host(host.clone()))?.clone();
        if let Fact::Host { alive, .. } = &mut fact {
            *alive = false;
        }
        Some(fact)
    }

    /// Returns how many hosts of a data centre are alive; two stand for more.
    pub fn live_hosts(&self, data_centre: &DataCentreId) -> usize {
        let live = self.hosts_of(data_centre).filter(|(_, alive)| *alive);
        live.take(2).count()
    }

    /// Returns the other data centres with live hosts.
    pub fn others(&self, from: &DataCentreId) -> BTreeSet<DataCentreId> {
        let others = self.by_data_centre.keys();
        let others = others.filter(|data_centre| *data_centre != from);
        let others = others.filter(|data_centre| self.live_hosts(data_centre) > 0);
        others.cloned().collect()
    }

    /// Returns the data centres with live hosts that `from` can't exchange facts with.
    pub fn cut_off(&self, from: &DataCentreId) -> BTreeSet<DataCentreId> {
        let reach = self.reach(from);
        let mut others = self.others(from);
        others.retain(|data_centre| !reach.contains(data_centre));
        others
    }

    /// Returns the hosts of a data centre, dead ones included.
    pub fn hosts_of(&self, data_centre: &DataCentreId) -> impl Iterator<Item = (&HostInfo, bool)> {
        let hosts = self.by_data_centre.get(data_centre);
        hosts
            .into_iter()
            .flatten()
            .filter_map(|host| self.host(host))
    }

    /// Returns the data centres that `from` can exchange facts with, itself included.
    fn reach(&self, from: &DataCentreId) -> BTreeSet<DataCentreId> {
        let mut reach = BTreeSet::from([from.clone()]);
        let mut open = vec![from.clone()];
        while let Some(data_centre) = open.pop() {
            for host in &self.reachers {
                let Some(Fact::Host {
                    info,
                    alive: true,
                    reaches,
                    ..
                }) = self.get(&FactKey::Host(host.clone()))
                else {
                    continue;
                };
                if info.data_centre != data_centre {
                    continue;
                }
                let new = reaches.iter().filter(|next| reach.insert((*next).clone()));
                open.extend(new.cloned());
            }
        }
        reach
    }

    /// Returns all facts.
    pub fn iter(&self) -> impl Iterator<Item = &Fact> {
        self.table.values()
    }

    /// Returns a digest of all facts.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the facts that the owner of a digest may lack.
    pub fn differing(&self, theirs: &Digest) -> Vec<Fact> {
        if self.digest == *theirs {
            return Vec::new();
        }
        let differs = |fact: &&Fact| self.digest.differs(theirs, fact.digest().1);
        self.iter().filter(differs).cloned().collect()
    }
}
