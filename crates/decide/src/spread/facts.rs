//! Facts that every host should know, merged so that all hosts converge on the same ones.

use std::collections::BTreeSet;

use model::{Announcement, DataCentreId, HashMap, HostId, HostInfo, ServiceId, Term, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::placement::StableHash;

/// The number of buckets in a digest.
const DIGEST_BUCKETS: usize = 128;

/// Something that every host should know; a fact of higher rank replaces one of lower rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// Which upstream is a service's primary.
    Primary {
        /// The service that the upstream serves.
        service: ServiceId,
        /// The term in which it became primary.
        term: Term,
        /// The primary of that term.
        upstream: UpstreamId,
    },
    /// A host's attributes, and whether it is alive.
    Host {
        /// The host's name, address and roles.
        info: HostInfo,
        /// Raised by the host itself with each change, also to refute its death.
        sequence: u64,
        /// Whether the host is alive.
        alive: bool,
        /// The other data centres of which the host hears a host directly.
        heard_data_centres: Vec<DataCentreId>,
    },
    /// An upstream's announcement, and whether it has lapsed.
    Upstream {
        /// The last announcement known when the fact was made.
        announcement: Announcement,
        /// Whether the announcement's lease lasts.
        live: bool,
    },
}

/// Identifies what a fact is about; there is one fact for each key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FactKey {
    /// The host with this name.
    Host(HostId),
    /// The upstream with this name.
    Upstream(UpstreamId),
    /// The primary of this service.
    Primary(ServiceId),
}

/// Rank among the facts of one key, of which the greatest replaces the others: the term or
/// incarnation, the sequence, whether the fact says that its subject is gone, and the upstream.
type FactRank<'a> = (u64, u64, bool, &'a str);

impl Fact {
    /// Returns the key under which the fact is stored.
    pub fn key(&self) -> FactKey {
        match self {
            Self::Primary { service, .. } => FactKey::Primary(service.clone()),
            Self::Host { info, .. } => FactKey::Host(info.host.clone()),
            Self::Upstream { announcement, .. } => FactKey::Upstream(announcement.upstream.clone()),
        }
    }

    /// Returns whether this fact replaces another one of the same key.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Returns whether the fact says that a host is dead or that an upstream has lapsed.
    pub fn is_gone(&self) -> bool {
        match self {
            Self::Primary { .. } => false,
            Self::Host { alive, .. } => !alive,
            Self::Upstream { live, .. } => !live,
        }
    }

    /// Returns the host's attributes, if the fact is about a host.
    pub fn as_host(&self) -> Option<&HostInfo> {
        match self {
            Self::Host { info, .. } => Some(info),
            _ => None,
        }
    }

    /// Returns the announcement, if the fact is about an upstream.
    pub fn as_upstream(&self) -> Option<&Announcement> {
        match self {
            Self::Upstream { announcement, .. } => Some(announcement),
            _ => None,
        }
    }

    fn rank(&self) -> FactRank<'_> {
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

    /// Returns the number of the fact's kind and the name of what it is about.
    fn kind_and_name(&self) -> (u64, &str) {
        match self {
            Self::Host { info, .. } => (1, &info.host),
            Self::Upstream { announcement, .. } => (2, &announcement.upstream),
            Self::Primary { service, .. } => (3, service),
        }
    }

    /// Returns a hash of the fact and the index of its bucket in a digest.
    fn hash_and_bucket(&self) -> (u64, usize) {
        let (kind, name) = self.kind_and_name();
        let name = StableHash::new().add_number(kind).add_text(name).finish();
        let (major, minor, gone, text) = self.rank();
        let hash = StableHash::new()
            .add_number(name)
            .add_number(major)
            .add_number(minor)
            .add_number(gone.into())
            .add_text(text)
            .finish();
        (hash, name as usize % DIGEST_BUCKETS)
    }
}

/// A digest of a table of facts, in buckets so that few facts are sent where few differ.
///
/// Each bucket is the XOR of the hashes of its facts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    buckets: Vec<u64>,
    /// The XOR of the upper halves of all hashes.
    summary: u32,
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            buckets: vec![0; DIGEST_BUCKETS],
            summary: 0,
        }
    }
}

impl Digest {
    /// Adds a fact, or removes one that was added before.
    fn toggle(&mut self, fact: &Fact) {
        let (hash, bucket) = fact.hash_and_bucket();
        self.buckets[bucket] ^= hash;
        self.summary ^= (hash >> 32) as u32;
    }

    /// Returns a short digest of all facts, for heartbeats.
    pub fn summary(&self) -> u32 {
        self.summary
    }

    fn differs(&self, other: &Self, bucket: usize) -> bool {
        self.buckets.get(bucket) != other.buckets.get(bucket)
    }
}

/// The result of merging a fact into a table.
#[derive(Clone, Debug, PartialEq)]
pub enum MergeResult {
    /// The fact was new, and replaced this one.
    New(Option<Fact>),
    /// The table had the same fact.
    Known,
    /// The table has a newer fact of the same key.
    Stale,
}

