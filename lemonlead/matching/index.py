"""Finds the rules that may match a request without asking all of them, in the order of the set.

A condition `a && b && c` holds only if each of its parts does, so one part suffices to leave a rule out. For
each rule the part is chosen that leaves it out most often: equality (a table by value), a prefix (a trie), a
range of whole numbers (intervals), a pattern (one RE2 set for all). What the part looks at, say `lookup.key`
or `hash(lookup.key) % 100`, is its *subject*; it is evaluated once for all rules that share it. A rule
without such a part is asked each time. Whoever is found is still asked in full, so the index can only leave
out."""

from bisect import bisect_right
from heapq import merge

import re2

from . import tree
from .checker import constant, whole_cost
from .exact import ERRORS, compile_tree
from .faults import Erred
from .kinds import BYTES, DURATION, HIGHEST, INT, LOWEST, STRING
from .quick import compile_tree as quickly

EQUAL, PREFIX, RANGE, PATTERN = "equality", "prefix", "range", "pattern"
ORDER = (EQUAL, PREFIX, RANGE, PATTERN)
ASKED = 3  # steps for one candidate beside its own condition
SPREAD = 64  # entries that intervals may take a rule on average; those past it are asked each time
SET_MEMORY = 8 << 20  # bytes that RE2 may use for one set
MISSING = (*ERRORS, Erred)
FLIPPED = {"<": ">", "<=": ">=", ">": "<", ">=": "<="}


def parts(node):
    """The conditions that must all hold."""
    return node.operands if isinstance(node, tree.Logic) and node.sign == "&&" else [node]


def value_of(node):
    """What is written out: a string, bytes, a whole number or a duration; None for all else."""
    if isinstance(node, tree.Literal) and node.kind in (STRING, BYTES, INT):
        return node.value
    if isinstance(node, tree.Call) and node.name == "duration":
        return node.bounds.low
    return None


def atom(node):
    """(kind, subject, what it holds for) of a condition that can be indexed, else None."""
    match node:
        case tree.Binary(sign="==", left=left, right=right):
            for subject, value in ((left, value_of(right)), (right, value_of(left))):
                if value is not None and value_of(subject) is None:
                    return EQUAL, subject, frozenset([value])
        case tree.Binary(sign="in", left=left, right=tree.ListOf(items=items)) if constant(node.right):
            values = [value_of(item) for item in items]
            if value_of(left) is None and None not in values:
                return EQUAL, left, frozenset(values)
        case tree.Logic(sign="||", operands=operands):
            found = [atom(operand) for operand in operands]
            if all(one and one[0] == EQUAL and tree.text(one[1]) == tree.text(found[0][1]) for one in found):
                return EQUAL, found[0][1], frozenset().union(*(one[2] for one in found))
        case tree.Call(name="startsWith", target=target, given=[tree.Literal(value=str() as value)]):
            return PREFIX, target, value
        case tree.Call(name="matches", target=target, given=[*rest, tree.Literal(value=value)]):
            return PATTERN, target or rest[0], value
        case tree.Binary(sign="<" | "<=" | ">" | ">=" as sign, left=left, right=right):
            for subject, value, way in (
                (left, value_of(right), sign),
                (right, value_of(left), FLIPPED[sign]),
            ):
                if isinstance(value, int) and subject.kind in (INT, DURATION) and value_of(subject) is None:
                    low = value + (way == ">") if way in (">", ">=") else LOWEST
                    return RANGE, subject, (low, HIGHEST if way in (">", ">=") else value - (way == "<"))
    return None


def atoms(node):
    """All of a condition's parts that can be indexed, by kind and subject; ranges of one subject are
    joined."""
    found = {}
    for one in filter(None, map(atom, parts(node))):
        kind, subject, value = one
        name = kind, tree.text(subject)
        if kind == RANGE and name in found:
            low, high = found[name][1]
            value = max(low, value[0]), min(high, value[1])
        elif kind == EQUAL and name in found:
            value = value & found[name][1]
        elif name in found:
            continue
        found[name] = subject, value
    return found


class Table:
    """Equality: the rules by value."""

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
    """Prefixes: a node for each place where they part, reached by a whole run of letters at a time."""

    def __init__(self):
        self.root = ["", {}, []]  # its letters, those below by their first letter, the rules that end here

    def add(self, number, prefix):
        node = self.root
        while prefix:
            child = node[1].get(prefix[0])
            if child is None:
                child = node[1][prefix[0]] = [prefix, {}, []]
            shared = common(child[0], prefix)
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
            letters, below, rules = node
            if not text.startswith(letters, at):
                break
            at += len(letters)
            if rules:
                found.append(rules)
            node = below.get(text[at]) if at < len(text) else None
        return found[0] if len(found) == 1 else list(merge(*found)) if found else ()

    def groups(self):
        """The rules on each way from the root."""
        open_nodes = [(self.root, ())]
        while open_nodes:
            node, above = open_nodes.pop()
            here = (*above, *node[2])
            if not node[1]:
                yield here
            open_nodes.extend((child, here) for child in node[1].values())


