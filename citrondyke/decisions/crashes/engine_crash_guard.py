"""Applies the rule for poison requests to engines whose crashes nobody reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.core.ops import SendPeer
from citrondyke.decisions.core.server_call import ReplyKind
from citrondyke.decisions.crashes.crash_event import CrashCounted, RequestBlocked
from citrondyke.decisions.crashes.probe_policy import ITEM_PROBES, ONLINE_PROBES
from citrondyke.decisions.crashes.response_phase import is_past_start
from citrondyke.decisions.crashes.suspect_registry import (
    STORED_SCORE,
    SuspectRegistry,
    SuspectStatus,
    SuspectVerdict,
)
from citrondyke.decisions.membership.peer_messages import SuspectNotice
from citrondyke.util.hashing import content_hash, rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.core.server_call import ServerReply
    from citrondyke.decisions.crashes.probe_policy import ProbePolicy
    from citrondyke.decisions.crashes.suspect_key import RequestKeys, SuspectKey
    from citrondyke.ids import InstanceId, RequestId, ServerId

__all__ = ('EngineCrashGuard',)

#: Interrupted requests within the same interval at one engine are put down to the same crash; the
#: connections of a crashed engine break within some ms.
CRASH_GRAIN_MS = 100.0
#: Turn of the instance that may grant a probe; clocks of instances differ by less.
PROBE_TURN_MS = 5_000.0


class EngineCrashGuard:
    """Tracks what engines crash under, and gives verdicts on whether to send a request.

    An engine restarts within moments and may keep its address and its process, so that an
    interrupted response is all that shows a crash. Instances exchange their evidence.
    """

    def __init__(self, context: Context, peers: Callable[[], list[InstanceId]] = list) -> None:
        """Start without any suspects.

        :param peers: returns the other live instances.
        """
        self._context = context
        self._peers = peers
        self._suspects = SuspectRegistry(context)
        #: Suspects that peers know, and those that have changed since.
        self._published: set[SuspectKey] = set()
        self._changed: dict[SuspectKey, None] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether any request may be blocked."""
        return len(self._suspects) > 0

    def verdict_on(self, keys: RequestKeys, policy: ProbePolicy = ONLINE_PROBES) -> SuspectVerdict:
        """Return whether a request may be sent; a probe that is due is claimed with it."""
        verdict = self._suspects.verdict_on(keys, policy)
        if verdict.status is not SuspectStatus.PROBE_DUE or verdict.key is None:
            return verdict
        if not self._may_probe(verdict.key):
            return SuspectVerdict(SuspectStatus.PROBE_RUNNING, verdict.key, has_suspected_part=True)
        self._suspects.merge(self._suspects.probe_row(verdict.key))
        self._changed[verdict.key] = None
        return verdict

    def report_blocked(self, request_id: RequestId, verdict: SuspectVerdict) -> None:
        """Report that a request or an item is not sent."""
        if verdict.key is not None:
            self._context.report(
                RequestBlocked(
                    request_id=request_id,
                    digest=verdict.key.digest,
                    is_prompt_part=verdict.key.is_part,
                    crashes=self._suspects.score(verdict.key),
                    is_probe_running=verdict.status is SuspectStatus.PROBE_RUNNING,
                )
            )

    def is_confirmed(self, keys: RequestKeys) -> bool:
        """Return whether a request is blocked by a key that has crashed its probe, too."""
        verdict = self._suspects.verdict_on(keys, ITEM_PROBES)
        return (
            verdict.status is SuspectStatus.STOPPED
            and verdict.key is not None
            and self._suspects.has_failed_probe(verdict.key)
        )

    def record_reply(
        self,
        keys: RequestKeys,
        server_id: ServerId,
        reply: ServerReply,
        took_ms: float,
        *,
        is_item: bool = False,
    ) -> None:
        """Record how a request ended at an engine.

        :param took_ms: time from the send to the end of the reply.
        :param is_item: whether it is a batch item. Its whole content does not count, since an item
            has a limit of attempts over all holders.
        """
        if reply.kind is ReplyKind.COMPLETE and reply.status < 300:  # noqa: PLR2004
            self._suspects.record_answered(keys)
            for key in self._suspects.suspected_keys(keys):
                if self._suspects.record_survived(key):
                    self._changed[key] = None
        elif reply.kind is ReplyKind.CUT:
            crash = int(self._context.epoch_ms() // CRASH_GRAIN_MS)
            server = content_hash(f'{server_id}/{crash}'.encode()) & 0xFFFF_FFFF
            is_fresh = not is_past_start(reply.first_frame_ms, took_ms)
            for key in keys.parts if is_item else (keys.content, *keys.parts):
                if not self._suspects.record_server_exit(key, server, is_fresh=is_fresh):
                    continue
                self._changed[key] = None
                self._context.report(
                    CrashCounted(
                        server_id=server_id,
                        digest=key.digest,
                        is_prompt_part=key.is_part,
                        crashes=self._suspects.score(key),
                    )
                )

    def publish(self) -> Workflow[None]:
        """Send changed evidence to the peers.

        Of whole requests, nearly all of which are innocent, only that of several crashes is sent.
        """
        changed, self._changed = self._changed, {}
        for key in changed:
            is_significant = key.is_part or self._suspects.score(key) >= STORED_SCORE
            row = self._suspects.row(key)
            if row is None or not (is_significant or key in self._published):
                continue
            self._published.add(key)
            for peer in self._peers():
                yield SendPeer(peer, SuspectNotice(row))
        if len(self._published) > len(self._suspects):
            self._published.intersection_update(self._suspects.suspects())

    def on_notice(self, notice: SuspectNotice) -> None:
        """Merge a peer's evidence."""
        self._suspects.merge(notice.row)

    def _may_probe(self, key: SuspectKey) -> bool:
        """Return whether this instance may grant a probe of a suspect now.

        One instance at a time may, by turns: an instance that no request with the suspect reaches
        grants none, and lets its turn pass.
        """
        own = self._context.instance_id
        turn = int(self._context.epoch_ms() // PROBE_TURN_MS)
        return own == max(
            [own, *self._peers()],
            key=lambda each: rendezvous_weight(each, f'{key.digest} {turn}'),
        )
