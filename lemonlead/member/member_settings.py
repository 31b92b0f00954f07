"""The settings file of a member, checked as a whole. Times are whole nanoseconds."""

import re
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network
from pathlib import Path

from .. import settings
from ..ledger.membership import MAX_MEMBERS
from ..ledger.state import LedgerSettings
from .faults import Unfit

MAX_CLUSTERS = 64
ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):([1-9]\d{0,4})")
LOOPBACK = IPv4Network("127.0.0.0/8")
NETWORKS = [LOOPBACK, *map(IPv4Network, ("10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16", "100.64.0.0/10"))]
ADDRESS_REQUIREMENT = (
    "ip:port of loopback or a private network, such as 127.0.0.1:7101; names are not looked up"
)


@dataclass(frozen=True, slots=True)
class Times:
    """Times of the replica, and of the member's readiness."""

    election: int
    heartbeat: int
    stale: int  # a member whose state is older than this is not ready


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """A settings file that passed all checks."""

    cluster: str
    member: str
    data: Path  # the folder; a relative path starts from the folder of the settings file
    listen: str
    reached: str  # the address at which others reach it
    members: dict  # name to address, of the members that form the cluster
    clusters: dict  # name to list of addresses, of other clusters
    times: Times
    terms: LedgerSettings
    bounds: dict  # keys are field names of `ledger.records.ReplicaConfig`


def read(path):
    """Returns the settings of the file. Raises Unfit, with all faults, if it cannot be used."""
    try:
        file = settings.read(path, settings.schema_text("member"), "schema:member")
        if faults := SettingsChecker(file).faults:
            raise settings.InvalidFile(faults)
    except settings.InvalidFile as error:
        raise Unfit(error.faults) from None
    values = file.value
    return MemberSettings(
        **{name: values[name] for name in ("cluster", "member", "listen", "members", "clusters", "bounds")},
        reached=values.get("reached", values["listen"]),
        data=Path(path).parent / values["data"],
        times=Times(**values["times"]),
        terms=LedgerSettings(**values["terms"]),
    )


def find_address_fault(address):
    """Returns what is wrong with an address, or an empty string."""
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


def is_loopback(address):
    return IPv4Address(address.partition(":")[0]) in LOOPBACK


class SettingsChecker:
    """Checks what a schema cannot express, and collects what is wrong in `faults`."""

    def __init__(self, file):
        self.file = file
        self.values = file.value
        self.faults = []
        self.check_addresses()
        self.check_own_address()
        self.check_other_clusters()
        self.check_times()

    def add_fault(self, path, found, allowed, other=None):
        place = self.file.place(other) if other else None
        self.faults.append(settings.Fault(self.file.place(path), path, found, allowed, place))

    def check_addresses(self):
        """Each address is valid, and belongs to one member; all are of loopback, or none is."""
        values = self.values
        path_by_address = {}
        all_addresses = [(name, values[name]) for name in ("listen", "reached") if name in values]
        all_addresses += [(f"members.{name}", address) for name, address in values["members"].items()]
        for name, addresses in values["clusters"].items():
            all_addresses += [(f"clusters.{name}[{at}]", address) for at, address in enumerate(addresses)]
        for path, address in all_addresses:
            if wrong := find_address_fault(address):
                self.add_fault(path, wrong, ADDRESS_REQUIREMENT)
            elif path in ("listen", "reached"):
                continue
            elif address in path_by_address:
                self.add_fault(path, address, "an address once", path_by_address[address])
            else:
                path_by_address[address] = path
                if not find_address_fault(values["listen"]) and is_loopback(address) != is_loopback(
                    values["listen"]
                ):
                    self.add_fault(path, address, "all of loopback or none: they reach each other", "listen")

    def check_own_address(self):
        """This member's name and address are listed together, or neither is listed."""
        values, own_path = self.values, f"members.{self.values['member']}"
        field = "reached" if "reached" in values else "listen"
        listed = values["members"].get(values["member"])
        if listed is not None and listed != values[field]:
            self.add_fault(field, values[field], f"{listed}, as {own_path} says", own_path)
        for name, address in values["members"].items():
            if listed is None and address == values[field]:
                self.add_fault(
                    "member", values["member"], f"{name}, which is listed at {address}", f"members.{name}"
                )
        if len(values["members"]) > MAX_MEMBERS:
            last = f"members.{list(values['members'])[-1]}"
            self.add_fault(last, f"{len(values['members'])} members", f"{MAX_MEMBERS} at most")

    def check_other_clusters(self):
        """The number of other clusters and of their addresses is in bounds."""
        values = self.values
        for at, (name, addresses) in enumerate(values["clusters"].items()):
            if name == values["cluster"]:
                self.add_fault(f"clusters.{name}[0]", name, "other clusters than its own", "cluster")
            if not 0 < len(addresses) <= MAX_MEMBERS:
                self.add_fault(
                    f"clusters.{name}[0]",
                    f"{len(addresses)} addresses",
                    f"1 to {MAX_MEMBERS} of cluster {name}",
                )
            if at == MAX_CLUSTERS:
                self.add_fault(
                    f"clusters.{name}[0]", f"{len(values['clusters'])} clusters", f"{MAX_CLUSTERS} at most"
                )

    def check_times(self):
        election, heartbeat, stale = (self.values["times"][one] for one in ("election", "heartbeat", "stale"))
        if 3 * heartbeat > election:
            self.add_fault(
                "times.heartbeat", f"{heartbeat}ns", f"a third of the election time, {election}ns, at most"
            )
        if stale < election:
            self.add_fault("times.stale", f"{stale}ns", f"the election time, {election}ns, at least")
