"""Reads what operators want of a planned fleet, and derives simple rates and shares from it."""

from dataclasses import dataclass

from .. import settings

NS_PER_SECOND = 1_000_000_000
SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Control:
    """What control may cost a gateway, and the number of control machines.

    `core` is a share of a core.
    """

    core: float
    memory_mb: float
    bytes_a_second: float
    machines: int


@dataclass(frozen=True, slots=True)
class Guesses:
    """Estimates of what the operators do not state. `cut`, the length of a network cut, is in nanoseconds."""

    services_a_gateway: int
    rack_instances: int
    changes_a_restart: float
    cuts_a_year: float
    cut: int
    clients_a_gateway: int
    lost_machines: int


@dataclass(frozen=True, slots=True)
class Targets:
    """The operators' figures; `added` and `in_force` are times in nanoseconds."""

    gateways: int
    instances: int
    services: int
    requests_a_second: float
    routes: int
    tenants: int
    added: int
    added_share: float
    regions: int
    zones: int
    changes_a_day: float
    in_force: int
    control: Control
    failures_a_day: float
    restarts_a_day: float
    racks_a_week: float
    zones_a_month: float
    guesses: Guesses

    @property
    def requests(self):
        """Requests a second at one gateway."""
        return self.requests_a_second / self.gateways

    @property
    def instance_changes(self):
        """Changes a second of entries of the instance list."""
        return (self.failures_a_day + self.restarts_a_day) * self.guesses.changes_a_restart / SECONDS_PER_DAY

    @property
    def configurations(self):
        """Changes of configuration a second."""
        return self.changes_a_day / SECONDS_PER_DAY

    @property
    def gateway_starts(self):
        """Starts a second of all gateways, if they restart as often as any machine."""
        share = self.gateways / (self.gateways + self.instances)
        return (self.failures_a_day + self.restarts_a_day) * share / SECONDS_PER_DAY

    @property
    def zone_instances(self):
        return self.instances / self.zones

    @property
    def zone_gateways(self):
        return self.gateways / self.zones

    @property
    def share(self):
        """The share of all services that a gateway routes to."""
        return self.guesses.services_a_gateway / self.services

    @property
    def records(self):
        """The number of instances, routes and tenants, all that a gateway may need to know."""
        return self.instances + self.routes + self.tenants

    @property
    def machines_left(self):
        return self.control.machines - self.guesses.lost_machines

    @property
    def subscribers(self):
        """Gateways that subscribe at one control machine, while some machines are lost."""
        return self.gateways / self.machines_left


def read(path):
    """Reads targets from a file; raises settings.InvalidFile with all faults of the file."""
    file = settings.read(path, settings.schema_text("targets"), "schema:targets")
    values, faults = file.value, []

    def fault(where, found, allowed):
        faults.append(settings.Fault(file.place(where), where, str(found), allowed))

    if values["zones"] < values["regions"]:
        fault("zones", values["zones"], f"{values['regions']} regions at least")
    if values["guesses"]["services_a_gateway"] > values["services"]:
        fault("guesses.services_a_gateway", values["guesses"]["services_a_gateway"], "at most all services")
    if values["guesses"]["rack_instances"] > values["instances"]:
        fault("guesses.rack_instances", values["guesses"]["rack_instances"], "at most all instances")
    if values["guesses"]["lost_machines"] >= values["control"]["machines"]:
        fault("guesses.lost_machines", values["guesses"]["lost_machines"], "less than control.machines")
    if faults:
        raise settings.InvalidFile(faults)
    return Targets(
        **{
            **values,
            "control": Control(**values["control"]),
            "guesses": Guesses(**values["guesses"]),
        }
    )
