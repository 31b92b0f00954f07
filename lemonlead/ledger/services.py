"""What is here of each service: an index by service of its reservations, gangs and groups, so that a move
looks at that service's records alone; and the marks that moves set on it, which `capacity` heeds.

A reservation names its service. A group or gang is the service's if it bears its name, alone or before a
slash. Names are kept in pages, by a sum over the name: a page stays short and none is copied whole. The
index follows from the records, so its changes are told to nobody."""

from zlib import crc32

from msgspec import Struct
from msgspec.structs import replace

PAGES = 1024  # of one service: with 200,000 records of a part, the most, some 200 names in one


class Service(Struct, frozen=True, omit_defaults=True):
    """How many records are its own. `moves`: moves and holds under way that it is of; `closed`: the move that
    waits for its gangs, so that none may start."""

    reservations: int = 0
    gangs: int = 0
    groups: int = 0
    moves: tuple[str, ...] = ()
    closed: str = ""


class Page(Struct, frozen=True, omit_defaults=True):
    reservations: tuple[str, ...] = ()
    gangs: tuple[str, ...] = ()
    groups: tuple[str, ...] = ()


KINDS = {"services": Service, "service_pages": Page}
NONE, EMPTY = Service(), Page()


def services_of_name(name):
    """The services that a group or gang of this name is of."""
    return [name[:at] for at, letter in enumerate(name) if letter == "/"] + [name]


def add(draft, part, name, services):
    for service in services:
        change(draft, part, name, service, 1)


def remove(draft, part, name, services):
    for service in services:
        change(draft, part, name, service, -1)


def change(draft, part, name, service, sign):
    key = f"{service} {crc32(name.encode()) % PAGES}"
    page, row = draft.get("service_pages", key) or EMPTY, service_row(draft, service)
    names = getattr(page, part)
    at = len(names) if sign > 0 else names.index(name)
    names = (*names, name) if sign > 0 else names[:at] + names[at + 1 :]
    put(draft, "service_pages", key, replace(page, **{part: names}), EMPTY)
    put(draft, "services", service, replace(row, **{part: getattr(row, part) + sign}), NONE)


def put(draft, part, key, record, empty):
    if record == empty:
        draft.drop(part, key, notify=False)
    else:
        draft.put(part, key, record, notify=False)


def service_row(held, service):
    """Its row; of a State or a Draft."""
    return held.part("services").get(service, NONE)


def record_names(held, service, part):
    """Its records' names in this part, sorted. As many pages are looked at at any size."""
    if not getattr(service_row(held, service), part):
        return []
    pages = held.part("service_pages")
    found = (pages.get(f"{service} {number}", EMPTY) for number in range(PAGES))
    return sorted(name for page in found for name in getattr(page, part))


# ---- marks


def mark(draft, service, move, closed=False):
    """This move of it is under way; `closed`: it waits for the service's gangs."""
    row = service_row(draft, service)
    moves = row.moves if move in row.moves else (*row.moves, move)
    put(draft, "services", service, replace(row, moves=moves, closed=move if closed else row.closed), NONE)


def unmark(draft, service, move):
    row = service_row(draft, service)
    moves = tuple(one for one in row.moves if one != move)
    closed = "" if row.closed == move else row.closed
    put(draft, "services", service, replace(row, moves=moves, closed=closed), NONE)


def reopen(draft, service, move):
    """The move waits for gangs no more."""
    row = service_row(draft, service)
    if row.closed == move:
        put(draft, "services", service, replace(row, closed=""), NONE)
