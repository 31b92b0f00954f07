"""The ledger records of moves, and the commands of a move's source with the rules that apply them. `holds.py`
has those of the destination; `docs/moves.md` gives the steps and the reasons.

The source has a record in the part "moves" and decides alone how the move ends. The destination has a record
in the part "holds", under "SOURCE/MOVE"; what it holds are reservations that no client may free. The leader
of the source sends the commands to the destination. Each of them carries the epoch of the move (the index of
the source's entry that began it) and a floor: no move from that source to this cluster with a lower epoch is
open. A command that comes again, or late, has no further effect."""

from typing import Annotated

from msgspec import Meta, Struct
from msgspec.structs import replace

from ..ledger import capacity, services
from ..ledger.capacity import Group
from ..ledger.faults import Refused
from ..ledger.new_names import EXISTING, ExistingName, Name
from ..ledger.state import Command
from .faults import (
    DecidedElsewhere,
    GangRuns,
    MoveKnown,
    MoveOpen,
    NotAwaited,
    NothingToMove,
    Outdated,
    TooLate,
)

# Steps of the source's record. At ASKED the destination has not been called yet. Up to SHIFTING a move may be
# stopped. A move that is not done ends by way of ROLLING_BACK (no request goes to the destination any more)
# and DROPPING (the destination is notified).
ASKED = "asked"
RESERVING = "reserving"
WARMING = "warming"
MEMBERS = "members"
SHIFTING = "shifting"
SETTLING = "settling"
ROLLING_BACK = "going back"
DROPPING = "dropping"
# Ends of a move.
DONE = "done"
REFUSED = "refused"
STOPPED = "stopped"
ROLLED_BACK = "sent back"
OVERDUE = "overdue"
LOST = "lost"

BEFORE_SETTLING = (ASKED, RESERVING, WARMING, MEMBERS, SHIFTING)

# States of the destination's record.
HELD = "held"
WARM = "warm"
KEPT = "kept"
DROPPED = "dropped"

# Thousandths of the requests that go to the destination. Gateways vote on all stages but the last.
STAGES = (50, 250, 500, 900, 1000)
MIN_STAGE_NS = 3_000_000_000  # ledger time that a stage lasts at least
MAX_STEP_NS = 1_800_000_000_000  # ledger time after which a step before settling rolls the move back
MAX_OPEN_MOVES = 64  # moves whose destinations have not been notified of the end yet
# Records of moves. Past it ended moves older than REMEMBER_NS are forgotten; if there are none, a new move is
# refused.
MAX_MOVES = 10_000
REMEMBER_NS = 30 * 86_400_000_000_000  # ledger time for which the name of an ended move stays known
MAX_PIECES = 500  # reservations of one move, its groups, and the members of these groups

SHORT_NAME = Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$")
ShortName = Annotated[str, SHORT_NAME]
ExistingShortName = Annotated[str, SHORT_NAME, Meta(extra={EXISTING: True})]
Reason = Annotated[str, Meta(max_length=500)]
Index = Annotated[int, Meta(ge=0)]


# ---- records


class MovedGroup(Struct, frozen=True):
    """A quorum group of a move in the source's record: the group as it was before the move, and `over`, the
    number of members that the destination has taken over."""

    group: str
    nodes: tuple[str, ...]
    quorum: int
    over: int = 0


class Move(Struct, frozen=True):
    """The source's record. `share`: thousandths of the requests that go to the destination. `at`: index of
    the entry that last changed where they go. `since`: ledger time at which the step or stage began. `taken`
    and `told`: indexes of the destination's entries which prove that it holds the service and that it knows
    the end of the move (-1: there is nobody to notify)."""

    service: str
    to: str
    epoch: int
    step: str = ASKED
    stage: int = -1
    share: int = 0
    at: int = 0
    since: int = 0
    reservations: tuple[str, ...] = ()
    groups: tuple[MovedGroup, ...] = ()
    on: tuple[str, ...] = ()  # gateways that voted for the next stage
    back: tuple[str, ...] = ()  # gateways that voted to roll back
    taken: int = 0
    told: int = 0
    end: str = ""  # how the move ends: DONE, REFUSED, ...
    says: str = ""
    do: str = ""