def common(one, other):
    """How many letters they share at the start."""
    most = min(len(one), len(other))
    return next((n for n in range(most) if one[n] != other[n]), most)


class Intervals:
    """Ranges: the line is cut wherever one begins or ends, and each piece has its rules."""

    def __init__(self):
        self.ranges, self.starts, self.rules, self.left_out = [], [], [], []

    def add(self, number, low_high):
        self.ranges.append((*low_high, number))

    def build(self):
        cuts = sorted(
            {
                LOWEST,
                *(low for low, high, _ in self.ranges if low <= high),
                *(high + 1 for low, high, _ in self.ranges if low <= high),
            }
        )
        self.starts, self.rules = cuts, [[] for _ in cuts]
        room = SPREAD * max(len(self.ranges), 1)
        for low, high, number in self.ranges:
            if low > high:
                continue
            first, last = bisect_right(cuts, low) - 1, bisect_right(cuts, high)
            room -= last - first
            if room < 0:
                self.left_out.append(number)
                continue
            for piece in self.rules[first:last]:
                piece.append(number)
        self.ranges = []

    def find(self, value):
        return self.rules[bisect_right(self.starts, value) - 1]

    def groups(self):
        return self.rules


class Patterns:
    """Patterns: one set, matched in one go. The empty pattern stands in it as a sentinel: a set that does not
    even find that ran out of memory, and all its rules are asked."""

    def __init__(self):
        options = re2.Options()
        options.max_mem, options.log_errors, options.never_capture = SET_MEMORY, False, True
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


MADE = {EQUAL: Table, PREFIX: Trie, RANGE: Intervals, PATTERN: Patterns}


class Index:
    """`rules` in their order, each with `number`, `when` and `cost`. `worst`: the steps that finding the
    first match may take at most, each candidate's condition included."""

    def __init__(self, rules, limits):
        found = [atoms(rule.when.tree) for rule in rules]
        sizes = self.sizes(found)
        self.always, self.groups, self.places = [], {}, {}
        for place, known in enumerate(found):
            best = min(
                known,
                key=lambda name: (self.crowd(sizes, name, known[name][1]), ORDER.index(name[0])),
                default=None,
            )
            if best is None:
                self.always.append(place)
                continue
            subject, value = known[best]
            if best not in self.groups:
                self.groups[best] = MADE[best[0]](), subject
            self.groups[best][0].add(place, value)
        for made, _ in self.groups.values():
            made.build()
            self.always += getattr(made, "left_out", [])
        self.always.sort()
        subjects = {}
        for (_, name), (made, subject) in self.groups.items():
            subjects.setdefault(name, (subject, []))[1].append(made)
        # Each subject's value, by way of its quick form where that is the exact one: it has no && or ||
        # inside.
        self.subjects = [
            (
                compile_tree(node)
                if any(isinstance(part, tree.Logic | tree.Each) for part in tree.walk(node))
                else quickly(node),
                [made.find for made in makers],
            )
            for node, makers in subjects.values()
        ]
        self.worst = sum(whole_cost(node) for node, _ in subjects.values())
        self.worst += sum(rules[place].when.cost + ASKED for place in self.always)
        for (kind, _), (made, subject) in self.groups.items():
            self.worst += 6 + (subject.bounds.size * 4 if kind == PATTERN else subject.bounds.size // 16)
            self.worst += max(
                (sum(rules[place].when.cost + ASKED for place in group) for group in made.groups()), default=0
            )

    def sizes(self, found):
        """How many rules share each value of each subject."""
        counts = {}
        for known in found:
            for name, (_, value) in known.items():
                for one in value if name[0] == EQUAL else (value if name[0] == PREFIX else "",):
                    counts[name, one] = counts.get((name, one), 0) + 1
        return counts

    def crowd(self, sizes, name, value):
        """How many rules would be found with this one, at least."""
        if name[0] == EQUAL:
            return max((sizes[name, one] for one in value), default=0)
        return sizes[name, value if name[0] == PREFIX else ""]

    def candidates(self, asked):
        """The places of the rules that may match, in order. A subject that has no value for this request
        leaves out all rules that must have it: they would err, or be false by another part."""
        lists = [self.always] if self.always else []
        for value_of_subject, finds in self.subjects:
            try:
                value = value_of_subject(asked)
            except MISSING:
                continue
            for find in finds:
                if found := find(value):
                    lists.append(found)
        return lists[0] if len(lists) == 1 else merge(*lists) if lists else ()

    def read(self):
        """What it is made of: rules by kind and subject, and those asked each time."""
        told = [
            {
                "kind": kind,
                "subject": name,
                "rules": len({place for group in made.groups() for place in group}),
            }
            for (kind, name), (made, _) in self.groups.items()
        ]
        return {"always": len(self.always), "groups": told, "worst": self.worst}
