"""Rules: conditions over requests, and what the first rule that matches gives a request.

This module enforces what no rule may do. A set is checked when it is loaded, and `RuleSet.result_for` checks
each result again:

- No rule weakens an effect. A non-idempotent request stays non-idempotent; a deduplicated one may only become
  non-idempotent. A request becomes deduplicated only if it has an idempotency key, and a deduplicated one
  changes its class only if the new class drops repeats in the same or a narrower scope and not for longer.
- No rule names a request class that does not exist, or, as a literal, a tenant that does not exist.
- No rule changes the deadline, the command or the idempotency key, because a rule can't give them.
"""

from dataclasses import dataclass, field

from .. import interface as at
from . import tree
from .checker import is_constant
from .request_fields import RequestLimits
from .expression import Expression, digest
from .faults import COST, NAME, TYPE, VALUE, Erred, Fault
from .index import Index
from .kinds import BOOL, STRING

# From the weakest to the strongest
STRENGTH = {at.IDEMPOTENT: 0, at.DEDUPLICATED: 1, at.NON_IDEMPOTENT: 2}
# Scopes within which repeats are dropped, from the narrowest to the widest
SCOPE_WIDTH = {"cell": 0, "zone": 1, "all": 2}
MAX_RULES = 20_000  # of a set
MAX_LABELS = 8  # of a rule
MAX_NAME_LENGTH = 64  # characters
# Default limits on costs, in steps
DEFAULT_RULE_COST = 2_000
DEFAULT_SET_COST = 20_000


@dataclass(slots=True)
class RuleSource:
    """A rule as written, with its expressions as text. `places` has the place of each part, by the part's
    name."""

    name: str
    when: str
    lane: str | None = None
    key: str | None = None
    customer: str | None = None
    labels: dict = field(default_factory=dict)
    places: dict = field(default_factory=dict)


@dataclass(slots=True)
class Rule:
    """A compiled rule. `cost` is the maximum number of steps of all its expressions together."""

    number: int
    name: str
    when: Expression
    gives: dict  # the expressions of "lane", "key" and "customer", as far as the rule has them
    labels: dict
    cost: int


@dataclass(slots=True, eq=False)
class RuleResult:
    """What a request gets from the rules. A field is None if the rule leaves it unchanged; `rule` is None if
    no rule matched."""

    rule: Rule | None = None
    lane: at.RequestClass | None = None
    lane_name: str | None = None
    key: bytes | None = None
    customer: str | None = None


NO_RESULT = RuleResult()


class InvalidRuleSet(Exception):
    """A set that cannot be used, with all its faults as (number of the rule, part of the rule, fault)."""

    def __init__(self, faults):
        super().__init__("; ".join(fault.message for _, _, fault in faults[:3]))
        self.faults = faults


def may_replace(current, replacement, stamped):
    """Returns whether a request of class `current` may be treated as one of class `replacement` without
    weakening its effect. `stamped`: whether it has an idempotency key."""
    if current is replacement:
        return True
    if current.streamed != replacement.streamed or STRENGTH[replacement.effect] < STRENGTH[current.effect]:
        return False
    if replacement.effect != at.DEDUPLICATED:
        return True
    if current.effect != at.DEDUPLICATED:
        return stamped
    return (
        SCOPE_WIDTH[replacement.repeat_scope] <= SCOPE_WIDTH[current.repeat_scope]
        and replacement.repeat_window <= current.repeat_window
    )


# ---- possible values of an expression for requests of one class, with or without an idempotency key


def condition_value(node, lane, stamped):
    """Returns the value of a condition if the request class and the presence of an idempotency key decide it,
    else None."""
    match node:
        case tree.Literal(value=bool() as value):
            return value
        case tree.Field(target=tree.Name(name="lookup"), name="stamped"):
            return stamped
        case tree.Unary(operator="!", operand=operand):
            value = condition_value(operand, lane, stamped)
            return None if value is None else not value
        case tree.Logic(operator=sign, operands=operands):
            decides = sign == "||"
            values = [condition_value(operand, lane, stamped) for operand in operands]
            return decides if decides in values else None if None in values else not decides
        case tree.Conditional(condition=condition, if_true=if_true, if_false=if_false):
            value = condition_value(condition, lane, stamped)
            if value is not None:
                return condition_value(if_true if value else if_false, lane, stamped)
            both = condition_value(if_true, lane, stamped), condition_value(if_false, lane, stamped)
            return both[0] if both[0] == both[1] else None
        case tree.Binary(operator="==" | "!=" as sign, left=left, right=right) if left.kind == STRING:
            one, other = possible_values(left, lane, stamped), possible_values(right, lane, stamped)
            if one is None or other is None:
                return None
            if not one & other:
                return sign == "!="
            return (sign == "==") if len(one) == len(other) == 1 else None
        case tree.Binary(operator="in", left=left, right=tree.ListLiteral(items=items)) if (
            left.kind == STRING
        ):
            one, others = (
                possible_values(left, lane, stamped),
                [possible_values(item, lane, stamped) for item in items],
            )
            if one is None or None in others:
                return None
            held = frozenset().union(*others)
            if not one & held:
                return False
            return True if len(one) == 1 and any(other == one for other in others) else None
    return None