class PlacedGroup(Struct, frozen=True):
    """The nodes of a quorum group at the destination; the first `over` of them are members by now."""

    group: str
    nodes: tuple[str, ...]
    quorum: int
    over: int = 0


class Hold(Struct, frozen=True):
    """The destination's record. `warm_at`: ledger time at which the destination can serve all requests. `by`:
    the reason that an operator gave for ending the hold."""

    source: str
    move: str
    epoch: int
    service: str = ""
    state: str = HELD
    reservations: tuple[str, ...] = ()
    groups: tuple[PlacedGroup, ...] = ()
    warm_at: int = 0
    at: int = 0
    by: str = ""


class EpochFloor(Struct, frozen=True):
    """No move of this source with a lower epoch is open. Ended holds of lower epochs are forgotten, and late
    commands with a lower epoch are refused."""

    epoch: int


class OpenMove(Struct, frozen=True):
    """A move on which the leader of the source still has to act."""

    epoch: int


KINDS = {"moves": Move, "moving": OpenMove, "holds": Hold, "floors": EpochFloor}


# ---- commands of the source, sent by operators and gateways or proposed by its leader


class MoveCommand(Command, frozen=True, tag="move"):
    move: ShortName
    service: Name
    to: ShortName


class MoveStop(Command, frozen=True, tag="move_stop"):
    move: Annotated[str, Meta(min_length=1, max_length=200)]


class MoveLost(Command, frozen=True, tag="move_lost"):
    """An operator states that the destination is lost for good: the source keeps the service, and the
    destination is not notified."""

    move: ExistingShortName
    because: Reason


class MoveVote(Command, frozen=True, tag="move_vote"):
    """The vote of a gateway on the current stage."""

    move: ExistingShortName
    epoch: Index
    stage: Index
    gateway: ExistingName
    verdict: Annotated[str, Meta(pattern="^(on|back)$")]


class MoveAdvance(Command, frozen=True, tag="move_next"):
    """Proposed by the leader: this step (and stage) is complete. `proof`: index of the destination's entry
    that shows it. `group`: the group whose next member serves at the destination, where `serving` members
    do."""

    move: ShortName
    epoch: Index
    step: str
    stage: int = -1
    proof: Index = 0
    group: str = ""
    serving: Index = 0
    says: Reason = ""


class MoveRollBack(Command, frozen=True, tag="move_back"):
    """Proposed by the leader: the move is rolled back, because the destination refused it or a step took too
    long."""

    move: ShortName
    epoch: Index
    step: str
    end: Annotated[str, Meta(pattern="^(refused|overdue)$")]
    says: Reason
    do: Reason = ""


def start_move(transaction, command):
    if (move := transaction.get("moves", command.move)) is not None:
        raise MoveKnown(f"move {command.move} is known: {move.end or move.step}, epoch {move.epoch}")
    for name in transaction.part("moving"):
        other = transaction.get("moves", name)
        if other.service == command.service and other.step != DROPPING:
            raise MoveOpen(f"move {name} of service {command.service} is {other.step}")
    if len(transaction.part("moving")) >= MAX_OPEN_MOVES:
        raise Refused(f"{MAX_OPEN_MOVES} moves are under way", "wait for the end of one")
    forget_old_moves(transaction)
    service = services.service_row(transaction, command.service)
    if not service.reservations:
        raise NothingToMove(f"service {command.service} has no reservation here")
    check_no_gang_runs(transaction, command.service)
    if max(service.reservations, service.groups) > MAX_PIECES:
        raise too_many_pieces(command.service)
    reservations = services.record_names(transaction, command.service, "reservations")
    for name in reservations:
        if holder := transaction.get("reservations", name).move:
            raise MoveOpen(f"reservation {name} is held by move {holder}")
    rows = transaction.part("groups")
    groups = tuple(
        MovedGroup(name, rows[name].nodes, rows[name].quorum)
        for name in services.record_names(transaction, command.service, "groups")
    )
    if sum(len(group.nodes) for group in groups) > MAX_PIECES:
        raise too_many_pieces(command.service)
    mark_reservations(transaction, reservations, command.move)
    services.mark(transaction, command.service, command.move)
    move = Move(
        command.service, command.to, transaction.index, at=transaction.index, since=transaction.moment
    )
    transaction.put("moves", command.move, replace(move, reservations=tuple(reservations), groups=groups))
    transaction.put("moving", command.move, OpenMove(transaction.index))


