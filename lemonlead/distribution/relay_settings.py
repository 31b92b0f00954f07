"""The settings file of a relay, read and checked as a whole. Times are whole nanoseconds."""

from dataclasses import dataclass

from .. import settings
from ..ledger.membership import MAX_MEMBERS
from ..member.member_settings import ADDRESS_REQUIREMENT, find_address_fault, is_loopback
from .faults import Unfit


@dataclass(frozen=True, slots=True)
class Budget:
    """Limits what the relay sends to one gateway."""

    rate: int  # bytes a second
    burst: int  # bytes


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of what the relay holds."""

    subscribers: int
    scopes: int
    waiting: int  # bytes in a stream's send buffer
    kept: int  # changed keys in all logs together


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """The settings of one relay. `lease` and `grace` are nanoseconds."""

    relay: str
    region: str
    listen: str
    members: dict  # name to address
    budget: Budget
    lease: int
    grace: int
    bounds: Bounds


def read(path):
    """Returns the settings in a file. Raises Unfit with everything that is wrong when the file can't be
    used."""
    try:
        file = settings.read(path, settings.schema_text("relay"), "schema:relay")
        if found := faults(file):
            raise settings.InvalidFile(found)
    except settings.InvalidFile as error:
        raise Unfit(error.faults) from None
    fields = dict(file.value)
    budget, bounds = Budget(**fields.pop("budget")), Bounds(**fields.pop("bounds"))
    return RelaySettings(**fields, budget=budget, bounds=bounds)


def faults(file):
    """Returns the faults that the schema can't express."""
    fields, found, seen = file.value, [], {}

    def fault(path, what, allowed, other=None):
        place = file.place(other) if other else None
        found.append(settings.Fault(file.place(path), path, what, allowed, place))

    own_address = fields["listen"]
    addresses = {"listen": own_address}
    addresses |= {f"members.{name}": address for name, address in fields["members"].items()}
    for path, address in addresses.items():
        if wrong := find_address_fault(address):
            fault(path, wrong, ADDRESS_REQUIREMENT)
        elif address in seen:
            fault(path, address, "an address once", seen[address])
        elif (
            path != "listen"
            and not find_address_fault(own_address)
            and is_loopback(address) != is_loopback(own_address)
        ):
            fault(path, address, "all of loopback or none: they reach each other", "listen")
        seen.setdefault(address, path)
    if not 0 < len(fields["members"]) <= MAX_MEMBERS:
        fault("members", f"{len(fields['members'])} members", f"1 to {MAX_MEMBERS}")
    return found
