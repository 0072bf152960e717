//! `carawayctl explain`: where one host would send a request now, and why.

use decide::entry::explanation::{
    ExplainRequest, ExplainedRate, ExplainedUpstream, Explanation, LeftOut, Outcome, RateDecision,
};
use model::Kind;
use peer::api::ApiClient;

use crate::args::{ExplainOptions, Output, RequestKind, TransactionKind};
use crate::client::{Cx, Failure};
use crate::output::print_table;

/// Asks the host where it would send a request, and prints the answer.
pub(crate) async fn explain(cx: &Cx, options: &ExplainOptions) -> eyre::Result<()> {
    let request = ExplainRequest {
        service: options.service.as_deref().unwrap_or_default().into(),
        kind: match options.kind {
            RequestKind::Read => Kind::Read,
            RequestKind::Write => Kind::Write,
        },
        in_transaction: options.transaction.is_some(),
        read_only_transaction: options.transaction == Some(TransactionKind::ReadOnly),
        workspace: options.workspace.as_deref().map(Into::into),
        route: options.route.as_deref().map(Into::into),
        max_age: options.max_age.map(Into::into),
        floor: options.session,
        part: options.part,
    };
    let explanation = cx.client()?.explain(request).await;
    let explanation = explanation.map_err(|error| cx.call_error(error))?;
    if let Some(service) = &options.service
        && *service != explanation.service
    {
        let text = format!("the route leads to service `{}`", explanation.service);
        return Err(Failure::Input(text).into());
    }
    match cx.output {
        Output::Json => println!("{}", serde_json::to_string_pretty(&explanation)?),
        Output::Table => show(&explanation, options.kind),
    }
    Ok(())
}

fn show(explanation: &Explanation, kind: RequestKind) {
    let Explanation {
        host, part, parts, ..
    } = explanation;
    println!("asked {host}, traffic part {part} of {parts}");
    let kind = match kind {
        RequestKind::Read => "read",
        RequestKind::Write => "write",
    };
    println!(
        "{kind} of {}: {}",
        explanation.service,
        outcome(explanation)
    );
    println!(
        "rate of {}: {}",
        explanation.rate.workspace,
        rate(&explanation.rate)
    );
    let confirmed = explanation.confirmed_age;
    let confirmed = confirmed.map_or("never".to_owned(), |age| format!("{age:.1} s ago"));
    let view = explanation.view_age;
    let view = view.map_or("not known yet".to_owned(), |age| {
        format!("last changed {age:.1} s ago")
    });
    let version = explanation.version;
    println!("configuration {version} in force, confirmed {confirmed}; fleet as known: {view}");
    println!();
    let headings = [
        "UPSTREAM",
        "DATA CENTRE",
        "ROLE",
        "STATE",
        "CHOICE",
        "OWNERS",
    ];
    let rows = explanation.upstreams.iter().map(upstream_row);
    print_table(&headings, &rows.collect::<Vec<_>>());
}

/// Returns what would happen to the request, in words.
fn outcome(explanation: &Explanation) -> String {
    let sent = explanation.target.as_ref().map(|target| {
        let (upstream, owner, part) = (&target.upstream, &target.owner, target.owner_part);
        let reason = &target.reason;
        format!("sent to {upstream} through owner {owner} (part {part}), reason {reason}")
    });
    let refusal = explanation.refusal.map_or(String::new(), |refusal| {
        format!(", {refusal:?} ({})", refusal.reason())
    });
    match explanation.outcome {
        Outcome::Sent => format!("would be {}", sent.unwrap_or_default()),
        Outcome::Parked => format!("would be parked{refusal}"),
        Outcome::Refused => match sent {
            Some(sent) => format!("would be refused{refusal}; within the rate {sent}"),
            None => format!("would be refused{refusal}"),
        },
        Outcome::WaitsForToken => {
            let then = sent.unwrap_or_else(|| format!("parked or refused{refusal}"));
            format!("would wait for a rate token, then {then}")
        }
    }
}

/// Returns what the rate of the workspace allows, in words.
fn rate(rate: &ExplainedRate) -> String {
    match rate.decision {
        None => "not asked, since the request would be refused".to_owned(),
        Some(RateDecision::NoTokenNeeded) => "no token needed".to_owned(),
        Some(RateDecision::Admitted) => "admitted".to_owned(),
        Some(RateDecision::OverRate) => "over the rate".to_owned(),
        Some(RateDecision::Waits) => {
            let longest = rate.longest_wait.unwrap_or_default() * 1000.0;
            format!("no token here now, would ask for one and wait {longest:.0} ms at most")
        }
    }
}

fn upstream_row(upstream: &ExplainedUpstream) -> Vec<String> {
    let flags = [
        (upstream.warming, "warming"),
        (upstream.draining, "draining"),
        (upstream.evacuated, "evacuated"),
    ];
    let flags = flags.into_iter().filter(|(set, _)| *set);
    let flags: Vec<&str> = flags.map(|(_, name)| name).collect();
    let choice = match upstream.left_out.is_empty() {
        true => "chosen".to_owned(),
        false => reasons(&upstream.left_out),
    };
    let owners = upstream
        .owners
        .iter()
        .map(|owner| match owner.left_out.is_empty() {
            true => owner.host.clone(),
            false => format!("{} ({})", owner.host, reasons(&owner.left_out)),
        });
    vec![
        upstream.upstream.clone(),
        upstream.data_centre.clone(),
        if upstream.primary {
            "primary"
        } else {
            "replica"
        }
        .to_owned(),
        if flags.is_empty() {
            "-".to_owned()
        } else {
            flags.join(", ")
        },
        choice,
        owners.collect::<Vec<_>>().join(", "),
    ]
}

fn reasons(left_out: &[LeftOut]) -> String {
    let texts = left_out.iter().map(|left_out| {
        let LeftOut { reason, ends_in } = left_out;
        ends_in.map_or(reason.clone(), |seconds| {
            format!("{reason} for {:.0} ms", seconds * 1000.0)
        })
    });
    texts.collect::<Vec<_>>().join(", ")
}
