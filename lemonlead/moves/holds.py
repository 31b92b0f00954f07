"""The ledger commands of a move's destination, which holds the service's capacity, and the rules that apply
them. The source's leader sends them (`steps.py`); `rules.py` has the records and the source's side."""

from typing import Annotated

from msgspec import Meta, Struct
from msgspec.structs import replace

from ..ledger import capacity, services
from ..ledger.capacity import Reservation
from ..ledger.faults import Refused, Senseless
from ..ledger.new_names import Name
from ..ledger.state import Command
from .faults import DecidedElsewhere, HoldEnded, HoldKept, NoRoomThere, Outdated
from .placement import Placement
from .rules import (
    DROPPED,
    EpochFloor,
    ExistingShortName,
    HELD,
    Hold,
    Index,
    KEPT,
    MAX_PIECES,
    PlacedGroup,
    WARM,
    mark_reservations,
    put_group,
    remove_group,
)

MAX_HOLDS = 4096
MAX_HOLD_NODES = capacity.MAX_NAMED_NODES  # nodes of all reservations of a hold together


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

    def check_new(self, data):
        super().check_new(data)
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
    HoldTake: take_hold,
    HoldWarm: warm_hold,
    HoldMember: add_member,
    HoldKeep: keep_hold,
    HoldDrop: drop_hold,
    HoldEnd: end_hold,
}
