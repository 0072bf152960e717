//! Invariants that each effect of the owners must keep.

use decide::relay::RelayMsg;
use decide::{Effect, Event, Msg};
use model::{ConnId, Kind, PartAddr, Verdict};

use super::{Chaos, ConnState};

impl Chaos {
    /// Checks each effect against the state of the upstream's connections and the senders' requests.
    pub(super) fn check_effects(&mut self) {
        for event in self.harness.take_raised() {
            let Event::AwaitCommit(wait) = event else {
                panic!("unexpected event {event:?}");
            };
            let id = self
                .finishing_request
                .expect("confirmation is asked for while no outcome is handled");
            self.tickets.insert(wait.ticket, id);
        }
        for effect in self.harness.take_effects() {
            match effect {
                Effect::OpenConn { conn, .. } => self.check_open(conn),
                Effect::CloseConn(conn) => {
                    let conn_state = self
                        .conns
                        .remove(&conn)
                        .expect("closes a connection that no longer exists");
                    assert_eq!(
                        conn_state.runs, None,
                        "closes a connection that runs a request"
                    );
                }
                Effect::RunOnConn { conn, payload, .. } => self.check_run(conn, &payload),
                Effect::Send {
                    to,
                    msg: Msg::Relay(msg),
                } => self.check_reply(&to, &msg),
                Effect::Log(_)
                | Effect::Send {
                    msg: Msg::Group(_), ..
                } => {}
                effect => panic!("unexpected effect {effect:?}"),
            }
        }
    }

    fn check_open(&mut self, conn: ConnId) {
        let (_, connections, until) = self.claim;
        assert!(!self.leaving, "opens a connection while leaving");
        assert!(
            self.harness.now() < until,
            "opens a connection without a claim"
        );
        assert!(
            self.conns.len() < connections as usize,
            "more connections than the claim"
        );
        self.conns.insert(conn, ConnState::default());
        self.count("opened");
    }

    fn check_run(&mut self, conn: ConnId, payload: &[u8]) {
        let (slots, _, until) = self.claim;
        let busy = self.conns.values().filter(|conn| conn.runs.is_some());
        assert!(
            busy.count() < slots as usize,
            "more requests than the claim's slots"
        );
        assert!(self.harness.now() < until, "runs without a claim");
        let id = u64::from_le_bytes(payload.try_into().unwrap());
        let sent = &self.requests[id as usize];
        assert!(sent.times_sent == 0, "runs for a second time: {sent:?}");
        assert_eq!(sent.replies, 0, "runs after its reply: {sent:?}");
        let conn_state = self
            .conns
            .get_mut(&conn)
            .expect("runs on a connection that is gone");
        assert!(
            conn_state.open && conn_state.runs.is_none(),
            "runs on a busy connection"
        );
        let owner_of_request = (sent.from.clone(), sent.run.session);
        match &conn_state.transaction {
            Some(owner) => assert_eq!(
                *owner, owner_of_request,
                "a request runs in another session's transaction"
            ),
            None => assert_eq!(sent.run.pin, None, "the transaction is gone: {sent:?}"),
        }
        conn_state.runs = Some(id);
        self.count("ran");
    }

    fn check_reply(&mut self, to: &PartAddr, msg: &RelayMsg) {
        let (id, verdict) = match msg {
            RelayMsg::Answer { id, answer, .. } => (*id, Some(answer.verdict)),
            RelayMsg::Bounce { id, .. } => (*id, None),
            msg => panic!("unexpected message {msg:?}"),
        };
        let sent = &mut self.requests[id as usize];
        sent.replies += 1;
        assert_eq!(
            sent.from, *to,
            "the reply goes to another part than the request's sender"
        );
        assert_eq!(sent.replies, 1, "a second reply: {sent:?}");
        let may_run_twice = sent.run.req.kind == Kind::Read || sent.run.req.repeatable;
        match verdict {
            Some(Verdict::Ran) => {
                assert!(
                    sent.may_have_run && !sent.awaits_confirmation,
                    "answered before it ran and was confirmed: {sent:?}"
                );
                self.count("answered");
            }
            Some(Verdict::MayHaveRun) => self.count("may-have-run"),
            Some(Verdict::NotRun(_)) => {
                assert!(
                    !sent.may_have_run,
                    "reported as not run, but may have run: {sent:?}"
                );
                self.count("refused");
            }
            None => {
                assert!(
                    !sent.may_have_run || may_run_twice,
                    "reported as not run, but may have run: {sent:?}"
                );
                self.count("bounced");
            }
        }
    }
}
