//! Runs a plan against entry hosts, with one task for each session.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::{ServiceId, WorkspaceId};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_postgres::SimpleQueryMessage;

use crate::connection::{HostConnection, Login};
use crate::outcome::{FinishedRequest, NO_ANSWER_CODE, NO_CONNECTION_CODE, Outcome};
use crate::plan::{Arrival, Plan, SessionPlan};
use crate::session::{SessionEffect, SessionModel};
use crate::stats::{self, Event, RunStats};

/// Time between the start of the session tasks and the start of the run, for them to connect.
const WARM_UP: Duration = Duration::from_secs(2);
/// How long each step of a request (connecting, or one statement) may take. After it the request
/// may have run.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long to wait for outcomes after the last request has arrived.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);
/// How long reading the ledger of one service may take, retries included.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause before the next host is tried when a ledger could not be read.
const READ_BACK_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The fleet that a run sends requests to, and how its sessions log in.
#[derive(Clone, Debug)]
pub struct Target {
    /// Prefix of all deposit ids and accounts; no other run on the same ledgers may have it.
    pub run_name: String,
    /// The addresses at which entry hosts serve callers.
    pub hosts: Vec<SocketAddr>,
    /// The API key of each workspace, in the order of `PlanSettings::workspaces`.
    pub keys: Vec<String>,
    /// The maximum age that some reads set, such as `5s`.
    pub max_age: String,
}

/// Runs a plan, then reads the ledgers and compares them with the answers.
///
/// `started` is called with the start of the run, from which all its times are counted, before the
/// first request is sent.
pub async fn run(target: &Target, plan: Plan, started: impl FnOnce(Instant)) -> RunStats {
    let mut stats = RunStats::new(&target.run_name, &plan);
    let logins = logins(target, &plan);
    let run_start = Instant::now() + WARM_UP;
    let (finished_tx, mut finished_rx) = mpsc::unbounded_channel();
    let mut tasks = JoinSet::new();
    let mut inboxes = Vec::new();
    for (nth, session) in plan.sessions().iter().enumerate() {
        let (inbox, arrival_rx) = mpsc::unbounded_channel();
        inboxes.push(inbox);
        let task = SessionTask {
            model: SessionModel::new(
                &target.run_name,
                nth,
                session.host_index,
                target.hosts.len(),
            ),
            login: logins[nth].clone(),
            target: target.clone(),
            connection: None,
            session_token: None,
            run_start,
        };
        tasks.spawn(task.run(arrival_rx, finished_tx.clone()));
    }
    drop(finished_tx);
    started(run_start);
    for arrival in plan {
        let due = run_start + arrival.scheduled_at;
        loop {
            tokio::select! {
                biased;
                () = sleep_until(due.into()) => break,
                Some(request) = finished_rx.recv() =>
                    print_effects(stats.reduce(Event::Finished(request))),
            }
        }
        stats.reduce(Event::Arrived(arrival.clone()));
        // Sending can't fail: a session's task ends only once its inbox is closed.
        let _ = inboxes[arrival.session_index].send(arrival);
    }
    drop(inboxes);
    let drain = sleep(DRAIN_TIMEOUT);
    tokio::pin!(drain);
    loop {
        tokio::select! {
            request = finished_rx.recv() => match request {
                Some(request) => print_effects(stats.reduce(Event::Finished(request))),
                None => break,
            },
            () = &mut drain => break,
        }
    }
    tasks.shutdown().await;
    read_back(target, &logins, &mut stats).await;
    stats
}

/// Returns the login of each session, in the order of the plan.
fn logins(target: &Target, plan: &Plan) -> Vec<Login> {
    let cfg = plan.settings();
    let login = |session: &SessionPlan| Login {
        service: cfg.services[session.service_index].clone(),
        workspace: cfg.workspaces[session.workspace_index].workspace.clone(),
        key: target.keys[session.workspace_index].clone(),
    };
    plan.sessions().iter().map(login).collect()
}

fn print_effects(effects: Vec<stats::Effect>) {
    for effect in effects {
        match effect {
            stats::Effect::ShowComplaint {
                arrival_id,
                session_index,
                complaint,
            } => eprintln!(
                "broken promise: request {arrival_id}, session {session_index}: {complaint:?}"
            ),
            stats::Effect::ShowMismatch(mismatch) => eprintln!("broken promise: {mismatch:?}"),
        }
    }
}

/// The task of one session, which runs its requests one after the other.
struct SessionTask {
    model: SessionModel,
    login: Login,
    target: Target,
    connection: Option<HostConnection>,
    /// The session token of the latest answer, which the next connection passes on.
    session_token: Option<String>,
    run_start: Instant,
}

impl SessionTask {
    async fn run(
        mut self,
        mut arrivals: mpsc::UnboundedReceiver<Arrival>,
        finished_tx: mpsc::UnboundedSender<FinishedRequest>,
    ) {
        let _ = self.connect(self.model.host_index()).await;
        while let Some(arrival) = self.next_arrival(&mut arrivals).await {
            let outcome = self.run_request(&arrival).await;
            let complaint = self.model.on_outcome(&arrival, &outcome);
            let request = FinishedRequest {
                arrival,
                outcome,
                answered_at: self.run_start.elapsed(),
                complaint,
            };
            let _ = finished_tx.send(request);
        }
    }

