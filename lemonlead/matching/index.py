"""An index that finds the rules that may match a request, in the order of the set, without evaluating all
rules.

A condition `a && b && c` holds only if each operand holds, so one operand suffices to exclude a rule. For
each rule the index uses the operand that probably excludes it most often: an equality (a hash table), a
prefix (a trie), a range of integers (intervals) or a pattern (one RE2 set for all patterns). The expression
that the operand tests, such as `lookup.key` or `hash(lookup.key) % 100`, is its *subject*; it is evaluated
once for all rules that share it. A rule without such an operand is always a candidate. The condition of each
candidate is still evaluated in full, so the index only excludes rules."""

from bisect import bisect_right
from heapq import merge

import re2

from . import tree
from .checker import is_constant, worst_case_cost
from .exact import ERRORS
from .exact import compile_tree as compile_exact
from .faults import Erred
from .kinds import BYTES, DURATION, MAX_INT64, INT, MIN_INT64, STRING
from .quick import compile_tree as compile_quick

EQUAL = "equality"
PREFIX = "prefix"
RANGE = "range"
PATTERN = "pattern"
PREFERENCE = (EQUAL, PREFIX, RANGE, PATTERN)  # decides between operands that exclude equally many rules
CANDIDATE_COST = 3  # steps for one candidate, besides its own condition
MAX_ENTRIES_PER_RANGE = 64  # on average; rules whose ranges exceed it are always candidates
MAX_PATTERN_SET_BYTES = 8 << 20  # memory that RE2 may use for one set
NO_VALUE_ERRORS = (*ERRORS, Erred)
MIRRORED = {"<": ">", "<=": ">=", ">": "<", ">=": "<="}


def conjuncts(node):
    """Returns the conditions that must all hold."""
    return node.operands if isinstance(node, tree.Logic) and node.operator == "&&" else [node]


def literal_value(node):
    """Returns the value of a literal string, bytes, integer or duration; None for any other expression."""
    if isinstance(node, tree.Literal) and node.kind in (STRING, BYTES, INT):
        return node.value
    if isinstance(node, tree.Call) and node.name == "duration":
        return node.bounds.low
    return None


def indexable_condition(node):
    """Returns (kind, subject, the values for which the condition holds), or None if it cannot be indexed."""
    match node:
        case tree.Binary(operator="==", left=left, right=right):
            for subject, value in ((left, literal_value(right)), (right, literal_value(left))):
                if value is not None and literal_value(subject) is None:
                    return EQUAL, subject, frozenset([value])
        case tree.Binary(operator="in", left=left, right=tree.ListLiteral(items=items)) if is_constant(
            node.right
        ):
            values = [literal_value(item) for item in items]
            if literal_value(left) is None and None not in values:
                return EQUAL, left, frozenset(values)
        case tree.Logic(operator="||", operands=operands):
            found = [indexable_condition(operand) for operand in operands]
            if all(
                one and one[0] == EQUAL and tree.canonical_text(one[1]) == tree.canonical_text(found[0][1])
                for one in found
            ):
                return EQUAL, found[0][1], frozenset().union(*(one[2] for one in found))
        case tree.Call(name="startsWith", target=target, arguments=[tree.Literal(value=str() as value)]):
            return PREFIX, target, value
        case tree.Call(name="matches", target=target, arguments=[*rest, tree.Literal(value=value)]):
            return PATTERN, target or rest[0], value
        case tree.Binary(operator="<" | "<=" | ">" | ">=" as sign, left=left, right=right):
            for subject, value, comparison in (
                (left, literal_value(right), sign),
                (right, literal_value(left), MIRRORED[sign]),
            ):
                if (
                    isinstance(value, int)
                    and subject.kind in (INT, DURATION)
                    and literal_value(subject) is None
                ):
                    low = value + (comparison == ">") if comparison in (">", ">=") else MIN_INT64
                    return (
                        RANGE,
                        subject,
                        (low, MAX_INT64 if comparison in (">", ">=") else value - (comparison == "<")),
                    )
    return None


