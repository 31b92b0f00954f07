"""The replication core: what a replica decides in each state, and a few of them on a small network."""

import os

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from replicas import (
    BEAT,
    ELECTION,
    MS,
    NOW,
    Host,
    Net,
    ack,
    elected,
    entries,
    entry,
    made,
    members_entry,
    seats,
    told,
)
from replicas import message as said

from lemonlead.ledger import records as r
from lemonlead.ledger.leader import one_apart
from lemonlead.ledger.log import MAX_WRITES_IN_FLIGHT, Log
from lemonlead.ledger.replica import Replica

LONG = int(os.environ.get("LEMONLEAD_LONG", "1"))  # times as many examples and schedules, by chance
HEAVY = settings(
    max_examples=150 * LONG, deadline=None, suppress_health_check=list(HealthCheck), derandomize=LONG == 1
)


def canvass(sender="b", term=2, last=(1, 1), **more):
    return said(r.VoteRequest, sender, term=term, last_term=last[0], last_index=last[1], **more)


def append(prev=(1, 1), terms=(), term=1, committed=0, round=0, sender="b", log=None):
    log = entries(terms, prev[0] + 1) if log is None else log
    return said(
        r.AppendEntries, sender, term=term, prev_index=prev[0], prev_term=prev[1], entries=log,
        committed=committed, round=round,
    )  # fmt: skip


def heard(replica, sent, now=NOW, host=None, sync=True):
    """What it sends after one message."""
    host = host or Host()
    replica.receive(now, sent)
    return host.pull(replica, now, sync)


# ---- votes


def test_a_ballot_goes_out_only_once_the_vote_is_on_disk():
    replica, host = made(), Host()
    assert heard(replica, canvass(), host=host, sync=False) == []
    (write,) = host.writes
    assert (write.term, write.voted) == (2, "b")
    replica.written(NOW, write.number)
    (ballot,) = host.pull(replica, NOW)
    assert (ballot.to, ballot.term, ballot.given) == ("b", 2, True)


def test_a_vote_in_a_term_that_is_on_disk_already_waits_for_it_too():
    replica, host = made(term=2), Host()
    assert heard(replica, canvass(), host=host, sync=False) == []
    replica.written(NOW, host.writes[0].number)
    assert [one.given for one in host.pull(replica, NOW)] == [True]


@pytest.mark.parametrize(
    "second, given", [(canvass("c"), False), (canvass("b"), True), (canvass("c", term=3), True)]
)
@pytest.mark.parametrize("restarted", [False, True])
def test_one_vote_a_term(second, given, restarted):
    replica = made(term=2, voted="b") if restarted else made()
    if not restarted:
        assert heard(replica, canvass("b"))[0].given
    assert [one.given for one in heard(replica, second)] == [given]


@pytest.mark.parametrize(
    "sent, given",
    [
        (canvass(last=(2, 3)), True),
        (canvass(last=(2, 9)), True),
        (canvass(last=(3, 2)), True),
        (canvass(last=(2, 2)), False),
        (canvass(last=(1, 9)), False),
        (canvass(term=1, last=(2, 9)), False),
    ],
)
@pytest.mark.parametrize("early", [False, True])
def test_a_vote_wants_a_log_that_is_no_older(sent, given, early):
    replica = made(terms=[1, 2], term=2)
    ballots = heard(replica, msgspec.structs.replace(sent, early=early))
    assert [(one.given, one.early) for one in ballots] == [(given, early)]


@pytest.mark.parametrize("early, handed, votes", [(True, False, 0), (False, False, 0), (False, True, 1)])
def test_while_a_leader_is_heard_only_who_was_handed_it_gets_a_vote(early, handed, votes):
    replica = made()
    heard(replica, append(sender="c"))
    sent = heard(replica, canvass("b", term=2, early=early, handed=handed), NOW + ELECTION - 1)
    assert sum(one.given for one in sent) == votes
    assert replica.term == 1 + votes
    later = heard(made(), canvass("b"), NOW + ELECTION)
    assert later[0].given


def test_a_pre_vote_moves_no_term_and_writes_nothing():
    replica, host = made(), Host()
    assert heard(replica, canvass(term=7, early=True), host=host, sync=False)[0].given
    assert (replica.term, replica.voted, host.writes) == (1, "", [])


