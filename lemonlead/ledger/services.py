"""An index by service: the reservations, gangs and groups of each service, so that a move only looks at the
records of its own service; and the marks that moves set on a service, which `capacity` checks.

A reservation names its service. A gang or group belongs to a service if its name is the service's name, alone
or followed by a slash. Names are kept in pages, chosen by a checksum of the name, so that a page stays short
and a change copies only one page. The index is derived from the records, so polls don't report its changes.
"""

from zlib import crc32

from msgspec import Struct
from msgspec.structs import replace

PAGES = 1024  # of one service; a full part of 200,000 records has about 200 names in each


class Service(Struct, frozen=True, omit_defaults=True):
    """The numbers of records of a service. `moves` are the moves and holds in progress for it. `closed` is
    the move that waits for its gangs to end; while it is set no gang may start."""

    reservations: int = 0
    gangs: int = 0
    groups: int = 0
    moves: tuple[str, ...] = ()
    closed: str = ""


class Page(Struct, frozen=True, omit_defaults=True):
    """Some of the record names of a service."""

    reservations: tuple[str, ...] = ()
    gangs: tuple[str, ...] = ()
    groups: tuple[str, ...] = ()


KINDS = {"services": Service, "service_pages": Page}
NO_SERVICE, NO_PAGE = Service(), Page()


def services_of_name(name):
    """Returns the services that a gang or group of this name belongs to."""
    return [name[:at] for at, letter in enumerate(name) if letter == "/"] + [name]


def add(transaction, part, name, services):
    """Adds a record to the index of these services."""
    for service in services:
        change(transaction, part, name, service, 1)


def remove(transaction, part, name, services):
    """Removes a record from the index of these services."""
    for service in services:
        change(transaction, part, name, service, -1)


def change(transaction, part, name, service, sign):
    key = f"{service} {crc32(name.encode()) % PAGES}"
    page, row = transaction.get("service_pages", key) or NO_PAGE, service_row(transaction, service)
    names = getattr(page, part)
    at = len(names) if sign > 0 else names.index(name)
    names = (*names, name) if sign > 0 else names[:at] + names[at + 1 :]
    put(transaction, "service_pages", key, replace(page, **{part: names}), NO_PAGE)
    put(transaction, "services", service, replace(row, **{part: getattr(row, part) + sign}), NO_SERVICE)


def put(transaction, part, key, record, empty):
    """Stores a record of the index, or drops it if it equals `empty`."""
    if record == empty:
        transaction.drop(part, key, notify=False)
    else:
        transaction.put(part, key, record, notify=False)


def service_row(state, service):
    """Returns the Service record. `state` is a State or a Transaction."""
    return state.part("services").get(service, NO_SERVICE)


def record_names(state, service, part):
    """Returns the sorted names of the service's records in this part. It looks at PAGES pages, however many
    records there are."""
    if not getattr(service_row(state, service), part):
        return []
    pages = state.part("service_pages")
    found = (pages.get(f"{service} {number}", NO_PAGE) for number in range(PAGES))
    return sorted(name for page in found for name in getattr(page, part))


# ---- marks


def mark(transaction, service, move, closed=False):
    """Notes that a move of the service is in progress. `closed` means that it waits for the service's gangs
    to end."""
    row = service_row(transaction, service)
    moves = row.moves if move in row.moves else (*row.moves, move)
    put(
        transaction,
        "services",
        service,
        replace(row, moves=moves, closed=move if closed else row.closed),
        NO_SERVICE,
    )


def unmark(transaction, service, move):
    """Notes that a move of the service has ended."""
    row = service_row(transaction, service)
    moves = tuple(one for one in row.moves if one != move)
    closed = "" if row.closed == move else row.closed
    put(transaction, "services", service, replace(row, moves=moves, closed=closed), NO_SERVICE)


def reopen(transaction, service, move):
    """Notes that a move no longer waits for the service's gangs."""
    row = service_row(transaction, service)
    if row.closed == move:
        put(transaction, "services", service, replace(row, closed=""), NO_SERVICE)
