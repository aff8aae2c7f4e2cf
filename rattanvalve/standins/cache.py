"""Prefix cache of the stand-in engine, limited in tokens."""

import hashlib
import json
from collections import Counter as CountTable
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate

from rattanvalve.standins.text import prompt_tokens

__all__ = ('CacheEvent', 'EventFeed', 'PrefixCache', 'default_cache_key')

#: Number of leading messages that identify a program when a request names no
#: cache key: usually the system message and the first user message.
_AUTOMATIC_PREFIX_COUNT = 2


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of a cache entry; ``tokens`` is the size of that entry.

    ``sequence`` starts at 1; ``time_s`` is monotonic time in seconds.
    """

    sequence: int
    kind: str
    cache_key: str
    tokens: int
    time_s: float


@dataclass(slots=True)
class EventFeed:
    """Log of cache events that delays events and drops some of them.

    An event becomes visible ``delay_s`` seconds after it occurs. Every
    ``gap_every_count``-th event is dropped; 0 drops none.
    """

    delay_s: float = 0
    gap_every_count: int = 0
    recorded: list[CacheEvent] = field(default_factory=list)

    def add(self, kind: str, cache_key: str, tokens: int, now_s: float) -> None:
        """Record an event.

        :param kind: ``stored``, ``evicted`` or ``released``.
        :param cache_key: key of the entry.
        :param tokens: size of the entry in tokens.
        :param now_s: monotonic time in seconds.
        """
        sequence = len(self.recorded) + 1
        self.recorded.append(
            CacheEvent(sequence, kind, cache_key, tokens, now_s),
        )

    def events_after(self, sequence: int, now_s: float) -> list[CacheEvent]:
        """Return the visible events after a sequence number.

        :param sequence: last sequence number that the reader received.
        :param now_s: monotonic time in seconds.
        :returns: later events in order, without the dropped ones.
        """
        return [
            event
            for event in self.recorded[max(sequence, 0) :]
            if event.time_s + self.delay_s <= now_s
            and not self._is_dropped(event.sequence)
        ]

    def _is_dropped(self, sequence: int) -> bool:
        gap = self.gap_every_count
        return gap > 0 and sequence % gap == 0


@dataclass(frozen=True, slots=True)
class _Entry:
    digests: tuple[str, ...]
    token_sums: tuple[int, ...]

    @property
    def tokens(self) -> int:
        return self.token_sums[-1] if self.token_sums else 0


class PrefixCache:
    """LRU cache of message prefixes by cache key.

    :param capacity_tokens: size limit in tokens; pinned entries may exceed
        it.
    :param feed: receives the cache events.
    :param on_freed: called with the cache key and the reason when an entry is
        freed: ``released``, ``evicted`` or ``unused``.
    """

    def __init__(
        self,
        capacity_tokens: int,
        feed: EventFeed,
        on_freed: Callable[[str, str], None],
    ) -> None:
        self._capacity_tokens = capacity_tokens
        self._feed = feed
        self._on_freed = on_freed
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._pins: CountTable[str] = CountTable()
        self._pending_releases: set[str] = set()

    @property
    def held_tokens(self) -> int:
        """Total size of all entries in tokens."""
        return sum(entry.tokens for entry in self._entries.values())

    def keys(self) -> list[str]:
        """List the keys of all entries.

        :returns: keys, least recently used first.
        """
        return list(self._entries)

    def pin(self, cache_key: str, messages: list[dict]) -> int:
        """Look up a prefix and pin its entry until :meth:`store`.

        :param cache_key: key of the entry.
        :param messages: messages of the request.
        :returns: number of cached prompt tokens, which need no prefill.
        """
        self._pins[cache_key] += 1
        self._pending_releases.discard(cache_key)
        entry = self._entries.get(cache_key)
        if entry is None:
            return 0
        self._entries.move_to_end(cache_key)
        shared_count = 0
        for cached, requested in zip(
            entry.digests,
            _digests(messages),
            strict=False,
        ):
            if cached != requested:
                break
            shared_count += 1
        return entry.token_sums[shared_count - 1] if shared_count else 0

    def store(
        self,
        cache_key: str,
        messages: list[dict],
        now_s: float,
    ) -> None:
        """Unpin an entry and replace its content.

        An entry that was released while pinned is freed instead, once no
        request pins it.

        :param cache_key: key of the entry.
        :param messages: messages of the request and its response.
        :param now_s: monotonic time in seconds.
        """
        self._pins[cache_key] -= 1
        if self._pins[cache_key] <= 0:
            self._pins.pop(cache_key)
        if cache_key in self._pending_releases:
            if cache_key not in self._pins:
                self._free(cache_key, 'released', now_s)
            return
        entry = _Entry(
            _digests(messages),
            tuple(accumulate(prompt_tokens(message) for message in messages)),
        )
        self._entries[cache_key] = entry
        self._entries.move_to_end(cache_key)
        self._feed.add('stored', cache_key, entry.tokens, now_s)
        self._evict(now_s)

    def release(self, cache_key: str, now_s: float) -> None:
        """Free an entry; a pinned one is freed by the last :meth:`store`.

        :param cache_key: key of the entry.
        :param now_s: monotonic time in seconds.
        """
        if self._pins[cache_key] > 0:
            self._pending_releases.add(cache_key)
            return
        self._free(cache_key, 'released', now_s)

    def release_all(self, now_s: float) -> None:
        """Release all entries, pinned ones as :meth:`release` does.

        :param now_s: monotonic time in seconds.
        """
        for cache_key in list(self._entries):
            self.release(cache_key, now_s)

    def report_unused(self, cache_key: str) -> None:
        """Report a key as freed if it has neither an entry nor a pin.

        Called for a request that is cancelled before it runs.

        :param cache_key: cache key of the request.
        """
        if cache_key not in self._entries and self._pins[cache_key] <= 0:
            self._on_freed(cache_key, 'unused')

    def _evict(self, now_s: float) -> None:
        for cache_key in list(self._entries):
            if self.held_tokens <= self._capacity_tokens:
                return
            if self._pins[cache_key] <= 0:
                self._free(cache_key, 'evicted', now_s)

    def _free(self, cache_key: str, reason: str, now_s: float) -> None:
        self._pending_releases.discard(cache_key)
        entry = self._entries.pop(cache_key, None)
        tokens = entry.tokens if entry else 0
        self._feed.add(reason, cache_key, tokens, now_s)
        self._on_freed(cache_key, reason)


def default_cache_key(messages: list[dict]) -> str:
    """Derive a cache key for a request that names none.

    :param messages: messages of the request.
    :returns: key derived from the digest of the first messages.
    """
    return f'auto/{_digests(messages[:_AUTOMATIC_PREFIX_COUNT])[-1]}'


def _digests(messages: list[dict]) -> tuple[str, ...]:
    return tuple(
        hashlib.blake2b(
            json.dumps(message, sort_keys=True).encode(),
            digest_size=16,
        ).hexdigest()
        for message in messages
    )