def too_many_pieces(service):
    return Refused(f"service {service} is more than {MAX_PIECES} pieces", "move it by parts")


def check_no_gang_runs(transaction, service):
    if services.service_row(transaction, service).gangs:
        first = services.record_names(transaction, service, "gangs")[0]
        raise GangRuns(f"gang {first} of service {service} runs")


def forget_old_moves(transaction):
    if len(transaction.part("moves")) < MAX_MOVES:
        return
    for name, move in list(transaction.part("moves").items()):
        if move.told and transaction.moment - move.since >= REMEMBER_NS:
            transaction.drop("moves", name)
    if len(transaction.part("moves")) >= MAX_MOVES:
        raise Refused(f"{MAX_MOVES} moves of 30 days are known", "wait till the oldest is forgotten")


def mark_reservations(transaction, names, move):
    """Sets the move that holds these reservations; an empty name releases them."""
    for name in names:
        if (reservation := transaction.get("reservations", name)) is not None:
            transaction.put("reservations", name, replace(reservation, move=move))


def stop_move(transaction, command):
    move = transaction.get("moves", command.move)
    if move is None:
        hold = transaction.get("holds", command.move)
        if hold is None:
            raise Refused(f"no move {command.move}", "nothing is left to do")
        raise DecidedElsewhere(f"the end of {command.move}, {hold.state} here, is decided at {hold.source}")
    if move.step in BEFORE_SETTLING:
        start_rollback(transaction, command.move, move, STOPPED, "stopped by an operator", "")
    elif move.step in (SETTLING, DONE):
        raise TooLate(f"move {command.move} is {move.step}: all requests go to {move.to}")
    return {"step": transaction.get("moves", command.move).step}


def mark_destination_lost(transaction, command):
    move = transaction.get("moves", command.move)
    if move is None or move.told:
        raise Refused(f"no open move {command.move}", "nothing is left to do")
    restore_groups(transaction, move)
    mark_reservations(transaction, move.reservations, "")
    services.unmark(transaction, move.service, command.move)
    ended = replace(
        move, step=LOST, end=LOST, share=0, at=transaction.index, since=transaction.moment, told=-1
    )
    transaction.put("moves", command.move, replace(ended, says=f"{move.to} lost: {command.because}"[:500]))
    transaction.drop("moving", command.move)


def find_open_move(transaction, command):
    """Returns the record that a proposal or vote is about; raises Outdated if its epoch is not open."""
    move = transaction.get("moves", command.move)
    if move is None or move.epoch != command.epoch:
        raise Outdated(f"move {command.move} of epoch {command.epoch} is not open")
    return move


def record_vote(transaction, command):
    move = find_open_move(transaction, command)
    if move.step != SHIFTING or move.stage != command.stage:
        raise Outdated(f"move {command.move} is {move.step} at stage {move.stage}")
    follower, voters = transaction.get("followers", command.gateway), count_voters(transaction, move.service)
    if follower is None or move.service not in follower.services:
        raise Refused(f"gateway {command.gateway} does not follow for {move.service}", "follow first")
    if command.gateway in (move.on if command.verdict == "on" else move.back):
        return None
    on = tuple(name for name in move.on if name != command.gateway)
    back = tuple(name for name in move.back if name != command.gateway)
    if command.verdict == "on":
        on += (command.gateway,)
    else:
        back += (command.gateway,)
    move = replace(move, on=on, back=back)
    if len(back) >= back_votes_needed(voters):
        says = f"{len(back)} of {voters} gateways found {move.to} worse at {move.share / 10:g} %"
        do = "look at the machines there, then move anew"
        start_rollback(transaction, command.move, move, ROLLED_BACK, says, do)
    else:
        transaction.put("moves", command.move, move)
    return None


