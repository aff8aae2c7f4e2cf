"""Simulation of endpoints in virtual time, to test placement under load."""

import heapq
import itertools
import random

from rattanvalve.channels import Address
from rattanvalve.gateway.endpoint_health import AverageDurations
from rattanvalve.gateway.loads import LoadTable
from rattanvalve.gateway.placement import Demand, choose_endpoint
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('PlacementSimulation',)

MEAN_SERVICE_S = 0.1
HANG_S = 2.0
FAIL_S = 0.002
SLOTS = 6
DEMAND = Demand('app')


class PlacementSimulation:
    """The placement of a gateway and simulated endpoints.

    :param count: number of endpoints.
    :param faulty_count: number of them that are faulty.
    :param fault: ``fail``, ``hang`` or ``slow``.
    :param severity: share of the requests that fail or hang, or the factor by
        which a slow endpoint is slower.
    """

    def __init__(self, count, faulty_count, fault, severity):
        self.rng = random.Random(11)
        random.seed(12)
        self.endpoints = [
            EndpointEntry(
                name=f'e{index}',
                service='app',
                address=Address('127.0.0.1', index),
                zone='z',
                slots=SLOTS,
                born_ms=1,
            )
            for index in range(count)
        ]
        self.faulty = {entry.name for entry in self.endpoints[:faulty_count]}
        self.fault = fault
        self.severity = severity
        self.loads = LoadTable()
        self.average_durations = AverageDurations()
        self.sent_to = []
        self.faulty_request_count = 0
        self._ends = []
        self._numbers = itertools.count()

    def run(self, per_s, length_s, start_s=0.0):
        """Send requests at a mean rate and count those that meet a fault."""
        now_s = start_s
        while now_s < start_s + length_s:
            now_s += self.rng.expovariate(per_s)
            self._complete_until(now_s)
            self._send(now_s)

    def _send(self, now_s):
        chosen = choose_endpoint(DEMAND, self.endpoints, self.loads, 'z', now_s)
        self.sent_to.append(chosen.name)
        self.loads.record_start(chosen)
        number = next(self._numbers)
        self.loads.get(chosen).health.record_sent(str(number), now_s)
        duration_s = self.rng.expovariate(1 / MEAN_SERVICE_S)
        is_faulty = False
        if chosen.name in self.faulty:
            is_faulty, duration_s = self._draw_fault(duration_s)
        self.faulty_request_count += is_faulty
        end = (now_s + duration_s, number, chosen, duration_s, is_faulty)
        heapq.heappush(self._ends, end)

    def _draw_fault(self, duration_s):
        if self.fault == 'slow':
            return True, duration_s * self.severity
        if self.rng.random() >= self.severity:
            return False, duration_s
        return True, HANG_S if self.fault == 'hang' else FAIL_S

    def _complete_until(self, now_s):
        while self._ends and self._ends[0][0] <= now_s:
            end_s, number, *rest = heapq.heappop(self._ends)
            endpoint, duration_s, is_faulty = rest
            self.loads.record_end(endpoint)
            health = self.loads.get(endpoint).health
            health.record_answered(str(number))
            if is_faulty and self.fault != 'slow':
                health.record_failure(end_s)
            else:
                slowness = self.average_durations.add('route', duration_s)
                health.record_success(slowness, end_s)
