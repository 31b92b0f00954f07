"""The ledger's commands for moves, of both sides. `docs/moves.md` tells the steps and why.

Source: a record in part "moves"; it alone decides the end. Destination: a record in part "holds", under
"SOURCE/MOVE"; what it holds are reservations that no client may free. Its commands are sent by the source's
leader, each with the move's epoch (the index of the source's entry that began it) and a floor (no move of
that source to here with a lower epoch is open). Each leaves the same when it comes again, or late."""

from typing import Annotated

from msgspec import Meta, Struct
from msgspec.structs import replace

from ..ledger import capacity, services
from ..ledger.capacity import Group, Name, Reservation
from ..ledger.faults import Refused, Senseless
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

# Steps of a source's record. While it is ASKED the destination has not been called. Up to SHIFTING a move may
# be stopped; each that is not done ends by way of GOING_BACK (no request goes there any more) and DROPPING
# (the destination is told).
ASKED, RESERVING, WARMING = "asked", "reserving", "warming"
MEMBERS, SHIFTING = "members", "shifting"
SETTLING, GOING_BACK, DROPPING = "settling", "going back", "dropping"
DONE, REFUSED, STOPPED = "done", "refused", "stopped"
SENT_BACK, OVERDUE, LOST = "sent back", "overdue", "lost"
BEFORE_SETTLING = (ASKED, RESERVING, WARMING, MEMBERS, SHIFTING)
# States of a destination's record.
HELD, WARM, KEPT, DROPPED = "held", "warm", "kept", "dropped"

STAGES = (50, 250, 500, 900, 1000)  # thousandths of the requests that go there; judged up to the last but one
BAKE = 3_000_000_000  # ledger time that a stage stands at least
PATIENCE = 1_800_000_000_000  # ledger time after which a step before settling sends the move back
MOST_OPEN = 64  # moves not yet told to their destinations
MOST_MOVES = 10_000  # records; past it those told and older than KEEP go, and if none is, moves are refused
KEEP = 30 * 86_400_000_000_000  # ledger time for which an ended move's name stays known
MOST_HOLDS = 4096
MOST_PIECES = 500  # reservations, and groups, of one move

Short = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$")]
Said = Annotated[str, Meta(max_length=500)]
Index = Annotated[int, Meta(ge=0)]


# ---- records


class Moved(Struct, frozen=True):
    """A quorum group under way: as it was here, and how many members the other side has taken over."""

    group: str
    nodes: tuple[str, ...]
    quorum: int
    over: int = 0


class Move(Struct, frozen=True):
    """The source's record. `share`: thousandths of the requests that go there. `at`: index of the entry that
    last changed where they go. `since`: ledger moment at which the step or stage began. `taken`, `told`:
    the destination's entries that prove that it holds, and that it knows the end (-1: nobody to tell)."""

    service: str
    to: str
    epoch: int
    step: str = ASKED
    stage: int = -1
    share: int = 0
    at: int = 0
    since: int = 0
    reservations: tuple[str, ...] = ()
    groups: tuple[Moved, ...] = ()
    on: tuple[str, ...] = ()  # gateways that voted for the next stage, and those that voted back
    back: tuple[str, ...] = ()
    taken: int = 0
    told: int = 0
    end: str = ""  # how it ends: DONE, REFUSED, ...
    says: str = ""
    do: str = ""


class Placed(Struct, frozen=True):
    """A quorum group's nodes at the destination; the first `over` of them are in it."""

    group: str
    nodes: tuple[str, ...]
    quorum: int
    over: int = 0


class Hold(Struct, frozen=True):
    """The destination's record. `warm_at`: ledger moment at which it bears all. `by`: an operator's reason,
    where one ended it."""

    source: str
    move: str
    epoch: int
    service: str = ""
    state: str = HELD
    reservations: tuple[str, ...] = ()
    groups: tuple[Placed, ...] = ()
    warm_at: int = 0
    at: int = 0
    by: str = ""


class Floor(Struct, frozen=True):
    """No move of this source with a lower epoch is open: what ended is forgotten, what comes late refused."""

    epoch: int


