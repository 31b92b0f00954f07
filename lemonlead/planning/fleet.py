"""A fleet as it is written: sites, kinds of machine, request classes, clients. Times in whole nanoseconds."""

from dataclasses import dataclass, replace

from .. import interface as at
from .. import settings

MAX_MACHINES = 20_000  # of all sites; past it a file is refused
NS_PER_SECOND = 1_000_000_000
EFFECTS = {"harmless": at.IDEMPOTENT, "stamped": at.DEDUPLICATED, "one-shot": at.NON_IDEMPOTENT}


@dataclass(frozen=True, slots=True)
class MachineKind:
    name: str
    cores: int
    speed: float
    slots: int


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    work: int
    cv: float
    goal: int
    stop: int
    effect: str
    memory: int
    revenue: float


@dataclass(frozen=True, slots=True)
class Site:
    name: str
    gateways: int
    instances: dict  # how many, by kind's name
    load: dict  # requests a second, by request class's name


@dataclass(frozen=True, slots=True)
class Fleet:
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
    service_goal: float  # the share of revenue that is to be answered within the latency objective

    def without_sites(self, names):
        """The fleet after these sites are lost: their clients are served at the others."""
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
        """The same with so many times the load."""
        sites = {
            name: replace(
                site, load={request_class: rate * factor for request_class, rate in site.load.items()}
            )
            for name, site in self.sites.items()
        }
        return replace(self, sites=sites)

    def with_work_factor(self, factor):
        """The same with so many times the work a request, as under a bad build everywhere."""
        request_classes = {
            name: replace(request_class, work=round(request_class.work * factor))
            for name, request_class in self.request_classes.items()
        }
        return replace(self, request_classes=request_classes)

    def with_instance_factor(self, factor):
        """The same with so many times the instances, rounded up, by site and kind."""
        sites = {
            name: replace(
                site, instances={k: -int(-count * factor // 1) for k, count in site.instances.items()}
            )
            for name, site in self.sites.items()
        }
        return replace(self, sites=sites)

    def machine_counts(self):
        """(site, kind, how many) of each that there are."""
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
    """A fleet from a file; settings.InvalidFile with all its faults."""
    file = settings.read(path, settings.schema_text("fleet"), "schema:fleet")
    told, faults = file.value, []

    def fault(where, found, allowed):
        faults.append(settings.Fault(file.place(where), where, found, allowed, code="name"))

    for name, site in told["sites"].items():
        for part, known in (("instances", told["kinds"]), ("load", told["lanes"])):
            for one in site[part]:
                if one not in known:
                    fault(f"sites.{name}.{part}.{one}", one, ", ".join(known) or "nothing")
    for name, request_class in told["lanes"].items():
        if request_class["goal"] > request_class["stop"]:
            fault(f"lanes.{name}.goal", f"{request_class['goal']}ns", "the deadline at most")
    steps = told["release"]["steps"]
    if len(steps) != len(told["release"]["caps"]) or not steps or sorted(steps) != steps:
        fault("release.steps[0]", f"{len(steps)} steps", "rising ones, as many as caps, one at least")
    if not faults and not (told["sites"] and told["lanes"]):
        fault("sites", "no site or no request class", "one at least of each")
    count = sum(sum(site["instances"].values()) for site in told["sites"].values())
    if count > MAX_MACHINES:
        fault("sites", f"{count} instances", f"{MAX_MACHINES} at most")
    if faults:
        raise settings.InvalidFile(faults)
    return made(told)


def made(told):
    return Fleet(
        kinds={name: MachineKind(name, **kind) for name, kind in told["kinds"].items()},
        request_classes={
            name: RequestClass(name, **{**request_class, "effect": EFFECTS[request_class["effect"]]})
            for name, request_class in told["lanes"].items()
        },
        sites={name: Site(name, **site) for name, site in told["sites"].items()},
        same_site_delay=told["delay"]["within"],
        cross_site_delay=told["delay"]["across"],
        retries=told["clients"]["retries"],
        retry_pause=told["clients"]["pause"],
        patience=told["clients"]["patience"],
        lookup_cpu=told["gateways"]["lookup_cpu"],
        gateway_cores=told["gateways"]["cores"],
        descriptors=told["gateways"]["descriptors"],
        cold_share=told["cold"]["share"],
        warm_up_time=told["cold"]["warm"],
        cold_multiple=told["cold"]["multiple"],
        cold_window=told["cold"]["window"],
        list_delay=told["notice"],
        drain_grace=told["drain_grace"],
        service_goal=told["goal"]["service"],
        stage_shares=tuple(told["release"]["steps"]),
        traffic_caps=tuple(told["release"]["caps"]),
        bake_time=told["release"]["bake"],
        window=told["release"]["window"],
        free_attempts=told["release"]["free"],
        promote_share=told["release"]["on"],
        roll_back_share=told["release"]["back"],
        boot_time=told["release"]["boot"],
    )