def silence(replica, host, sync=True):
    """Lets the time run until it stands."""
    now = replica.now
    while replica.role == r.FOLLOWER:
        now = min(now + ELECTION // 2, max(replica.election_deadline, now + 1))
        host.pull(replica, now, sync)
    return now


def test_it_stands_after_one_to_two_election_times_of_silence_first_with_a_pre_vote():
    replica, host = made(), Host()
    now = silence(replica, host)
    assert ELECTION <= now - NOW <= 2 * ELECTION
    assert [(one.to, one.term, one.early) for one in host.sent] == [("b", 1, True), ("c", 1, True)]
    assert replica.term == 1


def test_term_and_own_vote_are_on_disk_before_it_asks_and_before_it_leads():
    replica, host = made(), Host()
    now = silence(replica, host)
    assert heard(replica, said(r.VoteResponse, "b", given=True, early=True), now, host, sync=False) == []
    (write,) = host.writes
    assert (write.term, write.voted, replica.term) == (2, "a", 2)
    replica.receive(now, said(r.VoteResponse, "b", term=2, given=True))
    assert replica.role == r.CANDIDATE
    replica.written(now, write.number)
    assert replica.role == r.LEADER
    host.pull(replica, now, sync=False)
    assert {one.term for one in host.sent} == {2}


@pytest.mark.parametrize(
    "ballot",
    [
        said(r.VoteResponse, "b", term=2, given=False),
        said(r.VoteResponse, "b", term=1, given=True),
        said(r.VoteResponse, "d", term=2, given=True),
        said(r.VoteResponse, "z", term=2, given=True),
        said(r.VoteResponse, "b", term=2, given=True, early=True),
    ],
)
def test_ballots_that_do_not_count(ballot):
    replica, host = made(names="abcd", learners="d"), Host()
    now = silence(replica, host)
    replica.receive(now, said(r.VoteResponse, "b", given=True, early=True))
    replica.receive(now, said(r.VoteResponse, "c", given=True, early=True))
    host.pull(replica, now)
    replica.receive(now, ballot)
    assert (replica.role, replica.term) == (r.CANDIDATE, 2)


def test_a_lone_voter_leads_once_its_vote_is_on_disk():
    replica, host = made(names="a"), Host()
    silence(replica, host, sync=False)
    assert (replica.role, [write.voted for write in host.writes]) == (r.CANDIDATE, ["a"])
    replica.written(replica.now, 1)
    assert replica.role == r.LEADER


@pytest.mark.parametrize("names, learners", [("abc", "a"), ("bc", ""), ("", "")])
def test_who_has_no_vote_never_stands(names, learners):
    replica, host = made(names=names, learners=learners), Host()
    for at in range(1, 20):
        assert host.pull(replica, NOW + at * ELECTION // 2) == []
    assert replica.role == r.LEARNER


def test_an_empty_folder_is_outside_and_votes_for_nobody():
    replica = Replica(told(), r.StoredState(), NOW)
    assert replica.role == r.OUTSIDE
    assert heard(replica, canvass()) == []
    heard(replica, append((0, 0), terms=[1], term=2))
    assert replica.role == r.LEARNER


@pytest.mark.parametrize(
    "kind",
    [
        r.AppendResponse,
        r.SnapshotChunkResponse,
        r.AppendEntries,
        r.SnapshotChunk,
        r.TimeoutNow,
        r.VoteResponse,
    ],
)
def test_a_newer_term_deposes_a_leader(kind):
    replica, host = made(), Host()
    now = elected(replica, host)
    replica.propose(now, 0, b"{}", "t")
    replica.read(now, "read")
    heard(replica, said(kind, "b", term=9), now, host)
    assert (replica.role, replica.term) == (r.FOLLOWER, 9)
    assert host.ends == {"t": r.UNKNOWN, "read": r.NOT_DONE}


# ---- messages that are not meant


@pytest.mark.parametrize(
    "field, value",
    [
        ("cluster", "c2"),
        ("to", "b"),
        ("to_seal", "folder-old"),
        ("seal", "wiped"),
        ("sender", "a"),
        ("term", -1),
        ("term", 1 << 63),
    ],
)
@pytest.mark.parametrize("sent", [canvass(), append(terms=[2], term=2), said(r.SnapshotChunk, "b", term=2)])
def test_what_is_not_meant_for_it_changes_nothing(field, value, sent):
    replica, host = made(), Host()
    assert heard(replica, msgspec.structs.replace(sent, **{field: value}), host=host) == []
    assert (replica.term, replica.last, host.writes) == (1, 1, [])


def test_a_leader_that_is_not_known_yet_is_heard():
    replica = made()
    assert heard(replica, append(terms=[2], term=2, sender="z"))[-1].match == 2
    assert replica.leader == "z"


# ---- appends


def test_a_follower_acknowledges_what_its_disk_holds_and_no_more():
    replica, host = made(), Host()
    first = heard(replica, append(terms=[1, 1], round=1), host=host, sync=False)
    assert [one.match for one in first] == [1]  # the round is answered at once
    assert heard(replica, append((3, 1), terms=[1], round=1), host=host, sync=False) == []
    replica.written(NOW, 1)
    assert [(one.fits, one.match) for one in host.pull(replica, NOW, sync=False)] == [(True, 3)]
    replica.written(NOW, 2)
    assert [one.match for one in host.pull(replica, NOW)] == [4]


@pytest.mark.parametrize(
    "held, sent, log, cut",
    [
        ([1, 1], append(terms=[1, 1]), [1, 1], None),  # a repeat
        ([1, 1], append(terms=[1]), [1, 1], None),  # a late one cuts nothing
        ([1, 1, 1], append((2, 1), terms=[2], term=2), [1, 2], 3),
        ([1, 1, 1], append(terms=[2, 2, 2, 2], term=2), [2, 2, 2, 2], 2),
        ([1], append((2, 1), terms=[1, 2], term=2), [1, 1, 2], None),
    ],
)
def test_a_tail_that_conflicts_is_cut(held, sent, log, cut):
    replica, host = made(terms=held), Host()
    heard(replica, sent, host=host, sync=False)
    assert [one.term for one in replica.log.entries] == log
    assert [write.cut for write in host.writes if write.entries] in ([cut], [])


@pytest.mark.parametrize(
    "held, sent, hint",
    [
        ([1], append((5, 1)), 2),
        ([1, 1, 2, 2, 2], append((5, 3), term=3), 3),  # over the whole run of a term
        ([2, 2], append((3, 1), term=3), 1),
    ],
)
def test_where_it_does_not_fit_it_says_where_to_look(held, sent, hint):
    (answer,) = heard(made(terms=held), sent)
    assert (answer.fits, answer.match) == (False, hint)


@pytest.mark.parametrize(
    "sent",
    [
        append(terms=[2], term=2),  # undoes what is committed
        append((3, 2), term=2),
        append((-1, 0)),
        append((3, 1), log=[entry(5, 1)]),
        append((3, 1), log=[entry(4, 0)]),
        append((3, 1), log=[entry(4, 2)]),
        append((3, 1), log=[entry(4, 1, what=7)]),
        append((3, 1), log=[entry(4, 1, what=r.MEMBERS, data=b'{"a":')]),
        append((3, 1), log=[entry(4, 1, what=r.MEMBERS, data=b"{}")]),
        append((3, 1), log=[entry(4, 1, moment=1 << 63)]),
        append((3, 1), terms=[1], committed=-3),
    ],
)
def test_garbled_entries_are_dropped_and_counted(sent):
    replica = made()
    heard(replica, append(terms=[1, 1], committed=3))
    assert heard(replica, sent) == []
    assert (replica.last, replica.committed, [one.term for one in replica.log.entries]) == (3, 3, [1, 1])
    assert replica.counts["garbled"] == 1


def test_commits_no_further_than_the_log_is_known_to_be_the_leaders():
    replica, host = made(terms=[1, 1, 1]), Host()
    heard(replica, append((2, 1), term=2, committed=4), host=host)
    assert (replica.committed, [one.index for one in host.applied]) == (2, [2])


def test_an_old_leader_hears_of_the_newer_term():
    assert [(one.term, one.fits) for one in heard(made(term=5), append(terms=[1]))] == [(5, False)]


def test_a_disk_that_does_not_keep_up_bounds_what_is_taken():
    replica, host = made(), Host()
    prev = 1
    while replica.last == prev:
        heard(replica, append((prev, 1), terms=[1] * 200), host=host, sync=False)
        prev += 200
    assert replica.last - replica.pending_writes.submitted <= 4096
    assert (len(host.writes), replica.counts["not taken: backlog"]) == (4, 1)
    host.pull(replica, NOW)
    assert replica.pending_writes.on_disk == replica.last


def test_what_is_committed_is_not_applied_before_the_disk_was_given_it():
    """Else a snapshot of that state would get to the disk before the entries that it stands for."""
    replica, host = made(), Host()
    for index in range(1, MAX_WRITES_IN_FLIGHT + 1):
        heard(replica, append((index, 1), terms=[1]), host=host, sync=False)
    last = MAX_WRITES_IN_FLIGHT + 2
    heard(replica, append((last - 1, 1), terms=[1], committed=last), host=host, sync=False)
    assert (len(host.writes), replica.committed, host.applied[-1].index) == (
        MAX_WRITES_IN_FLIGHT,
        last,
        last - 1,
    )
    replica.written(NOW, 1)
    host.pull(replica, NOW, sync=False)
    assert host.writes[-1].entries[-1].index == host.applied[-1].index == last


# ---- a leader commits


def test_a_leader_counts_itself_only_once_written():
    replica, host = made(), Host()
    now = elected(replica, host, sync=False)
    assert r.AppendEntries in host.kinds()  # sent before its own disk holds it
    replica.propose(now, 0, b"{}", "t")
    host.pull(replica, now, sync=False)
    ack(replica, now, "b")
    assert replica.committed == 1
    host.pull(replica, now)
    assert (replica.committed, host.ends) == (3, {"t": 3})


def test_two_peers_commit_without_the_leaders_own_disk():
    replica, host = made(), Host()
    now = elected(replica, host, sync=False)
    host.pull(replica, now, sync=False)
    ack(replica, now, "b")
    ack(replica, now, "c")
    assert (replica.committed, replica.pending_writes.on_disk) == (2, 1)


def test_entries_of_older_terms_are_committed_by_one_of_the_own_alone():
    """Figure 8 of the paper (3.6.2)."""
    replica, host = made(names="abcde", terms=[2], term=3), Host()
    now = elected(replica, host)
    for name in "bc":
        ack(replica, now, name, match=2)
    assert replica.committed == 1
    for name in "bc":
        ack(replica, now, name, match=3)
    assert replica.committed == 3


def test_a_learner_does_not_count():
    replica, host = made(names="abcd", learners="d"), Host()
    now = elected(replica, host)
    ack(replica, now, "d")
    assert replica.committed == 1
    ack(replica, now, "b")
    assert replica.committed == 2


def test_ledger_time_goes_on_from_the_greatest_in_the_log():
    kept = r.StoredState(1, "", r.SnapshotBase(1, 1, seats("a"), moment=500), [])
    replica, host = Replica(told(), kept, NOW), Host()
    now = elected(replica, host)
    replica.propose(now + 7, 11, b"{}", "t")
    replica.propose(now + 9, 3, b"{}", "u")
    assert [one.moment for one in replica.log.entries] == [500, 507, 509]
    assert [one.wall_ms for one in replica.log.entries] == [0, 11, 11]


def leading(**more):
    """A leader of three whose peers have all that it has."""
    replica, host = made(**more), Host()
    now = elected(replica, host)
    for name in replica.members:
        if name in replica.voters and name != replica.name:
            ack(replica, now, name)
    host.pull(replica, now)
    return replica, host, now


def test_appends_are_batched_pipelined_and_bounded():
    replica, host, now = leading(most_entries=10, in_flight=3)
    for ticket in range(100):
        replica.propose(now, 0, b"{}", ticket)
    sent = [one for one in host.pull(replica, now) if one.to == "b" and one.entries]
    assert [(one.prev_index, len(one.entries)) for one in sent] == [(2, 10), (12, 10), (22, 10)]
    ack(replica, now, "b", match=22)
    sent = [one for one in host.pull(replica, now) if one.entries]
    assert [(one.to, one.prev_index) for one in sent] == [("b", 32), ("b", 42)]
    assert host.ends == {ticket: 3 + ticket for ticket in range(20)}


def test_a_message_holds_no_more_bytes_than_told_and_one_entry_at_least():
    replica, host, now = leading(most_bytes=1000)
    for size in (400, 400, 400, 5000, 5000):
        replica.propose(now, 0, b"x" * size, size * len(host.ends) + replica.last)
    sent = [one for one in host.pull(replica, now) if one.to == "b" and one.entries]
    assert [[len(entry.data) for entry in one.entries] for one in sent] == [[400, 400], [400], [5000], [5000]]


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_what_was_lost_is_sent_again_from_where_it_fits(lost):
    replica, host, now = leading(most_entries=1)
    for ticket in range(3):
        replica.propose(now, 0, b"{}", ticket)
    host.pull(replica, now)
    ack(replica, now, "b", fits=False, match=1 + lost)
    sent = [one for one in host.pull(replica, now) if one.to == "b"]
    assert [(one.prev_index, len(one.entries)) for one in sent] == [(1 + lost, 1)]


def test_a_dead_peer_is_asked_more_and_more_seldom_and_at_once_when_it_is_back():
    replica, host, now = leading()
    gaps, last, to_b = [], now, 0
    for at in range(1, 20_000):
        moment = now + at * 10 * MS
        if at % 10 == 0:
            ack(replica, moment, "b")
        for sent in host.pull(replica, moment):
            to_b += sent.to == "b"
            if sent.to == "c":
                gaps.append(moment - last)
                last = moment
    assert max(gaps[:5]) <= 2 * BEAT
    assert 8 * BEAT < max(gaps) <= 16 * BEAT * 2
    assert len(gaps) < to_b / 5
    replica.receive(moment, canvass("c", term=1, early=True))
    assert "c" in [sent.to for sent in host.pull(replica, moment)]


def test_a_leader_that_no_majority_answers_steps_down():
    replica, host, now = leading()
    replica.propose(now, 0, b"{}", "t")
    stepped = now
    while replica.role == r.LEADER:
        stepped += BEAT
        host.pull(replica, stepped)
    assert ELECTION < stepped - now <= ELECTION + 2 * BEAT
    assert (replica.leader, host.ends) == ("", {"t": r.UNKNOWN})


def test_a_leader_whose_disk_does_not_answer_gives_up():
    replica, host, now = leading()
    replica.propose(now, 0, b"{}", "t")
    at = 0
    while replica.role == r.LEADER:
        ack(replica, now + at * BEAT, "b")
        host.pull(replica, now + at * BEAT, sync=False)
        at += 1
    assert 2 * ELECTION < (at - 1) * BEAT <= 3 * ELECTION
    assert replica.counts["stepped down: slow disk"] == 1


def test_nothing_is_applied_that_the_disk_was_not_given():
    """Else a snapshot could reach the disk before entries that it stands for."""
    replica, host, now = leading()
    for ticket in range(9):
        replica.propose(now, 0, b"{}", ticket)
        host.pull(replica, now, sync=False)
    assert (len(host.writes), replica.pending_writes.submitted) == (4, 6)
    ack(replica, now, "b")
    ack(replica, now, "c")
    host.pull(replica, now, sync=False)
    assert (replica.committed, replica.applied, len(host.ends)) == (11, 6, 4)
    host.pull(replica, now)
    assert (replica.applied, len(host.ends)) == (11, 9)


# ---- bounds and refusals


@pytest.mark.parametrize("call", ["propose", "read", "change"])
def test_who_does_not_lead_refuses_and_names_the_leader(call):
    replica, refused = made(), []
    heard(replica, append())
    ask(replica, NOW, call, "t")
    host = Host()
    host.refuse = lambda ticket, outcome, leader: refused.append((ticket, outcome, leader))
    host.pull(replica, NOW)
    assert refused == [("t", r.NOT_DONE, "b")]


def ask(replica, now, call, ticket):
    if call == "propose":
        replica.propose(now, 0, b"{}", ticket)
    elif call == "read":
        replica.read(now, ticket)
    else:
        replica.change_members(now, seats("abcd", "d"), ticket)


@pytest.mark.parametrize("call, bound", [("propose", {"uncommitted": 5}), ("read", {"waiting": 5})])
def test_past_a_bound_calls_are_not_done(call, bound):
    replica, host, now = leading(**bound)
    for ticket in range(9):
        ask(replica, now, call, ticket)
    host.pull(replica, now)
    assert host.ends == dict.fromkeys(range(5, 9), r.NOT_DONE)
    ack(replica, now, "b")
    host.pull(replica, now)
    assert len(host.ends) == 9
    ask(replica, now, call, "more")
    host.pull(replica, now)
    assert "more" not in host.ends


def test_bytes_that_wait_are_bounded_as_well():
    replica, host, now = leading(most_bytes=1000)
    for ticket in range(70):
        replica.propose(now, 0, b"x" * 1000, ticket)
    host.pull(replica, now)
    assert host.ends == dict.fromkeys(range(64, 70), r.NOT_DONE)


def test_entries_in_memory_are_all_after_the_snapshot_and_some_behind():
    replica, host, now = leading(keep=10)
    for at in range(100):
        replica.propose(now, 0, b"{}", at)
    for _ in range(10):
        host.pull(replica, now)
        ack(replica, now, "b")
        ack(replica, now, "c")
    host.pull(replica, now)
    assert replica.applied == 102
    replica.compacted(now, r.SnapshotBase(90, 2, seats()))
    assert (replica.log.first, replica.last, replica.base.index) == (81, 102, 90)
    assert replica.log.term(80) == 2
    assert replica.log.term(79) is None


# ---- reads


def test_a_read_waits_for_an_entry_of_the_own_term_and_for_a_round():
    replica, host = made(), Host()
    now = elected(replica, host)
    replica.read(now, "read")
    host.pull(replica, now)
    ack(replica, now, "b", match=1)
    host.pull(replica, now)
    assert host.ends == {}
    ack(replica, now, "b")
    sent = host.pull(replica, now)
    assert host.ends == {}
    assert {one.to for one in sent if one.round == replica.leader_state.round} == {"b", "c"}
    ack(replica, now, "c", round=replica.leader_state.round - 1)
    host.pull(replica, now)
    assert host.ends == {}
    ack(replica, now, "c")
    host.pull(replica, now)
    assert host.ends == {"read": "readable"}


def test_a_misfit_answers_the_round_too_and_a_learners_answer_does_not():
    replica, host, now = leading(names="abcd", learners="d")
    replica.read(now, "read")
    host.pull(replica, now)
    ack(replica, now, "d")
    host.pull(replica, now)
    assert host.ends == {}
    ack(replica, now, "b", fits=False)
    host.pull(replica, now)
    assert host.ends == {"read": "readable"}


def test_reads_share_rounds():
    replica, host, now = leading()
    before = replica.leader_state.round
    for ticket in range(500):
        replica.read(now, ticket)
        host.pull(replica, now)
    for _ in range(2):
        ack(replica, now, "b")
        host.pull(replica, now)
    assert host.ends == dict.fromkeys(range(500), "readable")
    assert replica.leader_state.round == before + 2


def test_a_lone_voter_serves_reads_once_an_entry_of_its_term_is_committed():
    replica, host = made(names="a"), Host()
    now = silence(replica, host, sync=False)
    replica.written(now, host.writes.pop().number)
    replica.read(now, "read")
    host.pull(replica, now, sync=False)
    assert host.ends == {}
    host.pull(replica, now)
    assert host.ends == {"read": "readable"}


def test_a_deposed_leader_serves_no_read():
    net = Net()
    old = net.lead()
    net.cut_off(old.name)
    old.read(net.now, "stale")
    net.propose("t", net[next(name for name in "abc" if net.lead() and name != old.name)])
    net.run(lambda: net.leader() not in (None, old.name))
    net.propose("new")
    net.run(lambda: "new" in net.ends and "stale" in net.ends)
    assert net.ends["stale"] == r.NOT_DONE
    assert isinstance(net.ends["new"], int)


@pytest.mark.parametrize("seed", range(3))
def test_a_read_shows_what_was_acknowledged_before_it_was_asked_for(seed):
    net = Net(seed=seed)
    net.lead()
    for at in range(30):
        net.propose(("write", at))
        net.run(lambda at=at: ("write", at) in net.ends)
        net.lead().read(net.now, ("read", at))
        net.run(lambda at=at: ("read", at) in net.ends)
        assert net.ends["read", at][1] >= net.ends["write", at]


# ---- stalls


def test_a_leader_that_stalled_steps_down_before_anything_else():
    replica, host, now = leading()
    replica.propose(now, 0, b"{}", "t")
    replica.read(now, "read")
    host.pull(replica, now)
    later = now + ELECTION + 1
    ack(replica, later, "b")
    host.pull(replica, later)
    assert (replica.role, host.ends) == (r.FOLLOWER, {"t": r.UNKNOWN, "read": r.NOT_DONE})


def test_a_follower_that_stalled_listens_for_an_election_time_first():
    replica, host = made(), Host()
    heard(replica, append())
    later = NOW + 5 * ELECTION
    assert host.pull(replica, later) == []
    assert replica.role == r.FOLLOWER
    assert replica.election_deadline >= later + ELECTION


def test_asked_again_by_wake_at_alone_nobody_takes_itself_for_stalled():
    replica, host = made(), Host()
    now = NOW
    for _ in range(50):
        host.pull(replica, now)
        assert now < replica.wake_at() <= now + ELECTION // 2
        now = replica.wake_at()
    assert "stalled" not in replica.counts
    assert replica.counts["stood"] > 1


# ---- a disk that fails


def test_a_failed_disk_ends_leadership_votes_and_acknowledgements():
    replica, host, now = leading()
    replica.propose(now, 0, b"{}", "t")
    replica.read(now, "read")
    host.pull(replica, now, sync=False)
    replica.disk_failed(now, "no space")
    replica.propose(now, 0, b"{}", "later")
    host.pull(replica, now)
    assert host.ends == {"t": r.UNKNOWN, "read": r.NOT_DONE, "later": r.NOT_DONE}
    for sent in (canvass("b", term=9), canvass("b", early=True, term=9), append(terms=[9], term=9)):
        assert heard(replica, sent, now, host) == []
    replica.written(now, 99)
    for at in range(1, 10):
        assert host.pull(replica, now + at * ELECTION // 2) == []
    assert (replica.role, replica.failed, replica.leader) == (r.FOLLOWER, "no space", "b")


@pytest.mark.parametrize("sent", [canvass(), append(terms=[1], round=1)])
def test_what_waited_for_the_disk_is_never_sent_after_it_failed(sent):
    replica, host = made(), Host()
    replica.receive(NOW, sent)
    host.pull(replica, NOW, sync=False)
    replica.disk_failed(NOW, "EIO")
    replica.written(NOW, 1)
    assert host.pull(replica, NOW) == []


# ---- members


@pytest.mark.parametrize(
    "after, allowed",
    [
        (seats("abcd", "d"), True),
        (seats("ab"), True),
        ({**seats(), "c": r.ConfiguredMember("127.0.0.1:9", "folder-c")}, True),
        (seats("abcd"), False),  # a vote at once
        (seats("abcde", "de"), False),
        (seats("abd", "d"), False),
        (seats("abc", "c"), False),
        ({**seats(), "c": r.ConfiguredMember("127.0.0.1:99", "other")}, False),
        ({**seats(), "d": r.ConfiguredMember("127.0.0.1:9", "folder-c", False)}, False),
        (seats(), False),
        ({}, False),
    ],
)
def test_which_changes_of_members_are_one_apart(after, allowed):
    assert one_apart(seats(), after) is allowed


def test_the_last_voter_stays():
    assert not one_apart(seats("ab", "b"), seats("b", "b"))


@pytest.mark.parametrize("state", ["before one of its term", "another under way", "handing over", "open"])
def test_when_members_may_be_changed(state):
    replica, host = made(), Host()
    now = elected(replica, host)
    if state != "before one of its term":
        ack(replica, now, "b")
        ack(replica, now, "c")
    more = "d"
    if state == "another under way":
        replica.change_members(now, seats("abcd", "d"), "first")
        more = "de"
    if state == "handing over":
        replica.hand_over(now)
    replica.change_members(now, seats("abc" + more, more), "t")
    host.pull(replica, now)
    if state == "open":
        assert replica.members == seats("abcd", "d")  # effective when appended
        ack(replica, now, "b")
        host.pull(replica, now)
    assert host.ends["t"] == (3 if state == "open" else r.NOT_DONE)


def test_members_are_taken_back_with_the_entry_that_named_them():
    replica = made(log=[members_entry(2, 1, seats("abcd", "d")), members_entry(3, 1, seats("abcd"))])
    assert (len(replica.voters), replica.members_at(2)) == (4, seats("abcd", "d"))
    heard(replica, append(terms=[2], term=2))
    assert replica.members == seats()


def test_a_learner_that_has_caught_up_gets_its_vote():
    net = Net()
    net.lead()
    for at in range(50):
        net.propose(at)
    net.add("d")
    net.lead().change_members(net.now, seats("abcd", "d"), "add")
    net.run(lambda: net["d"].role == r.FOLLOWER)
    assert net.ends["add"]
    net.run(lambda: net.lead().members == seats("abcd") and net.same())


def test_a_learner_that_does_not_answer_gets_none_and_may_be_removed():
    net = Net()
    net.lead().change_members(net.now, seats("abcd", "d"), "add")
    net.pause(3000)
    assert net.lead().members == seats("abcd", "d")
    net.lead().change_members(net.now, seats(), "remove")
    net.run(lambda: "remove" in net.ends)
    assert isinstance(net.ends["remove"], int)


def test_a_leader_that_is_removed_leads_until_that_is_committed():
    replica, host, now = leading()
    replica.change_members(now, seats("bc"), "t")
    host.pull(replica, now)
    ack(replica, now, "b")
    host.pull(replica, now)
    assert (replica.role, host.ends) == (r.LEADER, {})  # its own disk does not count
    ack(replica, now, "c")
    sent = host.pull(replica, now)
    assert (replica.role, host.ends) == (r.LEARNER, {"t": 3})
    assert r.TimeoutNow in map(type, sent)


def test_after_its_leader_is_removed_a_cluster_goes_on_and_the_removed_one_does_not_disturb():
    net = Net("abcd")
    old = net.lead()
    rest = "".join(name for name in "abcd" if name != old.name)
    old.change_members(net.now, seats(rest), "t")
    net.run(lambda: net.leader() not in (None, old.name), within=ELECTION // MS)
    term = net.lead().term
    net.pause(6000)
    assert (net.lead().term, old.role) == (term, r.LEARNER)


def test_one_whose_removal_is_not_committed_may_still_have_to_lead():
    replica = made(log=[members_entry(2, 1, seats("bc"))])
    assert (replica.role, replica.may_stand()) == (r.FOLLOWER, True)
    heard(replica, append((2, 1), committed=2))
    assert (replica.role, replica.may_stand()) == (r.LEARNER, False)


# ---- hand-over


@pytest.mark.parametrize("to", ["", "named"])
def test_leadership_is_handed_over_within_a_few_messages(to):
    net = Net()
    old = net.lead()
    to = to and next(name for name in "abc" if name != old.name)
    started = net.now
    for at in range(20):
        net.propose(at, old)
    old.hand_over(net.now, to)
    net.run(lambda: net.leader() not in (None, old.name), within=200)
    assert to in ("", net.leader())
    assert all(isinstance(net.ends[at], int) for at in range(20))
    assert net.now - started < ELECTION // 4


def test_a_hand_over_that_comes_to_nothing_ends_after_an_election_time():
    replica, host, now = leading()
    replica.hand_over(now, "b")
    replica.propose(now, 0, b"{}", "meanwhile")
    assert r.TimeoutNow in map(type, host.pull(replica, now))
    for at in range(1, 9):
        ack(replica, now + at * BEAT, "c")
        host.pull(replica, now + at * BEAT)
    replica.propose(now + 8 * BEAT, 0, b"{}", "after")
    host.pull(replica, now + 8 * BEAT)
    ack(replica, now + 8 * BEAT, "c")
    host.pull(replica, now + 8 * BEAT)
    assert (host.ends["meanwhile"], replica.role) == (r.NOT_DONE, r.LEADER)
    assert isinstance(host.ends["after"], int)


@pytest.mark.parametrize("to", ["d", "a", "nobody"])
def test_nothing_is_handed_to_who_has_no_vote_or_already_leads(to):
    replica, host, now = leading(names="abcd", learners="d")
    replica.hand_over(now, to)
    assert replica.leader_state.transfer is None


def test_only_the_leader_that_is_known_may_hand_over():
    replica = made()
    heard(replica, append(sender="b"))
    heard(replica, said(r.TimeoutNow, "c"))
    assert replica.role == r.FOLLOWER
    heard(replica, said(r.TimeoutNow, "b"))
    assert (replica.role, replica.term) == (r.CANDIDATE, 2)


# ---- snapshots


BASE = r.SnapshotBase(50, 3, seats("abc"), 77)


def part(offset=0, data=b"12345", last=False, base=BASE, term=3, sender="b"):
    return said(r.SnapshotChunk, sender, term=term, base=base, offset=offset, data=data, last=last)


def test_a_snapshot_is_taken_in_order_and_is_in_force_once_written():
    replica, host = made(terms=[1, 2]), Host()
    asked = []
    for offset, last in [(0, False), (5, False), (5, False), (0, False), (20, False), (10, True)]:
        asked += [one.offset for one in heard(replica, part(offset, last=last), host=host, sync=False)]
        replica.written(NOW, 1)
    assert [one.offset for one in host.parts] == [0, 5, 10]
    assert asked == [5, 10, 10, 10, 10]
    (write,) = [write for write in host.writes if write.base]
    assert (write.base, write.cut, replica.committed) == (BASE, 51, 1)
    replica.written(NOW, write.number)
    assert (replica.committed, replica.last, replica.base, replica.log.moment) == (50, 50, BASE, 77)
    done = host.pull(replica, NOW)
    assert [(one.fits, one.match) for one in done if type(one) is r.AppendResponse] == [(True, 50)]
    assert heard(replica, part(10, last=True), host=host)[0].done
    heard(replica, append((50, 3), terms=[3], term=3, committed=51), host=host)
    assert [one.index for one in host.applied] == [51]


def test_while_a_snapshot_is_on_its_way_to_disk_nothing_is_appended_and_nobody_stands():
    replica, host = made(terms=[1, 2], term=3), Host()
    heard(replica, part(last=True), host=host, sync=False)
    (answer,) = heard(replica, append((3, 2), terms=[3], term=3, round=1), host=host, sync=False)
    assert (answer.fits, replica.last) == (False, 3)
    heard(replica, said(r.TimeoutNow, "b", term=3), host=host, sync=False)
    assert replica.role == r.FOLLOWER


@pytest.mark.parametrize("fits", [True, False])
def test_entries_after_a_snapshot_stay_where_they_follow_on_it(fits):
    replica, host = made(terms=[1] * 10), Host()
    heard(replica, part(last=True, base=r.SnapshotBase(5, 1 if fits else 2, seats())), host=host)
    assert (replica.last, replica.log.memberships) == (11 if fits else 5, [(5, seats())])


@pytest.mark.parametrize(
    "second, offsets, wanted",
    [
        (part(0, base=r.SnapshotBase(60, 3, seats())), [0, 0], 5),  # a newer one drops what was begun
        (part(5, base=r.SnapshotBase(60, 3, seats())), [0], 0),
        (part(0, base=r.SnapshotBase(40, 3, seats())), [0], None),  # a late piece of an older one
        (part(5, term=4, sender="c"), [0], 0),  # another leader's bytes
    ],
)
def test_a_snapshot_under_way_and_another(second, offsets, wanted):
    replica, host = made(), Host()
    heard(replica, part(), host=host)
    sent = heard(replica, second, host=host)
    assert [one.offset for one in host.parts] == offsets
    assert [one.offset for one in sent] == ([] if wanted is None else [wanted])


@pytest.mark.parametrize(
    "base",
    [
        r.SnapshotBase(),
        r.SnapshotBase(-5, 1, seats()),
        r.SnapshotBase(9, 99, seats()),
        r.SnapshotBase(9, 1, {}),
        r.SnapshotBase(1 << 70, 1),
    ],
)
def test_garbled_snapshots_are_dropped(base):
    replica, host = made(), Host()
    assert heard(replica, part(last=True, base=base), host=host) == []
    assert (host.parts, replica.counts) == ([], {"garbled": 1})


def lagging(net, at=300):
    """Cuts a follower off while so many entries are committed and compacted away; its name."""
    late = next(name for name in net.members if name != net.lead().name)
    net.cut_off(late)
    for ticket in range(at):
        net.propose(("lag", ticket))
        if ticket % 50 == 49:
            net.run(lambda ticket=ticket: ("lag", ticket) in net.ends)
    for member in net.members.values():
        if member.name != late:
            member.compact()
    return late


@pytest.mark.parametrize("lost, twice", [(0, 0), (0.2, 0.2), (0.3, 0)])
@pytest.mark.parametrize("seed", range(2))
def test_a_member_past_the_logs_start_gets_a_snapshot_in_pieces(seed, lost, twice):
    net = Net(seed=seed, keep=5)
    late = lagging(net)
    net.cuts, net.lost, net.twice, net.delay = set(), lost, twice, 30 * MS
    net.run(lambda: net[late].base.index >= 300)
    assert sum(type(one) is r.SnapshotChunk and one.to == late for one in net.log) >= 4
    net.lost = 0
    net.run(net.same)


@pytest.mark.parametrize("waits", [True, False])
def test_newer_snapshots_that_wait_let_a_transfer_end_under_load(waits):
    """Others begin it anew; the end comes with the load's then."""
    net = Net(keep=5, delay=10 * MS)
    late = lagging(net)
    net.cuts = set()
    for at in range(40):
        net.propose(at)
        net.pause(5)
        if not (waits and net.lead().sends_snapshot()):
            net.members[net.lead().name].compact()
    bases = {one.base.index for one in net.log if type(one) is r.SnapshotChunk and one.to == late}
    assert len(bases) == 1 if waits else len(bases) > 3
    net.run(net.same)
    assert net[late].base.index >= 300


def test_entries_that_a_peer_which_answers_lacks_are_kept_longer():
    replica, host, now = leading(keep=5)
    for at in range(60):
        replica.propose(now, 0, b"{}", at)
    host.pull(replica, now)
    for match in (62, 20):
        ack(replica, now, "b", match=match)
    ack(replica, now, "c", match=30)
    host.pull(replica, now)
    replica.compacted(now, r.SnapshotBase(60, 2, seats()))
    assert replica.log.first == 31
    for at in range(40):
        replica.propose(now, 0, b"{}", 100 + at)
    host.pull(replica, now)
    ack(replica, now, "b")
    host.pull(replica, now)
    replica.compacted(now, r.SnapshotBase(100, 2, seats()))
    assert replica.log.first == 100 - 8 * 5 + 1  # but not without end


def test_a_new_member_gets_the_snapshot_and_then_its_vote():
    net = Net(keep=5)
    lagging(net)
    net.cuts = set()
    net.add("d")
    net.lead().change_members(net.now, seats("abcd", "d"), "add")
    net.run(lambda: net["d"].role == r.FOLLOWER and net.same())


# ---- a few of them, with faults


def test_a_cut_off_member_does_not_disturb_when_it_is_back():
    net = Net()
    leader = net.lead()
    late = next(name for name in "abc" if name != leader.name)
    net.cut_off(late)
    net.pause(10_000)
    assert (net[late].role, net[late].term) == (r.CANDIDATE, leader.term)
    net.cuts = set()
    net.run(lambda: net[late].role == r.FOLLOWER)
    net.pause(3000)
    assert (net.lead(), leader.term) == (leader, net[late].term)


@pytest.mark.parametrize("names", ["abc", "abcde"])
def test_split_votes_come_to_an_end(names):
    """All stand at the same moment, again and again, until chance parts them."""
    net = Net(names, seed=3)
    for member in net.members.values():
        member.replica.election_deadline = NOW + 5 * MS
    net.run(net.leader, within=10_000)
    assert sum(member.replica.counts.get("stood", 0) for member in net.members.values()) >= len(names)


def test_a_leader_that_is_heard_by_nobody_is_replaced_though_it_hears_all():
    net = Net()
    old = net.lead()
    net.cuts = {(old.name, other) for other in "abc"}
    net.run(lambda: net.leader() not in (None, old.name), within=5000)
    net.run(lambda: old.role != r.LEADER)


def test_a_member_with_a_newer_term_is_taken_in_again():
    net = Net()
    leader = net.lead()
    late = next(name for name in "abc" if name != leader.name)
    net.members[late].kill()
    net.members[late].disk.term += 5
    net.members[late].start()
    net.run(
        lambda: net.leader() and net.lead().term > leader.leader_state.term if leader.leader_state else True
    )
    net.run(lambda: net.leader() and net.same())


@pytest.mark.parametrize("frozen", ["leader", "follower"])
def test_a_frozen_member_takes_its_place_again(frozen):
    net = Net()
    leader = net.lead()
    name = leader.name if frozen == "leader" else next(one for one in "abc" if one != leader.name)
    net.propose("before")
    net.members[name].frozen = True
    net.pause(4000)
    net.propose("after")
    net.run(lambda: "after" in net.ends)
    term = net.lead().term
    net.members[name].frozen = False
    net.run(net.same)
    assert net.lead().term == term
    assert "before" in net.ends


@pytest.mark.parametrize("seed", range(12 * LONG))
def test_nothing_acknowledged_is_lost_whatever_is_lost_cut_or_killed(seed):
    """The network holds that no two leaders share a term and no index is committed twice."""
    names = "abcde" if seed % 3 == 0 else "abc"
    net = Net(names, seed=seed, keep=20)
    net.lost, net.twice, net.delay, net.disk = 0.05, 0.05, 20 * MS, 30 * MS
    chance = net.chance
    for at in range(60):
        for _ in range(chance.randrange(5)):
            if leader := net.leader():
                net.propose((at, len(net.ends), net.now, chance.random()), net[leader])
        member = net.members[chance.choice(names)]
        what = chance.randrange(7)
        if what == 0:
            member.kill()
        elif what == 1:
            member.frozen = True
        elif what == 2:
            net.cut_off(member.name)
        elif what == 3:
            net.cuts = set()
        elif what == 4 and member.up:
            member.compact()
        elif what == 5 and member.up:
            member.replica.hand_over(net.now)
        net.pause(chance.randrange(20, 400))
        for other in net.members.values():
            if chance.random() < 0.5:
                other.frozen = False
                if not other.up:
                    other.start()
    net.cuts, net.lost = set(), 0
    for other in net.members.values():
        other.frozen = False
        if not other.up:
            other.start()
    net.done("last")
    net.run(lambda: net.leader() and net.same())
    data = {repr(ticket).encode(): how for ticket, how in net.ends.items()}
    held = {one.data: index for index, one in net.history.items() if one.what == r.COMMAND}
    assert {one: how for one, how in data.items() if isinstance(how, int)}.items() <= held.items()
    assert not {one for one, how in data.items() if how == r.NOT_DONE} & held.keys()


# ---- garbled fields


far = st.sampled_from([1 << 31, (1 << 62) - 1, 1 << 62, 1 << 64, -(1 << 63)])
numbers = st.one_of(st.integers(-3, 12), far)
names = st.sampled_from(["a", "b", "c", "d", "z", ""])
bytes_ = st.one_of(st.binary(max_size=20), st.just(msgspec.json.encode(seats("abcd", "d"))))
any_entry = st.builds(r.Entry, numbers, numbers, st.integers(-1, 3), numbers, numbers, bytes_)
bases = st.builds(r.SnapshotBase, numbers, numbers, st.sampled_from([{}, seats(), seats("bcd")]), numbers)
some_entries = st.one_of(
    st.lists(any_entry, max_size=4),
    st.builds(lambda terms, start: entries(terms, start), st.lists(st.integers(1, 5), max_size=5), numbers),
)
terms = st.one_of(st.integers(0, 6), numbers)


def messages(kind, **fields):
    return st.builds(
        lambda sender, term, more: said(kind, sender, term=term, **more),
        names, terms, st.fixed_dictionaries(fields),
    )  # fmt: skip


any_message = st.one_of(
    messages(r.VoteRequest, last_index=numbers, last_term=numbers, early=st.booleans(), handed=st.booleans()),
    messages(r.VoteResponse, given=st.booleans(), early=st.booleans()),
    messages(
        r.AppendEntries,
        prev_index=numbers,
        prev_term=numbers,
        entries=some_entries,
        committed=numbers,
        round=numbers,
    ),
    messages(r.AppendResponse, fits=st.booleans(), match=numbers, round=numbers),
    messages(r.SnapshotChunk, base=bases, offset=numbers, data=bytes_, last=st.booleans(), round=numbers),
    messages(r.SnapshotChunkResponse, base_index=numbers, offset=numbers, done=st.booleans(), round=numbers),
    messages(r.TimeoutNow),
)


@HEAVY
@given(st.lists(any_message, max_size=25), st.booleans(), st.lists(st.integers(1, 3), max_size=6))
def test_no_message_makes_it_raise_or_undo_what_it_applied(sent, leads, held):
    replica, host = made(terms=sorted(held)), Host()
    now = elected(replica, host) if leads else NOW
    for at, one in enumerate(sent):
        before, term, voted = list(host.applied), replica.term, replica.voted
        replica.receive(now + at * MS, one)
        host.pull(replica, now + at * MS)
        assert replica.term >= term
        assert replica.term > term or voted in ("", replica.voted)
        assert host.applied[: len(before)] == before
        assert replica.committed <= replica.last
        assert replica.applied <= replica.committed
        assert replica.pending_writes.on_disk <= replica.last
        assert [one.index for one in replica.log.entries] == list(range(replica.log.first, replica.last + 1))
        assert replica.log.memberships[0][0] <= replica.applied
        assert replica.wake_at() > now + at * MS


@HEAVY
@given(st.lists(st.integers(1, 4), max_size=12).map(sorted), st.integers(2, 14), st.integers(0, 14))
def test_the_log_knows_its_terms_through_cuts_and_drops(held, cut, drop):
    log, base = Log(r.SnapshotBase(1, 1, seats()), entries(held)), 1
    base = min(drop, log.last)
    log.discard_through(base, r.SnapshotBase(base, 1, seats()))
    if log.first <= cut <= log.last:
        log.truncate(cut)
    log.extend(entries([9, 9], log.last + 1))
    kept = [*held[: log.last - 3], 9, 9]
    for index in range(log.first, log.last + 1):
        assert log.term(index) == kept[index - 2]
        start = log.term_run_start(index)
        run = [log.term(other) for other in range(start, index + 1)]
        assert set(run) == {log.term(index)}
        assert start == log.first or log.term(start - 1) != log.term(index)
    assert log.last_term == 9


def test_messages_pass_through_msgspec():
    sent = append(terms=[1, 1], committed=1, round=4)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=r.PeerMessage) == sent