class Open(Struct, frozen=True):
    """A move that its source's leader still has to act on."""

    epoch: int


KINDS = {"moves": Move, "moving": Open, "holds": Hold, "floors": Floor}


# ---- commands of the source: operators', gateways', its leader's own


class MoveCommand(Command, frozen=True, tag="move"):
    move: Short
    service: Name
    to: Short


class MoveStop(Command, frozen=True, tag="move_stop"):
    move: Annotated[str, Meta(min_length=1, max_length=200)]


class MoveLost(Command, frozen=True, tag="move_lost"):
    """An operator's word that the destination is lost for good: the source holds on, nobody is told."""

    move: Short
    because: Said


class MoveVote(Command, frozen=True, tag="move_vote"):
    """A gateway's, on the stage as it stands."""

    move: Short
    epoch: Index
    stage: Index
    gateway: Name
    verdict: Annotated[str, Meta(pattern="^(on|back)$")]


class MoveAdvance(Command, frozen=True, tag="move_next"):
    """The step (and stage) named is through. `proof`: the destination's entry that shows it. `group`: whose
    next member serves there, of `serving` that do."""

    move: Short
    epoch: Index
    step: str
    stage: int = -1
    proof: Index = 0
    group: str = ""
    serving: Index = 0
    says: Said = ""


class MoveRollBack(Command, frozen=True, tag="move_back"):
    move: Short
    epoch: Index
    step: str
    end: Annotated[str, Meta(pattern="^(refused|overdue)$")]
    says: Said
    do: Said = ""


def begin(draft, command):
    if (move := draft.get("moves", command.move)) is not None:
        raise MoveKnown(f"move {command.move} is known: {move.end or move.step}, epoch {move.epoch}")
    for name in draft.part("moving"):
        other = draft.get("moves", name)
        if other.service == command.service and other.step != DROPPING:
            raise MoveOpen(f"move {name} of service {command.service} is {other.step}")
    if len(draft.part("moving")) >= MOST_OPEN:
        raise Refused(f"{MOST_OPEN} moves are under way", "wait for the end of one")
    make_room(draft)
    there = services.service_row(draft, command.service)
    if not there.reservations:
        raise NothingToMove(f"service {command.service} has no reservation here")
    between_runs(draft, command.service)
    if max(there.reservations, there.groups) > MOST_PIECES:
        raise too_many(command.service)
    named = services.record_names(draft, command.service, "reservations")
    for name in named:
        if holder := draft.get("reservations", name).move:
            raise MoveOpen(f"reservation {name} is held by move {holder}")
    rows = draft.part("groups")
    groups = tuple(
        Moved(name, rows[name].nodes, rows[name].quorum)
        for name in services.record_names(draft, command.service, "groups")
    )
    if sum(len(group.nodes) for group in groups) > MOST_PIECES:
        raise too_many(command.service)
    mark(draft, named, command.move)
    services.mark(draft, command.service, command.move)
    move = Move(command.service, command.to, draft.index, at=draft.index, since=draft.moment)
    draft.put("moves", command.move, replace(move, reservations=tuple(named), groups=groups))
    draft.put("moving", command.move, Open(draft.index))


def too_many(service):
    return Refused(f"service {service} is more than {MOST_PIECES} pieces", "move it by parts")


def between_runs(draft, service):
    if services.service_row(draft, service).gangs:
        first = services.record_names(draft, service, "gangs")[0]
        raise GangRuns(f"gang {first} of service {service} runs")


def make_room(draft):
    if len(draft.part("moves")) < MOST_MOVES:
        return
    for name, move in list(draft.part("moves").items()):
        if move.told and draft.moment - move.since >= KEEP:
            draft.drop("moves", name)
    if len(draft.part("moves")) >= MOST_MOVES:
        raise Refused(f"{MOST_MOVES} moves of 30 days are known", "wait till the oldest is forgotten")


def mark(draft, names, move):
    for name in names:
        if (held := draft.get("reservations", name)) is not None:
            draft.put("reservations", name, replace(held, move=move))


