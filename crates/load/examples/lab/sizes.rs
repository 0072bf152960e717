//! The sizes of the users' present deployments.

use std::time::Duration;

use clap::ValueEnum;

/// The user whose present deployment is measured.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub(crate) enum Size {
    /// Blue Mahoe: four data centres, three slots an instance.
    BlueMahoe,
    /// The Urząd: three data centres, two slots an instance.
    Urzad,
}

/// The data centres and database instances of a deployment.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) data_centres: &'static [&'static str],
    /// Names of services are this prefix, a dash and a number.
    pub(crate) service_prefix: &'static str,
    /// Statements that an instance runs at a time.
    pub(crate) slots_per_instance: u32,
    /// Connections that an instance accepts.
    pub(crate) connections: u32,
    /// How long an instance takes to open a connection.
    pub(crate) connect_time: Duration,
    /// Time after which a replica applies a write.
    pub(crate) replication_lag: Duration,
}

impl Size {
    /// Returns the data centres and database instances of this size.
    pub(crate) fn deployment(self) -> Deployment {
        match self {
            Self::BlueMahoe => Deployment {
                data_centres: &["kgn-a", "kgn-b", "spn", "mcy"],
                service_prefix: "appt-core",
                slots_per_instance: 3,
                connections: 50,
                connect_time: Duration::from_millis(10),
                replication_lag: Duration::from_millis(5),
            },
            Self::Urzad => Deployment {
                data_centres: &["pl-central-a", "pl-central-b", "pl-central-c"],
                service_prefix: "pots-ledger",
                slots_per_instance: 2,
                connections: 60,
                connect_time: Duration::from_millis(30),
                replication_lag: Duration::from_millis(10),
            },
        }
    }
}

/// Each workspace's name and share of the whole rate, from 0 to 1; a few are large.
pub(crate) const WORKSPACE_SHARES: [(&str, f64); 8] = [
    ("large-1", 0.25),
    ("large-2", 0.25),
    ("large-3", 0.20),
    ("small-1", 0.06),
    ("small-2", 0.06),
    ("small-3", 0.06),
    ("small-4", 0.06),
    ("small-5", 0.06),
];
