"""Unification: what several records say of one field, made into one value, or a fault with both places.

A field's value is what all that is said of it agrees on: types and bounds narrow it, literals fix it, a
disjunction is tried choice by choice. What is left without a literal takes its default, or is missing. The
work is bounded."""

import re2

from . import tree
from .faults import Fault, Place, InvalidFile

TYPES = {
    "int": ("int",),
    "float": ("float", "int"),
    "number": ("float", "int"),
    "string": ("string",),
    "bool": ("bool",),
    "null": ("null",),
    "duration": ("duration",),
    "_": ("int", "float", "string", "bool", "null", "duration", "struct", "list"),
}
MOST_STEPS, MOST_FAULTS, MOST_ITEMS, DEEPEST = 2_000_000, 200, 200_000, 40
MISSING = object()


class Scope:
    """The fields of one struct literal, by which references inside it are resolved, and the scope around
    it."""

    def __init__(self, around=None):
        self.around, self.names = around, {}

    def find(self, name):
        scope = self
        while scope is not None:
            if name in scope.names:
                return scope.names[name]
            scope = scope.around
        return None


class Said:
    """One thing that is said of a field: a node, the scope it stands in, and the definition that closes
    it."""

    __slots__ = ("node", "scope", "closed")

    def __init__(self, node, scope, closed=None):
        self.node, self.scope, self.closed = node, scope, closed


class TooMuch(Exception):
    pass


def unify(structs, own):
    """The value of files' top structs together, the first of them the schema, whose fields alone are allowed;
    the literal of each field by its path. `own`: the name of the file that faults of missing fields name."""
    top, unifier = Scope(), Unifier(own)
    for struct in structs:
        for label, node in struct.fields:
            top.names.setdefault(label.name, []).append(
                Said(node, top, struct if label.name[0] == "#" else None)
            )
    said = [Said(struct, top, structs[0] if struct is structs[0] else None) for struct in structs]
    try:
        value = unifier.value(said, "", 0, top)
    except TooMuch:
        unifier.faults.append(Fault(Place(own, 1, 1), "", "more than can be unified", f"{MOST_STEPS} steps"))
        value = None
    if unifier.faults:
        raise InvalidFile(unifier.faults)
    return value, unifier.literals