def stop(draft, command):
    move = draft.get("moves", command.move)
    if move is None:
        hold = draft.get("holds", command.move)
        if hold is None:
            raise Refused(f"no move {command.move}", "nothing is left to do")
        raise DecidedElsewhere(f"the end of {command.move}, {hold.state} here, is decided at {hold.source}")
    if move.step in BEFORE_SETTLING:
        send_back(draft, command.move, move, STOPPED, "stopped by an operator", "")
    elif move.step in (SETTLING, DONE):
        raise TooLate(f"move {command.move} is {move.step}: all requests go to {move.to}")
    return {"step": draft.get("moves", command.move).step}


def lost(draft, command):
    move = draft.get("moves", command.move)
    if move is None or move.told:
        raise Refused(f"no open move {command.move}", "nothing is left to do")
    restore(draft, move)
    mark(draft, move.reservations, "")
    services.unmark(draft, move.service, command.move)
    ended = replace(move, step=LOST, end=LOST, share=0, at=draft.index, since=draft.moment, told=-1)
    draft.put("moves", command.move, replace(ended, says=f"{move.to} lost: {command.because}"[:500]))
    draft.drop("moving", command.move)


def open_move(draft, command):
    """The record that a proposal or vote is about, as it was when that was made; else Outdated."""
    move = draft.get("moves", command.move)
    if move is None or move.epoch != command.epoch:
        raise Outdated(f"move {command.move} of epoch {command.epoch} is not open")
    return move


def vote(draft, command):
    move = open_move(draft, command)
    if move.step != SHIFTING or move.stage != command.stage:
        raise Outdated(f"move {command.move} is {move.step} at stage {move.stage}")
    follower, voters = draft.get("followers", command.gateway), voting(draft, move.service)
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
    if len(back) >= back_needed(voters):
        says = f"{len(back)} of {voters} gateways found {move.to} worse at {move.share / 10:g} %"
        do = "look at the machines there, then move anew"
        send_back(draft, command.move, move, SENT_BACK, says, do)
    else:
        draft.put("moves", command.move, move)
    return None


def voting(state, service):
    """How many gateways vote on this service's moves; of a state or a draft."""
    return sum(service in follower.services for follower in state.part("followers").values())


def back_needed(followers):
    """Votes that send a shift back. Each gateway votes back by luck only seldom; two of many are no luck."""
    return 1 + (followers > 10)


def on_needed(followers):
    """Votes that a stage wants. Where no gateway follows for the service, nobody shifts its requests by this
    ledger."""
    return (followers + 1) // 2


def forward(draft, command):
    move = open_move(draft, command)
    if (move.step, move.stage) != (command.step, command.stage):
        raise Outdated(f"move {command.move} is {move.step} at stage {move.stage}")
    NEXT[move.step](draft, command.move, move, command)


def put(draft, name, move, **fields):
    draft.put("moves", name, replace(move, since=draft.moment, **fields))


def known(draft, name, move, command):
    put(draft, name, move, step=RESERVING)


def reserved(draft, name, move, command):
    """From here on it waits for the service's gangs: none starts any more."""
    services.mark(draft, move.service, name, closed=True)
    put(draft, name, move, step=WARMING, taken=command.proof)


def warmed(draft, name, move, command):
    if move.groups:
        put(draft, name, move, step=MEMBERS)
    else:
        shift(draft, name, move, 0)


def member_over(draft, name, move, command):
    """One member of a group is the other side's: it serves there. With `over` of them there, the quorums are
    min(over, quorum) there and what is left of it here: they add up, so no drain on either side breaks it."""
    if all(group.over == len(group.nodes) for group in move.groups):
        return shift(draft, name, move, 0)
    groups, before = [], None
    for group in move.groups:
        if group.group == command.group and group.over < len(group.nodes):
            if command.serving <= group.over:
                raise NotAwaited(f"{command.serving} members of {group.group} serve there")
            before, group = group, replace(group, over=group.over + 1)
        groups.append(group)
    if before is None:
        raise Outdated(f"no member of group {command.group} is to go")
    here = draft.get("groups", before.group) or Group((), 0)
    rest = leave_one(draft, here.nodes)
    left = Group(rest, 0)
    if capacity.count_caught_up(draft, left) + command.serving < before.quorum:
        raise NotAwaited(f"group {before.group} would fall below its quorum of {before.quorum}")
    put_group(draft, before.group, rest, max(before.quorum - before.over - 1, 0))
    put(draft, name, move, groups=tuple(groups))


