//! A replicated database: a primary and replicas that behave as the pages say.
//!
//! A commit gets the next number, is received by the replicas at once and applied by them a little
//! later. It is acknowledged once one replica has received it.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use crate::record;
use crate::wire;

/// How long a replica takes to apply what it has received.
const APPLY_LAG: Duration = Duration::from_millis(20);
/// How long a promotion takes.
const PROMOTE: Duration = Duration::from_millis(300);
/// How often an instance announces itself.
const BEAT: Duration = Duration::from_millis(1200);
/// How late an order that gets no answer is carried out, at least and at most.
const LATE_MIN: Duration = Duration::from_secs(2);
const LATE_MAX: Duration = Duration::from_secs(12);
/// Connections that an instance accepts.
const MAX_CONNECTIONS: usize = 46;

static SIGNATURES: AtomicU64 = AtomicU64::new(1);

/// One commit in a log.
#[derive(Clone, Debug)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
    /// Ids of the writes that it holds.
    pub writes: Vec<String>,
    /// When this instance applies it.
    pub applied_at: Instant,
}

/// One instance.
#[derive(Debug)]
pub struct Instance {
    pub id: String,
    pub zone: usize,
    pub addr: SocketAddr,
    /// Whether its process runs.
    pub up: bool,
    pub is_primary: bool,
    pub draining: bool,
    /// Term up to which it has stopped receiving.
    pub paused: u64,
    /// Whether it is partitioned from the core and from control.
    pub cut: bool,
    /// Whether the next order to receive again gets no answer and is carried out late.
    pub late_resume: bool,
    /// When such an order arrived, until it is carried out.
    pub pending_resume: Option<Instant>,
    /// When its last announcement was acknowledged.
    pub last_beat: Option<Instant>,
    /// Whether it has an acknowledgement of its draining.
    pub drain_acknowledged: bool,
    pub log: Vec<Commit>,
    sequence: u64,
    born: u128,
    connections: Vec<TcpStream>,
    open: usize,
    beat_now: bool,
}

/// The state of a service's instances.
#[derive(Debug)]
pub struct Group {
    pub name: String,
    pub term: u64,
    pub instances: BTreeMap<String, Instance>,
    /// Writes of acknowledged commits, and when each was acknowledged.
    pub acknowledged: Vec<(String, f64)>,
    /// Acknowledged writes that a promoted instance lacked.
    pub lost: Vec<String>,
    /// Promotions that were carried out.
    pub promotions: u32,
    /// How long a statement takes.
    pub work: Duration,
}

/// A service with its instances.
#[derive(Clone, Debug)]
pub struct Service {
    group: Arc<(Mutex<Group>, Condvar)>,
    /// Where announcements go.
    controls: Vec<SocketAddr>,
}

impl Group {
    /// Returns the id of the primary that runs.
    pub fn primary(&self) -> Option<&Instance> {
        self.instances.values().find(|i| i.up && i.is_primary)
    }

    /// Gives all replicas that receive what the primary's log holds; returns how many have it all.
    fn replicate(&mut self) -> usize {
        let Some(primary) = self.primary() else {
            return 0;
        };
        let (id, log) = (primary.id.clone(), primary.log.clone());
        let mut count = 0;
        for replica in self.instances.values_mut() {
            if !replica.up || replica.id == id || replica.paused > 0 {
                continue;
            }
            let same = |a: &Commit, b: &Commit| a.term == b.term && a.number == b.number;
            let common = log
                .iter()
                .zip(&replica.log)
                .take_while(|(a, b)| same(a, b))
                .count();
            replica.log.truncate(common);
            for commit in &log[common..] {
                let applied_at = Instant::now() + APPLY_LAG;
                replica.log.push(Commit {
                    applied_at,
                    ..commit.clone()
                });
            }
            count += 1;
        }
        count
    }
}

impl Instance {
    fn received(&self) -> (u64, u64) {
        self.log.last().map_or((1, 0), |c| (c.term, c.number))
    }

