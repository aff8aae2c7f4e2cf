"""Inputs of an owner's decisions, and helpers that make it wait or refuse."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.catalog import Catalog
from rattanvalve.messages import Begin, Member, Refusal, View
from rattanvalve.ratelimit import RATE_WAIT_MAX_S, Bucket
from rattanvalve.resultcodes import ResultCode
from rattanvalve.routing import PlacementRequest

__all__ = (
    'OwnerContext',
    'Wait',
    'is_key_withdrawn',
    'may_admit',
    'refuse',
    'wait_for_rate',
)

_RETRY_AFTER_MS = 1000
# Upper bound of Retry-After. It applies to a burst below one request, for which
# no wait is long enough.
_RETRY_AFTER_MAX_MS = 3_600_000


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerContext:
    """Inputs of a decision in addition to the state of the owner.

    ``rate_queue_position`` is the number of requests of the shard that are
    queued for the rate limit ahead of this one, ``remaining_rate_wait_s`` is
    the rest of its maximum wait for the rate, and ``timeout_s`` is its timeout.
    ``place`` selects an endpoint, and ``owner_of`` returns the owner of a
    shard.
    """

    catalog: Catalog
    view: View
    mode: AdmissionMode
    place: Callable[[PlacementRequest, float], Member | None]
    owner_of: Callable[[View, str, int], str]
    rate_queue_position: int = 0
    remaining_rate_wait_s: float = RATE_WAIT_MAX_S
    timeout_s: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """The request must wait for its program, or ``wait_s`` for the rate."""

    is_for_rate: bool
    wait_s: float = 0


def may_admit(mode: AdmissionMode, is_repeatable: bool) -> bool:
    """Check whether the mode permits the admission of a request.

    :param mode: mode that the confirmation of the view permits.
    :param is_repeatable: whether the request may run more than once.
    :returns: ``True`` for all work in full mode, and for repeatable work in
        half mode.
    """
    return mode is AdmissionMode.FULL or (
        mode is AdmissionMode.HALF and is_repeatable
    )


def is_key_withdrawn(begin: Begin, catalog: Catalog) -> bool:
    """Check the key of a request against the configuration of the owner.

    An ingress that was paused may still use an old configuration. An owner
    whose configuration is older than that of the ingress accepts the key, which
    may have been added since.

    :param begin: request; it has no key on an open route.
    :param catalog: newest configuration of the owner.
    :returns: whether the key no longer belongs to the workspace.
    """
    is_comparable = catalog.generation >= begin.config_generation
    workspace = catalog.workspace_of_key(begin.key_digest)
    return (
        bool(begin.key_digest)
        and is_comparable
        and (workspace != begin.workspace)
    )


def wait_for_rate(
    bucket: Bucket,
    context: OwnerContext,
    now_s: float,
) -> Wait | Refusal | None:
    """Decide between admission, wait and refusal without taking a token.

    :param bucket: token bucket of the shard.
    :param context: position in the queue and remaining wait.
    :param now_s: current time in seconds.
    :returns: ``None`` if a token is available.
    """
    wait_s = bucket.wait_s(now_s, context.rate_queue_position)
    if wait_s > context.remaining_rate_wait_s:
        retry_after_ms = min(wait_s * 1000, _RETRY_AFTER_MAX_MS)
        return refuse(
            ResultCode.RATE_EXCEEDED,
            retry_after_ms=math.ceil(retry_after_ms),
        )
    if wait_s > 0 or context.rate_queue_position:
        return Wait(is_for_rate=True, wait_s=wait_s)
    return None


def refuse(
    code: ResultCode,
    retry_after_ms: int = _RETRY_AFTER_MS,
    epoch: int = 0,
) -> Refusal:
    """Build a refusal, which states that the request was not run.

    :param code: reason.
    :param retry_after_ms: delay before a retry in milliseconds; 0 if a retry
        cannot succeed.
    :param epoch: epoch of the refusing process; 0 if the reason does not
        depend on it.
    :returns: the refusal.
    """
    return Refusal(code=int(code), retry_after_ms=retry_after_ms, epoch=epoch)
