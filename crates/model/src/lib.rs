//! Types that all crates share: ids, log positions, the configuration, requests and answers.

pub mod addr;
pub mod clock;
pub mod config;
pub mod id;
pub mod instance;
pub mod key;
pub mod log_field;
pub mod map;
pub mod patch;
pub mod position;
pub mod request;
pub mod verdict;

pub use addr::HostInfo;
pub use config::{Config, ConfigVersion};
pub use id::*;
pub use instance::{Announcement, BadAnnouncement, Claim, InstanceStatus, Role};
pub use key::{KeyDigest, KeyId};
pub use log_field::LogField;
pub use map::{HashMap, HashSet};
pub use position::{LogPosition, Position, Term};
pub use request::{Answer, Kind, Request, RouteAccess, TxStatus};
pub use verdict::{Refusal, Verdict};