    fn applied(&self, now: Instant) -> (u64, u64) {
        let applied = self.log.iter().rev().find(|c| c.applied_at <= now);
        applied.map_or((1, 0), |c| (c.term, c.number))
    }
}

impl Service {
    /// Creates a service without instances.
    pub fn new(name: &str, controls: Vec<SocketAddr>, work: Duration) -> Self {
        let group = Group {
            name: name.to_owned(),
            term: 1,
            instances: BTreeMap::new(),
            acknowledged: Vec::new(),
            lost: Vec::new(),
            promotions: 0,
            work,
        };
        Self {
            group: Arc::new((Mutex::new(group), Condvar::new())),
            controls,
        }
    }

    /// Returns the state.
    pub fn lock(&self) -> MutexGuard<'_, Group> {
        self.group.0.lock().unwrap()
    }

    /// Starts an instance; the first one of a service is its primary.
    pub fn start(&self, id: &str, zone: usize, addr: SocketAddr) {
        let listener = TcpListener::bind(addr).expect("the address of an instance is taken");
        listener.set_nonblocking(true).unwrap();
        {
            let mut group = self.lock();
            let is_primary = group.instances.is_empty();
            let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let instance = Instance {
                id: id.to_owned(),
                zone,
                addr,
                up: true,
                is_primary,
                draining: false,
                paused: 0,
                cut: false,
                late_resume: false,
                pending_resume: None,
                last_beat: None,
                drain_acknowledged: false,
                log: Vec::new(),
                sequence: 0,
                born: born.unwrap().as_millis(),
                connections: Vec::new(),
                open: 0,
                beat_now: false,
            };
            let service = group.name.clone();
            record::say(&format!(
                "instance {id} of {service} starts at {addr} (zone {zone})"
            ));
            group.instances.insert(id.to_owned(), instance);
            group.replicate();
        }
        let (service, name) = (self.clone(), id.to_owned());
        std::thread::spawn(move || service.accept(&listener, &name));
        let (service, name) = (self.clone(), id.to_owned());
        std::thread::spawn(move || service.announce(&name));
    }

    /// Starts an instance at the address of one that has ended, with the log of that one.
    pub fn succeed(&self, old: &str, id: &str) {
        let (zone, addr, log) = {
            let group = self.lock();
            let old = &group.instances[old];
            (old.zone, old.addr, old.log.clone())
        };
        self.start(id, zone, addr);
        self.change(id, |instance| instance.log = log);
    }

    /// Ends an instance's process; its connections are reset.
    pub fn crash(&self, id: &str) {
        let mut group = self.lock();
        record::say(&format!("instance {id} crashes"));
        if let Some(instance) = group.instances.get_mut(id) {
            instance.up = false;
            for connection in instance.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        drop(group);
        self.group.1.notify_all();
    }

    /// Lets an instance say that it drains; it exits by itself after `drain` from the
    /// acknowledgement.
    pub fn drain(&self, id: &str, drain: Duration) {
        record::say(&format!("instance {id} drains"));
        if let Some(instance) = self.lock().instances.get_mut(id) {
            instance.draining = true;
            instance.beat_now = true;
        }
        let (service, id) = (self.clone(), id.to_owned());
        std::thread::spawn(move || {
            let started = Instant::now();
            loop {
                let known = service
                    .lock()
                    .instances
                    .get(&id)
                    .map(|i| i.drain_acknowledged);
                if known != Some(false) || started.elapsed() > Duration::from_secs(10) {
                    break;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            record::say(&format!(
                "instance {id} has an acknowledgement of its draining"
            ));
            std::thread::sleep(drain);
            for addr in &service.controls {
                let path = format!("/carawaycourse/instances/{id}");
                let sent = wire::http(*addr, "DELETE", &path, "", Duration::from_secs(1));
                if matches!(sent, Ok((200..300, _))) {
                    break;
                }
            }
            service.crash(&id);
        });
    }

    /// Carries out a promotion, after a moment.
    pub fn promote_later(&self, id: &str) {
        let (service, id) = (self.clone(), id.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(PROMOTE);
            service.promote(&id);
        });
    }

    fn promote(&self, id: &str) {
        let mut group = self.lock();
        if !group.instances.get(id).is_some_and(|i| i.up) {
            return;
        }
        group.term += 1;
        group.promotions += 1;
        let term = group.term;
        let log = group.instances[id].log.clone();
        let has = |write: &String| log.iter().any(|commit| commit.writes.contains(write));
        let lost: Vec<String> = group
            .acknowledged
            .iter()
            .map(|(write, _)| write.clone())
            .collect();
        let lost: Vec<String> = lost.into_iter().filter(|write| !has(write)).collect();
        record::say(&format!(
            "instance {id} leads term {term} with {} commits; {} acknowledged writes are not in its log",
            log.len(),
            lost.len()
        ));
        for write in &lost {
            record::line(&format!("lost: acknowledged write {write}"));
        }
        group.lost.extend(lost);
        for instance in group.instances.values_mut() {
            instance.is_primary = instance.id == id;
            instance.paused = 0;
            instance.beat_now = true;
        }
        group.replicate();
        drop(group);
        self.group.1.notify_all();
    }

    /// Changes an instance's state and wakes what waits for it.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Instance)) {
        let mut group = self.lock();
        if let Some(instance) = group.instances.get_mut(id) {
            change(instance);
        }
        group.replicate();
        drop(group);
        self.group.1.notify_all();
    }

    fn announce(&self, id: &str) {
        let mut next = Instant::now();
        let mut nth = id.len() + id.bytes().map(usize::from).sum::<usize>();
        loop {
            std::thread::sleep(Duration::from_millis(10));
            let (body, cut) = {
                let mut group = self.lock();
                let service = group.name.clone();
                let Some(instance) = group.instances.get_mut(id).filter(|i| i.up) else {
                    return;
                };
                if Instant::now() < next && !instance.beat_now {
                    continue;
                }
                instance.beat_now = false;
                instance.sequence += 1;
                let state = if instance.draining {
                    "draining"
                } else {
                    "ready"
                };
                let role = if instance.is_primary {
                    "primary"
                } else {
                    "replica"
                };
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"zone-{}\",\
                     \"version\":\"v1\",\"capacity\":3,\"state\":\"{state}\",\
                     \"warmup-remaining-ms\":0,\"db-role\":\"{role}\",\"sequence\":{},\
                     \"born\":{}}}",
                    instance.addr, instance.zone, instance.sequence, instance.born
                );
                (body, instance.cut)
            };
            next = Instant::now() + BEAT;
            if cut {
                continue;
            }
            let addr = self.controls[nth % self.controls.len()];
            let path = format!("/carawaycourse/instances/{id}");
            let sent = wire::http(addr, "PUT", &path, &body, Duration::from_secs(1));
            let acknowledged = matches!(sent, Ok((200..300, _)));
            if let Some(instance) = self.lock().instances.get_mut(id) {
                if acknowledged {
                    instance.last_beat = Some(Instant::now());
                    instance.drain_acknowledged |= body.contains("draining");
                } else {
                    instance.beat_now = true;
                    nth += 1;
                }
            }
        }
    }

    fn accept(&self, listener: &TcpListener, id: &str) {
        loop {
            if !self.lock().instances.get(id).is_some_and(|i| i.up) {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let (service, id) = (self.clone(), id.to_owned());
                    std::thread::spawn(move || {
                        service.serve(stream, &id);
                    });
                }
                Err(_) => std::thread::sleep(Duration::from_millis(3)),
            }
        }
    }

    /// Serves one connection until it ends.
    fn serve(&self, mut stream: TcpStream, id: &str) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let [_, service, user, expected] = words[..] else {
            return None;
        };
        let from_control = user == "carawaycourse";
        // A partition from the core and from control: whatever they send is not answered.
        if from_control && self.wait_while_cut(id) {
            return None;
        }
        let refusal = {
            let mut group = self.lock();
            let right = group.name == service && expected == id;
            let instance = group.instances.get_mut(id).filter(|i| i.up)?;
            if !right {
                Some("WRONGNODE")
            } else if instance.open >= MAX_CONNECTIONS {
                Some("TOOMANY")
            } else {
                instance.open += 1;
                instance.connections.push(stream.try_clone().ok()?);
                None
            }
        };
        if let Some(code) = refusal {
            record::line(&format!("instance {id} answers {code} to {}", line.trim()));
            let _ = stream.write_all(format!("ERROR {code} {id}\r\n").as_bytes());
            return None;
        }
        std::thread::sleep(Duration::from_millis(12));
        let served = self.serve_session(&mut stream, &mut reader, id, from_control);
        if let Some(instance) = self.lock().instances.get_mut(id) {
            instance.open -= 1;
        }
        let _ = stream.shutdown(Shutdown::Both);
        served
    }

    /// Waits while the instance is cut off; returns whether the connection is to be dropped.
    fn wait_while_cut(&self, id: &str) -> bool {
        let was_cut = || self.lock().instances.get(id).is_some_and(|i| i.cut);
        let cut = was_cut();
        while was_cut() {
            std::thread::sleep(Duration::from_millis(20));
        }
        cut
    }

    fn serve_session(
        &self,
        stream: &mut TcpStream,
        reader: &mut BufReader<TcpStream>,
        id: &str,
        from_control: bool,
    ) -> Option<()> {
        let mut session = Session::default();
        let position = self.position(id)?;
        stream
            .write_all(format!("READY I {position}\r\n").as_bytes())
            .ok()?;
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if from_control && self.wait_while_cut(id) {
                return None;
            }
            let text = line.trim_end_matches(['\r', '\n']);
            let (kind, rest) = text.split_once(' ').unwrap_or((text, ""));
            if kind != "QUERY" {
                return None;
            }
            let (query, text) = rest.split_once(' ')?;
            let mut answer = self.run(id, &mut session, query, text)?;
            let position = self.position(id)?;
            answer.push_str(&format!("READY {} {position}\r\n", session.state()));
            stream.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn position(&self, id: &str) -> Option<String> {
        let group = self.lock();
        let instance = group.instances.get(id).filter(|i| i.up)?;
        let (term, number) = if instance.is_primary {
            instance.received()
        } else {
            instance.applied(Instant::now())
        };
        Some(format!("{term}.{number}"))
    }

    /// Runs a statement; `None` if the instance has ended meanwhile.
    fn run(&self, id: &str, session: &mut Session, query: &str, text: &str) -> Option<String> {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (wait, verb, rest) = if verb == "WAITLSN" {
            let (position, rest) = rest.split_once(' ')?;
            let (term, number) = position.split_once('.')?;
            let (verb, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            (Some((term.parse().ok()?, number.parse().ok()?)), verb, rest)
        } else {
            (None, verb, rest)
        };
        let error = |code: &str| Some(format!("ERROR {code} {id}\r\n"));
        if let Some(wanted) = wait {
            let group = self.lock();
            let instance = group.instances.get(id).filter(|i| i.up)?;
            let has = instance.applied(Instant::now()) >= wanted;
            if !has {
                return error("LAGGING");
            }
        }
        let is_primary = || Some(self.lock().instances.get(id).filter(|i| i.up)?.is_primary);
        match verb {
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => return self.control(id, verb, rest),
            "SET" | "PREPARE" | "DEALLOCATE" | "DISCARD" => {
                if verb == "PREPARE" {
                    let mut words = rest.split(' ');
                    let name = words.next().unwrap_or("").to_owned();
                    session.prepared.insert(name, words.next() == Some("WRITE"));
                }
                return Some("COMPLETE -\r\n".to_owned());
            }
            "BEGIN" => {
                let read_only = rest == "READ";
                if !read_only && !is_primary()? {
                    return error("READONLY");
                }
                session.tx = Some(Tx {
                    read_only,
                    writes: Vec::new(),
                    failed: false,
                });
                return Some("COMPLETE -\r\n".to_owned());
            }
            "ROLLBACK" => {
                session.tx = None;
                return Some("COMPLETE -\r\n".to_owned());
            }
            _ => {}
        }
        if session.tx.as_ref().is_some_and(|tx| tx.failed) {
            return error("MALFORMED");
        }
        let writes = match verb {
            "WRITE" => true,
            "READ" | "COMMIT" => false,
            "EXECUTE" => {
                let name = rest.split(' ').next().unwrap_or("");
                match session.prepared.get(name) {
                    Some(writes) => *writes,
                    None => return error("NOSTMT"),
                }
            }
            _ => return error("MALFORMED"),
        };
        let plain = session.tx.as_ref().is_some_and(|tx| !tx.read_only);
        let wrote = session.tx.as_ref().is_some_and(|tx| !tx.writes.is_empty());
        let needs_lead = writes || (plain && (verb != "COMMIT" || wrote));
        if needs_lead && !is_primary()? {
            if let Some(tx) = &mut session.tx {
                tx.failed = true;
            }
            return error("READONLY");
        }
        record::line(&format!("run {query} on {id}: {text}"));
        let work = self.lock().work;
        std::thread::sleep(work);
        let signature = SIGNATURES.fetch_add(1, Ordering::Relaxed);
        let complete = format!("COMPLETE {signature:x}.{id}\r\n");
        match (verb, &mut session.tx) {
            ("COMMIT", tx) => {
                let writes = tx.take().map(|tx| tx.writes).unwrap_or_default();
                if !writes.is_empty() && !self.commit(id, writes)? {
                    return error("READONLY");
                }
                Some(complete)
            }
            (_, Some(tx)) if writes => {
                tx.writes.push(query.to_owned());
                Some(complete)
            }
            (_, None) if writes => {
                if !self.commit(id, vec![query.to_owned()])? {
                    return error("READONLY");
                }
                Some(complete)
            }
            _ => Some(format!("DATAROW v\r\n{complete}")),
        }
    }

    /// Commits writes and waits until a replica has received them; returns whether this instance
    /// leads, and `None` if it ends or is replaced meanwhile.
    fn commit(&self, id: &str, writes: Vec<String>) -> Option<bool> {
        let mut group = self.lock();
        let term = group.term;
        let instance = group.instances.get_mut(id).filter(|i| i.up)?;
        if !instance.is_primary {
            return Some(false);
        }
        let number = instance.received().1 + 1;
        let applied_at = Instant::now();
        instance.log.push(Commit {
            term,
            number,
            writes: writes.clone(),
            applied_at,
        });
        loop {
            let leads = |group: &Group| {
                let instance = group.instances.get(id);
                group.term == term && instance.is_some_and(|i| i.up && i.is_primary)
            };
            if !leads(&group) {
                return None;
            }
            if group.replicate() > 0 {
                for write in &writes {
                    group.acknowledged.push((write.clone(), record::now()));
                    record::line(&format!(
                        "commit {write} as {term}.{number} on {id}, acknowledged"
                    ));
                }
                return Some(true);
            }
            let waited = self.group.1.wait_timeout(group, Duration::from_millis(50));
            group = waited.unwrap().0;
        }
    }

    /// Leaves an order to receive again unanswered; returns whether it is one of these.
    fn leave_unanswered(&self, id: &str, verb: &str) -> bool {
        let mut group = self.lock();
        let Some(instance) = group.instances.get_mut(id) else {
            return false;
        };
        if verb != "RESUME" || !std::mem::take(&mut instance.late_resume) {
            return false;
        }
        record::say(&format!(
            "RESUME to {id} gets no answer, and is carried out later"
        ));
        instance.pending_resume = Some(Instant::now());
        true
    }

    /// Carries out the late order to receive again, if one is pending for long enough.
    fn carry_out_late_resume(&self, id: &str) {
        let arrived = self.lock().instances.get(id).and_then(|i| i.pending_resume);
        let Some(arrived) = arrived.filter(|at| at.elapsed() >= LATE_MIN) else {
            return;
        };
        let (service, id) = (self.clone(), id.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(30));
            let late = arrived.elapsed();
            assert!(
                late <= LATE_MAX,
                "an order is carried out 12 s late at most"
            );
            record::say(&format!(
                "the late RESUME to {id} is carried out, {late:.2?} after it was sent"
            ));
            service.change(&id, |instance| {
                instance.paused = 0;
                instance.pending_resume = None;
            });
        });
    }

    fn control(&self, id: &str, verb: &str, rest: &str) -> Option<String> {
        if self.leave_unanswered(id, verb) {
            std::thread::sleep(Duration::from_secs(3));
            return None;
        }
        if verb == "PAUSE" {
            self.carry_out_late_resume(id);
        }
        let mut group = self.lock();
        let newest = group.term;
        let instance = group.instances.get_mut(id).filter(|i| i.up)?;
        let term: u64 = rest.trim().parse().unwrap_or(0);
        match verb {
            "PAUSE" if !instance.is_primary && term > newest => {
                instance.paused = instance.paused.max(term);
                record::line(&format!("{id} is paused with term {term}"));
            }
            "RESUME" => {
                instance.paused = 0;
                record::line(&format!("{id} is resumed"));
            }
            "STEPDOWN" if instance.is_primary && term > newest => {
                instance.is_primary = false;
                instance.beat_now = true;
                record::say(&format!("{id} steps down"));
            }
            _ => {}
        }
        let role = if instance.is_primary {
            "primary"
        } else {
            "replica"
        };
        let (term, number) = instance.received();
        let row = format!(
            "DATAROW {role} {newest} {term}.{number} {} 0 0 {}\r\nCOMPLETE -\r\n",
            instance.paused, instance.open
        );
        if verb == "RESUME" {
            group.replicate();
            self.group.1.notify_all();
        }
        Some(row)
    }
}

