"""What a member is told: its settings file, checked as a whole. Times in whole nanoseconds."""

import re
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network
from pathlib import Path

from .. import settings
from ..ledger.membership import MAX_MEMBERS
from ..ledger.state import LedgerSettings
from .faults import Unfit

MOST_CLUSTERS = 64
ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):([1-9]\d{0,4})")
LOOPBACK = IPv4Network("127.0.0.0/8")
NETWORKS = [LOOPBACK, *map(IPv4Network, ("10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16", "100.64.0.0/10"))]
ALLOWED = "ip:port of loopback or a private network, such as 127.0.0.1:7101; names are not looked up"


@dataclass(frozen=True, slots=True)
class Times:
    election: int
    heartbeat: int
    stale: int  # age of its state past which a member is not ready


@dataclass(frozen=True, slots=True)
class MemberTold:
    cluster: str
    member: str
    data: Path  # where it is relative: from the settings file's folder
    listen: str
    reached: str  # where others reach it
    members: dict  # name to address, of those that form the cluster
    clusters: dict  # name to list of addresses, of other clusters
    times: Times
    terms: LedgerSettings
    bounds: dict  # by the names of `ledger.records.ReplicaConfig`


def read(path):
    """What the file tells; Unfit, with all that is wrong, where it cannot be used."""
    try:
        file = settings.read(path, settings.schema_text("member"), "schema:member")
        if faults := Checked(file).faults:
            raise settings.InvalidFile(faults)
    except settings.InvalidFile as error:
        raise Unfit(error.faults) from None
    told = file.value
    return MemberTold(
        **{name: told[name] for name in ("cluster", "member", "listen", "members", "clusters", "bounds")},
        reached=told.get("reached", told["listen"]),
        data=Path(path).parent / told["data"],
        times=Times(**told["times"]),
        terms=LedgerSettings(**told["terms"]),
    )


def address_fault(address):
    """What is wrong with an address, or an empty string."""
    match = ADDRESS.fullmatch(address)
    if match is None:
        return f'"{address[:60]}"'
    try:
        ip = IPv4Address(match[1])
    except ValueError:
        return f'"{address}", no IPv4 address'
    if int(match[2]) > 65535:
        return f"port {match[2]}"
    if not any(ip in network for network in NETWORKS):
        return f"{ip}, an address of neither"
    return ""


def inside(address):
    return IPv4Address(address.partition(":")[0]) in LOOPBACK


class Checked:
    """What a schema cannot say, as `faults`."""

    def __init__(self, file):
        self.file, self.told, self.faults = file, file.value, []
        self.addresses()
        self.own_place()
        self.others()
        self.times()

    def fault(self, path, found, allowed, other=None):
        place = self.file.place(other) if other else None
        self.faults.append(settings.Fault(self.file.place(path), path, found, allowed, place))

    def addresses(self):
        told, seen = self.told, {}
        all_of_them = [(name, told[name]) for name in ("listen", "reached") if name in told]
        all_of_them += [(f"members.{name}", address) for name, address in told["members"].items()]
        for name, addresses in told["clusters"].items():
            all_of_them += [(f"clusters.{name}[{at}]", address) for at, address in enumerate(addresses)]
        for path, address in all_of_them:
            if wrong := address_fault(address):
                self.fault(path, wrong, ALLOWED)
            elif path in ("listen", "reached"):
                continue
            elif address in seen:
                self.fault(path, address, "an address once", seen[address])
            else:
                seen[address] = path
                if not address_fault(told["listen"]) and inside(address) != inside(told["listen"]):
                    self.fault(path, address, "all of loopback or none: they reach each other", "listen")

    def own_place(self):
        """Where this member is listed, and the member that is reached here, are the same."""
        told, mine = self.told, f"members.{self.told['member']}"
        field = "reached" if "reached" in told else "listen"
        listed = told["members"].get(told["member"])
        if listed is not None and listed != told[field]:
            self.fault(field, told[field], f"{listed}, as {mine} says", mine)
        for name, address in told["members"].items():
            if listed is None and address == told[field]:
                self.fault(
                    "member", told["member"], f"{name}, which is listed at {address}", f"members.{name}"
                )
        if len(told["members"]) > MAX_MEMBERS:
            last = f"members.{list(told['members'])[-1]}"
            self.fault(last, f"{len(told['members'])} members", f"{MAX_MEMBERS} at most")

    def others(self):
        told = self.told
        for at, (name, addresses) in enumerate(told["clusters"].items()):
            if name == told["cluster"]:
                self.fault(f"clusters.{name}[0]", name, "other clusters than its own", "cluster")
            if not 0 < len(addresses) <= MAX_MEMBERS:
                self.fault(
                    f"clusters.{name}[0]",
                    f"{len(addresses)} addresses",
                    f"1 to {MAX_MEMBERS} of cluster {name}",
                )
            if at == MOST_CLUSTERS:
                self.fault(
                    f"clusters.{name}[0]", f"{len(told['clusters'])} clusters", f"{MOST_CLUSTERS} at most"
                )

    def times(self):
        election, heartbeat, stale = (self.told["times"][one] for one in ("election", "heartbeat", "stale"))
        if 3 * heartbeat > election:
            self.fault(
                "times.heartbeat", f"{heartbeat}ns", f"a third of the election time, {election}ns, at most"
            )
        if stale < election:
            self.fault("times.stale", f"{stale}ns", f"the election time, {election}ns, at least")