def indexable_conditions(node):
    """Returns all operands of a condition that can be indexed, by kind and subject. Ranges and equalities of
    one subject are intersected."""
    found = {}
    for one in filter(None, map(indexable_condition, conjuncts(node))):
        kind, subject, value = one
        name = kind, tree.canonical_text(subject)
        if kind == RANGE and name in found:
            low, high = found[name][1]
            value = max(low, value[0]), min(high, value[1])
        elif kind == EQUAL and name in found:
            value = value & found[name][1]
        elif name in found:
            continue
        found[name] = subject, value
    return found


class EqualityTable:
    """Finds rules by equality: a table of rules by value."""

    def __init__(self):
        self.rules = {}

    def add(self, number, values):
        for value in values:
            self.rules.setdefault(value, []).append(number)

    def build(self):
        pass

    def find(self, value):
        return self.rules.get(value, ())

    def groups(self):
        return self.rules.values()


class Trie:
    """Finds rules by prefix: a radix tree with a node wherever prefixes diverge."""

    def __init__(self):
        self.root = [
            "",
            {},
            [],
        ]  # characters, children by their first character, rules whose prefix ends here

    def add(self, number, prefix):
        node = self.root
        while prefix:
            child = node[1].get(prefix[0])
            if child is None:
                child = node[1][prefix[0]] = [prefix, {}, []]
            shared = common_prefix_length(child[0], prefix)
            if shared < len(child[0]):
                upper = [child[0][:shared], {child[0][shared]: child}, []]
                child[0] = child[0][shared:]
                child = node[1][prefix[0]] = upper
            node, prefix = child, prefix[shared:]
        node[2].append(number)

    def build(self):
        pass

    def find(self, text):
        node, at, found = self.root, 0, []
        while node is not None:
            characters, children, rules = node
            if not text.startswith(characters, at):
                break
            at += len(characters)
            if rules:
                found.append(rules)
            node = children.get(text[at]) if at < len(text) else None
        return found[0] if len(found) == 1 else list(merge(*found)) if found else ()

    def groups(self):
        """Yields the rules on each path from the root to a leaf."""
        pending = [(self.root, ())]
        while pending:
            node, ancestor_rules = pending.pop()
            path_rules = (*ancestor_rules, *node[2])
            if not node[1]:
                yield path_rules
            pending.extend((child, path_rules) for child in node[1].values())


def common_prefix_length(one, other):
    """Returns how many characters two strings share at the start."""
    most = min(len(one), len(other))
    return next((n for n in range(most) if one[n] != other[n]), most)


class Intervals:
    """Finds rules by range: the integers are split wherever a range begins or ends, and each segment has its
    rules."""

    def __init__(self):
        self.ranges, self.starts, self.rules, self.left_out = [], [], [], []

    def add(self, number, low_high):
        self.ranges.append((*low_high, number))

    def build(self):
        boundaries = sorted(
            {
                MIN_INT64,
                *(low for low, high, _ in self.ranges if low <= high),
                *(high + 1 for low, high, _ in self.ranges if low <= high),
            }
        )
        self.starts, self.rules = boundaries, [[] for _ in boundaries]
        entries_left = MAX_ENTRIES_PER_RANGE * max(len(self.ranges), 1)
        for low, high, number in self.ranges:
            if low > high:
                continue
            first, last = bisect_right(boundaries, low) - 1, bisect_right(boundaries, high)
            entries_left -= last - first
            if entries_left < 0:
                self.left_out.append(number)
                continue
            for segment in self.rules[first:last]:
                segment.append(number)
        self.ranges = []

    def find(self, value):
        return self.rules[bisect_right(self.starts, value) - 1]

    def groups(self):
        return self.rules


class Patterns:
    """Finds rules by pattern: one RE2 set of all patterns, matched at once. The set contains the empty
    pattern as a sentinel. If a match does not report it, RE2 ran out of memory, and all rules are
    candidates."""

    def __init__(self):
        options = re2.Options()
        options.max_mem, options.log_errors, options.never_capture = MAX_PATTERN_SET_BYTES, False, True
        self.set, self.numbers, self.all = re2.Set.SearchSet(options), {}, []
        self.sentinel = self.set.Add("")

    def add(self, number, pattern):
        self.numbers[self.set.Add(pattern)] = number
        self.all.append(number)

    def build(self):
        self.set.Compile()

    def find(self, text):
        found = self.set.Match(text)
        if self.sentinel not in found:
            return self.all
        return sorted(self.numbers[one] for one in found if one != self.sentinel)

    def groups(self):
        return [self.all]


