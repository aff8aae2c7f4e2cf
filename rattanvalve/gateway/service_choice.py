"""Chooses the service of a request on a route with a weighted split."""

from hashlib import blake2b

from rattanvalve.sharedstate.rules import Route

__all__ = ('choose_service',)

_DIGEST_BYTES = 8


def choose_service(route: Route, request_id: str) -> str:
    """Choose a service with a probability proportional to its weight.

    :param route: route of the request.
    :param request_id: id whose hash selects the service, so that equal ids
        select the same service.
    :returns: name of the service.
    """
    if len(route.services) == 1:
        return route.services[0][0]
    digest = blake2b(request_id.encode(), digest_size=_DIGEST_BYTES).digest()
    # Rounding must not select a service without a share.
    shares = [share for share in route.services if share[1]] or route.services
    total = sum(weight for _, weight in shares)
    point = int.from_bytes(digest, 'big') / 2 ** (8 * _DIGEST_BYTES) * total
    for service, weight in shares:
        point -= weight
        if point < 0:
            return service
    return shares[-1][0]