def leave_one(draft, nodes):
    """Without one that does not serve, else without the last."""
    known = draft.part("nodes")
    idle = [one for one in nodes if known[one].state != capacity.SERVING or known[one].out]
    gone = (idle or list(nodes))[-1:]
    return tuple(one for one in nodes if one not in gone)


def put_group(draft, name, nodes, quorum):
    capacity.check_part_size(draft, "groups", name)
    capacity.put_group(draft, name, Group(nodes, min(quorum, len(nodes))))


def remove_group(draft, name):
    capacity.put_group(draft, name, None)


def shift(draft, name, move, stage):
    between_runs(draft, move.service)
    put(draft, name, move, step=SHIFTING, stage=stage, share=STAGES[stage], at=draft.index, on=(), back=())


def shifted(draft, name, move, command):
    """The next stage, or once all requests go there, the point of no return."""
    if draft.moment - move.since < BAKE:
        raise NotAwaited(f"stage {move.stage} stands since less than {BAKE // 10**9} s")
    if move.share < STAGES[-1]:
        if len(move.on) < on_needed(voting(draft, move.service)):
            raise NotAwaited(f"{len(move.on)} gateways voted for more")
        return shift(draft, name, move, move.stage + 1)
    between_runs(draft, move.service)
    put(draft, name, move, step=SETTLING)


def settled(draft, name, move, command):
    """The destination keeps it for good: free here."""
    for one in move.reservations:
        if (held := draft.get("reservations", one)) is not None:
            capacity.remove_reservation(draft, one, held)
    for group in move.groups:
        remove_group(draft, group.group)
    services.unmark(draft, move.service, name)
    finish(draft, name, move, DONE, command.proof)


def went_back(draft, name, move, command):
    """No gateway sends there any more (its leader saw to that), and each group has its quorum here."""
    for group in move.groups:
        here = draft.get("groups", group.group)
        if group.over and here is not None and capacity.count_caught_up(draft, here) < here.quorum:
            raise NotAwaited(f"group {group.group} has not its quorum here")
    mark(draft, move.reservations, "")
    services.unmark(draft, move.service, name)
    put(draft, name, move, step=DROPPING)


def dropped(draft, name, move, command):
    said = "; ".join(filter(None, (move.says, command.says)))
    finish(draft, name, replace(move, says=said[:500]), move.end, command.proof)


def finish(draft, name, move, end, proof):
    put(draft, name, move, step=end, end=end, told=max(proof, 1))
    draft.drop("moving", name)


NEXT = {
    ASKED: known,
    RESERVING: reserved,
    WARMING: warmed,
    MEMBERS: member_over,
    SHIFTING: shifted,
    SETTLING: settled,
    GOING_BACK: went_back,
    DROPPING: dropped,
}


def backward(draft, command):
    """Its leader's: the destination refused or ended the hold, or a step took too long. While it settles,
    only the destination's word that it holds nothing sends it back."""
    move = open_move(draft, command)
    if move.step != command.step or move.step not in (*BEFORE_SETTLING, SETTLING):
        raise Outdated(f"move {command.move} is {move.step}")
    if command.end == OVERDUE and (move.step == SETTLING or draft.moment - move.since < PATIENCE):
        raise NotAwaited(f"move {command.move} is {move.step} and not overdue")
    send_back(draft, command.move, move, command.end, command.says, command.do)