def count_voters(state, service):
    """Returns how many gateways vote on the moves of this service; `state` may also be a transaction."""
    return sum(service in follower.services for follower in state.part("followers").values())


def back_votes_needed(followers):
    """Returns how many votes roll a move back. A gateway seldom votes so by chance, so one vote is enough
    with up to 10 gateways. With more of them a single vote may be chance, and two are needed."""
    return 1 + (followers > 10)


def on_votes_needed(followers):
    """Returns how many votes a stage needs. If no gateway follows for the service, none is needed, because no
    gateway shifts its requests by this ledger."""
    return (followers + 1) // 2


def advance_move(transaction, command):
    move = find_open_move(transaction, command)
    if (move.step, move.stage) != (command.step, command.stage):
        raise Outdated(f"move {command.move} is {move.step} at stage {move.stage}")
    STEP_RULES[move.step](transaction, command.move, move, command)


def put_move(transaction, name, move, **fields):
    transaction.put("moves", name, replace(move, since=transaction.moment, **fields))


def start_reserving(transaction, name, move, command):
    put_move(transaction, name, move, step=RESERVING)


def start_warming(transaction, name, move, command):
    """From here on the move waits for the gangs of the service, and no further gang may start."""
    services.mark(transaction, move.service, name, closed=True)
    put_move(transaction, name, move, step=WARMING, taken=command.proof)


def finish_warming(transaction, name, move, command):
    if move.groups:
        put_move(transaction, name, move, step=MEMBERS)
    else:
        start_stage(transaction, name, move, 0)


def hand_over_member(transaction, name, move, command):
    """Hands over one member of a group, which serves at the destination by now. With `over` members there,
    the quorum there is min(over, quorum) and the quorum here is the rest. The two add up to the quorum of
    the group, so that no drain in either cluster can break it."""
    if all(group.over == len(group.nodes) for group in move.groups):
        return start_stage(transaction, name, move, 0)
    groups, before = [], None
    for group in move.groups:
        if group.group == command.group and group.over < len(group.nodes):
            if command.serving <= group.over:
                raise NotAwaited(f"{command.serving} members of {group.group} serve there")
            before, group = group, replace(group, over=group.over + 1)
        groups.append(group)
    if before is None:
        raise Outdated(f"no member of group {command.group} is to go")
    here = transaction.get("groups", before.group) or Group((), 0)
    rest = without_one_node(transaction, here.nodes)
    left = Group(rest, 0)
    if capacity.count_caught_up(transaction, left) + command.serving < before.quorum:
        raise NotAwaited(f"group {before.group} would fall below its quorum of {before.quorum}")
    put_group(transaction, before.group, rest, max(before.quorum - before.over - 1, 0))
    put_move(transaction, name, move, groups=tuple(groups))


def without_one_node(transaction, nodes):
    """Returns the nodes without one that does not serve, or without the last one if all serve."""
    records = transaction.part("nodes")
    idle = [name for name in nodes if records[name].state != capacity.SERVING or records[name].out]
    removed = (idle or list(nodes))[-1:]
    return tuple(name for name in nodes if name not in removed)


def put_group(transaction, name, nodes, quorum):
    capacity.check_part_size(transaction, "groups", name)
    capacity.put_group(transaction, name, Group(nodes, min(quorum, len(nodes))))


def remove_group(transaction, name):
    capacity.put_group(transaction, name, None)


def start_stage(transaction, name, move, stage):
    check_no_gang_runs(transaction, move.service)
    put_move(
        transaction,
        name,
        move,
        step=SHIFTING,
        stage=stage,
        share=STAGES[stage],
        at=transaction.index,
        on=(),
        back=(),
    )


