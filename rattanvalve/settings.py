"""Settings of the entry and endpoint programs, read from JSON files."""

from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta

from rattanvalve.errors import SettingsError

__all__ = (
    'SETTINGS_EXIT_CODE',
    'EndpointSettings',
    'EntrySettings',
    'Listen',
    'Tls',
    'load_settings',
)

#: Exit code of every program for invalid settings (EX_CONFIG of sysexits.h).
SETTINGS_EXIT_CODE = 78

Port = Annotated[int, Meta(ge=0, le=65_535)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
#: The BLAKE2b MAC of frames accepts keys of up to 64 bytes.
Secret = Annotated[
    str,
    Meta(min_length=32, max_length=64, pattern='^[!-~]+$'),
]
Seconds = Annotated[float, Meta(ge=0)]
Url = Annotated[str, Meta(pattern='^https?://')]


class _Model(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base class of settings: immutable; unknown fields are rejected."""


class Listen(_Model):
    """A listen address; port 0 selects a free port."""

    host: str
    port: Port


class Statsd(_Model):
    """Address of the statsd server; an empty host disables sending."""

    host: str = ''
    port: Port = 8125


class Tls(_Model):
    """Paths of the PEM certificate chain and private key of a listener."""

    certificate_path: str
    key_path: str


class _ProcessSettings(_Model, kw_only=True):
    """Settings that entry and endpoint processes share."""

    name: Name
    cell: Name
    zone: Name
    peer_listen: Listen
    peer_address: Listen | None = None
    peer_secret: Secret
    more_peer_secrets: tuple[Secret, ...] = ()
    seed_peers: tuple[Listen, ...] = ()
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    statsd: Statsd = Statsd()
    drain_grace_s: Seconds = 5.0
    stop_timeout_s: Seconds = 300.0


class EntrySettings(_ProcessSettings, kw_only=True):
    """Settings of ``rattanvalve-entry``."""

    caller_listen: Listen
    admin_listen: Listen
    caller_tls: Tls | None = None
    admin_tls: Tls | None = None
    admin_key_digests: dict[str, str] = {}
    admin_viewers: tuple[str, ...] = ()
    store_url: Url
    vm_list_url: str = ''
    request_timeout_s: Seconds = 600.0
    max_body_bytes: Annotated[int, Meta(ge=1024)] = 8 * 1024 * 1024
    max_body_depth: Annotated[int, Meta(ge=4)] = 64


class EndpointSettings(_ProcessSettings, kw_only=True):
    """Settings of ``rattanvalve-endpoint``."""

    service: Name
    kind: Literal['engine', 'plain']
    server_url: Url
    capacity_count: Annotated[int, Meta(ge=1)] = 8
    max_queue_per_workspace_count: Annotated[int, Meta(ge=1)] = 256
    checks_fencing: bool = False
    queue_policy: Literal[
        'program_fair',
        'finish_first',
        'first_come',
    ] = 'program_fair'


_Settings = TypeVar('_Settings', bound=_ProcessSettings)


def load_settings(path: Path, model: type[_Settings]) -> _Settings:
    """Read and validate a settings file.

    :param path: JSON file.
    :param model: settings class of the program.
    :returns: the settings.
    :raises SettingsError: if the file cannot be read or is invalid; the
        message is one line that names the file and the place.
    """
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    try:
        return msgspec.json.decode(raw, type=model)
    except msgspec.DecodeError as error:
        raise SettingsError(f'{path}: {error}') from error
