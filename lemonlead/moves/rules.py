"""The ledger commands and records of moves, and the rules that apply them, for both clusters of a move.
`docs/moves.md` gives the steps and the reasons.

The source has a record in the part "moves" and decides alone how the move ends. The destination has a record
in the part "holds", under "SOURCE/MOVE"; what it holds are reservations that no client may free. The leader
of the source sends the commands to the destination. Each of them carries the epoch of the move (the index of
the source's entry that began it) and a floor: no move from that source to this cluster with a lower epoch is
open. A command that comes again, or late, has no further effect."""

from typing import Annotated

from msgspec import Meta, Struct
from msgspec.structs import replace

from ..ledger import capacity, services
from ..ledger.capacity import Group, Reservation
from ..ledger.faults import Refused, Senseless
from ..ledger.new_names import EXISTING, ExistingName, Name
from ..ledger.state import Command
from .faults import (
    DecidedElsewhere,
    GangRuns,
    HoldEnded,
    HoldKept,
    MoveKnown,
    MoveOpen,
    NoRoomThere,
    NotAwaited,
    NothingToMove,
    Outdated,
    TooLate,
)
from .placement import Placement

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
MAX_HOLDS = 4096
MAX_HOLD_NODES = capacity.MAX_NAMED_NODES  # nodes of all reservations of a hold together
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


# ---- commands of the destination, sent by the source's leader


class HoldCommand(Command, frozen=True):
    source: ExistingShortName
    move: ExistingShortName
    epoch: Index
    floor: Index

    @property
    def key(self):
        return f"{self.source}/{self.move}"


class ReservationPiece(Struct, frozen=True, forbid_unknown_fields=True):
    """A reservation that the destination is to hold: `units` on each of `nodes` nodes, or in total at one
    site if `nodes` is 0. The site of the given name is tried first."""

    reservation: Name
    units: capacity.Units
    nodes: Annotated[int, Meta(ge=0, le=capacity.MAX_NAMED_NODES)]
    site: Annotated[str, Meta(max_length=100)]


class GroupPiece(Struct, frozen=True, forbid_unknown_fields=True):
    """A group for which the destination is to choose `size` nodes."""

    group: Name
    size: Annotated[int, Meta(ge=1, le=MAX_PIECES)]
    quorum: Annotated[int, Meta(ge=0, le=capacity.MAX_NAMED_NODES)]


class HoldTake(HoldCommand, frozen=True, tag="hold_take"):
    """Hold the capacity of this service."""

    service: Name
    pieces: Annotated[tuple[ReservationPiece, ...], Meta(min_length=1, max_length=MAX_PIECES)]
    groups: Annotated[tuple[GroupPiece, ...], Meta(max_length=MAX_PIECES)] = ()

    def check_new(self):
        if (nodes := sum(piece.nodes for piece in self.pieces)) > MAX_HOLD_NODES:
            raise Senseless(f"pieces on {nodes} nodes together; at most {MAX_HOLD_NODES} in one move")


class HoldWarm(HoldCommand, frozen=True, tag="hold_warm"):
    """Start the service at the destination, and answer whether it is warm there."""


class HoldMember(HoldCommand, frozen=True, tag="hold_member"):
    """Have `over` members of the group at the destination, and answer how many of them serve."""

    group: Name
    over: Annotated[int, Meta(ge=1, le=MAX_PIECES)]


class HoldKeep(HoldCommand, frozen=True, tag="hold_keep"):
    """The source has decided that the move is to be completed: the destination keeps the service for good."""


class HoldDrop(HoldCommand, frozen=True, tag="hold_drop"):
    """The source has rolled the move back, and no request comes from it any more."""


class HoldEnd(Command, frozen=True, tag="hold_end"):
    """An operator states that the source is lost for good: what is held is kept or dropped."""

    hold: Annotated[str, Meta(min_length=1, max_length=200)]
    keep: bool
    because: Annotated[str, Meta(min_length=1, max_length=500)]