/// An open transaction.
#[derive(Debug)]
struct Tx {
    read_only: bool,
    writes: Vec<String>,
    failed: bool,
}

/// The state of a connection.
#[derive(Debug, Default)]
struct Session {
    tx: Option<Tx>,
    prepared: BTreeMap<String, bool>,
}

impl Session {
    fn state(&self) -> &'static str {
        match &self.tx {
            None => "I",
            Some(tx) if tx.failed => "E",
            Some(_) => "T",
        }
    }
}

/// Starts the platform: it takes orders to promote an instance, and checks their fences.
pub fn start_platform(addr: SocketAddr, services: Vec<Service>) {
    let listener = TcpListener::bind(addr).expect("the platform's address is taken");
    std::thread::spawn(move || {
        let mut fences: BTreeMap<String, u64> = BTreeMap::new();
        for stream in listener.incoming().flatten() {
            let Ok(req) = wire::read_http(&stream) else {
                continue;
            };
            let service = wire::json_text(&req.body, "service").unwrap_or_default();
            let id = wire::json_text(&req.body, "id").unwrap_or_default();
            let token = req.header("x-carawaycourse-fencing-token").unwrap_or("0");
            let token: u64 = token.parse().unwrap_or(0);
            let holder = req.header("x-carawaycourse-lease-holder").unwrap_or("-");
            let fence = fences.entry(service.clone()).or_default();
            let found = services.iter().find(|known| known.lock().name == service);
            let status = if token < *fence {
                409
            } else {
                *fence = token;
                match found {
                    None => 400,
                    Some(found) => {
                        let state = found.lock();
                        let instance = state.instances.get(&id).filter(|i| i.up);
                        let leads = instance.map(|i| i.is_primary);
                        drop(state);
                        match leads {
                            None => 409,
                            Some(true) => 200,
                            Some(false) => {
                                found.promote_later(&id);
                                200
                            }
                        }
                    }
                }
            };
            record::say(&format!(
                "platform: promote {id} of {service} by {holder} with token {token}: {status}"
            ));
            let mut stream = stream;
            let body = "{}";
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
                 \r\n{body}",
                body.len()
            );
            let _ = stream.write_all(response.as_bytes());
            // The connection stays open until the caller closes it.
            std::thread::spawn(move || {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                let _ = std::io::Read::read(&mut stream, &mut [0; 64]);
            });
        }
    });
}
