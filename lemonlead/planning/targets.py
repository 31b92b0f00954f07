"""What operators want of a fleet to come, as it is written, and what follows from it by division alone."""

from dataclasses import dataclass

from .. import settings

NS_PER_SECOND = 1_000_000_000
DAY = 86_400


@dataclass(frozen=True, slots=True)
class Control:
    """What a gateway may spend on control, and the machines set aside for it."""

    core: float
    memory_mb: float
    bytes_a_second: float
    machines: int


@dataclass(frozen=True, slots=True)
class Guesses:
    """What the operators do not say. `cut`: in nanoseconds."""

    services_a_gateway: int
    rack_instances: int
    changes_a_restart: float
    cuts_a_year: float
    cut: int
    clients_a_gateway: int
    lost_machines: int


@dataclass(frozen=True, slots=True)
class Targets:
    """Times in nanoseconds."""

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
        """A second, of one gateway."""
        return self.requests_a_second / self.gateways

    @property
    def instance_changes(self):
        """A second, of all the list's entries."""
        return (self.failures_a_day + self.restarts_a_day) * self.guesses.changes_a_restart / DAY

    @property
    def configurations(self):
        """A second."""
        return self.changes_a_day / DAY

    @property
    def gateway_starts(self):
        """A second, of all gateways, where they restart as any machine does."""
        share = self.gateways / (self.gateways + self.instances)
        return (self.failures_a_day + self.restarts_a_day) * share / DAY

    @property
    def zone_instances(self):
        return self.instances / self.zones

    @property
    def zone_gateways(self):
        return self.gateways / self.zones

    @property
    def share(self):
        """Of all services, that a gateway routes to."""
        return self.guesses.services_a_gateway / self.services

    @property
    def records(self):
        """All that a gateway may need to know: instances, routes, tenants."""
        return self.instances + self.routes + self.tenants

    @property
    def machines_left(self):
        return self.control.machines - self.guesses.lost_machines

    @property
    def subscribers(self):
        """Of one control machine, while some are lost."""
        return self.gateways / self.machines_left


def read(path):
    """Targets from a file; settings.InvalidFile with all its faults."""
    file = settings.read(path, settings.schema_text("targets"), "schema:targets")
    told, faults = file.value, []

    def fault(where, found, allowed):
        faults.append(settings.Fault(file.place(where), where, str(found), allowed))

    if told["zones"] < told["regions"]:
        fault("zones", told["zones"], f"{told['regions']} regions at least")
    if told["guesses"]["services_a_gateway"] > told["services"]:
        fault("guesses.services_a_gateway", told["guesses"]["services_a_gateway"], "at most all services")
    if told["guesses"]["rack_instances"] > told["instances"]:
        fault("guesses.rack_instances", told["guesses"]["rack_instances"], "at most all instances")
    if told["guesses"]["lost_machines"] >= told["control"]["machines"]:
        fault("guesses.lost_machines", told["guesses"]["lost_machines"], "less than control.machines")
    if faults:
        raise settings.InvalidFile(faults)
    return Targets(
        **{
            **told,
            "control": Control(**told["control"]),
            "guesses": Guesses(**told["guesses"]),
        }
    )