def current_hold(transaction, command):
    """Returns the hold of this move and epoch, or None. Raises Outdated if the command is older than what is
    known here. Forgets the ended holds below the floor of the source."""
    floor = transaction.get("floors", command.source)
    if floor is not None and command.epoch < floor.epoch:
        raise Outdated(f"moves of {command.source} below epoch {floor.epoch} have ended")
    hold = transaction.get("holds", command.key)
    if hold is not None and hold.epoch > command.epoch:
        raise Outdated(f"{command.key} is of epoch {hold.epoch} here")
    if command.floor > command.epoch:
        raise Senseless(f"floor {command.floor} above epoch {command.epoch}")
    if command.floor > (floor.epoch if floor else 0):
        transaction.put("floors", command.source, EpochFloor(command.floor))
        for key, other in list(transaction.part("holds").items()):
            old = other.source == command.source and other.epoch < command.floor
            if old and other.state in (KEPT, DROPPED):
                transaction.drop("holds", key)
    return hold if hold is not None and hold.epoch == command.epoch else None


def take_hold(transaction, command):
    hold = current_hold(transaction, command)
    if hold is not None:
        if hold.state == DROPPED:
            raise HoldEnded(f"{command.key} was dropped here")
        return {"state": hold.state}
    older = transaction.get("holds", command.key)
    if older is not None and older.state in (HELD, WARM):
        raise DecidedElsewhere(f"{command.key} of epoch {older.epoch} is still {older.state} here")
    check_room(transaction, command.key)
    names = tuple(piece.reservation for piece in command.pieces)
    if len(set(names)) != len(names):
        raise Senseless("a reservation is named twice")
    placement = Placement(transaction)
    # Reservations on nodes come first, because fewer places suit them.
    for piece in sorted(command.pieces, key=lambda piece: (not piece.nodes, -piece.units, piece.reservation)):
        if transaction.get("reservations", piece.reservation) is not None:
            raise NoRoomThere(f"reservation {piece.reservation} stands there already", "free it there")
        capacity.check_part_size(transaction, "reservations", piece.reservation)
        reservation = place_reservation(transaction, command, piece, placement)
        capacity.add_reservation(transaction, piece.reservation, reservation)
    groups = tuple(place_group(transaction, piece, placement) for piece in command.groups)
    hold = Hold(command.source, command.move, command.epoch, command.service, HELD, names, groups)
    transaction.put("holds", command.key, replace(hold, at=transaction.index))
    services.mark(transaction, command.service, command.key)
    return {"state": HELD}


def check_room(transaction, key):
    if transaction.get("holds", key) is None and len(transaction.part("holds")) >= MAX_HOLDS:
        raise NoRoomThere(f"{MAX_HOLDS} holds are known there", "end moves that come here")


def place_reservation(transaction, command, piece, placement):
    """Takes the units of this piece and returns its reservation; raises NoRoomThere with what is missing."""
    if not piece.nodes:
        site = choose_site(piece, placement)
        capacity.take_site(transaction, site, piece.units)
        return Reservation(command.service, piece.units, (), site, command.key)
    chosen = placement.nodes(piece.nodes, piece.units)
    if len(chosen) < piece.nodes:
        raise NoRoomThere(
            f"{piece.nodes} nodes with {piece.units} units free are wanted for {piece.reservation}, "
            f"{len(chosen)} are there"
        )
    try:
        capacity.take_nodes(transaction, chosen, piece.units)
    except Refused as error:
        raise NoRoomThere(f"{piece.reservation}: {error.says}") from None
    for name in chosen:
        load = transaction.get("loads", name)
        capacity.change_load(transaction, name, 0, reservations=(load.reservations if load else 0) + 1)
    return Reservation(command.service, piece.units, chosen, "", command.key)


def choose_site(piece, placement):
    """Returns the site of the same name if it has room, else the one with the most room."""
    site, free = placement.site(piece.site, piece.units)
    if not site or free < piece.units:
        raise NoRoomThere(
            f"{piece.units} units in one site are wanted for {piece.reservation}, "
            f"{max(free, 0)} are free" + (f" at {site}" if site else "")
        )
    return site


def place_group(transaction, piece, placement):
    if transaction.get("groups", piece.group) is not None:
        raise NoRoomThere(f"group {piece.group} stands there already", "rename it there")
    nodes = placement.members(piece.size)
    if len(nodes) < piece.size:
        raise NoRoomThere(f"{piece.size} nodes are wanted for group {piece.group}, {len(nodes)} are there")
    return PlacedGroup(piece.group, nodes, piece.quorum)


def active_hold(transaction, command):
    """Returns the hold of this move; raises HoldEnded if it was ended or never existed."""
    hold = current_hold(transaction, command)
    if hold is None or hold.state == DROPPED:
        raise HoldEnded(f"{command.key} holds nothing here")
    return hold


