"""Bounds on the age of the documents by which a process decides."""

from dataclasses import dataclass

from rattanvalve.sharedstate.documents import DocumentKind

__all__ = ('StalenessBounds',)


@dataclass(frozen=True, slots=True)
class StalenessBounds:
    """Times within which an acknowledged change must be in force, in seconds.

    The platform states them in the settings of each process.
    """

    rules_s: float = 2.0
    endpoints_s: float = 2.0
    members_s: float = 4.5

    def bound_s(self, kind: DocumentKind) -> float:
        """Return the bound of one kind of document.

        :param kind: kind of document.
        :returns: time in seconds; retirements have the bound of the members.
        """
        bounds_s = {
            DocumentKind.RULES: self.rules_s,
            DocumentKind.SERVERS: self.endpoints_s,
        }
        return bounds_s.get(kind, self.members_s)
