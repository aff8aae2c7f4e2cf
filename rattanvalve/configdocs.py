"""Documents of the configuration, as they are stored and sent to peers.

A small configuration stands in the stored object itself. A large one stands
packed in a *base* object, which the stored object names together with the
differences since. A base is written before the object that names it and its
key is new for each write, so that a reader never sees a mixture.
"""

import zlib

import msgspec

from rattanvalve.configtables import Difference
from rattanvalve.errors import ConfigTooLargeError, StoreError
from rattanvalve.inventory import Config, encode_config

__all__ = (
    'MAX_CONFIG_BYTES',
    'BaseConfig',
    'BaseReference',
    'StoredConfig',
    'decode_base',
    'decode_stored_config',
    'decode_whole',
    'encode_base',
    'encode_whole',
    'is_inline',
)

#: A document of the target size has 1.1 MB.
MAX_CONFIG_BYTES = 4 * 1024 * 1024
#: Largest stored object; the object API refuses more than 1 MB.
MAX_OBJECT_BYTES = 900_000
#: A larger configuration is stored as a base and differences.
MAX_INLINE_BYTES = 16 * 1024
#: Level 1 takes half the time of the default and gives 6 % more.
_PACK_LEVEL = 1


class BaseReference(msgspec.Struct, kw_only=True, frozen=True):
    """Names the object that holds the configuration of one generation."""

    key: str
    version: int
    generation: int


class BaseConfig(msgspec.Struct, kw_only=True, frozen=True):
    """A stored base; without ``packed`` it was replaced by a newer one."""

    change_id: str
    generation: int = 0
    packed: bytes = b''


class StoredConfig(
    msgspec.Struct,
    kw_only=True,
    frozen=True,
    omit_defaults=True,
):
    """Envelope of a configuration; ``config`` is empty if there is a base.

    ``digest`` is the one of :class:`rattanvalve.configtables.ConfigTables`;
    documents of earlier versions have none.
    """

    generation: int
    change_id: str
    author: str
    digest: str = ''
    config: msgspec.Raw = msgspec.Raw()
    base: BaseReference | None = None
    differences: tuple[Difference, ...] = ()

    def config_text(self) -> bytes:
        """Give the configuration that stands in the envelope.

        :returns: JSON text, empty if there is none.
        """
        return bytes(self.config)


def decode_stored_config(body: bytes) -> StoredConfig:
    """Read the envelope of a stored configuration.

    :param body: JSON text from the store.
    :returns: the envelope; the configuration itself is not checked.
    :raises StoreError: if the text is not such a document.
    """
    try:
        stored = msgspec.json.decode(body, type=StoredConfig)
    except msgspec.MsgspecError as error:
        raise StoreError(f'malformed configuration: {error}') from error
    if not stored.config_text() and stored.base is None:
        raise StoreError('malformed configuration: it holds no configuration')
    return stored


def is_inline(config: Config) -> bool:
    """Return whether a configuration is stored without a base.

    :param config: valid configuration.
    :returns: whether it is small enough.
    """
    return len(encode_config(config)) <= MAX_INLINE_BYTES


def encode_base(config: Config, generation: int, change_id: str) -> bytes:
    """Write a base.

    :param config: valid configuration.
    :param generation: its generation.
    :param change_id: change that wrote it.
    :returns: JSON text, as the store identifies a write by its change id.
    :raises ConfigTooLargeError: if the configuration or the text is too large.
    """
    text = encode_config(config)
    _check_size(len(text), MAX_CONFIG_BYTES, 'configuration')
    body = msgspec.json.encode(
        BaseConfig(
            change_id=change_id,
            generation=generation,
            packed=zlib.compress(text, _PACK_LEVEL),
        ),
    )
    _check_size(len(body), MAX_OBJECT_BYTES, 'packed configuration')
    return body


def decode_base(body: bytes, reference: BaseReference) -> bytes:
    """Read a base.

    :param body: stored object.
    :param reference: names the base.
    :returns: JSON text of the configuration.
    :raises StoreError: if it is malformed, was replaced, or is another one.
    """
    try:
        base = msgspec.json.decode(body, type=BaseConfig)
    except msgspec.MsgspecError as error:
        raise StoreError(f'malformed {reference.key}: {error}') from error
    if not base.packed or base.generation != reference.generation:
        raise StoreError(f'{reference.key} is not what the head names')
    return _unpack(base.packed)


def encode_whole(stored: StoredConfig) -> bytes:
    """Write an envelope with its configuration for a peer.

    :param stored: envelope with ``config``.
    :returns: packed JSON text.
    """
    return zlib.compress(msgspec.json.encode(stored), _PACK_LEVEL)


def decode_whole(body: bytes) -> StoredConfig:
    """Read an envelope from a peer.

    :param body: packed JSON text.
    :returns: the envelope; the configuration itself is not checked.
    :raises StoreError: if the text is not such a document.
    """
    # A process of an earlier version sends the text as it is.
    is_text = body.startswith(b'{')
    return decode_stored_config(body if is_text else _unpack(body))


def _unpack(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        # The envelope of a whole document adds a few hundred bytes.
        text = unpacker.decompress(packed, MAX_CONFIG_BYTES + 4096)
    except zlib.error as error:
        raise StoreError(f'malformed packed text: {error}') from error
    if not unpacker.eof:
        raise StoreError('the packed text is cut or too large')
    return text


def _check_size(size: int, limit: int, what: str) -> None:
    if size > limit:
        raise ConfigTooLargeError(f'{what} of {size} bytes, limit {limit}')