def compared_class_names(root):
    """Yields the literals that the expression compares the request class with, as (node, name). A name that
    doesn't exist is a mistake, because the comparison never holds."""
    for node in tree.walk(root):
        match node:
            case tree.Binary(operator="==" | "!=", left=left, right=right):
                sides = ((left, [right]), (right, [left]))
            case tree.Binary(operator="in", left=left, right=tree.ListLiteral(items=items)):
                sides = ((left, items),)
            case _:
                continue
        for lane, others in sides:
            if isinstance(lane, tree.Field) and tree.canonical_text(lane) == "lookup.lane":
                for other in others:
                    if isinstance(other, tree.Literal):
                        yield other, other.value


def possible_values(node, lane, stamped):
    """Returns all strings that the expression may have as its value, or None if they cannot be determined."""
    match node:
        case tree.Literal(value=str() as value):
            return frozenset([value])
        case tree.Field(target=tree.Name(name="lookup"), name="lane"):
            return frozenset([lane])
        case tree.Conditional(condition=condition, if_true=if_true, if_false=if_false):
            value = condition_value(condition, lane, stamped)
            if value is not None:
                return possible_values(if_true if value else if_false, lane, stamped)
            both = possible_values(if_true, lane, stamped), possible_values(if_false, lane, stamped)
            return None if None in both else both[0] | both[1]
    return None


