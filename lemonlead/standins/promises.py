"""Checks a ledger's state: recomputes the promised capacity from its records, without code of the rules.

`faults(parts)` takes the parts as plain dicts, as state reads return them, and returns inconsistencies."""

from collections import Counter

SERVES = ("serving", "catching_up")


def plain(state):
    """Returns the parts of a ledger's state as dicts of dicts."""
    from msgspec import to_builtins

    return {
        name: {key: to_builtins(record) for key, record in part.items()} for name, part in state.parts.items()
    }


def promised(parts):
    """Returns the units that reservations and gangs hold, by node and by site."""
    by_node = {}
    by_site = {}
    for held in parts.get("reservations", {}).values():
        for node in held["nodes"]:
            by_node[node] = by_node.get(node, 0) + held["units"]
        if held["site"]:
            by_site[held["site"]] = by_site.get(held["site"], 0) + held["units"]
    for gang in parts.get("gangs", {}).values():
        for node in gang["nodes"]:
            by_node[node] = by_node.get(node, 0) + gang["units"]
    return by_node, by_site


def borne(node):
    """Returns whether the units held on the node count at its site: it is up, or a drain has taken it out."""
    return node["state"] in SERVES or bool(node["out"]) and node["state"] != "failed"


def usable(node):
    """Returns the units of the node that new promises may use."""
    return node["units"] if node["state"] in SERVES and not node["out"] else 0


def faults(parts):
    """Returns inconsistencies within a state, as texts: wrong sums and names of missing records."""
    by_node, by_site = promised(parts)
    nodes, found = parts.get("nodes", {}), []
    sums = {}
    for name, node in nodes.items():
        site = sums.setdefault(node["site"], [0, 0])
        if usable(node) or (node["state"] in SERVES and not node["out"]):
            site[0] += node["units"]
        if borne(node):
            site[1] += by_node.get(name, 0)
    kept = parts.get("sites", {})
    for name in {*sums, *by_site, *kept}:
        units, pinned = sums.get(name, (0, 0))
        row = kept.get(name, {"units": 0, "pinned": 0, "promised": 0})
        if (row["units"], row["pinned"], row["promised"]) != (units, pinned, by_site.get(name, 0)):
            found.append(f"site {name}: kept {row}, counted {units}, {pinned}, {by_site.get(name, 0)}")
    loads = parts.get("loads", {})
    for name in {*loads, *by_node}:
        if name not in nodes:
            found.append(f"something is held on node {name}, which does not exist")
        if loads.get(name, {}).get("units", 0) != by_node.get(name, 0):
            found.append(f"node {name}: kept {loads.get(name)}, counted {by_node.get(name, 0)}")
    for part, field in (("gangs", "gangs"), ("groups", "groups")):
        named = {(key, node) for key, row in parts.get(part, {}).items() for node in row["nodes"]}
        kept_names = {(key, node) for node, load in loads.items() for key in load[field]}
        if named != kept_names:
            found.append(f"{part} by node differ: {sorted(named ^ kept_names)[:5]}")
    for site in {node["site"] for node in nodes.values()} | {*parts.get("away", {})}:
        out = sum(1 for node in nodes.values() if node["out"] and node["site"] == site)
        if parts.get("away", {}).get(site, {}).get("out", 0) != out:
            found.append(f"site {site}: {out} nodes are out, kept {parts.get('away', {}).get(site)}")
    return found + by_service(parts)


def by_service(parts):
    """Returns differences between the index by service and the records."""
    found, named = [], set()
    for name, held in parts.get("reservations", {}).items():
        named.add((held["service"], "reservations", name))
    for part in ("gangs", "groups"):
        for name in parts.get(part, {}):
            words = name.split("/")
            named.update(("/".join(words[:end]), part, name) for end in range(1, len(words) + 1))
    kept = [
        (key.rsplit(" ", 1)[0], part, name)
        for key, page in parts.get("service_pages", {}).items()
        for part, names in page.items()
        for name in names
    ]
    if len(kept) != len(set(kept)) or set(kept) != named:
        found.append(f"names by service differ: {sorted(set(kept) ^ named)[:5]}")
    counts = Counter((service, part) for service, part, _ in named)
    rows = {
        (service, part): row.get(part, 0)
        for service, row in parts.get("services", {}).items()
        for part in ("reservations", "gangs", "groups")
    }
    for key in {*rows, *counts}:
        if rows.get(key, 0) != counts[key]:
            found.append(f"{key[1]} of service {key[0]}: kept {rows.get(key, 0)}, counted {counts[key]}")
    return found + marks(parts)


def marks(parts):
    """Returns differences between the marks on services and the records of moves and holds."""
    moves = {name: parts["moves"][name] for name in parts.get("moving", {})}
    under_way = {(row["service"], name) for name, row in moves.items() if row["step"] != "dropping"}
    for name, hold in parts.get("holds", {}).items():
        if hold["state"] in ("held", "warm"):
            under_way.add((hold["service"], name))
    waits = ("warming", "members", "shifting", "settling")
    closed = {(row["service"], name) for name, row in moves.items() if row["step"] in waits}
    rows = parts.get("services", {}).items()
    kept = {(service, name) for service, row in rows for name in row.get("moves", ())}
    shut = {(service, row["closed"]) for service, row in rows if row.get("closed")}
    found = []
    if kept != under_way:
        found.append(f"services under way differ: {sorted(kept ^ under_way)[:5]}")
    if shut != closed:
        found.append(f"services that wait for gangs differ: {sorted(shut ^ closed)[:5]}")
    return found


def over(parts):
    """Returns sites and nodes with more promised units than they have, as texts."""
    by_node, by_site = promised(parts)
    nodes, found, room = parts.get("nodes", {}), [], {}
    for name, node in nodes.items():
        room[node["site"]] = room.get(node["site"], 0) + usable(node)
        if borne(node):
            room[node["site"]] -= by_node.get(name, 0)
        if usable(node) and by_node.get(name, 0) > node["units"]:
            found.append(f"node {name}: {by_node[name]} of {node['units']}")
    for site in {*room, *by_site}:
        if by_site.get(site, 0) > room.get(site, 0):
            found.append(f"site {site}: {by_site.get(site, 0)} promised, {room.get(site, 0)} left")
    return found
