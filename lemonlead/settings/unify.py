"""Unification: combines all constraints on a field into one value, or reports a conflict with both places.

Types and bounds restrict a field's value, literals determine it, and the choices of a disjunction are tried
one by one. A field without a literal takes its default, or is missing. The work is bounded."""

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
MAX_STEPS = 2_000_000
MAX_FAULTS = 200  # reported for a file
MAX_ITEMS = 200_000  # of a list
MAX_DEPTH = 40  # nested values, and chained references
MISSING = object()


class Scope:
    """The fields of one struct literal, to which references inside it are resolved, and the enclosing
    scope."""

    def __init__(self, outer=None):
        self.outer, self.names = outer, {}

    def find(self, name):
        scope = self
        while scope is not None:
            if name in scope.names:
                return scope.names[name]
            scope = scope.outer
        return None


class Constraint:
    """One constraint on a field: a node, the scope that contains it, and the definition that closes its
    struct, if any."""

    __slots__ = ("node", "scope", "definition")

    def __init__(self, node, scope, definition=None):
        self.node, self.scope, self.definition = node, scope, definition


class LimitExceeded(Exception):
    """The work takes more steps than allowed, or the values are nested too deeply."""


def unify(structs, own_file):
    """Unifies the top-level structs of files. The first is the schema, and only its fields are allowed.

    Returns the value, and the literal of each field by its path. Raises InvalidFile. `own_file` is the name
    of the user's file, which faults about missing fields refer to."""
    top, unifier = Scope(), Unifier(own_file)
    for struct in structs:
        for label, node in struct.fields:
            top.names.setdefault(label.name, []).append(
                Constraint(node, top, struct if label.name[0] == "#" else None)
            )
    constraints = [
        Constraint(struct, top, structs[0] if struct is structs[0] else None) for struct in structs
    ]
    try:
        value = unifier.value(constraints, "", 0, top)
    except LimitExceeded:
        unifier.faults.append(
            Fault(Place(own_file, 1, 1), "", "more than can be unified", f"{MAX_STEPS} steps")
        )
        value = None
    if unifier.faults:
        raise InvalidFile(unifier.faults)
    return value, unifier.literals


