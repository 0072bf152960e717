//! What must hold of the effects of owners.

use decide::relay::RelayMsg;
use decide::{Effect, Event, Msg};
use model::{ConnId, Kind, PartAddr, Verdict};

use super::{Chaos, Conn};

impl Chaos {
    /// Checks each effect against what the upstream and the senders have seen.
    pub(super) fn check(&mut self) {
        for event in self.world.take_raised() {
            let Event::AwaitCommit(wait) = event else {
                panic!("unexpected event {event:?}");
            };
            let id = self.reporting.expect("only an outcome is to be confirmed");
            self.tickets.insert(wait.ticket, id);
        }
        for effect in self.world.take_effects() {
            match effect {
                Effect::OpenConn { conn, .. } => self.on_open(conn),
                Effect::CloseConn(conn) => {
                    let state = self.conns.remove(&conn).expect("closes one that is gone");
                    assert_eq!(state.runs, None, "closes one that runs a request");
                }
                Effect::RunOnConn { conn, payload, .. } => self.on_run(conn, &payload),
                Effect::Send {
                    to,
                    msg: Msg::Relay(msg),
                } => self.on_reply(&to, &msg),
                Effect::Log(_)
                | Effect::Send {
                    msg: Msg::Group(_), ..
                } => {}
                effect => panic!("unexpected effect {effect:?}"),
            }
        }
    }

    fn on_open(&mut self, conn: ConnId) {
        let (_, connections, until) = self.claim;
        assert!(!self.leaving, "opens a connection while leaving");
        assert!(
            self.world.now() < until,
            "opens a connection without a claim"
        );
        assert!(self.conns.len() < connections as usize, "over the claim");
        self.conns.insert(conn, Conn::default());
        self.count("opened");
    }

    fn on_run(&mut self, conn: ConnId, payload: &[u8]) {
        let (slots, _, until) = self.claim;
        let busy = self.conns.values().filter(|conn| conn.runs.is_some());
        assert!(busy.count() < slots as usize, "more than the claim's slots");
        assert!(self.world.now() < until, "runs without a claim");
        let id = u64::from_le_bytes(payload.try_into().unwrap());
        let sent = &self.requests[id as usize];
        assert!(sent.sent == 0, "runs for a second time: {sent:?}");
        assert_eq!(sent.replies, 0, "runs after its reply: {sent:?}");
        let state = self.conns.get_mut(&conn).expect("runs on one that is gone");
        assert!(
            state.open && state.runs.is_none(),
            "runs on a busy connection"
        );
        let own = (sent.from.clone(), sent.run.session);
        match &state.transaction {
            Some(owner) => assert_eq!(*owner, own, "mixes transactions"),
            None => assert_eq!(sent.run.pin, None, "the transaction is gone: {sent:?}"),
        }
        state.runs = Some(id);
        self.count("ran");
    }

    fn on_reply(&mut self, to: &PartAddr, msg: &RelayMsg) {
        let (id, what) = match msg {
            RelayMsg::Answer { id, answer, .. } => (*id, Some(answer.verdict)),
            RelayMsg::Bounce { id, .. } => (*id, None),
            msg => panic!("unexpected message {msg:?}"),
        };
        let sent = &mut self.requests[id as usize];
        sent.replies += 1;
        assert_eq!(sent.from, *to, "goes to another sender");
        assert_eq!(sent.replies, 1, "a second reply: {sent:?}");
        let harmless = sent.run.req.kind == Kind::Read || sent.run.req.repeatable;
        match what {
            Some(Verdict::Ran) => {
                assert!(sent.may_have_run && !sent.unconfirmed, "not yet: {sent:?}");
                self.count("answered");
            }
            Some(Verdict::MayHaveRun) => self.count("may-have-run"),
            Some(Verdict::NotRun(_)) => {
                assert!(!sent.may_have_run, "has run: {sent:?}");
                self.count("refused");
            }
            None => {
                assert!(!sent.may_have_run || harmless, "has run: {sent:?}");
                self.count("bounced");
            }
        }
    }
}
