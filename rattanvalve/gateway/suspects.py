"""Places requests that may have crashed the endpoint that ran them."""

from collections.abc import Collection

from rattanvalve.rendezvous import rank
from rattanvalve.sharedstate.request_crashes import CrashTable

__all__ = ('place_suspect',)


def place_suspect(
    table: CrashTable, fingerprint: str, names: Collection[str]
) -> str | None:
    """Choose the endpoint of a suspect.

    All gateways choose the same one for repetitions of the same request, so
    that they crash one endpoint and not several at once. Different suspects are
    spread, which shows the one that is to blame. Those with several crashes get
    endpoints of their own, as far as there are enough.

    :param table: crashes of endpoints.
    :param fingerprint: fingerprint of the request.
    :param names: names of the endpoints that may take it.
    :returns: name of the endpoint; ``None`` if there are none.
    """
    taken: set[str] = set()
    for isolated in table.isolated[: len(names)]:
        name = _first_free(isolated, names, taken)
        if isolated == fingerprint:
            return name
        taken.add(name)
    return _first_free(fingerprint, names, taken)


def _first_free(
    fingerprint: str, names: Collection[str], taken: Collection[str]
) -> str | None:
    """Return the first name for a fingerprint, if possible one not taken."""
    ranked = rank(fingerprint, names)
    return next(
        (name for name in ranked if name not in taken),
        ranked[0] if ranked else None,
    )