def send_back(draft, name, move, end, says, do):
    if move.step == ASKED:  # nobody was called, so nobody need be told
        mark(draft, move.reservations, "")
        services.unmark(draft, move.service, name)
        draft.drop("moving", name)
        return put(draft, name, move, step=end, end=end, says=says, do=do, told=-1)
    restore(draft, move)
    services.reopen(draft, move.service, name)
    put(draft, name, move, step=GOING_BACK, share=0, at=draft.index, end=end, says=says, do=do)


def restore(draft, move):
    """Each group as it was here; the other side's members go on until the hold is dropped."""
    for group in move.groups:
        if group.over:
            put_group(draft, group.group, group.nodes, group.quorum)


# ---- commands of the destination, sent by the source's leader


class HoldCommand(Command, frozen=True):
    source: Short
    move: Short
    epoch: Index
    floor: Index

    @property
    def key(self):
        return f"{self.source}/{self.move}"


class Piece(Struct, frozen=True, forbid_unknown_fields=True):
    """A reservation to be held: `units` on each of `nodes` nodes, or in all at a site where `nodes` is 0;
    the site of that name is tried first."""

    reservation: Name
    units: capacity.Units
    nodes: Annotated[int, Meta(ge=0, le=20_000)]
    site: Annotated[str, Meta(max_length=100)]


class GroupPiece(Struct, frozen=True, forbid_unknown_fields=True):
    group: Name
    size: Annotated[int, Meta(ge=1, le=MOST_PIECES)]
    quorum: Annotated[int, Meta(ge=0, le=20_000)]


class HoldTake(HoldCommand, frozen=True, tag="hold_take"):
    service: Name
    pieces: Annotated[tuple[Piece, ...], Meta(min_length=1, max_length=MOST_PIECES)]
    groups: Annotated[tuple[GroupPiece, ...], Meta(max_length=MOST_PIECES)] = ()


class HoldWarm(HoldCommand, frozen=True, tag="hold_warm"):
    """Start there, and tell whether it is warm."""


class HoldMember(HoldCommand, frozen=True, tag="hold_member"):
    """So many members of the group are to be there; tells how many of them serve."""

    group: Name
    over: Annotated[int, Meta(ge=1, le=MOST_PIECES)]


class HoldKeep(HoldCommand, frozen=True, tag="hold_keep"):
    """The source's record says that the move is to be done: the destination keeps it for good."""


class HoldDrop(HoldCommand, frozen=True, tag="hold_drop"):
    """The source's record says that the move went back, and no request comes any more."""


class HoldEnd(Command, frozen=True, tag="hold_end"):
    """An operator's word that the source is lost for good: what is held is kept or dropped."""

    hold: Annotated[str, Meta(min_length=1, max_length=200)]
    keep: bool
    because: Annotated[str, Meta(min_length=1, max_length=500)]


def fenced(draft, command):
    """The hold of this very move, or None; Outdated where the call is older than what is known. What ended
    below the source's floor is forgotten."""
    floor = draft.get("floors", command.source)
    if floor is not None and command.epoch < floor.epoch:
        raise Outdated(f"moves of {command.source} below epoch {floor.epoch} have ended")
    hold = draft.get("holds", command.key)
    if hold is not None and hold.epoch > command.epoch:
        raise Outdated(f"{command.key} is of epoch {hold.epoch} here")
    if command.floor > command.epoch:
        raise Senseless(f"floor {command.floor} above epoch {command.epoch}")
    if command.floor > (floor.epoch if floor else 0):
        draft.put("floors", command.source, Floor(command.floor))
        for key, other in list(draft.part("holds").items()):
            old = other.source == command.source and other.epoch < command.floor
            if old and other.state in (KEPT, DROPPED):
                draft.drop("holds", key)
    return hold if hold is not None and hold.epoch == command.epoch else None