def finish_stage(transaction, name, move, command):
    """Starts the next stage, or settling once all requests go to the destination: then the move can no longer
    be stopped."""
    if transaction.moment - move.since < MIN_STAGE_NS:
        raise NotAwaited(f"stage {move.stage} stands since less than {MIN_STAGE_NS // 10**9} s")
    if move.share < STAGES[-1]:
        if len(move.on) < on_votes_needed(count_voters(transaction, move.service)):
            raise NotAwaited(f"{len(move.on)} gateways voted for more")
        return start_stage(transaction, name, move, move.stage + 1)
    check_no_gang_runs(transaction, move.service)
    put_move(transaction, name, move, step=SETTLING)


def finish_settling(transaction, name, move, command):
    """The destination keeps the service for good, so its capacity is freed here."""
    for one in move.reservations:
        if (reservation := transaction.get("reservations", one)) is not None:
            capacity.remove_reservation(transaction, one, reservation)
    for group in move.groups:
        remove_group(transaction, group.group)
    services.unmark(transaction, move.service, name)
    finish_move(transaction, name, move, DONE, command.proof)


def start_dropping(transaction, name, move, command):
    """Checks that each group has its quorum here again. The leader has made sure that no gateway sends to the
    destination any more."""
    for group in move.groups:
        here = transaction.get("groups", group.group)
        if group.over and here is not None and capacity.count_caught_up(transaction, here) < here.quorum:
            raise NotAwaited(f"group {group.group} has not its quorum here")
    mark_reservations(transaction, move.reservations, "")
    services.unmark(transaction, move.service, name)
    put_move(transaction, name, move, step=DROPPING)


def finish_dropping(transaction, name, move, command):
    reasons = "; ".join(filter(None, (move.says, command.says)))
    finish_move(transaction, name, replace(move, says=reasons[:500]), move.end, command.proof)


def finish_move(transaction, name, move, end, proof):
    put_move(transaction, name, move, step=end, end=end, told=max(proof, 1))
    transaction.drop("moving", name)


STEP_RULES = {
    ASKED: start_reserving,
    RESERVING: start_warming,
    WARMING: finish_warming,
    MEMBERS: hand_over_member,
    SHIFTING: finish_stage,
    SETTLING: finish_settling,
    ROLLING_BACK: start_dropping,
    DROPPING: finish_dropping,
}


def roll_back_move(transaction, command):
    """Rolls a move back because the destination refused or ended the hold, or because a step took too long.
    While the move settles, only the destination's response that it holds nothing rolls it back."""
    move = find_open_move(transaction, command)
    if move.step != command.step or move.step not in (*BEFORE_SETTLING, SETTLING):
        raise Outdated(f"move {command.move} is {move.step}")
    if command.end == OVERDUE and (move.step == SETTLING or transaction.moment - move.since < MAX_STEP_NS):
        raise NotAwaited(f"move {command.move} is {move.step} and not overdue")
    start_rollback(transaction, command.move, move, command.end, command.says, command.do)


def start_rollback(transaction, name, move, end, says, do):
    if move.step == ASKED:  # the destination was not called, so it need not be notified
        mark_reservations(transaction, move.reservations, "")
        services.unmark(transaction, move.service, name)
        transaction.drop("moving", name)
        return put_move(transaction, name, move, step=end, end=end, says=says, do=do, told=-1)
    restore_groups(transaction, move)
    services.reopen(transaction, move.service, name)
    put_move(
        transaction, name, move, step=ROLLING_BACK, share=0, at=transaction.index, end=end, says=says, do=do
    )


def restore_groups(transaction, move):
    """Restores each group here as it was. The members at the destination stay until the hold is dropped."""
    for group in move.groups:
        if group.over:
            put_group(transaction, group.group, group.nodes, group.quorum)


RULES = {
    MoveCommand: start_move,
    MoveStop: stop_move,
    MoveLost: mark_destination_lost,
    MoveVote: record_vote,
    MoveAdvance: advance_move,
    MoveRollBack: roll_back_move,
}
INNER = (MoveAdvance, MoveRollBack)
