"""Rules: what matches a request, and what it then gets. Everything that a rule may never do is kept here.

Checked when a set is loaded, and looked at again for each request (`RuleSet.give`):

- no rule weakens an effect: non-idempotent stays non-idempotent, deduplicated becomes non-idempotent at most;
to deduplicated only what
  carries an idempotency key, and only where the group that drops repeats and its memory are no wider than
  those of the request class asked for;
- none names a request class or, where it is written out, a tenant that does not exist;
- none touches the deadline, the command or the effect's mark: they are not among what a rule can give."""

from dataclasses import dataclass, field

from .. import interface as at
from . import tree
from .checker import constant
from .request_fields import RequestLimits
from .expression import Expression, digest
from .faults import COST, NAME, TYPE, VALUE, Erred, Fault
from .index import Index
from .kinds import BOOL, STRING

RANKS = {at.IDEMPOTENT: 0, at.DEDUPLICATED: 1, at.NON_IDEMPOTENT: 2}
WIDTHS = {"cell": 0, "zone": 1, "all": 2}
MOST_RULES, MOST_LABELS, LONGEST_NAME = 20_000, 8, 64
DEFAULT_RULE_COST, DEFAULT_SET_COST = 2_000, 20_000  # steps; a set may name others


@dataclass(slots=True)
class RuleSource:
    """A rule as it is written: expressions in text; `places` has the place of each part, by its name."""

    name: str
    when: str
    lane: str | None = None
    key: str | None = None
    customer: str | None = None
    labels: dict = field(default_factory=dict)
    places: dict = field(default_factory=dict)


@dataclass(slots=True)
class Rule:
    number: int
    name: str
    when: Expression
    gives: dict  # an expression by each of "lane", "key" and "customer" that it gives
    labels: dict
    cost: int


@dataclass(slots=True, eq=False)
class RuleResult:
    """What a request gets; None where the rule leaves it as it came. `rule` is None where none matched."""

    rule: Rule | None = None
    lane: at.RequestClass | None = None
    lane_name: str | None = None
    key: bytes | None = None
    customer: str | None = None


NO_RESULT = RuleResult()


class InvalidRuleSet(Exception):
    """A set that cannot be used: all its faults, each with the part that it is in (rule's number, part)."""

    def __init__(self, faults):
        super().__init__("; ".join(fault.message for _, _, fault in faults[:3]))
        self.faults = faults


def may_replace(asked, given, stamped):
    """Whether what was asked of one request class may be treated as another's without weakening its
    effect."""
    if asked is given:
        return True
    if asked.streamed != given.streamed or RANKS[given.effect] < RANKS[asked.effect]:
        return False
    if given.effect != at.DEDUPLICATED:
        return True
    if asked.effect != at.DEDUPLICATED:
        return stamped
    return (
        WIDTHS[given.repeat_scope] <= WIDTHS[asked.repeat_scope]
        and given.repeat_window <= asked.repeat_window
    )


# ---- what an expression may be for requests of one request class, with or without an idempotency key


def decided(node, lane, stamped):
    """True or False where request class and idempotency key alone decide a condition, else None."""
    match node:
        case tree.Literal(value=bool() as value):
            return value
        case tree.Field(target=tree.Name(name="lookup"), name="stamped"):
            return stamped
        case tree.Unary(sign="!", operand=operand):
            value = decided(operand, lane, stamped)
            return None if value is None else not value
        case tree.Logic(sign=sign, operands=operands):
            decides = sign == "||"
            values = [decided(operand, lane, stamped) for operand in operands]
            return decides if decides in values else None if None in values else not decides
        case tree.Choice(test=test, yes=yes, no=no):
            value = decided(test, lane, stamped)
            if value is not None:
                return decided(yes if value else no, lane, stamped)
            both = decided(yes, lane, stamped), decided(no, lane, stamped)
            return both[0] if both[0] == both[1] else None
        case tree.Binary(sign="==" | "!=" as sign, left=left, right=right) if left.kind == STRING:
            one, other = possible(left, lane, stamped), possible(right, lane, stamped)
            if one is None or other is None:
                return None
            if not one & other:
                return sign == "!="
            return (sign == "==") if len(one) == len(other) == 1 else None
        case tree.Binary(sign="in", left=left, right=tree.ListOf(items=items)) if left.kind == STRING:
            one, others = possible(left, lane, stamped), [possible(item, lane, stamped) for item in items]
            if one is None or None in others:
                return None
            held = frozenset().union(*others)
            if not one & held:
                return False
            return True if len(one) == 1 and any(other == one for other in others) else None
    return None


