//! Compares the answers that callers got for their deposits with the rows of the ledger table.

use model::{HashMap, ServiceId};
use serde::Serialize;

/// What the answer to a deposit said about whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepositVerdict {
    /// The deposit was acknowledged, so the ledger must hold it exactly once.
    Acknowledged,
    /// The error said that the deposit did not run, so the ledger must not hold it.
    NotRun,
    /// The deposit may have run, failed at the upstream, or had no answer: the ledger may hold it
    /// at most once.
    Unknown,
}

/// A deposit whose rows in the ledger contradict the answer that its caller got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Mismatch {
    /// An acknowledged deposit is missing from the ledger.
    Lost {
        /// The service whose ledger was read.
        service: ServiceId,
        /// The id of the deposit.
        deposit: String,
    },
    /// The ledger holds a deposit more than once.
    Doubled {
        /// The service whose ledger was read.
        service: ServiceId,
        /// The id of the deposit.
        deposit: String,
        /// The number of ledger rows with this id.
        times: u32,
    },
    /// The ledger holds a deposit whose error said that it did not run.
    RanAfterAll {
        /// The service whose ledger was read.
        service: ServiceId,
        /// The id of the deposit.
        deposit: String,
    },
}

/// Returns the deposits of a service whose number of rows contradicts their verdict.
///
/// `ledger_ids` holds the id of each ledger row, repeated ids included.
pub fn find_mismatches<'a>(
    service: &ServiceId,
    verdicts: impl IntoIterator<Item = (&'a String, DepositVerdict)>,
    ledger_ids: &[String],
) -> Vec<Mismatch> {
    let mut rows_by_id: HashMap<&str, u32> = HashMap::default();
    for id in ledger_ids {
        *rows_by_id.entry(id).or_default() += 1;
    }
    let mismatch = |(deposit, verdict): (&String, DepositVerdict)| {
        let times = rows_by_id
            .get(deposit.as_str())
            .copied()
            .unwrap_or_default();
        let (service, deposit) = (service.clone(), deposit.clone());
        match (verdict, times) {
            (DepositVerdict::Acknowledged, 0) => Some(Mismatch::Lost { service, deposit }),
            (DepositVerdict::NotRun, 1..) => Some(Mismatch::RanAfterAll { service, deposit }),
            (_, 2..) => Some(Mismatch::Doubled {
                service,
                deposit,
                times,
            }),
            _ => None,
        }
    };
    verdicts.into_iter().filter_map(mismatch).collect()
}
