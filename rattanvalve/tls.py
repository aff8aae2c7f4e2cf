"""TLS contexts of the HTTP listeners, reloadable without a restart."""

import ssl

from rattanvalve.errors import SettingsError
from rattanvalve.settings import Tls

__all__ = ('TLS_FIELDS', 'make_tls_context', 'reload_tls_context')

#: Settings fields of an entry process with certificate and key paths.
TLS_FIELDS = ('caller_tls', 'admin_tls')


def make_tls_context(tls: Tls | None) -> ssl.SSLContext | None:
    """Create the TLS context of a listener; TLS 1.2 is the oldest version.

    :param tls: certificate and key files, or ``None`` for plain HTTP.
    :returns: the context, or ``None`` for plain HTTP.
    :raises SettingsError: if a file is missing or invalid, or if certificate
        and key do not match.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, tls)
    return context


def reload_tls_context(context: ssl.SSLContext, tls: Tls) -> None:
    """Reload certificate and key; they apply to new connections.

    :param context: context of a listener.
    :param tls: certificate and key files.
    :raises SettingsError: if a file is missing or invalid, or if certificate
        and key do not match; the context is then unchanged.
    """
    # Loading files that do not match can leave half of a pair in a context,
    # so a temporary context checks them first.
    make_tls_context(tls)
    _load(context, tls)


def _load(context: ssl.SSLContext, tls: Tls) -> None:
    try:
        context.load_cert_chain(tls.certificate_path, tls.key_path)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f'{tls.certificate_path}: {error}') from error