    /// Waits for the next arrival, and drops the connection if it closes meanwhile. Returns `None`
    /// after the last arrival.
    async fn next_arrival(
        &mut self,
        arrivals: &mut mpsc::UnboundedReceiver<Arrival>,
    ) -> Option<Arrival> {
        if let Some(connection) = &mut self.connection {
            if let Some(arrival) = connection.drive(arrivals.recv()).await {
                return arrival;
            }
            self.drop_connection();
        }
        arrivals.recv().await
    }

    fn drop_connection(&mut self) {
        if self.connection.take().is_some() {
            self.model.on_connection_lost();
        }
    }

    /// Carries out the steps of an arrival, and returns the outcome of the first that fails or else
    /// of the last. Drops the connection after a missing answer.
    async fn run_request(&mut self, arrival: &Arrival) -> Outcome {
        let mut outcome = Outcome::Ran {
            deposits_seen: None,
        };
        for effect in self.model.on_arrival(arrival) {
            let result = timeout(ANSWER_TIMEOUT, self.apply(effect)).await;
            let no_answer = || Outcome::MayHaveRun(NO_ANSWER_CODE.into());
            match result.unwrap_or_else(|_| Err(no_answer())) {
                Ok(deposits_seen) => outcome = Outcome::Ran { deposits_seen },
                Err(failure) => {
                    let timed_out =
                        matches!(&failure, Outcome::MayHaveRun(code) if &**code == NO_ANSWER_CODE);
                    if timed_out
                        || self
                            .connection
                            .as_ref()
                            .is_none_or(HostConnection::is_closed)
                    {
                        self.connection = None;
                        self.model.on_connection_lost();
                    }
                    return failure;
                }
            }
        }
        outcome
    }

    /// Carries out a step. Returns the number of deposits if the step counts them.
    async fn apply(&mut self, effect: SessionEffect) -> Result<Option<u64>, Outcome> {
        match effect {
            SessionEffect::Disconnect { keep_session_token } => {
                self.connection = None;
                if !keep_session_token {
                    self.session_token = None;
                }
                Ok(None)
            }
            SessionEffect::Connect { host_index } => self.connect(host_index).await.map(|()| None),
            SessionEffect::SetMaxAge(true) => {
                let sql = format!("SET caraway.max_age = '{}'", self.target.max_age);
                self.query(&sql).await.map(|_| None)
            }
            SessionEffect::SetMaxAge(false) => {
                self.query("SET caraway.max_age = '0'").await.map(|_| None)
            }
            SessionEffect::InsertDeposit { sql } => self.query(&sql).await.map(|_| None),
            SessionEffect::CountDeposits { sql } => {
                let msgs = self.query(&sql).await?;
                let counts = first_column(&msgs);
                Ok(counts.first().and_then(|text| text.parse().ok()))
            }
        }
    }

    /// Connects to a host or, as a load balancer does, to the next one that accepts connections.
    ///
    /// An error that a host answers, such as a refused login, ends the search.
    async fn connect(&mut self, host_index: usize) -> Result<(), Outcome> {
        if self.connection.is_some() {
            return Ok(());
        }
        let mut failure = Outcome::NotRun(NO_CONNECTION_CODE.into());
        let hosts = &self.target.hosts;
        for addr in hosts.iter().cycle().skip(host_index).take(hosts.len()) {
            match HostConnection::open(*addr, &self.login, self.session_token.as_deref()).await {
                Ok(connection) => {
                    self.connection = Some(connection);
                    return Ok(());
                }
                Err(Outcome::NotRun(code)) if &*code == NO_CONNECTION_CODE => {}
                Err(other) => {
                    failure = other;
                    break;
                }
            }
        }
        Err(failure)
    }

    /// Runs a statement, and stores the session token that its answer carries.
    async fn query(&mut self, sql: &str) -> Result<Vec<SimpleQueryMessage>, Outcome> {
        let Some(connection) = &mut self.connection else {
            return Err(Outcome::NotRun(NO_CONNECTION_CODE.into()));
        };
        let answer = connection.query(sql).await;
        self.session_token = connection.session_token().or(self.session_token.take());
        answer
    }
}

/// Returns the first value of each row that is not null.
fn first_column(msgs: &[SimpleQueryMessage]) -> Vec<String> {
    let text = |msg: &SimpleQueryMessage| match msg {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    };
    msgs.iter().filter_map(text).collect()
}

/// Reads the ledger of each service through the hosts and compares it with the answers. A ledger
/// that can't be read within the timeout is left out.
async fn read_back(target: &Target, logins: &[Login], stats: &mut RunStats) {
    let mut services: Vec<(ServiceId, WorkspaceId)> = Vec::new();
    for login in logins {
        if services.iter().any(|(name, _)| *name == login.service) {
            continue;
        }
        services.push((login.service.clone(), login.workspace.clone()));
        let service_index = services.len() - 1;
        let deposit_ids = timeout(READ_BACK_TIMEOUT, read_ledger(target, login)).await;
        if let Ok(deposit_ids) = deposit_ids {
            print_effects(stats.reduce(Event::ReadBack {
                service_index,
                deposit_ids,
            }));
        }
    }
}

/// Reads the ids of all rows of a ledger, and retries at each host in turn until it succeeds.
async fn read_ledger(target: &Target, login: &Login) -> Vec<String> {
    for addr in target.hosts.iter().cycle() {
        if let Ok(mut connection) = HostConnection::open(*addr, login, None).await
            && let Ok(msgs) = connection.query("SELECT id FROM ledger").await
        {
            return first_column(&msgs);
        }
        sleep(READ_BACK_RETRY_PAUSE).await;
    }
    Vec::new()
}