LOOKUP_TYPES = {EQUAL: EqualityTable, PREFIX: Trie, RANGE: Intervals, PATTERN: Patterns}


class Index:
    """An index of `rules`, which are in the order of the set and have `number`, `when` and `cost`.

    `max_cost` is the maximum number of steps that finding the first match takes, with the conditions of all
    candidates."""

    def __init__(self, rules, limits):
        found = [indexable_conditions(rule.when.tree) for rule in rules]
        count_by_value = self.count_by_value(found)
        self.always, self.groups, self.places = [], {}, {}
        for position, known in enumerate(found):
            best = min(
                known,
                key=lambda name: (
                    self.candidates_shared_with(count_by_value, name, known[name][1]),
                    PREFERENCE.index(name[0]),
                ),
                default=None,
            )
            if best is None:
                self.always.append(position)
                continue
            subject, value = known[best]
            if best not in self.groups:
                self.groups[best] = LOOKUP_TYPES[best[0]](), subject
            self.groups[best][0].add(position, value)
        for lookup, _ in self.groups.values():
            lookup.build()
            self.always += getattr(lookup, "left_out", [])
        self.always.sort()
        subjects = {}
        for (_, name), (lookup, subject) in self.groups.items():
            subjects.setdefault(name, (subject, []))[1].append(lookup)
        # Subjects without && or || inside use the quick form, which then raises exactly when the exact form
        # does.
        self.subjects = [
            (
                compile_exact(node)
                if any(isinstance(part, tree.Logic | tree.Comprehension) for part in tree.walk(node))
                else compile_quick(node),
                [lookup.find for lookup in makers],
            )
            for node, makers in subjects.values()
        ]
        self.max_cost = sum(worst_case_cost(node) for node, _ in subjects.values())
        self.max_cost += sum(rules[position].when.cost + CANDIDATE_COST for position in self.always)
        for (kind, _), (lookup, subject) in self.groups.items():
            self.max_cost += 6 + (subject.bounds.size * 4 if kind == PATTERN else subject.bounds.size // 16)
            self.max_cost += max(
                (
                    sum(rules[position].when.cost + CANDIDATE_COST for position in group)
                    for group in lookup.groups()
                ),
                default=0,
            )

    def count_by_value(self, found):
        """Counts the rules that share each value of each subject."""
        counts = {}
        for known in found:
            for name, (_, value) in known.items():
                for one in value if name[0] == EQUAL else (value if name[0] == PREFIX else "",):
                    counts[name, one] = counts.get((name, one), 0) + 1
        return counts

    def candidates_shared_with(self, count_by_value, name, value):
        """Returns how many rules at least would be candidates together with this one."""
        if name[0] == EQUAL:
            return max((count_by_value[name, one] for one in value), default=0)
        return count_by_value[name, value if name[0] == PREFIX else ""]

    def candidates(self, request):
        """Returns the positions of the rules that may match, in order. If a subject has no value for this
        request, all rules that depend on it are excluded: they would fail, or be false by another operand."""
        lists = [self.always] if self.always else []
        for value_of_subject, finds in self.subjects:
            try:
                value = value_of_subject(request)
            except NO_VALUE_ERRORS:
                continue
            for find in finds:
                if found := find(value):
                    lists.append(found)
        return lists[0] if len(lists) == 1 else merge(*lists) if lists else ()

    def describe(self):
        """Returns how the set is indexed: the number of rules by kind and subject, and of those always
        evaluated."""
        groups = [
            {
                "kind": kind,
                "subject": name,
                "rules": len({position for group in lookup.groups() for position in group}),
            }
            for (kind, name), (lookup, _) in self.groups.items()
        ]
        return {"always": len(self.always), "groups": groups, "worst": self.max_cost}
