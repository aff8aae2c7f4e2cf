"""Calls of a running process by the commands of operators."""

import sys
from typing import Any

import click
import uvloop

from rattanvalve.channels import Address
from rattanvalve.errors import PeerError, SettingsError
from rattanvalve.peers import PeerPool
from rattanvalve.platform.programs import read_peer_secret
from rattanvalve.settings import SETTINGS_EXIT_CODE

__all__ = ('call_process',)

CALL_TIMEOUT_S = 3.0
UNREACHABLE_EXIT_CODE = 1


def call_process(address: Address, message: Any) -> Any:
    """Send a message to a process, or end the command with an error.

    :param address: address of the process for its peers.
    :param message: message to send.
    :returns: answer of the process.
    """
    try:
        secret = read_peer_secret()
        return uvloop.run(_call(secret, address, message))
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(SETTINGS_EXIT_CODE)
    except PeerError as error:
        click.echo(
            f'{address.host}:{address.port} does not answer: {error}', err=True
        )
        sys.exit(UNREACHABLE_EXIT_CODE)


async def _call(secret: bytes, address: Address, message: Any) -> Any:
    pool = PeerPool(secret)
    try:
        return await pool.call(address, message, CALL_TIMEOUT_S)
    finally:
        pool.close()
