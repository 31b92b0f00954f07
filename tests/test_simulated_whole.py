"""Two whole clusters in the simulated world: real replicas, drains, moves, gateways that follow, nodes that
obey. Longer runs: `python -m benchmarks.schedules --whole`."""

import pytest

from benchmarks import schedules
from lemonlead.ledger.state import Ledger
from lemonlead.member import assembly
from lemonlead.moves import rules
from lemonlead.standins.simulated.gateways import Gateway
from lemonlead.standins.simulated.nodes import Node
from lemonlead.standins.simulated.schedules import play, shrink
from lemonlead.standins.simulated.whole import WholePlay, draw
from lemonlead.standins.simulated.world import SECOND


SHORT = 5_000  # milliseconds in which troubles begin


def stands(schedule):
    """Plays it; fails with its shortest form where it breaks something."""
    played = play(schedule, WholePlay, span=SHORT)
    if played.violation is not None:
        judge = played.violation.checker

        def fails(one):
            broken = play(one, WholePlay, span=SHORT).violation
            return broken is not None and broken.checker == judge

        pytest.fail(f"{played.violation}\n{shrink(schedule, fails, 20)}")
    return played


@pytest.mark.parametrize("seed", range(1, 9))
def test_drawn_schedules_break_nothing(seed):
    stands(draw(seed, span=SHORT))


def test_the_command_plays_them_too(capsys):
    assert schedules.main(["--whole", "--count", "1", "--jobs", "1", "--faults", "clusters"]) == 0
    assert "slowest to end" in capsys.readouterr().out
    assert schedules.main(["--faults", "clusters"]) == 2


# ---- faults put in on purpose


class Early(Gateway):
    """Acknowledges what it heard, and obeys it only later."""

    def hear(self, news):
        if news.whole:
            return super().hear(news)
        self.world.after(2 * SECOND, super().hear, news)
        return news


class SlowToMove(Gateway):
    """Obeys permits at once, and the shares of moves only later."""

    def shifts(self, changes):
        self.world.after(4 * SECOND, super().shifts, changes)


class Forgetful(Node):
    """Obeys the first permit that it ever had, again and again."""

    first = None

    def told(self, number, sent, at, permit):
        if permit is not None and permit["phase"] == "clear":
            self.first = self.first or permit
        self.obeyed = (0, 0)
        super().told(number, sent, at, self.first or permit)


def frees_early(name):
    """A destination that lets go what it holds as the requests come."""
    made = assembly.make_ledger()

    def warm(draft, command):
        told = rules.warm_hold(draft, command)
        if told["warm"]:
            rules.release_hold(draft, command.key, draft.get("holds", command.key), "")
        return told

    return Ledger({**made.rules, rules.HoldWarm: warm}, made.kinds, made.inner)


@pytest.mark.parametrize(
    "made, says",
    [
        ({"gateway": Early}, "may send to it"),
        ({"gateway": SlowToMove}, "let go while"),
        ({"node": Forgetful}, "goes down"),
        ({"ledger": frees_early}, "dropped there while its source"),
    ],
)
def test_a_fault_put_in_on_purpose_is_caught(made, says):
    seen = []
    for seed in range(2, 30):
        seen.append(str(play(draw(seed), WholePlay, **made).violation))
        if says in seen[-1]:
            return
    pytest.fail(str(seen))