def compared_lanes(root):
    """The literals that a request's request class is compared with: one that is no request class is a slip,
    it never matches."""
    for node in tree.walk(root):
        match node:
            case tree.Binary(sign="==" | "!=", left=left, right=right):
                sides = ((left, [right]), (right, [left]))
            case tree.Binary(sign="in", left=left, right=tree.ListOf(items=items)):
                sides = ((left, items),)
            case _:
                continue
        for lane, others in sides:
            if isinstance(lane, tree.Field) and tree.text(lane) == "lookup.lane":
                for other in others:
                    if isinstance(other, tree.Literal):
                        yield other, other.value


def possible(node, lane, stamped):
    """All strings that it may be, None where they cannot be told."""
    match node:
        case tree.Literal(value=str() as value):
            return frozenset([value])
        case tree.Field(target=tree.Name(name="lookup"), name="lane"):
            return frozenset([lane])
        case tree.Choice(test=test, yes=yes, no=no):
            value = decided(test, lane, stamped)
            if value is not None:
                return possible(yes if value else no, lane, stamped)
            both = possible(yes, lane, stamped), possible(no, lane, stamped)
            return None if None in both else both[0] | both[1]
    return None


class RuleSet:
    """A whole set, checked. It does not change; many threads may ask it."""

    def __init__(
        self,
        version,
        written,
        request_classes,
        tenants,
        limits=None,
        max_rule_cost=DEFAULT_RULE_COST,
        max_set_cost=DEFAULT_SET_COST,
    ):
        """`request_classes`: at.RequestClass by name, without any their names are not looked at; `tenants`:
        names, any collection, or None likewise. Raises Unfit with all faults at once."""
        names = tuple(request_classes)
        self.version, self.request_classes = version, request_classes
        self.tenants = frozenset(tenants) if tenants is not None else None
        self.limits = limits or RequestLimits(request_classes=names)
        self.faults, self.rules, seen = [], [], {}
        if len(written) > MOST_RULES:
            self.fault(0, "", Fault(COST, f"{len(written)} rules, {MOST_RULES} allowed"))
            written = []
        for number, rule in enumerate(written):
            if rule.name in seen:
                self.fault(
                    number,
                    "name",
                    Fault(NAME, f"rule {number} and rule {seen[rule.name]} are both {rule.name}"),
                )
            seen.setdefault(rule.name, number)
            made = self.made(number, rule, max_rule_cost)
            self.rules += [made] if made else []
        if self.faults:
            raise InvalidRuleSet(self.faults)
        self.index = Index(self.rules, self.limits)
        self.cost = self.index.worst + max(
            (sum(e.cost for e in rule.gives.values()) for rule in self.rules), default=0
        )
        if self.cost > max_set_cost:
            dear = max(self.rules, key=lambda rule: rule.cost)
            self.fault(
                dear.number,
                "when",
                Fault(
                    COST,
                    (
                        f"the set may cost {self.cost} steps for a lookup, {max_set_cost} allowed; "
                        f"the dearest rule is {dear.name} with {dear.cost}"
                    ),
                ),
            )
            raise InvalidRuleSet(self.faults)
        said = [(r.name, r.when, r.lane, r.key, r.customer, sorted(r.labels.items())) for r in written]
        self.digest = digest(repr((version, said)))

    def fault(self, number, part, fault):
        self.faults.append((number, part, fault))

    def made(self, number, rule, ceiling):
        before, parts = len(self.faults), {}
        for part, wanted in (("when", BOOL), ("lane", STRING), ("key", STRING), ("customer", STRING)):
            if (text := getattr(rule, part)) is not None:
                try:
                    parts[part] = Expression(text, self.limits, wanted)
                except Fault as fault:
                    self.fault(number, part, fault)
        if len(rule.labels) > MOST_LABELS:
            self.fault(number, "labels", Fault(COST, f"{len(rule.labels)} labels, {MOST_LABELS} allowed"))
        if not 0 < len(rule.name) <= LONGEST_NAME:
            self.fault(
                number, "name", Fault(VALUE, f"a name of {len(rule.name)} characters, {LONGEST_NAME} allowed")
            )
        cost = sum(part.cost for part in parts.values())
        if cost > ceiling:
            said = ", ".join(f"{part} {expression.cost}" for part, expression in parts.items())
            self.fault(
                number, "when", Fault(COST, f"may cost {cost} steps for a lookup ({said}), {ceiling} allowed")
            )
        if len(self.faults) > before:
            return None
        when, gives = parts.pop("when"), parts
        for part, expression in (("when", when), *gives.items()) if self.request_classes else ():
            for node, name in compared_lanes(expression.tree):
                if name not in self.request_classes:
                    known = ", ".join(self.request_classes)
                    fault = Fault(NAME, f"no lane {name!r} (there is {known})", node.line, node.column)
                    self.fault(number, part, fault)
        for part in ("lane", "customer"):
            if part in gives and (self.request_classes if part == "lane" else self.tenants is not None):
                getattr(self, f"look_at_{part}")(number, when, gives[part])
        return Rule(number, rule.name, when, gives, rule.labels, cost)

    def look_at_lane(self, number, when, expression):
        """Every request class that it may give to every request that the rule may match; one fault, for the
        first."""
        for name, lane in self.request_classes.items():
            for stamped in (True,) if lane.effect == at.DEDUPLICATED else (False, True):
                reached = decided(when.tree, name, stamped) is not False
                if wrong := self.wrong_lane(expression, name, stamped, reached):
                    return self.fault(number, "lane", Fault(*wrong, *expression.place()))

    def wrong_lane(self, expression, name, stamped, reached):
        """A code and what is wrong with what it gives requests of this request class, None if nothing is.
        `reached`: whether the rule may match such requests."""
        given, lane = possible(expression.tree, name, stamped), self.request_classes[name]
        if given is None:
            return TYPE, "which lanes it may be cannot be told: use names in quotes, lookup.lane and ?:"
        for other in sorted(given):
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

    def look_at_customer(self, number, when, expression):
        for node in tree.walk(expression.tree):
            said = isinstance(node, tree.Literal) and constant(expression.tree)
            if said and node.value not in self.tenants:
                known = ", ".join(sorted(self.tenants)) or "none"
                fault = Fault(NAME, f"no customer {node.value!r} (there is {known})", *expression.place())
                return self.fault(number, "customer", fault)

    # ---- for each request

    def first_match(self, asked, faults=None):
        """What the first rule that matches gives; NOTHING if none does. A rule that errs does not match: it
        and its fault are added to `faults`. `asked` is a `declared.Asked`; the request class must be one of
        the set's."""
        rules = self.rules
        for number in self.index.candidates(asked):
            rule = rules[number]
            try:
                if rule.when.value(asked):
                    return self.result_for(rule, asked) if rule.gives else RuleResult(rule)
            except Erred as fault:
                if faults is not None:
                    faults.append((rule, fault))
        return NO_RESULT

    def first_match_unindexed(self, asked, faults=None):
        """The same without the index: each rule in its order. What the index is held against."""
        for rule in self.rules:
            try:
                if rule.when.value(asked):
                    return self.result_for(rule, asked)
            except Erred as fault:
                if faults is not None:
                    faults.append((rule, fault))
        return NO_RESULT

    def result_for(self, rule, asked):
        """Erred where what it gives may not be: the defence behind the one when the set is loaded."""
        given = RuleResult(rule)
        if (expression := rule.gives.get("lane")) is not None:
            name = given.lane_name = expression.value(asked)
            lane, was = self.request_classes.get(name), self.request_classes.get(asked.lane)
            unfit = lane is None or was is None or not may_replace(was, lane, asked.stamped)
            # a command may have no request classes to look at: the name is all it tells then
            if unfit and self.request_classes:
                raise Erred(f"may not give lane {name[:40]!r} to a lookup of {asked.lane[:40]!r}")
            given.lane = lane
        if (expression := rule.gives.get("key")) is not None:
            key = expression.value(asked)
            if len(data := key.encode()) > self.limits.key:
                raise Erred(f"a key of {len(data)} bytes, {self.limits.key} allowed")
            given.key = data
        if (expression := rule.gives.get("customer")) is not None:
            given.customer = expression.value(asked)
        return given
