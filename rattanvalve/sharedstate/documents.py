"""Versioned documents that processes get from the store or from peers."""

from collections.abc import Callable

from rattanvalve.messages import Document
from rattanvalve.sharedstate.document_kinds import DocumentKind

__all__ = ('DocumentBoard', 'DocumentKind')

Listener = Callable[[bytes], None]


class DocumentBoard:
    """Holds the newest known document of each kind; versions only increase."""

    def __init__(self) -> None:
        self._documents = {kind: Document(kind=kind) for kind in DocumentKind}
        self._listeners: dict[str, list[Listener]] = {
            kind: [] for kind in DocumentKind
        }
        self._confirmed_s = dict.fromkeys(DocumentKind, float('-inf'))
        self._member_confirmed_s = self._confirmed_s.copy()
        self._failed_s = self._confirmed_s.copy()

    def confirm(
        self, kind: str, confirmed_s: float, *, is_from_member: bool = False
    ) -> None:
        """Record when the store last confirmed the newest version.

        An earlier time than the recorded one is ignored.

        :param kind: kind of document.
        :param confirmed_s: monotonic time in seconds, no later than the state
            of the store that was seen.
        :param is_from_member: whether a turn store told it.
        """
        _raise_time(self._confirmed_s, kind, confirmed_s)
        if is_from_member:
            _raise_time(self._member_confirmed_s, kind, confirmed_s)

    def record_failure(self, kind: str, now_s: float) -> None:
        """Record a failed call of the store.

        :param kind: kind of document.
        :param now_s: monotonic time in seconds.
        """
        self._failed_s[kind] = now_s

    def is_store_failing(self, kind: str) -> bool:
        """Return whether this process's newest call of the store failed.

        :param kind: kind of document.
        :returns: whether no confirmation is newer than a failed call.
        """
        return self._failed_s[kind] > self._confirmed_s[kind]

    def confirmed_s(self, kind: str) -> float:
        """Return when the store last confirmed the newest version.

        :param kind: kind of document.
        :returns: monotonic time in seconds; minus infinity without a
            confirmation.
        """
        return self._confirmed_s[kind]

    def confirmation_age_s(self, kind: str, now_s: float) -> float:
        """Compute the age of the last confirmation by the store.

        :param kind: kind of document.
        :param now_s: monotonic time in seconds.
        :returns: age in seconds; infinite without a confirmation.
        """
        return now_s - self._confirmed_s[kind]

    def member_confirmation_age_s(self, kind: str, now_s: float) -> float:
        """Compute the age of the last confirmation that a turn store told.

        :param kind: kind of document.
        :param now_s: monotonic time in seconds.
        :returns: age in seconds; infinite without one.
        """
        return now_s - self._member_confirmed_s[kind]

    def subscribe(self, kind: DocumentKind, listener: Listener) -> None:
        """Register a listener for new documents of a kind.

        :param kind: kind of document.
        :param listener: called with the body of each newer document before it
            is adopted; if it raises, the document is not adopted.
        """
        self._listeners[kind].append(listener)

    def newest(self, kind: str) -> Document:
        """Return the newest known document.

        :param kind: kind of document.
        :returns: the document; an empty one of version 0 if none is known.
        """
        return self._documents.get(kind, Document(kind=kind))

    def offer(self, document: Document) -> bool:
        """Adopt a document if it is newer than the known one.

        :param document: document from the store, a peer or the disk.
        :returns: whether the document was adopted.
        :raises ConfigurationError: if a listener cannot decode the body.
        """
        known = self._documents.get(document.kind)
        if known is None or document.version <= known.version:
            return False
        for listener in self._listeners[document.kind]:
            listener(document.body)
        self._documents[document.kind] = document
        return True


def _raise_time(times_s: dict, kind: str, time_s: float) -> None:
    times_s[kind] = max(times_s.get(kind, time_s), time_s)