class Unifier:
    def __init__(self, own):
        self.own, self.faults, self.literals, self.steps, self.patterns = own, [], {}, 0, {}

    def fault(self, place, path, found, allowed, other=None, code="value"):
        if len(self.faults) < MOST_FAULTS:
            self.faults.append(Fault(place, path[:200], found[:120], allowed[:200], other, code))
        return MISSING

    # ---- one field

    def value(self, said, path, depth, top=None):
        self.steps += 1 + len(said)
        if self.steps > MOST_STEPS or depth > DEEPEST:
            raise TooMuch
        flat = []
        for one in said:
            self.flatten(one, flat, path, ())
        for place, one in enumerate(flat):
            if isinstance(one.node, tree.Either):
                return self.either(one, flat[:place] + flat[place + 1 :], path, depth)
        kinds = {self.sort(one.node): one for one in flat}
        kinds.pop("any", None)
        if len(kinds) > 1:
            (first, one), (second, other), *_ = sorted(
                kinds.items(), key=lambda item: item[1].node.place.file != self.own
            )
            found = tree.told(one.node) if first == "scalar" else f"a {first}"
            return self.fault(one.node.place, path, found, f"a {second}", other.node.place, "type")
        if "struct" in kinds:
            return self.struct([one for one in flat if isinstance(one.node, tree.Struct)], path, depth, top)
        if "list" in kinds:
            return self.list([one for one in flat if isinstance(one.node, tree.List)], path, depth)
        return self.scalar(flat, path)

    def sort(self, node):
        if isinstance(node, tree.Struct):
            return "struct"
        if isinstance(node, tree.List):
            return "list"
        return "any" if isinstance(node, tree.Ref) and node.path == ["_"] else "scalar"

    def flatten(self, one, flat, path, through):
        """Takes conjunctions apart and follows references; one that leads to itself is a fault."""
        node = one.node
        self.steps += 1
        if self.steps > MOST_STEPS:
            raise TooMuch
        if isinstance(node, tree.Both):
            for part in node.parts:
                self.flatten(Said(part, one.scope, one.closed), flat, path, through)
        elif isinstance(node, tree.Ref) and (found := self.resolve(node, one.scope)) is not None:
            if node in through or len(through) > DEEPEST:
                self.fault(node.place, path, f"{tree.told(node)}, which leads to itself", "a value")
                return
            for other in found:
                closed = other.closed or one.closed
                self.flatten(Said(other.node, other.scope, closed), flat, path, (*through, node))
        elif isinstance(node, tree.Ref) and (len(node.path) > 1 or node.path[0] not in TYPES):
            self.fault(
                node.place,
                path,
                f"the reference {tree.told(node)}",
                "a field or definition that exists",
                code="name",
            )
        else:
            flat.append(one)

    def resolve(self, ref, scope):
        found = scope.find(ref.path[0])
        for name in ref.path[1:]:
            inner = []
            for one in found or ():
                flat = []
                self.flatten(one, flat, "", (ref,))
                for part in flat:
                    if isinstance(part.node, tree.Struct):
                        made = self.scope_of(part)
                        inner += [
                            Said(node, made, part.closed)
                            for label, node in part.node.fields
                            if label.name == name
                        ]
            found = inner
        return found or None

    def scope_of(self, one):
        made = Scope(one.scope)
        for label, node in one.node.fields:
            made.names.setdefault(label.name, []).append(Said(node, made, one.closed))
        return made

    # ---- disjunctions

    def either(self, one, rest, path, depth):
        fits, refused = [], []
        for default, node in one.node.choices:
            trial = Unifier(self.own)
            trial.steps, trial.patterns = self.steps, self.patterns
            value = trial.value([*rest, Said(node, one.scope, one.closed)], path, depth + 1)
            self.steps = trial.steps
            if trial.faults:
                refused.append(trial.faults)
            else:
                fits.append((default, value, trial.literals))
        chosen = [fit for fit in fits if fit[0]] or fits
        if chosen and all(fit[1] == chosen[0][1] and type(fit[1]) is type(chosen[0][1]) for fit in chosen):
            self.literals.update(chosen[0][2])
            return chosen[0][1]
        if chosen:
            return self.fault(
                self.place_of(rest, one), path, "no value that decides", tree.told(one.node), one.node.place
            )
        close = max(refused, key=lambda faults: max(len(fault.path) for fault in faults))
        if max(len(fault.path) for fault in close) > len(path):  # the choice that went furthest says more
            self.faults += close[: MOST_FAULTS - len(self.faults)]
            return MISSING
        given = next((other.node for other in rest if isinstance(other.node, tree.Literal)), None)
        found = tree.told(given) if given else "nothing" if not rest else tree.told(rest[0].node)
        return self.fault(self.place_of(rest, one), path, found, tree.told(one.node), one.node.place)

    def place_of(self, said, otherwise):
        """Where the user's own file speaks of it, else where the schema does."""
        nodes = [one.node for one in said]
        own = [node.place for node in nodes if isinstance(node, tree.Literal)] or [
            node.place for node in nodes if node.place.file == self.own
        ]
        return own[0] if own else otherwise.node.place

    # ---- structs and lists

    def struct(self, said, path, depth, top):
        fields, groups = {}, {}
        for one in said:
            scope = top if top is not None else self.scope_of(one)
            for label, node in one.node.fields:
                if label.name[0] not in "#_":
                    fields.setdefault(label.name, []).append((label, Said(node, scope, one.closed)))
            if one.closed is not None:
                groups.setdefault(one.closed, []).append((one, scope))
        self.allow(fields, groups, path)
        for name, parts in fields.items():
            for one in said:
                for wanted, node in one.node.patterns:
                    if self.names(wanted, name):
                        scope = top if top is not None else self.scope_of(one)
                        parts.append((tree.Label(node.place, name, True), Said(node, scope, one.closed)))
        made = {}
        home = next(
            (one.node.place for one in reversed(said) if one.node.place.file == self.own), said[-1].node.place
        )
        for name, parts in fields.items():
            if all(label.optional for label, _ in parts):
                continue
            here = f"{path}.{name}" if path else name
            before = len(self.faults)
            value = self.value([one for _, one in parts], here, depth + 1)
            if value is MISSING and len(self.faults) == before:
                allowed = " & ".join(dict.fromkeys(tree.told(one.node) for _, one in parts))
                self.fault(home, here, "nothing", allowed, parts[0][0].place)
            made[name] = value
        return made

    def allow(self, fields, groups, path):
        """A closed struct has the fields that its definition names, and no others."""
        for parts in groups.values():
            if any(one.node.open for one, _ in parts):
                continue
            known = {label.name for one, _ in parts for label, _ in one.node.fields}
            for name in [name for name in fields if name not in known]:
                if all(label.optional for label, _ in fields[name]):
                    continue
                if any(self.names(wanted, name) for one, _ in parts for wanted, _ in one.node.patterns):
                    continue
                wanted = [f"[{tree.told(node)}]" for one, _ in parts for node, _ in one.node.patterns]
                allowed = (
                    ", ".join(sorted(name for name in known if name[0] not in "#_") + wanted) or "no field"
                )
                for label, _ in fields.pop(name):
                    self.fault(
                        label.place,
                        f"{path}.{name}" if path else name,
                        f"the field {name}",
                        allowed,
                        parts[0][0].node.place,
                        "name",
                    )

    def names(self, wanted, name):
        match wanted:
            case tree.Ref(path=["string"]):
                return True
            case tree.Bound(sign="=~", limit=tree.Literal(kind="string", value=value)):
                return self.pattern(value, wanted.place).search(name) is not None
            case tree.Literal(value=value):
                return value == name
        return False

    def list(self, said, path, depth):
        closed = next((one.node for one in said if not one.node.open), None)
        if closed is None:
            return MISSING  # nobody has written it: a file that was cut short must not pass as an empty list
        length = len(closed.items)
        for node in (one.node for one in said):
            if len(node.items) != length and not (node.open and len(node.items) < length):
                one, other = sorted((closed, node), key=lambda node: node.place.file != self.own)
                return self.fault(
                    one.place, path, f"{len(one.items)} items", f"{len(other.items)}", other.place
                )
        if length > MOST_ITEMS:
            return self.fault(said[0].node.place, path, f"{length} items", f"{MOST_ITEMS} at most")
        made = []
        for number in range(length):
            parts = []
            for one in said:
                node = one.node.items[number] if number < len(one.node.items) else one.node.rest
                if node is not None:
                    parts.append(Said(node, one.scope, one.closed))
            before, here = len(self.faults), f"{path}[{number}]"
            value = self.value(parts, here, depth + 1)
            if value is MISSING and len(self.faults) == before:
                self.fault(
                    parts[0].node.place, here, "nothing", " & ".join(tree.told(part.node) for part in parts)
                )
            made.append(value)
        return made

    # ---- scalars

    def scalar(self, said, path):
        literals = [one.node for one in said if isinstance(one.node, tree.Literal)]
        if not literals:
            return MISSING
        literals.sort(key=lambda node: node.place.file != self.own)
        first = literals[0]
        for other in literals[1:]:
            alike = first.kind == other.kind or {first.kind, other.kind} == {"int", "float"}
            if not alike or first.value != other.value:
                return self.fault(first.place, path, tree.told(first), tree.told(other), other.place)
        value = first.value
        for one in said:
            node = one.node
            if isinstance(node, tree.Ref) and first.kind not in TYPES[node.path[0]]:
                return self.fault(
                    first.place, path, f"{first.kind} {tree.told(first)}", node.path[0], node.place, "type"
                )
            if isinstance(node, tree.Ref) and node.path == ["float"] and first.kind == "int":
                value = float(value)
            if isinstance(node, tree.Bound) and not self.keeps(first, node, one.scope):
                return self.fault(first.place, path, tree.told(first), tree.told(node), node.place)
        self.literals[path] = first
        return value

    def keeps(self, literal, bound, scope):
        limit = bound.limit
        if isinstance(limit, tree.Ref):
            flat = []
            self.flatten(Said(limit, scope), flat, "", ())
            limit = next((one.node for one in flat if isinstance(one.node, tree.Literal)), None)
            if limit is None:
                return False
        if bound.sign in ("=~", "!~"):
            if literal.kind != "string" or limit.kind != "string":
                return False
            return (self.pattern(limit.value, bound.place).search(literal.value) is not None) == (
                bound.sign == "=~"
            )
        alike = literal.kind == limit.kind or {literal.kind, limit.kind} <= {"int", "float"}
        if bound.sign == "!=":
            return not alike or literal.value != limit.value
        if not alike or literal.kind in ("bool", "null"):
            return False
        value, other = literal.value, limit.value
        return {">=": value >= other, "<=": value <= other, ">": value > other, "<": value < other}[
            bound.sign
        ]

    def pattern(self, text, place):
        """A pattern of RE2; one that is none is a fault of the file that has it."""
        if text not in self.patterns:
            options = re2.Options()
            options.log_errors, options.max_mem = False, 1 << 20
            try:
                self.patterns[text] = re2.compile(text, options)
            except re2.error:
                raise InvalidFile(
                    [Fault(place, "", f"the pattern {text[:40]!r}", "a pattern of RE2")]
                ) from None
        return self.patterns[text]
