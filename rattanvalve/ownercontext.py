"""What decisions of an owner depend on, and how they wait or refuse."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from rattanvalve.actmode import ActMode
from rattanvalve.catalog import Catalog
from rattanvalve.messages import Begin, Member, Refusal, View
from rattanvalve.ratelimit import RATE_WAIT_MAX_S, Bucket
from rattanvalve.resultcodes import ResultCode
from rattanvalve.routing import PlacementRequest

__all__ = (
    'OwnerContext',
    'Wait',
    'is_key_withdrawn',
    'may_act',
    'refuse',
    'wait_for_rate',
)

_RETRY_AFTER_MS = 1000
# Retry-After of a burst below one request, which no wait can satisfy.
_RETRY_AFTER_MAX_MS = 3_600_000


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerContext:
    """What a decision depends on besides the state of the owner.

    ``rate_ahead_count`` counts the requests of the shard that wait for the
    rate before this one, ``rate_wait_left_s`` is how long this one may still
    wait, and ``timeout_s`` is its deadline.
    """

    catalog: Catalog
    view: View
    mode: ActMode
    place: Callable[[PlacementRequest, float], Member | None]
    owner_of: Callable[[View, str, int], str]
    rate_ahead_count: int = 0
    rate_wait_left_s: float = RATE_WAIT_MAX_S
    timeout_s: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """The request must wait: for the program, or for the rate."""

    is_for_rate: bool
    wait_s: float = 0


def may_act(mode: ActMode, is_repeatable: bool) -> bool:
    """Return whether a request may be admitted.

    :param mode: state of the confirmation.
    :param is_repeatable: whether the request may run more than once.
    :returns: whether it may be admitted.
    """
    return mode is ActMode.FULL or (mode is ActMode.HALF and is_repeatable)


def is_key_withdrawn(begin: Begin, catalog: Catalog) -> bool:
    """Check the key again that the ingress has found.

    An ingress that was paused may still hold an old configuration. An owner
    with an older one than the ingress cannot judge: the key may be new.

    :param begin: request; without a key on an open route.
    :param catalog: newest configuration of the owner.
    :returns: whether the key does not belong to the workspace any more.
    """
    can_judge = catalog.generation >= begin.config_generation
    workspace = catalog.workspace_of_key(begin.key_digest)
    return (
        bool(begin.key_digest) and can_judge and (workspace != begin.workspace)
    )


def wait_for_rate(
    bucket: Bucket,
    context: OwnerContext,
    now_s: float,
) -> Wait | Refusal | None:
    """Decide between admission, wait and refusal; takes no token.

    :param bucket: bucket of the shard.
    :param context: place in the line and remaining wait.
    :param now_s: current time in seconds.
    :returns: ``None`` if a token is there.
    """
    wait_s = bucket.wait_s(now_s, context.rate_ahead_count)
    if wait_s > context.rate_wait_left_s:
        retry_after_ms = min(wait_s * 1000, _RETRY_AFTER_MAX_MS)
        return refuse(
            ResultCode.RATE_EXCEEDED,
            retry_after_ms=math.ceil(retry_after_ms),
        )
    if wait_s > 0 or context.rate_ahead_count:
        return Wait(is_for_rate=True, wait_s=wait_s)
    return None


def refuse(
    code: ResultCode,
    retry_after_ms: int = _RETRY_AFTER_MS,
    epoch: int = 0,
) -> Refusal:
    """Make a refusal, which states that the request was not run.

    :param code: reason.
    :param retry_after_ms: when a retry can succeed, in milliseconds.
    :param epoch: epoch of the refusing process, where it matters.
    :returns: the refusal.
    """
    return Refusal(code=int(code), retry_after_ms=retry_after_ms, epoch=epoch)
