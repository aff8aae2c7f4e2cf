"""Bounds on the age of the documents by which a process decides.

A change passes from the store to a watcher, and by an exchange from there to
the other processes. Each step may fail without a sign. A process therefore
calls the store itself while enough of the bound is left for the call, and all
times of the earlier steps follow from that.
"""

from dataclasses import dataclass

from rattanvalve.sharedstate.document_kinds import DocumentKind

__all__ = ('EXCHANGE_JITTER', 'StalenessBounds', 'StalenessBudget')

#: Share of a bound that is left for a process's own call of the store.
CALL_SHARE = 0.25
#: Share by which backup watchers call the store earlier than other gateways.
BACKUP_SHARE = 0.15
#: Largest share of a bound between two exchanges with peers.
EXCHANGE_SHARE = 0.3
#: Factor of the longest random interval between two exchanges.
EXCHANGE_JITTER = 1.2
#: Longest interval between two exchanges, whatever the bound.
EXCHANGE_INTERVAL_MAX_S = 1.0
#: Share for the way of the answers of a watch and of an exchange.
ANSWER_SHARE = 0.05
#: Longest wait of a watch. Each wait is random between this share of the
#: longest one and the longest one, so that several watchers answer in turn.
WATCH_WAIT_MAX_S = 3.5
WATCH_WAIT_SHARE_MIN = 0.7


@dataclass(frozen=True, slots=True)
class StalenessBudget:
    """Times of the steps that keep a document within its bound, in seconds.

    :param bound_s: time within which an acknowledged change must be in force.
    """

    bound_s: float

    @property
    def call_timeout_s(self) -> float:
        """Return how long a process waits for its own call of the store."""
        return self.bound_s * CALL_SHARE

    @property
    def call_age_s(self) -> float:
        """Return the age from which each process calls the store itself."""
        return self.bound_s - self.call_timeout_s

    @property
    def backup_age_s(self) -> float:
        """Return the age from which backup watchers call the store."""
        return self.call_age_s - self.bound_s * BACKUP_SHARE

    @property
    def exchange_interval_s(self) -> float:
        """Return the longest mean interval between two exchanges."""
        return min(EXCHANGE_INTERVAL_MAX_S, self.bound_s * EXCHANGE_SHARE)

    @property
    def watch_wait_s(self) -> float:
        """Return the longest wait of a watch.

        While all steps work, no process but the watchers calls the store.
        """
        exchange_s = self.exchange_interval_s * EXCHANGE_JITTER
        answers_s = self.bound_s * ANSWER_SHARE
        return min(WATCH_WAIT_MAX_S, self.call_age_s - exchange_s - answers_s)


@dataclass(frozen=True, slots=True)
class StalenessBounds:
    """Times within which an acknowledged change must be in force, in seconds.

    The platform states them in the settings of each process.
    """

    rules_s: float = 2.0
    endpoints_s: float = 2.0
    members_s: float = 4.5

    def bound_s(self, kind: str) -> float:
        """Return the bound of one kind of document.

        :param kind: kind of document.
        :returns: time in seconds; retirements have the bound of the members.
        """
        bounds_s = {
            DocumentKind.RULES: self.rules_s,
            DocumentKind.SERVERS: self.endpoints_s,
        }
        return bounds_s.get(kind, self.members_s)

    def budget(self, kind: str) -> StalenessBudget:
        """Return the times of the steps for one kind of document.

        :param kind: kind of document.
        :returns: the budget within the bound of the kind.
        """
        return StalenessBudget(self.bound_s(kind))

    @property
    def exchange_interval_s(self) -> float:
        """Return the longest mean interval between two exchanges.

        :returns: interval in seconds that suits all kinds of documents.
        """
        return min(
            self.budget(kind).exchange_interval_s for kind in DocumentKind
        )
