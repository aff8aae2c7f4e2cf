"""Encoding of the configuration in the store and in messages to peers.

The stored object is called the *head*. A small configuration is part of the
head. A large one is stored compressed in a *base* object; the head refers to
the base and holds the differences since. A base is written before the head
that refers to it, and each change uses a new key, so a reader never combines a
head with the wrong base.
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
    'decode_document',
    'decode_stored_config',
    'encode_base',
    'encode_document',
    'is_inline',
)

#: Limit of the JSON text; a document of the target size has 1.1 MB.
MAX_CONFIG_BYTES = 4 * 1024 * 1024
#: Limit of a stored object; the object API refuses more than 1 MB.
MAX_OBJECT_BYTES = 900_000
#: A larger configuration is stored as a base and differences.
MAX_INLINE_BYTES = 16 * 1024
#: Compression level 1 takes half the time of the default level; the output is
#: 6 % larger.
_COMPRESSION_LEVEL = 1


class BaseReference(msgspec.Struct, kw_only=True, frozen=True):
    """Refers to the version of a base that holds one generation."""

    key: str
    version: int
    generation: int


class BaseConfig(msgspec.Struct, kw_only=True, frozen=True):
    """A stored base; ``packed`` is empty once no head refers to the base."""

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

    ``digest`` is the digest of
    :class:`rattanvalve.configtables.ConfigTables`; documents written by
    earlier versions have none.
    """

    generation: int
    change_id: str
    author: str
    digest: str = ''
    config: msgspec.Raw = msgspec.Raw()
    base: BaseReference | None = None
    differences: tuple[Difference, ...] = ()

    def config_text(self) -> bytes:
        """Return the configuration contained in the envelope.

        :returns: JSON text, empty if the configuration is in a base.
        """
        return bytes(self.config)


def decode_stored_config(body: bytes) -> StoredConfig:
    """Decode the envelope of a stored configuration.

    :param body: JSON text from the store.
    :returns: the envelope; the configuration itself is not checked.
    :raises StoreError: if the text is malformed, or has neither a
        configuration nor a base.
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
    :returns: whether its JSON text has at most ``MAX_INLINE_BYTES``.
    """
    return len(encode_config(config)) <= MAX_INLINE_BYTES


def encode_base(config: Config, generation: int, change_id: str) -> bytes:
    """Encode a base.

    :param config: valid configuration.
    :param generation: its generation.
    :param change_id: id of the change that writes it.
    :returns: JSON text with the change id, by which the store client
        identifies a write.
    :raises ConfigTooLargeError: if the configuration or the text is too large.
    """
    text = encode_config(config)
    _check_size(len(text), MAX_CONFIG_BYTES, 'configuration')
    body = msgspec.json.encode(
        BaseConfig(
            change_id=change_id,
            generation=generation,
            packed=zlib.compress(text, _COMPRESSION_LEVEL),
        ),
    )
    _check_size(len(body), MAX_OBJECT_BYTES, 'packed configuration')
    return body


def decode_base(body: bytes, reference: BaseReference) -> bytes:
    """Decode a base.

    :param body: stored object.
    :param reference: reference in the head.
    :returns: JSON text of the configuration.
    :raises StoreError: if the base is malformed, was cleared, or holds
        another generation than the reference.
    """
    try:
        base = msgspec.json.decode(body, type=BaseConfig)
    except msgspec.MsgspecError as error:
        raise StoreError(f'malformed {reference.key}: {error}') from error
    if not base.packed or base.generation != reference.generation:
        raise StoreError(f'{reference.key} is not what the head names')
    return _decompress(base.packed)


def encode_document(stored: StoredConfig) -> bytes:
    """Encode an envelope and its configuration for a peer.

    :param stored: envelope with ``config``.
    :returns: JSON text, compressed by zlib.
    """
    return zlib.compress(msgspec.json.encode(stored), _COMPRESSION_LEVEL)


def decode_document(body: bytes) -> StoredConfig:
    """Decode an envelope received from a peer.

    :param body: JSON text, compressed by zlib or plain.
    :returns: the envelope; the configuration itself is not checked.
    :raises StoreError: if the body is malformed or too large.
    """
    # Processes of earlier versions send the text uncompressed.
    is_text = body.startswith(b'{')
    return decode_stored_config(body if is_text else _decompress(body))


def _decompress(packed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        # The envelope adds a few hundred bytes to the configuration.
        text = decompressor.decompress(packed, MAX_CONFIG_BYTES + 4096)
    except zlib.error as error:
        raise StoreError(f'malformed packed text: {error}') from error
    if not decompressor.eof:
        raise StoreError('the packed text is cut or too large')
    return text


def _check_size(size: int, limit: int, what: str) -> None:
    if size > limit:
        raise ConfigTooLargeError(f'{what} of {size} bytes, limit {limit}')