class Unifier:
    """Unifies constraints, and collects faults and the literals that determine the values."""

    def __init__(self, own_file):
        self.own_file, self.faults, self.literals, self.steps, self.patterns = own_file, [], {}, 0, {}

    def fault(self, place, path, found, allowed, other=None, code="value"):
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(Fault(place, path[:200], found[:120], allowed[:200], other, code))
        return MISSING

    # ---- one field

    def value(self, constraints, path, depth, top=None):
        """Returns the value that satisfies all constraints, or MISSING."""
        self.steps += 1 + len(constraints)
        if self.steps > MAX_STEPS or depth > MAX_DEPTH:
            raise LimitExceeded
        flattened = []
        for constraint in constraints:
            self.flatten(constraint, flattened, path, ())
        for place, constraint in enumerate(flattened):
            if isinstance(constraint.node, tree.Disjunction):
                return self.disjunction(constraint, flattened[:place] + flattened[place + 1 :], path, depth)
        by_type = {self.node_type(constraint.node): constraint for constraint in flattened}
        by_type.pop("any", None)
        if len(by_type) > 1:
            (first, constraint), (second, other), *_ = sorted(
                by_type.items(), key=lambda item: item[1].node.place.file != self.own_file
            )
            found = tree.describe(constraint.node) if first == "scalar" else f"a {first}"
            return self.fault(constraint.node.place, path, found, f"a {second}", other.node.place, "type")
        if "struct" in by_type:
            return self.struct(
                [constraint for constraint in flattened if isinstance(constraint.node, tree.Struct)],
                path,
                depth,
                top,
            )
        if "list" in by_type:
            return self.list(
                [constraint for constraint in flattened if isinstance(constraint.node, tree.List)],
                path,
                depth,
            )
        return self.scalar(flattened, path)

    def node_type(self, node):
        """Returns which type of value a node requires: struct, list, scalar or any."""
        if isinstance(node, tree.Struct):
            return "struct"
        if isinstance(node, tree.List):
            return "list"
        return "any" if isinstance(node, tree.Ref) and node.path == ["_"] else "scalar"

    def flatten(self, constraint, flattened, path, visited):
        """Splits conjunctions and follows references. A reference cycle is a fault."""
        node = constraint.node
        self.steps += 1
        if self.steps > MAX_STEPS:
            raise LimitExceeded
        if isinstance(node, tree.Conjunction):
            for part in node.parts:
                self.flatten(
                    Constraint(part, constraint.scope, constraint.definition), flattened, path, visited
                )
        elif isinstance(node, tree.Ref) and (found := self.resolve(node, constraint.scope)) is not None:
            if node in visited or len(visited) > MAX_DEPTH:
                self.fault(node.place, path, f"{tree.describe(node)}, which leads to itself", "a value")
                return
            for other in found:
                definition = other.definition or constraint.definition
                self.flatten(
                    Constraint(other.node, other.scope, definition), flattened, path, (*visited, node)
                )
        elif isinstance(node, tree.Ref) and (len(node.path) > 1 or node.path[0] not in TYPES):
            self.fault(
                node.place,
                path,
                f"the reference {tree.describe(node)}",
                "a field or definition that exists",
                code="name",
            )
        else:
            flattened.append(constraint)

    def resolve(self, ref, scope):
        """Returns the constraints on the field or definition that a reference names, or None."""
        found = scope.find(ref.path[0])
        for name in ref.path[1:]:
            inner = []
            for constraint in found or ():
                flattened = []
                self.flatten(constraint, flattened, "", (ref,))
                for part in flattened:
                    if isinstance(part.node, tree.Struct):
                        inner_scope = self.scope_of(part)
                        inner += [
                            Constraint(node, inner_scope, part.definition)
                            for label, node in part.node.fields
                            if label.name == name
                        ]
            found = inner
        return found or None

    def scope_of(self, constraint):
        """Returns a scope with the fields of a struct."""
        inner_scope = Scope(constraint.scope)
        for label, node in constraint.node.fields:
            inner_scope.names.setdefault(label.name, []).append(
                Constraint(node, inner_scope, constraint.definition)
            )
        return inner_scope

    # ---- disjunctions

    def disjunction(self, constraint, others, path, depth):
        """Tries each choice together with the other constraints. Defaults take precedence."""
        accepted, rejected = [], []
        for default, node in constraint.node.choices:
            trial = Unifier(self.own_file)
            trial.steps, trial.patterns = self.steps, self.patterns
            value = trial.value(
                [*others, Constraint(node, constraint.scope, constraint.definition)], path, depth + 1
            )
            self.steps = trial.steps
            if trial.faults:
                rejected.append(trial.faults)
            else:
                accepted.append((default, value, trial.literals))
        chosen = [choice for choice in accepted if choice[0]] or accepted
        if chosen and all(
            choice[1] == chosen[0][1] and type(choice[1]) is type(chosen[0][1]) for choice in chosen
        ):
            self.literals.update(chosen[0][2])
            return chosen[0][1]
        if chosen:
            return self.fault(
                self.place_of(others, constraint),
                path,
                "no value that decides",
                tree.describe(constraint.node),
                constraint.node.place,
            )
        closest = max(rejected, key=lambda faults: max(len(fault.path) for fault in faults))
        if max(len(fault.path) for fault in closest) > len(
            path
        ):  # the choice that matched deepest has the most useful faults
            self.faults += closest[: MAX_FAULTS - len(self.faults)]
            return MISSING
        given = next((other.node for other in others if isinstance(other.node, tree.Literal)), None)
        found = tree.describe(given) if given else "nothing" if not others else tree.describe(others[0].node)
        return self.fault(
            self.place_of(others, constraint),
            path,
            found,
            tree.describe(constraint.node),
            constraint.node.place,
        )

    def place_of(self, constraints, otherwise):
        """Returns the place of the constraint in the user's own file, else that in the schema."""
        nodes = [constraint.node for constraint in constraints]
        own_file = [node.place for node in nodes if isinstance(node, tree.Literal)] or [
            node.place for node in nodes if node.place.file == self.own_file
        ]
        return own_file[0] if own_file else otherwise.node.place

    # ---- structs and lists

    def struct(self, constraints, path, depth, top):
        """Unifies structs field by field. `top` is their scope, if they are the top-level structs of
        files."""
        fields, groups = {}, {}
        for constraint in constraints:
            scope = top if top is not None else self.scope_of(constraint)
            for label, node in constraint.node.fields:
                if label.name[0] not in "#_":
                    fields.setdefault(label.name, []).append(
                        (label, Constraint(node, scope, constraint.definition))
                    )
            if constraint.definition is not None:
                groups.setdefault(constraint.definition, []).append((constraint, scope))
        self.check_allowed_fields(fields, groups, path)
        for name, parts in fields.items():
            for constraint in constraints:
                for pattern_node, node in constraint.node.patterns:
                    if self.matches_pattern(pattern_node, name):
                        scope = top if top is not None else self.scope_of(constraint)
                        parts.append(
                            (
                                tree.Label(node.place, name, True),
                                Constraint(node, scope, constraint.definition),
                            )
                        )
        result = {}
        struct_place = next(
            (
                constraint.node.place
                for constraint in reversed(constraints)
                if constraint.node.place.file == self.own_file
            ),
            constraints[-1].node.place,
        )
        for name, parts in fields.items():
            if all(label.optional for label, _ in parts):
                continue
            field_path = f"{path}.{name}" if path else name
            before = len(self.faults)
            value = self.value([constraint for _, constraint in parts], field_path, depth + 1)
            if value is MISSING and len(self.faults) == before:
                allowed = " & ".join(dict.fromkeys(tree.describe(constraint.node) for _, constraint in parts))
                self.fault(struct_place, field_path, "nothing", allowed, parts[0][0].place)
            result[name] = value
        return result

    def check_allowed_fields(self, fields, groups, path):
        """Reports fields that a closed struct's definition does not name."""
        for parts in groups.values():
            if any(constraint.node.open for constraint, _ in parts):
                continue
            field_names = {label.name for constraint, _ in parts for label, _ in constraint.node.fields}
            for name in [name for name in fields if name not in field_names]:
                if all(label.optional for label, _ in fields[name]):
                    continue
                if any(
                    self.matches_pattern(pattern_node, name)
                    for constraint, _ in parts
                    for pattern_node, _ in constraint.node.patterns
                ):
                    continue
                pattern_node = [
                    f"[{tree.describe(node)}]"
                    for constraint, _ in parts
                    for node, _ in constraint.node.patterns
                ]
                allowed = (
                    ", ".join(sorted(name for name in field_names if name[0] not in "#_") + pattern_node)
                    or "no field"
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

    def matches_pattern(self, pattern_node, name):
        """Returns whether a field's name matches the name pattern of a struct."""
        match pattern_node:
            case tree.Ref(path=["string"]):
                return True
            case tree.Bound(operator="=~", limit=tree.Literal(kind="string", value=value)):
                return self.pattern(value, pattern_node.place).search(name) is not None
            case tree.Literal(value=value):
                return value == name
        return False

    def list(self, constraints, path, depth):
        """Unifies lists item by item."""
        closed_list = next((constraint.node for constraint in constraints if not constraint.node.open), None)
        if closed_list is None:
            return MISSING  # no file sets it; a truncated file must not be read as an empty list
        length = len(closed_list.items)
        for node in (constraint.node for constraint in constraints):
            if len(node.items) != length and not (node.open and len(node.items) < length):
                one, other = sorted((closed_list, node), key=lambda node: node.place.file != self.own_file)
                return self.fault(
                    one.place, path, f"{len(one.items)} items", f"{len(other.items)}", other.place
                )
        if length > MAX_ITEMS:
            return self.fault(constraints[0].node.place, path, f"{length} items", f"{MAX_ITEMS} at most")
        result = []
        for number in range(length):
            parts = []
            for constraint in constraints:
                node = (
                    constraint.node.items[number]
                    if number < len(constraint.node.items)
                    else constraint.node.rest
                )
                if node is not None:
                    parts.append(Constraint(node, constraint.scope, constraint.definition))
            before, field_path = len(self.faults), f"{path}[{number}]"
            value = self.value(parts, field_path, depth + 1)
            if value is MISSING and len(self.faults) == before:
                self.fault(
                    parts[0].node.place,
                    field_path,
                    "nothing",
                    " & ".join(tree.describe(part.node) for part in parts),
                )
            result.append(value)
        return result

    # ---- scalars

    def scalar(self, constraints, path):
        """Returns the value of the literals, if they agree and satisfy all types and bounds."""
        literals = [
            constraint.node for constraint in constraints if isinstance(constraint.node, tree.Literal)
        ]
        if not literals:
            return MISSING
        literals.sort(key=lambda node: node.place.file != self.own_file)
        first = literals[0]
        for other in literals[1:]:
            comparable = first.kind == other.kind or {first.kind, other.kind} == {"int", "float"}
            if not comparable or first.value != other.value:
                return self.fault(first.place, path, tree.describe(first), tree.describe(other), other.place)
        value = first.value
        for constraint in constraints:
            node = constraint.node
            if isinstance(node, tree.Ref) and first.kind not in TYPES[node.path[0]]:
                return self.fault(
                    first.place,
                    path,
                    f"{first.kind} {tree.describe(first)}",
                    node.path[0],
                    node.place,
                    "type",
                )
            if isinstance(node, tree.Ref) and node.path == ["float"] and first.kind == "int":
                value = float(value)
            if isinstance(node, tree.Bound) and not self.satisfies(first, node, constraint.scope):
                return self.fault(first.place, path, tree.describe(first), tree.describe(node), node.place)
        self.literals[path] = first
        return value

    def satisfies(self, literal, bound, scope):
        """Returns whether a literal is within a bound, whose limit may be a reference."""
        limit = bound.limit
        if isinstance(limit, tree.Ref):
            flattened = []
            self.flatten(Constraint(limit, scope), flattened, "", ())
            limit = next(
                (constraint.node for constraint in flattened if isinstance(constraint.node, tree.Literal)),
                None,
            )
            if limit is None:
                return False
        if bound.operator in ("=~", "!~"):
            if literal.kind != "string" or limit.kind != "string":
                return False
            return (self.pattern(limit.value, bound.place).search(literal.value) is not None) == (
                bound.operator == "=~"
            )
        comparable = literal.kind == limit.kind or {literal.kind, limit.kind} <= {"int", "float"}
        if bound.operator == "!=":
            return not comparable or literal.value != limit.value
        if not comparable or literal.kind in ("bool", "null"):
            return False
        value, other = literal.value, limit.value
        return {">=": value >= other, "<=": value <= other, ">": value > other, "<": value < other}[
            bound.operator
        ]

    def pattern(self, text, place):
        """Compiles an RE2 pattern. Raises InvalidFile, with the pattern's place, if it is invalid."""
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
