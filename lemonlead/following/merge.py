"""One list of instances from two words: discovery's, and the ledger's on nodes of the same names.

Each word is kept as its source last gave it, and what the balancer is told is a function of the two: so
neither can undo the other's drain, whatever comes late, twice or goes back in version. An instance gets
attempts only where discovery has it ready, no permit is out for it and the ledger has it serving or catching
up."""

from collections import deque
from dataclasses import dataclass, replace

from ..interface import DRAINING, GONE, READY
from .responses import MAX_RECORDS

MOST_LEFT = 64  # clusters that were left for one formed anew; past it the oldest is forgotten
UP = ("serving", "catching_up")


@dataclass(frozen=True, slots=True)
class LedgerInstance:
    """What the ledger last said of a node. `warm`: ledger moment at which it bears all; it grows each time
    the node comes back. `back`: when it last came back by this gateway's clock, 0 where not seen."""

    state: str = "serving"
    out: bool = False
    warm: int = 0
    back: int = 0


PLAIN = LedgerInstance()


class Merge:
    def __init__(self):
        self.lines, self.addresses = {}, {}  # by id, as discovery last told
        self.words = {}  # by node, where there is more to say than PLAIN
        self.permits = set()  # nodes for which one is out
        self.at = -1  # the ledger's entry up to which its word is known; nothing older is heeded
        self.cluster, self.gone = "", deque(maxlen=MOST_LEFT)  # whose word that is; those that it was before

    def listed(self, lines, addresses, whole):
        """Discovery's list, or changes of it: the same as the two words have it together."""
        if whole:
            self.lines, self.addresses = {}, {}
        for line in lines:
            self.lines[line.id], self.addresses[line.id] = line, addresses.get(line.id, (None, 0))
        told = self.told([line.id for line in lines])
        for line in lines:
            if line.state == GONE:
                self.lines.pop(line.id, None)
                self.addresses.pop(line.id, None)
        return told

    def apply_update(self, now, news):
        """The ledger's news: lines and addresses of what it changes, or None where it is too old to be
        heeded. `now`: of the clock that instances' starts are told by."""
        if news.cluster != self.cluster and not self.anew(news) or news.index < self.at:
            return None
        before = {id: self.merged_line(id) for id in self.touched(news) if id in self.lines}
        known = dict(self.words)
        for part in news.whole:
            if part == "nodes":
                self.words = {}
            elif part == "permits":
                self.permits = set()
        for part, key, record in news.changes:
            if part == "permits":
                (self.permits.discard if record is None else self.permits.add)(key)
            elif part == "nodes":
                self.say(now, key, record, known.get(key, PLAIN), news.ledger_time)
        if len(self.permits) > MAX_RECORDS or len(self.words) > MAX_RECORDS:
            raise ValueError("more nodes than a ledger may have")
        self.at = news.index
        return self.told([id for id, line in before.items() if self.merged_line(id) != line])

    def anew(self, news):
        """The first word of a cluster formed anew counts where it is the whole, whatever its index, and none
        of those before it any more. What a node's `warm` was there says nothing here."""
        if news.cluster in self.gone or not {"nodes", "permits"} <= set(news.whole):
            return False
        if self.cluster:
            self.gone.append(self.cluster)
        self.cluster, self.at = news.cluster, -1
        self.words = {name: replace(word, warm=0) for name, word in self.words.items()}
        return True

    def touched(self, news):
        if news.whole:
            return list(self.lines)
        return {key for part, key, _ in news.changes if part in ("nodes", "permits")}

    def say(self, now, name, record, known, moment):
        """`known`: what was known of it before this news. It came back since where `warm` has grown; that
        counts unless it is known to be warm again."""
        if record is None:
            self.words.pop(name, None)
            return
        warm, back = record.get("warm", 0), known.back
        first = self.at < 0 and moment is None  # how long ago can't be told then
        if warm > known.warm and not first and (moment is None or warm > moment):
            back = now
        word = LedgerInstance(record.get("state", "serving"), bool(record.get("out")), warm, back)
        if word == PLAIN:
            self.words.pop(name, None)
        else:
            self.words[name] = word

    def merged_line(self, id):
        """Discovery's line as the ledger has it, too."""
        line, word = self.lines[id], self.words.get(id, PLAIN)
        state = line.state
        if state == READY and word.state not in UP:
            state = GONE
        elif state == READY and (word.out or id in self.permits):
            state = DRAINING
        started = max(line.started, word.back)
        if (state, started) == (line.state, line.started):
            return line
        return replace(line, state=state, started=started)

    def told(self, ids):
        lines = [self.merged_line(id) for id in ids]
        addresses = {
            line.id: (self.addresses[line.id][0] if line.state == READY else None, line.started)
            for line in lines
        }
        return lines, addresses

    def held_back(self):
        """How many instances discovery has ready and the ledger has not."""
        return sum(line.state == READY != self.merged_line(id).state for id, line in self.lines.items())