def take(draft, command):
    hold = fenced(draft, command)
    if hold is not None:
        if hold.state == DROPPED:
            raise HoldEnded(f"{command.key} was dropped here")
        return {"state": hold.state}
    stale = draft.get("holds", command.key)
    if stale is not None and stale.state in (HELD, WARM):
        raise DecidedElsewhere(f"{command.key} of epoch {stale.epoch} is still {stale.state} here")
    room(draft, command.key)
    names = tuple(piece.reservation for piece in command.pieces)
    if len(set(names)) != len(names):
        raise Senseless("a reservation is named twice")
    # What is pinned to nodes first: it has the least choice.
    for piece in sorted(command.pieces, key=lambda piece: (not piece.nodes, -piece.units, piece.reservation)):
        if draft.get("reservations", piece.reservation) is not None:
            raise NoRoomThere(f"reservation {piece.reservation} stands there already", "free it there")
        capacity.check_part_size(draft, "reservations", piece.reservation)
        held = place(draft, command, piece)
        capacity.add_reservation(draft, piece.reservation, held)
    groups = tuple(place_group(draft, piece) for piece in command.groups)
    hold = Hold(command.source, command.move, command.epoch, command.service, HELD, names, groups)
    draft.put("holds", command.key, replace(hold, at=draft.index))
    services.mark(draft, command.service, command.key)
    return {"state": HELD}


def room(draft, key):
    if draft.get("holds", key) is None and len(draft.part("holds")) >= MOST_HOLDS:
        raise NoRoomThere(f"{MOST_HOLDS} holds are known there", "end moves that come here")


def place(draft, command, piece):
    """The reservation of this piece, its units taken; NoRoomThere tells what is missing."""
    if not piece.nodes:
        site = widest(draft, piece)
        capacity.take_site(draft, site, piece.units)
        return Reservation(command.service, piece.units, (), site, command.key)
    free = roomy(draft, piece.units)[: piece.nodes]
    if len(free) < piece.nodes:
        raise NoRoomThere(
            f"{piece.nodes} nodes with {piece.units} units free are wanted for {piece.reservation}, "
            f"{len(free)} are there"
        )
    try:
        capacity.take_nodes(draft, free, piece.units)
    except Refused as error:
        raise NoRoomThere(f"{piece.reservation}: {error.says}") from None
    for one in free:
        load = draft.get("loads", one)
        capacity.change_load(draft, one, 0, reservations=(load.reservations if load else 0) + 1)
    return Reservation(command.service, piece.units, free, "", command.key)


def widest(draft, piece):
    """The site of the same name where it has room, else the one with the most; what is to go for a drain is
    no room."""
    leaving = {}
    for name, node in draft.part("nodes").items():
        if node.cordon_ms and capacity.up(node):
            leaving[node.site] = leaving.get(node.site, 0) + max(capacity.node_free(draft, name), 0)
    free = {site: capacity.site_free(draft, site) - leaving.get(site, 0) for site in draft.part("sites")}
    if free.get(piece.site, -1) >= piece.units:
        return piece.site
    best = max(sorted(free), key=free.get, default="")
    if not best or free[best] < piece.units:
        raise NoRoomThere(
            f"{piece.units} units in one site are wanted for {piece.reservation}, "
            f"{max(free.get(best, 0), 0)} are free" + (f" at {best}" if best else "")
        )
    return best


def roomy(draft, units):
    """Nodes that stay and have so many units free, the emptiest first."""
    free = []
    for name, node in draft.part("nodes").items():
        if capacity.up(node) and not node.cordon_ms:
            left = min(capacity.node_free(draft, name), capacity.site_free(draft, node.site))
            if left >= units:
                free.append((-left, name))
    return tuple(name for _, name in sorted(free))


def place_group(draft, piece):
    if draft.get("groups", piece.group) is not None:
        raise NoRoomThere(f"group {piece.group} stands there already", "rename it there")
    nodes = roomy(draft, 0)[: piece.size]
    if len(nodes) < piece.size:
        raise NoRoomThere(f"{piece.size} nodes are wanted for group {piece.group}, {len(nodes)} are there")
    return Placed(piece.group, nodes, piece.quorum)


def held(draft, command):
    """The hold of this move as it stands; refused where it was ended, or never was."""
    hold = fenced(draft, command)
    if hold is None or hold.state == DROPPED:
        raise HoldEnded(f"{command.key} holds nothing here")
    return hold


