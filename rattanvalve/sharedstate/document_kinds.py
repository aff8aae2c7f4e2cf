"""Kinds of the documents that processes share."""

import enum

__all__ = ('DocumentKind',)


class DocumentKind(enum.StrEnum):
    """Kinds of shared documents."""

    RULES = 'rules'
    SERVERS = 'servers'
    MEMBERS = 'members'
    #: Used by the turn stores only.
    RETIREMENTS = 'retirements'
