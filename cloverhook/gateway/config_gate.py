"""Decides whether requests may be handled by the configuration in force.

Layer: coordination.  A VM that knows of a newer configuration and has not put it in force yet may
still be within the time that this may take.  Afterwards it handles no request by the old one: a
rejection is better for a caller than a route that the operator has changed.  While the store
doesn't answer there may be no way to the newer one, and requests are served as before.
"""

from collections.abc import Callable

from cloverhook.errors import ErrorKind
from cloverhook.gateway.authorization import Access
from cloverhook.gateway.gateway_state import GatewayState

__all__ = ["ConfigGate"]

MARGIN_MS = 100.0
"""The gate closes this long before the bound, as a request may have waited to be read."""
UNKNOWN_ROUTE_SHARE = 2.0
"""For this many times the bound, a route that isn't known may be one of the newer configuration."""


class ConfigGate:
    """The age limit of the configuration on which a VM acts."""

    def __init__(
        self,
        gateway_state: GatewayState,
        bound_ms: float,
        behind_ms: Callable[[float], float],
        store_has_failed: Callable[[], bool],
        revocation_bound_ms: float | None = None,
    ) -> None:
        """`behind_ms` returns for how long a newer configuration has been known, given the time.

        `store_has_failed` returns whether this VM's last attempt to ask the store has failed.  With
        `revocation_bound_ms`, no key counts longer than that after the configuration was known to
        be the newest, because it may have been revoked.
        """
        self._revocation_bound_ms = revocation_bound_ms
        self._gateway_state = gateway_state
        self._bound_ms = bound_ms
        self._behind_ms = behind_ms
        self._store_has_failed = store_has_failed

    def is_open(self, now_ms: float) -> bool:
        """Return whether requests may be handled by the configuration in force."""
        if not self._behind_ms(now_ms):
            return True
        return self._is_confirmed(now_ms) or self._store_has_failed()

    def may_lack_routes(self, now_ms: float) -> bool:
        """Return whether a newer configuration may have a route that isn't known here.

        That is so while a newer one is known, and while this one has not been confirmed in time,
        whatever the reason: then nothing shows that the route does not exist.  Nothing does either
        while items of the configuration could not be understood.
        """
        config = self._gateway_state.config
        if not self._is_confirmed(now_ms) or (config is not None and config.rejected_items):
            return True
        return 0.0 < self._behind_ms(now_ms) <= UNKNOWN_ROUTE_SHARE * self._bound_ms

    def reject_key(self, access: Access, now_ms: float) -> ErrorKind | None:
        """Return why a request that needs the key of an account is rejected, or None if it isn't.

        A key that isn't known may be one of a newer configuration, as a route may.
        """
        if access.account is None:
            unsure = self.may_lack_routes(now_ms)
            return ErrorKind.OUTDATED if unsure else ErrorKind.UNKNOWN_KEY
        bound_ms = self._revocation_bound_ms
        age_ms = self._gateway_state.config_freshness.age_ms(now_ms)
        if bound_ms is not None and age_ms > bound_ms - MARGIN_MS:
            return ErrorKind.OUTDATED
        return None

    def _is_confirmed(self, now_ms: float) -> bool:
        """Return whether the configuration was the newest within the bound."""
        age_ms = self._gateway_state.config_freshness.age_ms(now_ms)
        return age_ms <= self._bound_ms - MARGIN_MS
