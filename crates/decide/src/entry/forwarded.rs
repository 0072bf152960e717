//! Reads that an owner has forwarded to an owner of a sibling instance.

use model::{PartAddr, RequestId, UpstreamId};

use crate::Cx;
use crate::admit::Admission;
use crate::entry::CallerRequests;
use crate::route::ReadPolicy;

impl<R: ReadPolicy, A: Admission> CallerRequests<R, A> {
    /// Records that an owner has forwarded a read, so that a cancellation, a check of silent owners
    /// or the loss of a link concerns the owner that has it now, and that the first upstream is
    /// loaded.
    pub fn on_forwarded(
        &mut self,
        cx: &mut Cx<'_>,
        from: &PartAddr,
        id: RequestId,
        upstream: UpstreamId,
        owner: PartAddr,
    ) {
        let target = self.requests.target_mut(id);
        let Some(target) = target.filter(|to| to.owner == *from && to.pin.is_none()) else {
            return;
        };
        let loaded = std::mem::replace(&mut target.upstream, upstream);
        target.owner = owner.clone();
        target.forwarded_by = Some(from.host.clone());
        self.router.failures.record_loaded(cx.now, &loaded);
        self.router.checks.expect(cx, &owner);
    }
}
