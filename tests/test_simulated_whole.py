"""Two whole clusters in the simulated world, with replicas, drains, moves, gateways and nodes. Longer runs:
`python -m benchmarks.schedules --whole`."""

import pytest

from benchmarks import schedules
from lemonlead.ledger.state import Ledger
from lemonlead.member import assembly
from lemonlead.moves import holds
from lemonlead.standins.simulated.gateways import Gateway
from lemonlead.standins.simulated.nodes import Node
from lemonlead.standins.simulated.schedules import play, shrink
from lemonlead.standins.simulated.whole import WholePlay, draw
from lemonlead.standins.simulated.world import SECOND


SHORT_SPAN_MS = 5_000  # in which faults begin


def assert_unbroken(schedule):
    """Plays the schedule; fails with a shortened form of it if it breaks an invariant."""
    played = play(schedule, WholePlay, span=SHORT_SPAN_MS)
    if played.violation is not None:
        checker = played.violation.checker

        def fails(one):
            broken = play(one, WholePlay, span=SHORT_SPAN_MS).violation
            return broken is not None and broken.checker == checker

        pytest.fail(f"{played.violation}\n{shrink(schedule, fails, 20)}")
    return played


@pytest.mark.parametrize("seed", range(1, 9))
def test_drawn_schedules_break_nothing(seed):
    assert_unbroken(draw(seed, span=SHORT_SPAN_MS))


def test_permit_waits_for_a_gateway_that_has_just_followed():
    """Guards against a node cleared past a gateway whose `follow` is in the leader's log, but not applied
    yet: the rule of `permit_clear` does not look at the followers."""
    played = play(draw(900_086), WholePlay)
    assert played.violation is None, str(played.violation)


def test_command_plays_whole_clusters(capsys):
    assert schedules.main(["--whole", "--count", "1", "--jobs", "1", "--faults", "clusters"]) == 0
    assert "slowest to end" in capsys.readouterr().out
    assert schedules.main(["--faults", "clusters"]) == 2


# ---- faulty gateways, nodes and rules, which a checker has to catch


class AcknowledgesEarly(Gateway):
    """Acknowledges an update at once and applies it 2 s later."""

    def merge_update(self, update):
        if update.whole:
            return super().merge_update(update)
        self.world.after(2 * SECOND, super().merge_update, update)
        return update


class DelaysMoves(Gateway):
    """Applies permits at once and the shares of moves 4 s later."""

    def moves_changed(self, changes):
        self.world.after(4 * SECOND, super().moves_changed, changes)


class ReusesPermit(Node):
    """Obeys its first permit again and again."""

    first = None

    def permit_read(self, number, sent, at, permit):
        if permit is not None and permit["phase"] == "clear":
            self.first = self.first or permit
        self.obeyed_permit = (0, 0)
        super().permit_read(number, sent, at, self.first or permit)


def releases_early(name):
    """Rules of a destination that releases its hold as the requests arrive."""
    ledger = assembly.make_ledger()

    def warm(transaction, command):
        answer = holds.warm_hold(transaction, command)
        if answer["warm"]:
            holds.release_hold(transaction, command.key, transaction.get("holds", command.key), "")
        return answer

    return Ledger({**ledger.rules, holds.HoldWarm: warm}, ledger.kinds, ledger.inner)


@pytest.mark.parametrize(
    "replacements, message",
    [
        ({"gateway": AcknowledgesEarly}, "may send to it"),
        ({"gateway": DelaysMoves}, "let go while"),
        ({"node": ReusesPermit}, "goes down"),
        ({"ledger": releases_early}, "dropped there while its source"),
    ],
)
def test_faulty_class_is_caught(replacements, message):
    seen = []
    for seed in range(2, 30):
        seen.append(str(play(draw(seed), WholePlay, **replacements).violation))
        if message in seen[-1]:
            return
    pytest.fail(str(seen))