def warm_hold(draft, command):
    """The instances start with the first such call; until all are up and warm the shift waits."""
    hold = held(draft, command)
    if hold.state == HELD:
        hold = replace(hold, state=WARM, warm_at=draft.moment + draft.settings.cold, at=draft.index)
        draft.put("holds", command.key, hold)
    nodes = draft.part("nodes")
    ours = [nodes[one] for one in nodes_of(draft, hold)]
    cold = max([hold.warm_at, *(node.warm for node in ours)]) - draft.moment
    warm = cold <= 0 and all(capacity.up(node) for node in ours)
    return {"state": hold.state, "warm": warm, "cold_ms": max(-(-cold // 10**6), 0)}


def nodes_of(draft, hold):
    for name in hold.reservations:
        if (reservation := draft.get("reservations", name)) is not None:
            yield from reservation.nodes


def member(draft, command):
    """The group has so many members here, of which as many as its quorum, or all, may not go."""
    hold = held(draft, command)
    placed = next((group for group in hold.groups if group.group == command.group), None)
    if placed is None or command.over > len(placed.nodes):
        raise Senseless(f"group {command.group} has no member {command.over}")
    if command.over > placed.over and hold.state == WARM:
        over = replace(placed, over=command.over)
        put_group(draft, command.group, placed.nodes[: command.over], min(command.over, placed.quorum))
        groups = tuple(over if group is placed else group for group in hold.groups)
        draft.put("holds", command.key, replace(hold, groups=groups, at=draft.index))
    here = draft.get("groups", command.group)
    return {"state": hold.state, "serving": capacity.count_caught_up(draft, here) if here else 0}


def keep(draft, command):
    hold = held(draft, command)
    if hold.state != KEPT:
        make_hold_permanent(draft, command.key, hold, "")
    return {"state": KEPT}


def make_hold_permanent(draft, key, hold, by):
    services.unmark(draft, hold.service, key)
    mark(draft, hold.reservations, "")
    for group in hold.groups:
        if group.over:
            put_group(draft, group.group, group.nodes[: group.over], group.quorum)
    draft.put("holds", key, replace(hold, state=KEPT, at=draft.index, by=by))


def drop(draft, command):
    """What is dropped stays known as such: a call to hold it that comes late finds it ended."""
    try:
        hold = fenced(draft, command)
    except Outdated:
        return {"state": DROPPED}
    if hold is None:
        room(draft, command.key)
        gone = Hold(command.source, command.move, command.epoch, state=DROPPED, at=draft.index)
        draft.put("holds", command.key, gone)
    elif hold.state == KEPT:
        raise HoldKept(f"{command.key} is kept here" + (f": {hold.by}" if hold.by else ""))
    elif hold.state != DROPPED:
        release_hold(draft, command.key, hold, "")
    return {"state": DROPPED}


def release_hold(draft, key, hold, by):
    services.unmark(draft, hold.service, key)
    for name in hold.reservations:
        reservation = draft.get("reservations", name)
        if reservation is not None and reservation.move == key:
            capacity.remove_reservation(draft, name, reservation)
    for group in hold.groups:
        if group.over:
            remove_group(draft, group.group)
    draft.put("holds", key, replace(hold, state=DROPPED, at=draft.index, by=by))


def end_hold(draft, command):
    hold = draft.get("holds", command.hold)
    if hold is None or hold.state in (KEPT, DROPPED):
        raise Refused(f"no hold {command.hold} is open", "nothing is left to do")
    (make_hold_permanent if command.keep else release_hold)(draft, command.hold, hold, command.because)


RULES = {
    MoveCommand: begin,
    MoveStop: stop,
    MoveLost: lost,
    MoveVote: vote,
    MoveAdvance: forward,
    MoveRollBack: backward,
    HoldTake: take,
    HoldWarm: warm_hold,
    HoldMember: member,
    HoldKeep: keep,
    HoldDrop: drop,
    HoldEnd: end_hold,
}
INNER = (MoveAdvance, MoveRollBack)