class RuleSet:
    """A checked and compiled set of rules. It is immutable, so many threads can use it."""

    def __init__(
        self,
        version,
        sources,
        request_classes,
        tenants,
        limits=None,
        max_rule_cost=DEFAULT_RULE_COST,
        max_set_cost=DEFAULT_SET_COST,
    ):
        """`request_classes` holds at.RequestClass by name; if it is empty, names of request classes are not
        checked. `tenants` is a collection of names; if it is None, names of tenants are not checked. Raises
        InvalidRuleSet with all faults."""
        names = tuple(request_classes)
        self.version, self.request_classes = version, request_classes
        self.tenants = frozenset(tenants) if tenants is not None else None
        self.limits = limits or RequestLimits(request_classes=names)
        self.faults, self.rules, seen = [], [], {}
        if len(sources) > MAX_RULES:
            self.fault(0, "", Fault(COST, f"{len(sources)} rules, {MAX_RULES} allowed"))
            sources = []
        for number, rule in enumerate(sources):
            if rule.name in seen:
                self.fault(
                    number,
                    "name",
                    Fault(NAME, f"rule {number} and rule {seen[rule.name]} are both {rule.name}"),
                )
            seen.setdefault(rule.name, number)
            compiled = self.compile_rule(number, rule, max_rule_cost)
            self.rules += [compiled] if compiled else []
        if self.faults:
            raise InvalidRuleSet(self.faults)
        self.index = Index(self.rules, self.limits)
        self.cost = self.index.max_cost + max(
            (sum(e.cost for e in rule.gives.values()) for rule in self.rules), default=0
        )
        if self.cost > max_set_cost:
            costliest = max(self.rules, key=lambda rule: rule.cost)
            self.fault(
                costliest.number,
                "when",
                Fault(
                    COST,
                    (
                        f"the set may cost {self.cost} steps for a lookup, {max_set_cost} allowed; "
                        f"the costliest rule is {costliest.name} with {costliest.cost}"
                    ),
                ),
            )
            raise InvalidRuleSet(self.faults)
        contents = [(r.name, r.when, r.lane, r.key, r.customer, sorted(r.labels.items())) for r in sources]
        self.digest = digest(repr((version, contents)))

    def fault(self, number, part, fault):
        self.faults.append((number, part, fault))

    def compile_rule(self, number, rule, max_cost):
        """Returns the compiled rule, or None after adding its faults."""
        before, parts = len(self.faults), {}
        for part, expected_kind in (("when", BOOL), ("lane", STRING), ("key", STRING), ("customer", STRING)):
            if (text := getattr(rule, part)) is not None:
                try:
                    parts[part] = Expression(text, self.limits, expected_kind)
                except Fault as fault:
                    self.fault(number, part, fault)
        if len(rule.labels) > MAX_LABELS:
            self.fault(number, "labels", Fault(COST, f"{len(rule.labels)} labels, {MAX_LABELS} allowed"))
        if not 0 < len(rule.name) <= MAX_NAME_LENGTH:
            self.fault(
                number,
                "name",
                Fault(VALUE, f"a name of {len(rule.name)} characters, {MAX_NAME_LENGTH} allowed"),
            )
        cost = sum(part.cost for part in parts.values())
        if cost > max_cost:
            costs = ", ".join(f"{part} {expression.cost}" for part, expression in parts.items())
            self.fault(
                number,
                "when",
                Fault(COST, f"may cost {cost} steps for a lookup ({costs}), {max_cost} allowed"),
            )
        if len(self.faults) > before:
            return None
        when, gives = parts.pop("when"), parts
        for part, expression in (("when", when), *gives.items()) if self.request_classes else ():
            for node, name in compared_class_names(expression.tree):
                if name not in self.request_classes:
                    known = ", ".join(self.request_classes)
                    fault = Fault(NAME, f"no lane {name!r} (there is {known})", node.line, node.column)
                    self.fault(number, part, fault)
        for part in ("lane", "customer"):
            if part in gives and (self.request_classes if part == "lane" else self.tenants is not None):
                getattr(self, f"check_{part}")(number, when, gives[part])
        return Rule(number, rule.name, when, gives, rule.labels, cost)

    def check_lane(self, number, when, expression):
        """Checks every request class that the rule may give, for each class of requests that it may match.
        Adds a fault for the first violation only."""
        for name, lane in self.request_classes.items():
            for stamped in (True,) if lane.effect == at.DEDUPLICATED else (False, True):
                reached = condition_value(when.tree, name, stamped) is not False
                if wrong := self.find_lane_fault(expression, name, stamped, reached):
                    return self.fault(number, "lane", Fault(*wrong, *expression.first_position()))

    def find_lane_fault(self, expression, name, stamped, reached):
        """Returns the code and message of a fault in what the rule gives requests of this class, or None.
        `reached`: whether the rule may match such requests."""
        names, lane = possible_values(expression.tree, name, stamped), self.request_classes[name]
        if names is None:
            return TYPE, "the possible lanes cannot be determined: use names in quotes, lookup.lane and ?:"
        for other in sorted(names):
            if other not in self.request_classes:
                return NAME, f"no lane {other!r} (there is {', '.join(self.request_classes)})"
            if reached and not may_replace(lane, self.request_classes[other], stamped):
                mark = (
                    ""
                    if lane.effect != at.IDEMPOTENT
                    else ", idempotency key"
                    if stamped
                    else ", no idempotency key"
                )
                become = (
                    f"{name} ({lane.effect}{mark}) may become {other} ({self.request_classes[other].effect})"
                )
                return VALUE, f"would weaken an effect: a lookup of {become}"
        return None

    def check_customer(self, number, when, expression):
        for node in tree.walk(expression.tree):
            literal = isinstance(node, tree.Literal) and is_constant(expression.tree)
            if literal and node.value not in self.tenants:
                known = ", ".join(sorted(self.tenants)) or "none"
                fault = Fault(
                    NAME, f"no customer {node.value!r} (there is {known})", *expression.first_position()
                )
                return self.fault(number, "customer", fault)

    # ---- for each request

    def first_match(self, request, faults=None):
        """Returns the result of the first rule that matches a request (`RequestFields`), NO_RESULT if none
        does.

        A rule that errs does not match; the rule and its fault are added to `faults`. The request's class
        must be one of the set's."""
        rules = self.rules
        for number in self.index.candidates(request):
            rule = rules[number]
            try:
                if rule.when.value(request):
                    return self.result_for(rule, request) if rule.gives else RuleResult(rule)
            except Erred as fault:
                if faults is not None:
                    faults.append((rule, fault))
        return NO_RESULT

    def first_match_unindexed(self, request, faults=None):
        """Does the same without the index, by trying each rule in order. Tests and benchmarks compare the
        two."""
        for rule in self.rules:
            try:
                if rule.when.value(request):
                    return self.result_for(rule, request)
            except Erred as fault:
                if faults is not None:
                    faults.append((rule, fault))
        return NO_RESULT

    def result_for(self, rule, request):
        """Returns what a rule gives a request. Raises Erred if the result is not allowed, which repeats the
        checks of the load as a second defence."""
        result = RuleResult(rule)
        if (expression := rule.gives.get("lane")) is not None:
            name = result.lane_name = expression.value(request)
            lane, current = self.request_classes.get(name), self.request_classes.get(request.lane)
            forbidden = lane is None or current is None or not may_replace(current, lane, request.stamped)
            # Commands without a platform configuration know no request classes, and report just the name.
            if forbidden and self.request_classes:
                raise Erred(f"may not give lane {name[:40]!r} to a lookup of {request.lane[:40]!r}")
            result.lane = lane
        if (expression := rule.gives.get("key")) is not None:
            key = expression.value(request)
            if len(data := key.encode()) > self.limits.key:
                raise Erred(f"a key of {len(data)} bytes, {self.limits.key} allowed")
            result.key = data
        if (expression := rule.gives.get("customer")) is not None:
            result.customer = expression.value(request)
        return result