def warm_hold(transaction, command):
    """The first call starts the instances. The shift waits until all of their nodes are up and warm."""
    hold = active_hold(transaction, command)
    if hold.state == HELD:
        hold = replace(
            hold, state=WARM, warm_at=transaction.moment + transaction.settings.cold, at=transaction.index
        )
        transaction.put("holds", command.key, hold)
    nodes = transaction.part("nodes")
    reserved = [nodes[name] for name in reserved_nodes(transaction, hold)]
    cold_ns = max([hold.warm_at, *(node.warm for node in reserved)]) - transaction.moment
    warm = cold_ns <= 0 and all(capacity.up(node) for node in reserved)
    return {"state": hold.state, "warm": warm, "cold_ms": max(-(-cold_ns // 10**6), 0)}


def reserved_nodes(transaction, hold):
    for name in hold.reservations:
        if (reservation := transaction.get("reservations", name)) is not None:
            yield from reservation.nodes


def add_member(transaction, command):
    """Gives the group `over` members here. Its quorum here is its whole quorum, or all members while they are
    fewer."""
    hold = active_hold(transaction, command)
    placed = next((group for group in hold.groups if group.group == command.group), None)
    if placed is None or command.over > len(placed.nodes):
        raise Senseless(f"group {command.group} has no member {command.over}")
    if command.over > placed.over and hold.state == WARM:
        over = replace(placed, over=command.over)
        put_group(transaction, command.group, placed.nodes[: command.over], min(command.over, placed.quorum))
        groups = tuple(over if group is placed else group for group in hold.groups)
        transaction.put("holds", command.key, replace(hold, groups=groups, at=transaction.index))
    here = transaction.get("groups", command.group)
    return {"state": hold.state, "serving": capacity.count_caught_up(transaction, here) if here else 0}


def keep_hold(transaction, command):
    hold = active_hold(transaction, command)
    if hold.state != KEPT:
        make_hold_permanent(transaction, command.key, hold, "")
    return {"state": KEPT}


def make_hold_permanent(transaction, key, hold, by):
    services.unmark(transaction, hold.service, key)
    mark_reservations(transaction, hold.reservations, "")
    for group in hold.groups:
        if group.over:
            put_group(transaction, group.group, group.nodes[: group.over], group.quorum)
    transaction.put("holds", key, replace(hold, state=KEPT, at=transaction.index, by=by))


def drop_hold(transaction, command):
    """Drops the hold. Its record stays, so that a late command to hold the same move is refused."""
    try:
        hold = current_hold(transaction, command)
    except Outdated:
        return {"state": DROPPED}
    if hold is None:
        check_room(transaction, command.key)
        dropped = Hold(command.source, command.move, command.epoch, state=DROPPED, at=transaction.index)
        transaction.put("holds", command.key, dropped)
    elif hold.state == KEPT:
        raise HoldKept(f"{command.key} is kept here" + (f": {hold.by}" if hold.by else ""))
    elif hold.state != DROPPED:
        release_hold(transaction, command.key, hold, "")
    return {"state": DROPPED}


def release_hold(transaction, key, hold, by):
    services.unmark(transaction, hold.service, key)
    for name in hold.reservations:
        reservation = transaction.get("reservations", name)
        if reservation is not None and reservation.move == key:
            capacity.remove_reservation(transaction, name, reservation)
    for group in hold.groups:
        if group.over:
            remove_group(transaction, group.group)
    transaction.put("holds", key, replace(hold, state=DROPPED, at=transaction.index, by=by))


def end_hold(transaction, command):
    hold = transaction.get("holds", command.hold)
    if hold is None or hold.state in (KEPT, DROPPED):
        raise Refused(f"no hold {command.hold} is open", "nothing is left to do")
    (make_hold_permanent if command.keep else release_hold)(transaction, command.hold, hold, command.because)


RULES = {
    MoveCommand: start_move,
    MoveStop: stop_move,
    MoveLost: mark_destination_lost,
    MoveVote: record_vote,
    MoveAdvance: advance_move,
    MoveRollBack: roll_back_move,
    HoldTake: take_hold,
    HoldWarm: warm_hold,
    HoldMember: add_member,
    HoldKeep: keep_hold,
    HoldDrop: drop_hold,
    HoldEnd: end_hold,
}
INNER = (MoveAdvance, MoveRollBack)
