"""Reads a fleet from its file: sites, kinds of machine, request classes, clients and gateways.

Times are whole nanoseconds.
"""

from dataclasses import dataclass, replace

from .. import interface as at
from .. import settings

MAX_MACHINES = 20_000  # instances of all sites together
NS_PER_SECOND = 1_000_000_000
EFFECTS = {"harmless": at.IDEMPOTENT, "stamped": at.DEDUPLICATED, "one-shot": at.NON_IDEMPOTENT}


@dataclass(frozen=True, slots=True)
class MachineKind:
    """`slots` bounds the requests that a machine serves and queues together."""

    name: str
    cores: int
    speed: float  # relative to a machine of speed 1
    slots: int


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    work: int  # mean time on one core of speed 1
    cv: float  # coefficient of variation of the work
    goal: int  # the latency objective
    stop: int  # the deadline
    effect: str
    memory: int  # how long instances recognise a repeat
    revenue: float


@dataclass(frozen=True, slots=True)
class Site:
    name: str
    gateways: int
    instances: dict  # count by name of the kind
    load: dict  # requests a second by name of the request class


@dataclass(frozen=True, slots=True)
class Fleet:
    """Kinds, request classes and sites are by name; shares are between 0 and 1."""

    kinds: dict
    request_classes: dict
    sites: dict
    same_site_delay: int
    cross_site_delay: int
    retries: int
    retry_pause: int
    patience: float
    lookup_cpu: int
    gateway_cores: float
    descriptors: int
    cold_share: float
    warm_up_time: int
    cold_multiple: float
    cold_window: int
    list_delay: int
    drain_grace: int
    stage_shares: tuple
    traffic_caps: tuple
    bake_time: int
    window: int
    free_attempts: int
    promote_share: float
    roll_back_share: float
    boot_time: int
    service_goal: float  # the share of revenue to answer within the latency objective

    def without_sites(self, names):
        """Returns the fleet without these sites; their load is spread evenly over the others."""
        kept = {name: site for name, site in self.sites.items() if name not in names}
        lost = [site for name, site in self.sites.items() if name in names]
        if not kept or not lost:
            return replace(self, sites=kept)
        load = {
            request_class: sum(site.load.get(request_class, 0.0) for site in lost) / len(kept)
            for request_class in self.request_classes
        }
        moved = {
            name: replace(
                site,
                load={
                    request_class: site.load.get(request_class, 0.0) + load[request_class]
                    for request_class in self.request_classes
                },
            )
            for name, site in kept.items()
        }
        return replace(self, sites=moved)

    def with_load_factor(self, factor):
        """Returns the fleet with this many times the load."""
        sites = {
            name: replace(
                site, load={request_class: rate * factor for request_class, rate in site.load.items()}
            )
            for name, site in self.sites.items()
        }
        return replace(self, sites=sites)

    def with_work_factor(self, factor):
        """Returns the fleet with this many times the work of each request, as if all ran a bad build."""
        request_classes = {
            name: replace(request_class, work=round(request_class.work * factor))
            for name, request_class in self.request_classes.items()
        }
        return replace(self, request_classes=request_classes)

    def with_instance_factor(self, factor):
        """Returns the fleet with this many times the instances of each site and kind, rounded up."""
        sites = {
            name: replace(
                site, instances={kind: -int(-count * factor // 1) for kind, count in site.instances.items()}
            )
            for name, site in self.sites.items()
        }
        return replace(self, sites=sites)

    def machine_counts(self):
        """Returns (site, kind, count) for each site and kind of which there are instances."""
        return [
            (site, self.kinds[kind], count)
            for site in self.sites.values()
            for kind, count in site.instances.items()
            if count
        ]

    def request_rate(self, request_class):
        return sum(site.load.get(request_class, 0.0) for site in self.sites.values())

    def gateway_count(self):
        return sum(site.gateways for site in self.sites.values())


def read(path):
    """Reads a fleet from a file; raises settings.InvalidFile with all faults of the file."""
    file = settings.read(path, settings.schema_text("fleet"), "schema:fleet")
    values, faults = file.value, []

    def fault(where, found, allowed):
        faults.append(settings.Fault(file.place(where), where, found, allowed, code="name"))

    for name, site in values["sites"].items():
        for field, known in (("instances", values["kinds"]), ("load", values["lanes"])):
            for key in site[field]:
                if key not in known:
                    fault(f"sites.{name}.{field}.{key}", key, ", ".join(known) or "nothing")
    for name, request_class in values["lanes"].items():
        if request_class["goal"] > request_class["stop"]:
            fault(f"lanes.{name}.goal", f"{request_class['goal']}ns", "the deadline at most")
    steps = values["release"]["steps"]
    if len(steps) != len(values["release"]["caps"]) or not steps or sorted(steps) != steps:
        fault("release.steps[0]", f"{len(steps)} steps", "rising ones, as many as caps, one at least")
    if not faults and not (values["sites"] and values["lanes"]):
        fault("sites", "no site or no request class", "one at least of each")
    count = sum(sum(site["instances"].values()) for site in values["sites"].values())
    if count > MAX_MACHINES:
        fault("sites", f"{count} instances", f"{MAX_MACHINES} at most")
    if faults:
        raise settings.InvalidFile(faults)
    return make_fleet(values)


def make_fleet(values):
    return Fleet(
        kinds={name: MachineKind(name, **kind) for name, kind in values["kinds"].items()},
        request_classes={
            name: RequestClass(name, **{**request_class, "effect": EFFECTS[request_class["effect"]]})
            for name, request_class in values["lanes"].items()
        },
        sites={name: Site(name, **site) for name, site in values["sites"].items()},
        same_site_delay=values["delay"]["within"],
        cross_site_delay=values["delay"]["across"],
        retries=values["clients"]["retries"],
        retry_pause=values["clients"]["pause"],
        patience=values["clients"]["patience"],
        lookup_cpu=values["gateways"]["lookup_cpu"],
        gateway_cores=values["gateways"]["cores"],
        descriptors=values["gateways"]["descriptors"],
        cold_share=values["cold"]["share"],
        warm_up_time=values["cold"]["warm"],
        cold_multiple=values["cold"]["multiple"],
        cold_window=values["cold"]["window"],
        list_delay=values["notice"],
        drain_grace=values["drain_grace"],
        service_goal=values["goal"]["service"],
        stage_shares=tuple(values["release"]["steps"]),
        traffic_caps=tuple(values["release"]["caps"]),
        bake_time=values["release"]["bake"],
        window=values["release"]["window"],
        free_attempts=values["release"]["free"],
        promote_share=values["release"]["on"],
        roll_back_share=values["release"]["back"],
        boot_time=values["release"]["boot"],
    )