/// All facts that a host has, with their digest.
#[derive(Debug, Default)]
pub struct FactTable {
    by_key: HashMap<FactKey, Fact>,
    digest: Digest,
    hosts_by_data_centre: HashMap<DataCentreId, BTreeSet<HostId>>,
    /// The hosts that hear other data centres directly.
    bridge_hosts: BTreeSet<HostId>,
}

impl FactTable {
    /// Stores a fact unless the table has the same or a newer one.
    pub fn merge(&mut self, fact: &Fact) -> MergeResult {
        let key = fact.key();
        let old = self.by_key.get(&key);
        match old {
            Some(old) if old.supersedes(fact) => return MergeResult::Stale,
            Some(old) if !fact.supersedes(old) => return MergeResult::Known,
            _ => {}
        }
        let old = self.remove(&key);
        self.digest.toggle(fact);
        if let Fact::Host {
            info,
            heard_data_centres,
            ..
        } = fact
        {
            self.hosts_by_data_centre
                .entry(info.data_centre.clone())
                .or_default()
                .insert(info.host.clone());
            if !heard_data_centres.is_empty() {
                self.bridge_hosts.insert(info.host.clone());
            }
        }
        self.by_key.insert(key, fact.clone());
        MergeResult::New(old)
    }

    /// Removes and returns a fact.
    pub fn remove(&mut self, key: &FactKey) -> Option<Fact> {
        let old = self.by_key.remove(key)?;
        self.digest.toggle(&old);
        if let Fact::Host { info, .. } = &old {
            if let Some(hosts) = self.hosts_by_data_centre.get_mut(&info.data_centre) {
                hosts.remove(&info.host);
            }
            self.bridge_hosts.remove(&info.host);
        }
        Some(old)
    }

    /// Returns the fact of a key.
    pub fn get(&self, key: &FactKey) -> Option<&Fact> {
        self.by_key.get(key)
    }

    /// Returns a host's attributes and whether it is alive.
    pub fn host(&self, host: &HostId) -> Option<(&HostInfo, bool)> {
        match self.by_key.get(&FactKey::Host(host.clone()))? {
            Fact::Host { info, alive, .. } => Some((info, *alive)),
            _ => None,
        }
    }

    /// Returns the fact that a host is dead, with the sequence of the known one.
    ///
    /// The host refutes it by a fact of a higher sequence.
    pub fn death_of(&self, host: &HostId) -> Option<Fact> {
        let mut fact = self.get(&FactKey::Host(host.clone()))?.clone();
        if let Fact::Host { alive, .. } = &mut fact {
            *alive = false;
        }
        Some(fact)
    }

    /// Returns how many hosts of a data centre are alive, counting only up to two: callers need to
    /// tell none, one and several apart.
    pub fn live_hosts_up_to_two(&self, data_centre: &DataCentreId) -> usize {
        let live = self.hosts_in(data_centre).filter(|(_, alive)| *alive);
        live.take(2).count()
    }

    /// Returns the data centres with live hosts, `from` left out.
    pub fn other_data_centres(&self, from: &DataCentreId) -> BTreeSet<DataCentreId> {
        let others = self.hosts_by_data_centre.keys();
        let others = others.filter(|data_centre| *data_centre != from);
        let others = others.filter(|data_centre| self.live_hosts_up_to_two(data_centre) > 0);
        others.cloned().collect()
    }

    /// Returns the data centres with live hosts that `from` can't exchange facts with.
    pub fn cut_off_from(&self, from: &DataCentreId) -> BTreeSet<DataCentreId> {
        let reachable = self.reachable_from(from);
        let mut others = self.other_data_centres(from);
        others.retain(|data_centre| !reachable.contains(data_centre));
        others
    }

    /// Returns the hosts of a data centre, dead ones included.
    pub fn hosts_in(&self, data_centre: &DataCentreId) -> impl Iterator<Item = (&HostInfo, bool)> {
        let hosts = self.hosts_by_data_centre.get(data_centre);
        hosts
            .into_iter()
            .flatten()
            .filter_map(|host| self.host(host))
    }

    /// Returns the data centres that `from` can exchange facts with, itself included.
    fn reachable_from(&self, from: &DataCentreId) -> BTreeSet<DataCentreId> {
        let mut reachable = BTreeSet::from([from.clone()]);
        let mut unvisited = vec![from.clone()];
        while let Some(data_centre) = unvisited.pop() {
            for host in &self.bridge_hosts {
                let Some(Fact::Host {
                    info,
                    alive: true,
                    heard_data_centres,
                    ..
                }) = self.get(&FactKey::Host(host.clone()))
                else {
                    continue;
                };
                if info.data_centre != data_centre {
                    continue;
                }
                let new = heard_data_centres
                    .iter()
                    .filter(|next| reachable.insert((*next).clone()));
                unvisited.extend(new.cloned());
            }
        }
        reachable
    }

    /// Returns all facts, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Fact> {
        self.by_key.values()
    }

    /// Returns a digest of all facts.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the facts that the host with the digest `theirs` may lack.
    pub fn differing_from(&self, theirs: &Digest) -> Vec<Fact> {
        if self.digest == *theirs {
            return Vec::new();
        }
        let differs = |fact: &&Fact| self.digest.differs(theirs, fact.hash_and_bucket().1);
        self.iter().filter(differs).cloned().collect()
    }
}
