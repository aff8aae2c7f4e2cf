"""Versioned documents that processes learn from the store or from peers."""

import enum
from collections.abc import Callable

from rattanvalve.messages import Document

__all__ = ('DocumentBoard', 'DocumentKind')

Listener = Callable[[bytes], None]


class DocumentKind(enum.StrEnum):
    """Kinds of shared documents."""

    RULES = 'rules'
    SERVERS = 'servers'
    MEMBERS = 'members'
    #: Only the turn stores need it.
    RETIREMENTS = 'retirements'


class DocumentBoard:
    """Newest known version of each document; a version never goes back."""

    def __init__(self) -> None:
        self._documents = {kind: Document(kind=kind) for kind in DocumentKind}
        self._listeners: dict[str, list[Listener]] = {
            kind: [] for kind in DocumentKind
        }
        self._confirmed_s = dict.fromkeys(DocumentKind, float('-inf'))

    def confirm(self, kind: str, confirmed_s: float) -> None:
        """Note when the store last confirmed the newest version.

        :param kind: kind of document.
        :param confirmed_s: monotonic time in seconds.
        """
        known_s = self._confirmed_s.get(kind, confirmed_s)
        self._confirmed_s[kind] = max(known_s, confirmed_s)

    def doubt(self, kind: str) -> None:
        """Note that this process has lost the store, until it is confirmed.

        :param kind: kind of document.
        """
        self._confirmed_s[kind] = float('-inf')

    def age_s(self, kind: str, now_s: float) -> float:
        """Tell how old the confirmation of the newest version is.

        :param kind: kind of document.
        :param now_s: monotonic time in seconds.
        :returns: seconds; infinite if there was none.
        """
        return now_s - self._confirmed_s[kind]

    def listen(self, kind: DocumentKind, listener: Listener) -> None:
        """Call a function with each new document of a kind.

        :param kind: kind of document.
        :param listener: gets the body; an exception refuses the document.
        """
        self._listeners[kind].append(listener)

    def newest(self, kind: str) -> Document:
        """Give the newest document.

        :param kind: kind of document.
        :returns: the document; version 0 if there is none.
        """
        return self._documents.get(kind, Document(kind=kind))

    def offer(self, document: Document) -> bool:
        """Adopt a document if it is newer.

        :param document: document from the store or a peer.
        :returns: whether it was adopted.
        :raises ConfigurationError: if a listener cannot read it.
        """
        known = self._documents.get(document.kind)
        if known is None or document.version <= known.version:
            return False
        for listener in self._listeners[document.kind]:
            listener(document.body)
        self._documents[document.kind] = document
        return True
