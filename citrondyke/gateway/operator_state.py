"""State page for operators: accounts and poison suspects of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.operator.account_report import AccountState, InstanceState, SuspectState

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.steward_rate_limiter import StewardRateLimiter
    from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry
    from citrondyke.decisions.forwarding.replicated_config import ReplicatedConfig
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.ids import InstanceId

__all__ = ('OperatorState',)


class OperatorState:
    """Builds the state page when it is requested."""

    def __init__(
        self,
        instance_id: InstanceId,
        config: ReplicatedConfig,
        limits: StewardRateLimiter,
        suspects: SuspectRegistry,
        metrics: Metrics,
    ) -> None:
        """Use the parts handed in."""
        self._instance_id = instance_id
        self._config = config
        self._limits = limits
        self._suspects = suspects
        self._metrics = metrics

    def page(self) -> bytes:
        """Return the state as JSON."""
        table = self._config.table
        state = InstanceState(
            instance=self._instance_id,
            config_version=table.version,
            accounts=[
                AccountState(
                    id=account.id,
                    rate_per_s=account.rate_per_s,
                    burst=account.burst,
                    verdicts=self._metrics.account_verdicts(account.id),
                    steward=self._limits.steward_count(account.id),
                )
                for account in table.accounts or ()
            ],
            suspects=[
                SuspectState(
                    content=key.digest,
                    is_prompt_part=key.is_part,
                    standing=self._suspects.status_of(key).value,
                    servers_ended=self._suspects.score(key),
                    trials=self._suspects.probes_count(key),
                )
                for key in self._suspects.suspects()
            ],
        )
        return msgspec.json.encode(state)
