"""What a decision on the origin of a stream was based on, for its log line."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from citrondyke.decisions.streams.stored_origins import StoredOrigins
from citrondyke.decisions.streams.stream_origin import OriginView

__all__ = ('OriginEvidence',)


class OriginEvidence(msgspec.Struct):
    """Inputs of a decision, and how old they are."""

    #: What the instance's own list tells.
    view: OriginView
    #: For how long that list has been followed without a gap.
    covered_ms: float
    #: Time since the first unanswered call of the store; 0 if it answers.
    store_unanswered_ms: float
    #: What peers that answered know.
    peer_views: Sequence[OriginView] = ()
    #: What the store tells; ``None`` if it was not asked or did not answer.
    stored: StoredOrigins | None = None

    def log_fields(self) -> dict[str, Any]:
        """Return the fields of the log line."""
        return {
            'origins': _names(self.view),
            'is_complete': self.view.is_complete,
            'covered_ms': round(self.covered_ms),
            'store_unanswered_ms': round(self.store_unanswered_ms),
            'answers': len(self.peer_views),
            'complete_answers': sum(view.is_complete for view in self.peer_views),
            'peer_origins': _names(*self.peer_views),
            **({} if self.stored is None else _stored_fields(self.stored)),
        }


def _names(*views: OriginView) -> list[str]:
    origins = {origin for view in views for origin in view.origins}
    return sorted(f'{each.service} {each.version}' for each in origins)


def _stored_fields(stored: StoredOrigins) -> dict[str, Any]:
    return {
        'stored_versions': sorted(
            f'{service} {version}'
            for service, each in stored.by_service.items()
            for version in each.versions
        ),
        # Weights of each split, and how long ago it was replaced.
        'splits': [
            (split.weights, stored.replaced_ms_ago(split))
            for each in stored.by_service.values()
            for split in each.splits
        ],
        'exceptions': len(stored.exceptions.by_key),
        'exceptions_whole': stored.exceptions.is_whole,
    }
