"""Stand-ins for the operator's desired state and for consumers."""

import asyncio
import random
import secrets
import time

from fleet2.http import send_request

HOST = 'ficu95.example'
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 402, 403, 404, 413, 431)


def new_id():
    """Return an id as consumers choose them."""
    return secrets.token_hex(8)


def route(name, kind, service, timeout_ms, attempts=1, **fields):
    """Return one route."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 250,
        'priority': 1,
        'service': service,
        'maxAttempts': attempts,
        'authExempt': False,
        'resumable': False,
    } | fields


def turn_route(name, service, **fields):
    """Return a route for turns, as on the sheets."""
    turns = {
        'retainContext': True,
        'retentionS': 60.0,
        'sessionAffinity': True,
        'targetGapMs': 200,
    }
    return route(name, 'stream', service, 4000, attempts=2, **(turns | fields))


def model_service(name, tokens_per_event=9):
    """Return a service with an engine."""
    engine = {
        'slots': 12,
        'kvCapacity': 95312,
        'kvBytes': 131072,
        'linkMbps': 1100000.0,
        'moves': True,
        'backups': True,
        'tokensPerEvent': tokens_per_event,
        'most': 12,
        'pinMs': 4000.0,
        'holdMs': 2000.0,
        'handle_s': 5.0,
        'models': [{'name': 'm'}],
    }
    return plain_service(name) | {'maxConnections': 160, 'engine': engine}


def plain_service(name):
    """Return a service without an engine."""
    return {
        'name': name,
        'healthPath': '/health',
        'maxConnections': 110,
        'protocol': 'h1',
        'tls': False,
    }


def desired_state(version, routes, services, tenants):
    """Return a desired state; ``tenants`` are pairs of a name and a key."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {'name': name, 'apiKeys': [key], 'priority': 1, 'perS': 400, 'burst': 400}
            for name, key in tenants
        ],
    }


class Consumer:
    """Sends requests of one tenant and records them.

    :param fleet: the fleet under test.
    :param key: API key of the tenant.
    """

    def __init__(self, fleet, key):
        self._fleet = fleet
        self._key = key

    async def send(self, front, method, path, body=b'', deadline_ms=3000, **headers):
        """Send one consumer attempt; return its id and the answer."""
        request_id = new_id()
        sent = {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Ms': deadline_ms,
            'X-Api-Key': self._key,
        }
        sent |= {name.replace('_', '-'): text for name, text in headers.items()}
        record = self._fleet.record
        record.write('sent', front=front, request=request_id, path=path, **headers)
        answer = await send_request(
            *self._fleet.front_address(front),
            method,
            path,
            sent,
            body,
            timeout_s=deadline_ms / 1000 + 0.5,
        )
        record.write(
            'answered',
            request=request_id,
            status=answer.status,
            whole=answer.is_whole,
            error=answer.error,
            ms=round((answer.ended_s - answer.began_s) * 1000),
        )
        return request_id, answer

    async def send_turn(self, front, path, body, **headers):
        """Send one attempt of a turn."""
        return await self.send(front, 'POST', path, body, deadline_ms=4000, **headers)

    async def turn(self, fronts, path, body, finish_s, **headers):
        """Send a turn with the retries that the pages allow.

        A turn has two consumer attempts, and one that failed is sent again from
        its start at most twice. Yields the id and the answer of each attempt.
        """
        limit_s = time.monotonic() + finish_s
        attempts = 0
        for _ in range(3):
            for _ in range(2):
                left_ms = int((limit_s - time.monotonic()) * 1000)
                if left_ms <= 0:
                    return
                front = fronts[attempts % len(fronts)]
                attempts += 1
                request_id, answer = await self.send_turn(
                    front, path, body, Finish_Ms=left_ms, **headers
                )
                yield request_id, answer
                if answer.status == 200 and answer.is_whole:
                    return
                if answer.status in FINAL:
                    return
                if answer.status not in PROMISES:
                    break
                await asyncio.sleep(float(answer.headers['retry-after'] or 0.1))
            await asyncio.sleep(random.uniform(0.1, 0.4))


def turn_headers(program, session, prompt_tokens, output_max, budget):
    """Return the headers of a turn."""
    return {
        'Model': 'm',
        'Program_Id': program,
        'Session_Id': session,
        'Token_Budget': budget,
        'Token_Usage': f'{prompt_tokens},{output_max}',
        'Prompt_Prefix': f'{program}:{prompt_tokens}',
    }
