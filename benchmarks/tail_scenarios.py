"""Scenarios of the tail benchmark: how the simulated leafs behave."""

import math
import random

import attrs

MEDIAN_SERVICE_S = 0.004
SERVICE_SIGMA = 0.35
# Share of the requests that take ``STRAGGLER_FACTOR`` times as long.
STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 15
SLOW_LEAF_FACTOR = 6
# How much slower a cold leaf is at its restart, and how long it takes to
# reach its full speed.
COLD_FACTOR = 8
COLD_S = 2.0
SHED_PERIOD_S = 2.0
FAULT_AT_S = 2.0
# The leafs change the snapshot within this time. Most serve the old one too
# until ``OVERLAP_S`` after its end.
INDEX_CHANGE_S = 3.0
OVERLAP_S = 1.5

# Variation of the one-way delay of a link, and the share of messages that are
# lost and sent again. Links without delay lose no messages.
JITTER_SHARE = 0.1
JITTER_FLOOR_S = 0.0001
LOSS_SHARE = 0.001
RETRANSMIT_FLOOR_S = 0.01


@attrs.frozen
class RequestTimes:
    """Times of one request to one leaf in seconds.

    Parameters
    ----------
    request_link_s : float
        Time of the request on the link to the leaf.
    service_s : float
        Time of the leaf for the work.
    reply_link_s : float
        Time of the reply on the link to the instance.
    """

    request_link_s: float
    service_s: float
    reply_link_s: float


@attrs.define
class Scenario:
    """Behaviour of the leafs; the base class has no faults."""

    seed: int
    leaf_count: int

    def request_times(self, query, leaf, delay_s, now):
        """Return the times of the request of a query to a leaf.

        The random numbers depend only on the seed, the query and the leaf, so
        that all policies are compared on the same times.
        """
        request_seed = (self.seed * 1_000_003 + query) * 100_003 + leaf
        rng = random.Random(request_seed)
        service_s = MEDIAN_SERVICE_S * math.exp(rng.gauss(0, SERVICE_SIGMA))
        request_link_s = _link_time_s(rng, delay_s)
        reply_link_s = _link_time_s(rng, delay_s)
        slowdown_factor = self.slowdown_factor(leaf, now, rng)
        return RequestTimes(
            request_link_s, service_s * slowdown_factor, reply_link_s
        )

    def slowdown_factor(self, leaf, now, rng):
        """Return how many times as long as usual the leaf takes."""
        return 1

    def is_lost(self, leaf, now):
        """Return whether the leaf does not answer at all."""
        return False

    def is_refusing(self, leaf, now):
        """Return whether connections to the leaf are refused."""
        return False

    def is_shedding(self, leaf, now):
        """Return whether the leaf refuses all requests."""
        return False

    def status(self, leaf, now):
        """Return the state and the load that the leaf reports."""
        return 'serving', 0.1

    def served_sequences(self, leaf, now):
        """Return the sequence numbers of the snapshots that the leaf serves."""
        return (1,)


class Stragglers(Scenario):
    """Single requests are slow, and one leaf in ten is always slow."""

    def slowdown_factor(self, leaf, now, rng):
        straggler = rng.random() < STRAGGLER_SHARE
        slow_leaf = leaf % 10 == self.seed % 10
        return (STRAGGLER_FACTOR if straggler else 1) * (
            SLOW_LEAF_FACTOR if slow_leaf else 1
        )


class ColdStarts(Scenario):
    """One leaf in five restarts and is slow for ``COLD_S`` seconds."""

    def _coldness(self, leaf, now):
        """Return 1 for a leaf at its restart, falling to 0 for a warm leaf."""
        elapsed_s = now - FAULT_AT_S - (leaf % 25) / 5
        is_cold = leaf % 5 == self.seed % 5 and 0 <= elapsed_s < COLD_S
        return 1 - elapsed_s / COLD_S if is_cold else 0

    def slowdown_factor(self, leaf, now, rng):
        return 1 + (COLD_FACTOR - 1) * self._coldness(leaf, now)

    def status(self, leaf, now):
        return ('cold' if self._coldness(leaf, now) else 'serving'), 0.1


class Shedding(Scenario):
    """One leaf in five refuses all work, others in each period."""

    def is_shedding(self, leaf, now):
        return (leaf + int(now / SHED_PERIOD_S)) % 5 == 0


class LostReplicas(Scenario):
    """One replica of every second group of three stops answering."""

    def is_lost(self, leaf, now):
        return now > FAULT_AT_S and leaf % 6 == self.seed % 6


class MisreportedStatus(Scenario):
    """Leafs report wrong states.

    One leaf in ten is slow and reports that it is idle; a third of the others
    are fast and report that they are cold and fully loaded.
    """

    def slowdown_factor(self, leaf, now, rng):
        return COLD_FACTOR if leaf % 10 == self.seed % 10 else 1

    def status(self, leaf, now):
        if leaf % 10 == self.seed % 10:
            return 'serving', 0.0
        return ('cold', 1.0) if leaf % 3 == 0 else ('serving', 0.1)


class IndexChange(Scenario):
    """Leafs change the snapshot one after the other.

    Most serve both snapshots for some time; one leaf in ten stops serving the
    old snapshot when it starts to serve the new one.
    """

    def served_sequences(self, leaf, now):
        changed_at = FAULT_AT_S + INDEX_CHANGE_S * (leaf % 17) / 17
        overlap_s = 0 if leaf % 10 == self.seed % 10 else OVERLAP_S
        if now < changed_at:
            return (1,)
        is_overlapping = now < FAULT_AT_S + INDEX_CHANGE_S + overlap_s
        return (1, 2) if overlap_s and is_overlapping else (2,)


class Outage(Scenario):
    """A third of the leafs fails.

    Half of these do not answer, the other half refuse connections.
    """

    def _is_gone(self, leaf, now):
        return now > FAULT_AT_S and leaf % 3 == self.seed % 3

    def is_lost(self, leaf, now):
        return self._is_gone(leaf, now) and leaf % 2 == 0

    def is_refusing(self, leaf, now):
        return self._is_gone(leaf, now) and leaf % 2 == 1


SCENARIOS = {
    'stragglers': Stragglers,
    'cold_starts': ColdStarts,
    'shedding': Shedding,
    'lost_replicas': LostReplicas,
    'lying_health': MisreportedStatus,
    'index_change': IndexChange,
    'outage': Outage,
}


def _link_time_s(rng, delay_s):
    """Return the time in seconds of one message on a link."""
    jitter_s = rng.expovariate(1 / (JITTER_SHARE * delay_s + JITTER_FLOOR_S))
    is_lost = delay_s > 0 and rng.random() < LOSS_SHARE
    retransmit_s = 4 * delay_s + RETRANSMIT_FLOOR_S if is_lost else 0
    return delay_s + jitter_s + retransmit_s
