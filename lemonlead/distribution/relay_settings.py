"""What a relay is told: its settings file, checked as a whole. Times in whole nanoseconds."""

from dataclasses import dataclass

from .. import settings
from ..ledger.membership import MAX_MEMBERS
from ..member.member_settings import ADDRESS_REQUIREMENT, find_address_fault, is_loopback
from .faults import Unfit


@dataclass(frozen=True, slots=True)
class Budget:
    rate: int  # bytes a second to one gateway
    burst: int  # bytes


@dataclass(frozen=True, slots=True)
class Bounds:
    subscribers: int
    scopes: int
    waiting: int  # bytes
    kept: int  # changes


@dataclass(frozen=True, slots=True)
class RelaySettings:
    relay: str
    region: str
    listen: str
    members: dict  # name to address
    budget: Budget
    lease: int
    grace: int
    bounds: Bounds


def read(path):
    """What the file tells; Unfit, with all that is wrong, where it cannot be used."""
    try:
        file = settings.read(path, settings.schema_text("relay"), "schema:relay")
        if found := faults(file):
            raise settings.Unfit(found)
    except settings.Unfit as error:
        raise Unfit(error.faults) from None
    told = dict(file.value)
    budget, bounds = Budget(**told.pop("budget")), Bounds(**told.pop("bounds"))
    return RelaySettings(**told, budget=budget, bounds=bounds)


def faults(file):
    """What a schema cannot say."""
    told, found, seen = file.value, [], {}

    def fault(path, what, allowed, other=None):
        place = file.place(other) if other else None
        found.append(settings.Fault(file.place(path), path, what, allowed, place))

    mine = told["listen"]
    addresses = {"listen": mine}
    addresses |= {f"members.{name}": address for name, address in told["members"].items()}
    for path, address in addresses.items():
        if wrong := find_address_fault(address):
            fault(path, wrong, ADDRESS_REQUIREMENT)
        elif address in seen:
            fault(path, address, "an address once", seen[address])
        elif path != "listen" and not find_address_fault(mine) and is_loopback(address) != is_loopback(mine):
            fault(path, address, "all of loopback or none: they reach each other", "listen")
        seen.setdefault(address, path)
    if not 0 < len(told["members"]) <= MAX_MEMBERS:
        fault("members", f"{len(told['members'])} members", f"1 to {MAX_MEMBERS}")
    return found
