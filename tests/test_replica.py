"""Tests of the replication core: single replicas in each state, and clusters on a simulated network."""

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
    elect,
    entries,
    entry,
    new_replica,
    members_entry,
    message,
    members_of,
    replica_config,
)

from lemonlead.ledger import records as r
from lemonlead.ledger.leader import is_single_member_change
from lemonlead.ledger.log import MAX_WRITES_IN_FLIGHT, Log
from lemonlead.ledger.replica import Replica

LONG = int(os.environ.get("LEMONLEAD_LONG", "1"))  # factor for the number of random examples and schedules
HEAVY = settings(
    max_examples=150 * LONG, deadline=None, suppress_health_check=list(HealthCheck), derandomize=LONG == 1
)


def vote_request(sender="b", term=2, last=(1, 1), **more):
    return message(r.VoteRequest, sender, term=term, last_term=last[0], last_index=last[1], **more)


def append_entries(prev=(1, 1), terms=(), term=1, committed=0, round=0, sender="b", log=None):
    log = entries(terms, prev[0] + 1) if log is None else log
    return message(
        r.AppendEntries, sender, term=term, prev_index=prev[0], prev_term=prev[1], entries=log,
        committed=committed, round=round,
    )  # fmt: skip


def receive(replica, sent, now=NOW, host=None, sync=True):
    """Delivers a message and returns what the replica sends."""
    host = host or Host()
    replica.receive(now, sent)
    return host.decide_all(replica, now, sync)


# ---- votes


def test_a_vote_response_waits_until_the_vote_is_on_disk():
    replica, host = new_replica(), Host()
    assert receive(replica, vote_request(), host=host, sync=False) == []
    (write,) = host.writes
    assert (write.term, write.voted) == (2, "b")
    replica.written(NOW, write.number)
    (vote_response,) = host.decide_all(replica, NOW)
    assert (vote_response.to, vote_response.term, vote_response.given) == ("b", 2, True)


def test_a_vote_in_a_stored_term_also_waits_for_the_disk():
    replica, host = new_replica(term=2), Host()
    assert receive(replica, vote_request(), host=host, sync=False) == []
    replica.written(NOW, host.writes[0].number)
    assert [one.given for one in host.decide_all(replica, NOW)] == [True]


@pytest.mark.parametrize(
    "second, given",
    [(vote_request("c"), False), (vote_request("b"), True), (vote_request("c", term=3), True)],
)
@pytest.mark.parametrize("restarted", [False, True])
def test_one_vote_per_term(second, given, restarted):
    replica = new_replica(term=2, voted="b") if restarted else new_replica()
    if not restarted:
        assert receive(replica, vote_request("b"))[0].given
    assert [one.given for one in receive(replica, second)] == [given]


@pytest.mark.parametrize(
    "sent, given",
    [
        (vote_request(last=(2, 3)), True),
        (vote_request(last=(2, 9)), True),
        (vote_request(last=(3, 2)), True),
        (vote_request(last=(2, 2)), False),
        (vote_request(last=(1, 9)), False),
        (vote_request(term=1, last=(2, 9)), False),
    ],
)
@pytest.mark.parametrize("early", [False, True])
def test_a_vote_requires_an_up_to_date_log(sent, given, early):
    replica = new_replica(terms=[1, 2], term=2)
    responses = receive(replica, msgspec.structs.replace(sent, early=early))
    assert [(one.given, one.early) for one in responses] == [(given, early)]


@pytest.mark.parametrize("early, handed, votes", [(True, False, 0), (False, False, 0), (False, True, 1)])
def test_an_active_leader_blocks_votes_except_for_a_transfer(early, handed, votes):
    replica = new_replica()
    receive(replica, append_entries(sender="c"))
    sent = receive(replica, vote_request("b", term=2, early=early, handed=handed), NOW + ELECTION - 1)
    assert sum(one.given for one in sent) == votes
    assert replica.term == 1 + votes
    later = receive(new_replica(), vote_request("b"), NOW + ELECTION)
    assert later[0].given


def test_a_pre_vote_changes_no_term_and_writes_nothing():
    replica, host = new_replica(), Host()
    assert receive(replica, vote_request(term=7, early=True), host=host, sync=False)[0].given
    assert (replica.term, replica.voted, host.writes) == (1, "", [])


def run_until_candidate(replica, host, sync=True):
    """Advances time until the replica becomes a candidate; returns that time."""
    now = replica.now
    while replica.role == r.FOLLOWER:
        now = min(now + ELECTION // 2, max(replica.election_deadline, now + 1))
        host.decide_all(replica, now, sync)
    return now


def test_election_timeout_starts_a_pre_vote():
    replica, host = new_replica(), Host()
    now = run_until_candidate(replica, host)
    assert ELECTION <= now - NOW <= 2 * ELECTION
    assert [(one.to, one.term, one.early) for one in host.sent] == [("b", 1, True), ("c", 1, True)]
    assert replica.term == 1


def test_term_and_own_vote_are_stored_before_the_election():
    replica, host = new_replica(), Host()
    now = run_until_candidate(replica, host)
    assert receive(replica, message(r.VoteResponse, "b", given=True, early=True), now, host, sync=False) == []
    (write,) = host.writes
    assert (write.term, write.voted, replica.term) == (2, "a", 2)
    replica.receive(now, message(r.VoteResponse, "b", term=2, given=True))
    assert replica.role == r.CANDIDATE
    replica.written(now, write.number)
    assert replica.role == r.LEADER
    host.decide_all(replica, now, sync=False)
    assert {one.term for one in host.sent} == {2}


@pytest.mark.parametrize(
    "vote_response",
    [
        message(r.VoteResponse, "b", term=2, given=False),
        message(r.VoteResponse, "b", term=1, given=True),
        message(r.VoteResponse, "d", term=2, given=True),
        message(r.VoteResponse, "z", term=2, given=True),
        message(r.VoteResponse, "b", term=2, given=True, early=True),
    ],
)
def test_vote_responses_that_do_not_count(vote_response):
    replica, host = new_replica(names="abcd", learners="d"), Host()
    now = run_until_candidate(replica, host)
    replica.receive(now, message(r.VoteResponse, "b", given=True, early=True))
    replica.receive(now, message(r.VoteResponse, "c", given=True, early=True))
    host.decide_all(replica, now)
    replica.receive(now, vote_response)
    assert (replica.role, replica.term) == (r.CANDIDATE, 2)


def test_a_single_voter_leads_once_its_vote_is_on_disk():
    replica, host = new_replica(names="a"), Host()
    run_until_candidate(replica, host, sync=False)
    assert (replica.role, [write.voted for write in host.writes]) == (r.CANDIDATE, ["a"])
    replica.written(replica.now, 1)
    assert replica.role == r.LEADER


@pytest.mark.parametrize("names, learners", [("abc", "a"), ("bc", ""), ("", "")])
def test_a_member_without_a_vote_never_stands(names, learners):
    replica, host = new_replica(names=names, learners=learners), Host()
    for at in range(1, 20):
        assert host.decide_all(replica, NOW + at * ELECTION // 2) == []
    assert replica.role == r.LEARNER


def test_a_member_with_an_empty_folder_is_outside_and_gives_no_vote():
    replica = Replica(replica_config(), r.StoredState(), NOW)
    assert replica.role == r.OUTSIDE
    assert receive(replica, vote_request()) == []
    receive(replica, append_entries((0, 0), terms=[1], term=2))
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
def test_a_newer_term_makes_a_leader_step_down(kind):
    replica, host = new_replica(), Host()
    now = elect(replica, host)
    replica.propose(now, 0, b"{}", "t")
    replica.read(now, "read")
    receive(replica, message(kind, "b", term=9), now, host)
    assert (replica.role, replica.term) == (r.FOLLOWER, 9)
    assert host.results == {"t": r.UNKNOWN, "read": r.NOT_DONE}


# ---- messages for others


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
@pytest.mark.parametrize(
    "sent", [vote_request(), append_entries(terms=[2], term=2), message(r.SnapshotChunk, "b", term=2)]
)
def test_messages_for_others_change_nothing(field, value, sent):
    replica, host = new_replica(), Host()
    assert receive(replica, msgspec.structs.replace(sent, **{field: value}), host=host) == []
    assert (replica.term, replica.last, host.writes) == (1, 1, [])


def test_an_unknown_leader_is_accepted():
    replica = new_replica()
    assert receive(replica, append_entries(terms=[2], term=2, sender="z"))[-1].match == 2
    assert replica.leader == "z"


# ---- appends


def test_a_follower_acknowledges_only_entries_on_its_disk():
    replica, host = new_replica(), Host()
    first = receive(replica, append_entries(terms=[1, 1], round=1), host=host, sync=False)
    assert [one.match for one in first] == [1]  # the round is answered immediately
    assert receive(replica, append_entries((3, 1), terms=[1], round=1), host=host, sync=False) == []
    replica.written(NOW, 1)
    assert [(one.fits, one.match) for one in host.decide_all(replica, NOW, sync=False)] == [(True, 3)]
    replica.written(NOW, 2)
    assert [one.match for one in host.decide_all(replica, NOW)] == [4]


@pytest.mark.parametrize(
    "held, sent, log, cut",
    [
        ([1, 1], append_entries(terms=[1, 1]), [1, 1], None),  # a repeated message
        ([1, 1], append_entries(terms=[1]), [1, 1], None),  # a late message truncates nothing
        ([1, 1, 1], append_entries((2, 1), terms=[2], term=2), [1, 2], 3),
        ([1, 1, 1], append_entries(terms=[2, 2, 2, 2], term=2), [2, 2, 2, 2], 2),
        ([1], append_entries((2, 1), terms=[1, 2], term=2), [1, 1, 2], None),
    ],
)
def test_a_conflicting_tail_is_truncated(held, sent, log, cut):
    replica, host = new_replica(terms=held), Host()
    receive(replica, sent, host=host, sync=False)
    assert [one.term for one in replica.log.entries] == log
    assert [write.cut for write in host.writes if write.entries] in ([cut], [])


@pytest.mark.parametrize(
    "held, sent, hint",
    [
        ([1], append_entries((5, 1)), 2),
        ([1, 1, 2, 2, 2], append_entries((5, 3), term=3), 3),  # skips the whole run of a term
        ([2, 2], append_entries((3, 1), term=3), 1),
    ],
)
def test_a_mismatch_response_has_the_next_index_to_try(held, sent, hint):
    (answer,) = receive(new_replica(terms=held), sent)
    assert (answer.fits, answer.match) == (False, hint)


@pytest.mark.parametrize(
    "sent",
    [
        append_entries(terms=[2], term=2),  # would undo a committed entry
        append_entries((3, 2), term=2),
        append_entries((-1, 0)),
        append_entries((3, 1), log=[entry(5, 1)]),
        append_entries((3, 1), log=[entry(4, 0)]),
        append_entries((3, 1), log=[entry(4, 2)]),
        append_entries((3, 1), log=[entry(4, 1, what=7)]),
        append_entries((3, 1), log=[entry(4, 1, what=r.MEMBERS, data=b'{"a":')]),
        append_entries((3, 1), log=[entry(4, 1, what=r.MEMBERS, data=b"{}")]),
        append_entries((3, 1), log=[entry(4, 1, moment=1 << 63)]),
        append_entries((3, 1), terms=[1], committed=-3),
    ],
)
def test_garbled_entries_are_dropped_and_counted(sent):
    replica = new_replica()
    receive(replica, append_entries(terms=[1, 1], committed=3))
    assert receive(replica, sent) == []
    assert (replica.last, replica.committed, [one.term for one in replica.log.entries]) == (3, 3, [1, 1])
    assert replica.counts["garbled"] == 1


def test_a_follower_commits_only_entries_verified_with_the_leader():
    replica, host = new_replica(terms=[1, 1, 1]), Host()
    receive(replica, append_entries((2, 1), term=2, committed=4), host=host)
    assert (replica.committed, [one.index for one in host.applied]) == (2, [2])


def test_an_old_leader_receives_the_newer_term():
    assert [(one.term, one.fits) for one in receive(new_replica(term=5), append_entries(terms=[1]))] == [
        (5, False)
    ]


def test_a_slow_disk_limits_the_accepted_entries():
    replica, host = new_replica(), Host()
    prev = 1
    while replica.last == prev:
        receive(replica, append_entries((prev, 1), terms=[1] * 200), host=host, sync=False)
        prev += 200
    assert replica.last - replica.pending_writes.submitted <= 4096
    assert (len(host.writes), replica.counts["not taken: backlog"]) == (4, 1)
    host.decide_all(replica, NOW)
    assert replica.pending_writes.on_disk == replica.last


def test_a_follower_applies_only_entries_submitted_to_the_disk():
    """Otherwise a snapshot of that state could get to disk before the entries that it replaces."""
    replica, host = new_replica(), Host()
    for index in range(1, MAX_WRITES_IN_FLIGHT + 1):
        receive(replica, append_entries((index, 1), terms=[1]), host=host, sync=False)
    last = MAX_WRITES_IN_FLIGHT + 2
    receive(replica, append_entries((last - 1, 1), terms=[1], committed=last), host=host, sync=False)
    assert (len(host.writes), replica.committed, host.applied[-1].index) == (
        MAX_WRITES_IN_FLIGHT,
        last,
        last - 1,
    )
    replica.written(NOW, 1)
    host.decide_all(replica, NOW, sync=False)
    assert host.writes[-1].entries[-1].index == host.applied[-1].index == last


# ---- a leader commits


def test_a_leader_counts_its_own_entries_once_on_disk():
    replica, host = new_replica(), Host()
    now = elect(replica, host, sync=False)
    assert r.AppendEntries in host.kinds()  # sent before it is on its own disk
    replica.propose(now, 0, b"{}", "t")
    host.decide_all(replica, now, sync=False)
    ack(replica, now, "b")
    assert replica.committed == 1
    host.decide_all(replica, now)
    assert (replica.committed, host.results) == (3, {"t": 3})


def test_two_peers_commit_without_the_leaders_own_disk():
    replica, host = new_replica(), Host()
    now = elect(replica, host, sync=False)
    host.decide_all(replica, now, sync=False)
    ack(replica, now, "b")
    ack(replica, now, "c")
    assert (replica.committed, replica.pending_writes.on_disk) == (2, 1)


def test_older_terms_are_committed_only_through_the_own_term():
    """Figure 8 of the Raft paper (3.6.2)."""
    replica, host = new_replica(names="abcde", terms=[2], term=3), Host()
    now = elect(replica, host)
    for name in "bc":
        ack(replica, now, name, match=2)
    assert replica.committed == 1
    for name in "bc":
        ack(replica, now, name, match=3)
    assert replica.committed == 3


def test_a_learner_does_not_count_towards_a_commit():
    replica, host = new_replica(names="abcd", learners="d"), Host()
    now = elect(replica, host)
    ack(replica, now, "d")
    assert replica.committed == 1
    ack(replica, now, "b")
    assert replica.committed == 2


def test_ledger_time_continues_from_the_greatest_in_the_log():
    kept = r.StoredState(1, "", r.SnapshotBase(1, 1, members_of("a"), moment=500), [])
    replica, host = Replica(replica_config(), kept, NOW), Host()
    now = elect(replica, host)
    replica.propose(now + 7, 11, b"{}", "t")
    replica.propose(now + 9, 3, b"{}", "u")
    assert [one.moment for one in replica.log.entries] == [500, 507, 509]
    assert [one.wall_ms for one in replica.log.entries] == [0, 11, 11]


def new_leader(**more):
    """Returns a leader whose peers have acknowledged its whole log, its host and the time."""
    replica, host = new_replica(**more), Host()
    now = elect(replica, host)
    for name in replica.members:
        if name in replica.voters and name != replica.name:
            ack(replica, now, name)
    host.decide_all(replica, now)
    return replica, host, now


def test_appends_are_batched_pipelined_and_bounded():
    replica, host, now = new_leader(most_entries=10, in_flight=3)
    for ticket in range(100):
        replica.propose(now, 0, b"{}", ticket)
    sent = [one for one in host.decide_all(replica, now) if one.to == "b" and one.entries]
    assert [(one.prev_index, len(one.entries)) for one in sent] == [(2, 10), (12, 10), (22, 10)]
    ack(replica, now, "b", match=22)
    sent = [one for one in host.decide_all(replica, now) if one.entries]
    assert [(one.to, one.prev_index) for one in sent] == [("b", 32), ("b", 42)]
    assert host.results == {ticket: 3 + ticket for ticket in range(20)}


def test_a_message_respects_most_bytes_but_has_at_least_one_entry():
    replica, host, now = new_leader(most_bytes=1000)
    for size in (400, 400, 400, 5000, 5000):
        replica.propose(now, 0, b"x" * size, size * len(host.results) + replica.last)
    sent = [one for one in host.decide_all(replica, now) if one.to == "b" and one.entries]
    assert [[len(entry.data) for entry in one.entries] for one in sent] == [[400, 400], [400], [5000], [5000]]


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_lost_entries_are_sent_again_from_the_match_index(lost):
    replica, host, now = new_leader(most_entries=1)
    for ticket in range(3):
        replica.propose(now, 0, b"{}", ticket)
    host.decide_all(replica, now)
    ack(replica, now, "b", fits=False, match=1 + lost)
    sent = [one for one in host.decide_all(replica, now) if one.to == "b"]
    assert [(one.prev_index, len(one.entries)) for one in sent] == [(1 + lost, 1)]


def test_a_silent_peer_is_retried_with_backoff_until_it_returns():
    replica, host, now = new_leader()
    gaps, last, to_b = [], now, 0
    for at in range(1, 20_000):
        moment = now + at * 10 * MS
        if at % 10 == 0:
            ack(replica, moment, "b")
        for sent in host.decide_all(replica, moment):
            to_b += sent.to == "b"
            if sent.to == "c":
                gaps.append(moment - last)
                last = moment
    assert max(gaps[:5]) <= 2 * BEAT
    assert 8 * BEAT < max(gaps) <= 16 * BEAT * 2
    assert len(gaps) < to_b / 5
    replica.receive(moment, vote_request("c", term=1, early=True))
    assert "c" in [sent.to for sent in host.decide_all(replica, moment)]


def test_a_leader_without_a_majority_steps_down():
    replica, host, now = new_leader()
    replica.propose(now, 0, b"{}", "t")
    stepped = now
    while replica.role == r.LEADER:
        stepped += BEAT
        host.decide_all(replica, stepped)
    assert ELECTION < stepped - now <= ELECTION + 2 * BEAT
    assert (replica.leader, host.results) == ("", {"t": r.UNKNOWN})


def test_a_leader_with_a_stuck_disk_steps_down():
    replica, host, now = new_leader()
    replica.propose(now, 0, b"{}", "t")
    at = 0
    while replica.role == r.LEADER:
        ack(replica, now + at * BEAT, "b")
        host.decide_all(replica, now + at * BEAT, sync=False)
        at += 1
    assert 2 * ELECTION < (at - 1) * BEAT <= 3 * ELECTION
    assert replica.counts["stepped down: slow disk"] == 1


def test_a_leader_applies_only_entries_submitted_to_the_disk():
    """Otherwise a snapshot could get to disk before the entries that it replaces."""
    replica, host, now = new_leader()
    for ticket in range(9):
        replica.propose(now, 0, b"{}", ticket)
        host.decide_all(replica, now, sync=False)
    assert (len(host.writes), replica.pending_writes.submitted) == (4, 6)
    ack(replica, now, "b")
    ack(replica, now, "c")
    host.decide_all(replica, now, sync=False)
    assert (replica.committed, replica.applied, len(host.results)) == (11, 6, 4)
    host.decide_all(replica, now)
    assert (replica.applied, len(host.results)) == (11, 9)


# ---- bounds and refusals


@pytest.mark.parametrize("call", ["propose", "read", "change"])
def test_a_follower_refuses_calls_and_names_the_leader(call):
    replica, refused = new_replica(), []
    receive(replica, append_entries())
    make_call(replica, NOW, call, "t")
    host = Host()
    host.refuse = lambda ticket, outcome, leader: refused.append((ticket, outcome, leader))
    host.decide_all(replica, NOW)
    assert refused == [("t", r.NOT_DONE, "b")]


def make_call(replica, now, call, ticket):
    if call == "propose":
        replica.propose(now, 0, b"{}", ticket)
    elif call == "read":
        replica.read(now, ticket)
    else:
        replica.change_members(now, members_of("abcd", "d"), ticket)


@pytest.mark.parametrize("call, bound", [("propose", {"uncommitted": 5}), ("read", {"waiting": 5})])
def test_calls_beyond_a_bound_are_not_done(call, bound):
    replica, host, now = new_leader(**bound)
    for ticket in range(9):
        make_call(replica, now, call, ticket)
    host.decide_all(replica, now)
    assert host.results == dict.fromkeys(range(5, 9), r.NOT_DONE)
    ack(replica, now, "b")
    host.decide_all(replica, now)
    assert len(host.results) == 9
    make_call(replica, now, call, "more")
    host.decide_all(replica, now)
    assert "more" not in host.results


def test_the_bytes_of_waiting_proposals_are_bounded():
    replica, host, now = new_leader(most_bytes=1000)
    for ticket in range(70):
        replica.propose(now, 0, b"x" * 1000, ticket)
    host.decide_all(replica, now)
    assert host.results == dict.fromkeys(range(64, 70), r.NOT_DONE)


def test_compaction_keeps_some_entries_before_the_snapshot():
    replica, host, now = new_leader(keep=10)
    for at in range(100):
        replica.propose(now, 0, b"{}", at)
    for _ in range(10):
        host.decide_all(replica, now)
        ack(replica, now, "b")
        ack(replica, now, "c")
    host.decide_all(replica, now)
    assert replica.applied == 102
    replica.compacted(now, r.SnapshotBase(90, 2, members_of()))
    assert (replica.log.first, replica.last, replica.base.index) == (81, 102, 90)
    assert replica.log.term(80) == 2
    assert replica.log.term(79) is None


# ---- reads


def test_a_read_waits_for_an_entry_of_the_own_term_and_a_round():
    replica, host = new_replica(), Host()
    now = elect(replica, host)
    replica.read(now, "read")
    host.decide_all(replica, now)
    ack(replica, now, "b", match=1)
    host.decide_all(replica, now)
    assert host.results == {}
    ack(replica, now, "b")
    sent = host.decide_all(replica, now)
    assert host.results == {}
    assert {one.to for one in sent if one.round == replica.leader_state.round} == {"b", "c"}
    ack(replica, now, "c", round=replica.leader_state.round - 1)
    host.decide_all(replica, now)
    assert host.results == {}
    ack(replica, now, "c")
    host.decide_all(replica, now)
    assert host.results == {"read": "readable"}


def test_a_mismatch_confirms_a_round_but_a_learner_does_not():
    replica, host, now = new_leader(names="abcd", learners="d")
    replica.read(now, "read")
    host.decide_all(replica, now)
    ack(replica, now, "d")
    host.decide_all(replica, now)
    assert host.results == {}
    ack(replica, now, "b", fits=False)
    host.decide_all(replica, now)
    assert host.results == {"read": "readable"}


def test_reads_share_rounds():
    replica, host, now = new_leader()
    before = replica.leader_state.round
    for ticket in range(500):
        replica.read(now, ticket)
        host.decide_all(replica, now)
    for _ in range(2):
        ack(replica, now, "b")
        host.decide_all(replica, now)
    assert host.results == dict.fromkeys(range(500), "readable")
    assert replica.leader_state.round == before + 2


def test_a_single_voter_reads_after_committing_in_its_term():
    replica, host = new_replica(names="a"), Host()
    now = run_until_candidate(replica, host, sync=False)
    replica.written(now, host.writes.pop().number)
    replica.read(now, "read")
    host.decide_all(replica, now, sync=False)
    assert host.results == {}
    host.decide_all(replica, now)
    assert host.results == {"read": "readable"}


def test_a_replaced_leader_serves_no_read():
    net = Net()
    old = net.run_until_leader()
    net.cut_off(old.name)
    old.read(net.now, "stale")
    net.propose("t", net[next(name for name in "abc" if net.run_until_leader() and name != old.name)])
    net.run(lambda: net.leader() not in (None, old.name))
    net.propose("new")
    net.run(lambda: "new" in net.results and "stale" in net.results)
    assert net.results["stale"] == r.NOT_DONE
    assert isinstance(net.results["new"], int)


@pytest.mark.parametrize("seed", range(3))
def test_a_read_sees_every_write_acknowledged_before_it(seed):
    net = Net(seed=seed)
    net.run_until_leader()
    for at in range(30):
        net.propose(("write", at))
        net.run(lambda at=at: ("write", at) in net.results)
        net.run_until_leader().read(net.now, ("read", at))
        net.run(lambda at=at: ("read", at) in net.results)
        assert net.results["read", at][1] >= net.results["write", at]


# ---- stalls


def test_a_stalled_leader_steps_down_first():
    replica, host, now = new_leader()
    replica.propose(now, 0, b"{}", "t")
    replica.read(now, "read")
    host.decide_all(replica, now)
    later = now + ELECTION + 1
    ack(replica, later, "b")
    host.decide_all(replica, later)
    assert (replica.role, host.results) == (r.FOLLOWER, {"t": r.UNKNOWN, "read": r.NOT_DONE})


def test_a_stalled_follower_waits_an_election_timeout():
    replica, host = new_replica(), Host()
    receive(replica, append_entries())
    later = NOW + 5 * ELECTION
    assert host.decide_all(replica, later) == []
    assert replica.role == r.FOLLOWER
    assert replica.election_deadline >= later + ELECTION


def test_calls_at_wake_at_do_not_count_as_stalled():
    replica, host = new_replica(), Host()
    now = NOW
    for _ in range(50):
        host.decide_all(replica, now)
        assert now < replica.wake_at() <= now + ELECTION // 2
        now = replica.wake_at()
    assert "stalled" not in replica.counts
    assert replica.counts["stood"] > 1


# ---- a disk that fails


def test_a_failed_disk_ends_leadership_votes_and_acknowledgements():
    replica, host, now = new_leader()
    replica.propose(now, 0, b"{}", "t")
    replica.read(now, "read")
    host.decide_all(replica, now, sync=False)
    replica.disk_failed(now, "no space")
    replica.propose(now, 0, b"{}", "later")
    host.decide_all(replica, now)
    assert host.results == {"t": r.UNKNOWN, "read": r.NOT_DONE, "later": r.NOT_DONE}
    for sent in (
        vote_request("b", term=9),
        vote_request("b", early=True, term=9),
        append_entries(terms=[9], term=9),
    ):
        assert receive(replica, sent, now, host) == []
    replica.written(now, 99)
    for at in range(1, 10):
        assert host.decide_all(replica, now + at * ELECTION // 2) == []
    assert (replica.role, replica.failed, replica.leader) == (r.FOLLOWER, "no space", "b")


@pytest.mark.parametrize("sent", [vote_request(), append_entries(terms=[1], round=1)])
def test_held_messages_are_not_sent_after_a_disk_failure(sent):
    replica, host = new_replica(), Host()
    replica.receive(NOW, sent)
    host.decide_all(replica, NOW, sync=False)
    replica.disk_failed(NOW, "EIO")
    replica.written(NOW, 1)
    assert host.decide_all(replica, NOW) == []


# ---- members


@pytest.mark.parametrize(
    "after, allowed",
    [
        (members_of("abcd", "d"), True),
        (members_of("ab"), True),
        ({**members_of(), "c": r.ConfiguredMember("127.0.0.1:9", "folder-c")}, True),
        (members_of("abcd"), False),  # a new member with a vote
        (members_of("abcde", "de"), False),
        (members_of("abd", "d"), False),
        (members_of("abc", "c"), False),
        ({**members_of(), "c": r.ConfiguredMember("127.0.0.1:99", "other")}, False),
        ({**members_of(), "d": r.ConfiguredMember("127.0.0.1:9", "folder-c", False)}, False),
        (members_of(), False),
        ({}, False),
    ],
)
def test_which_membership_changes_are_allowed(after, allowed):
    assert is_single_member_change(members_of(), after) is allowed


def test_the_last_voter_can_not_be_removed():
    assert not is_single_member_change(members_of("ab", "b"), members_of("b", "b"))


@pytest.mark.parametrize(
    "state", ["no entry of its term", "change in progress", "transfer in progress", "open"]
)
def test_when_members_may_be_changed(state):
    replica, host = new_replica(), Host()
    now = elect(replica, host)
    if state != "no entry of its term":
        ack(replica, now, "b")
        ack(replica, now, "c")
    more = "d"
    if state == "change in progress":
        replica.change_members(now, members_of("abcd", "d"), "first")
        more = "de"
    if state == "transfer in progress":
        replica.hand_over(now)
    replica.change_members(now, members_of("abc" + more, more), "t")
    host.decide_all(replica, now)
    if state == "open":
        assert replica.members == members_of("abcd", "d")  # effective when appended
        ack(replica, now, "b")
        host.decide_all(replica, now)
    assert host.results["t"] == (3 if state == "open" else r.NOT_DONE)


def test_truncating_a_members_entry_restores_the_membership():
    replica = new_replica(
        log=[members_entry(2, 1, members_of("abcd", "d")), members_entry(3, 1, members_of("abcd"))]
    )
    assert (len(replica.voters), replica.members_at(2)) == (4, members_of("abcd", "d"))
    receive(replica, append_entries(terms=[2], term=2))
    assert replica.members == members_of()


def test_a_caught_up_learner_gets_its_vote():
    net = Net()
    net.run_until_leader()
    for at in range(50):
        net.propose(at)
    net.add("d")
    net.run_until_leader().change_members(net.now, members_of("abcd", "d"), "add")
    net.run(lambda: net["d"].role == r.FOLLOWER)
    assert net.results["add"]
    net.run(lambda: net.run_until_leader().members == members_of("abcd") and net.all_applied())


def test_a_silent_learner_gets_no_vote_and_may_be_removed():
    net = Net()
    net.run_until_leader().change_members(net.now, members_of("abcd", "d"), "add")
    net.run_ms(3000)
    assert net.run_until_leader().members == members_of("abcd", "d")
    net.run_until_leader().change_members(net.now, members_of(), "remove")
    net.run(lambda: "remove" in net.results)
    assert isinstance(net.results["remove"], int)


def test_a_removed_leader_leads_until_its_removal_is_committed():
    replica, host, now = new_leader()
    replica.change_members(now, members_of("bc"), "t")
    host.decide_all(replica, now)
    ack(replica, now, "b")
    host.decide_all(replica, now)
    assert (replica.role, host.results) == (r.LEADER, {})  # its own disk does not count
    ack(replica, now, "c")
    sent = host.decide_all(replica, now)
    assert (replica.role, host.results) == (r.LEARNER, {"t": 3})
    assert r.TimeoutNow in map(type, sent)


def test_a_removed_leader_does_not_disturb_the_cluster():
    net = Net("abcd")
    old = net.run_until_leader()
    rest = "".join(name for name in "abcd" if name != old.name)
    old.change_members(net.now, members_of(rest), "t")
    net.run(lambda: net.leader() not in (None, old.name), within=ELECTION // MS)
    term = net.run_until_leader().term
    net.run_ms(6000)
    assert (net.run_until_leader().term, old.role) == (term, r.LEARNER)


def test_a_member_may_stand_until_its_removal_is_committed():
    replica = new_replica(log=[members_entry(2, 1, members_of("bc"))])
    assert (replica.role, replica.may_stand()) == (r.FOLLOWER, True)
    receive(replica, append_entries((2, 1), committed=2))
    assert (replica.role, replica.may_stand()) == (r.LEARNER, False)


# ---- leadership transfer


@pytest.mark.parametrize("to", ["", "named"])
def test_a_leadership_transfer_takes_few_messages(to):
    net = Net()
    old = net.run_until_leader()
    to = to and next(name for name in "abc" if name != old.name)
    started = net.now
    for at in range(20):
        net.propose(at, old)
    old.hand_over(net.now, to)
    net.run(lambda: net.leader() not in (None, old.name), within=200)
    assert to in ("", net.leader())
    assert all(isinstance(net.results[at], int) for at in range(20))
    assert net.now - started < ELECTION // 4


def test_a_failed_transfer_ends_after_an_election_timeout():
    replica, host, now = new_leader()
    replica.hand_over(now, "b")
    replica.propose(now, 0, b"{}", "meanwhile")
    assert r.TimeoutNow in map(type, host.decide_all(replica, now))
    for at in range(1, 9):
        ack(replica, now + at * BEAT, "c")
        host.decide_all(replica, now + at * BEAT)
    replica.propose(now + 8 * BEAT, 0, b"{}", "after")
    host.decide_all(replica, now + 8 * BEAT)
    ack(replica, now + 8 * BEAT, "c")
    host.decide_all(replica, now + 8 * BEAT)
    assert (host.results["meanwhile"], replica.role) == (r.NOT_DONE, r.LEADER)
    assert isinstance(host.results["after"], int)


@pytest.mark.parametrize("to", ["d", "a", "nobody"])
def test_no_transfer_to_a_learner_or_to_the_leader_itself(to):
    replica, host, now = new_leader(names="abcd", learners="d")
    replica.hand_over(now, to)
    assert replica.leader_state.transfer is None


def test_only_the_known_leader_may_start_a_transfer():
    replica = new_replica()
    receive(replica, append_entries(sender="b"))
    receive(replica, message(r.TimeoutNow, "c"))
    assert replica.role == r.FOLLOWER
    receive(replica, message(r.TimeoutNow, "b"))
    assert (replica.role, replica.term) == (r.CANDIDATE, 2)


# ---- snapshots


BASE = r.SnapshotBase(50, 3, members_of("abc"), 77)


def chunk(offset=0, data=b"12345", last=False, base=BASE, term=3, sender="b"):
    return message(r.SnapshotChunk, sender, term=term, base=base, offset=offset, data=data, last=last)


def test_snapshot_chunks_are_taken_in_order_and_then_installed():
    replica, host = new_replica(terms=[1, 2]), Host()
    asked = []
    for offset, last in [(0, False), (5, False), (5, False), (0, False), (20, False), (10, True)]:
        asked += [one.offset for one in receive(replica, chunk(offset, last=last), host=host, sync=False)]
        replica.written(NOW, 1)
    assert [one.offset for one in host.chunks] == [0, 5, 10]
    assert asked == [5, 10, 10, 10, 10]
    (write,) = [write for write in host.writes if write.base]
    assert (write.base, write.cut, replica.committed) == (BASE, 51, 1)
    replica.written(NOW, write.number)
    assert (replica.committed, replica.last, replica.base, replica.log.moment) == (50, 50, BASE, 77)
    done = host.decide_all(replica, NOW)
    assert [(one.fits, one.match) for one in done if type(one) is r.AppendResponse] == [(True, 50)]
    assert receive(replica, chunk(10, last=True), host=host)[0].done
    receive(replica, append_entries((50, 3), terms=[3], term=3, committed=51), host=host)
    assert [one.index for one in host.applied] == [51]


def test_no_append_or_election_while_a_snapshot_is_written():
    replica, host = new_replica(terms=[1, 2], term=3), Host()
    receive(replica, chunk(last=True), host=host, sync=False)
    (answer,) = receive(replica, append_entries((3, 2), terms=[3], term=3, round=1), host=host, sync=False)
    assert (answer.fits, replica.last) == (False, 3)
    receive(replica, message(r.TimeoutNow, "b", term=3), host=host, sync=False)
    assert replica.role == r.FOLLOWER


@pytest.mark.parametrize("fits", [True, False])
def test_entries_that_follow_an_installed_snapshot_are_kept(fits):
    replica, host = new_replica(terms=[1] * 10), Host()
    receive(replica, chunk(last=True, base=r.SnapshotBase(5, 1 if fits else 2, members_of())), host=host)
    assert (replica.last, replica.log.memberships) == (11 if fits else 5, [(5, members_of())])


@pytest.mark.parametrize(
    "second, offsets, wanted",
    [
        (
            chunk(0, base=r.SnapshotBase(60, 3, members_of())),
            [0, 0],
            5,
        ),  # a newer snapshot replaces the one in progress
        (chunk(5, base=r.SnapshotBase(60, 3, members_of())), [0], 0),
        (chunk(0, base=r.SnapshotBase(40, 3, members_of())), [0], None),  # a late chunk of an older snapshot
        (chunk(5, term=4, sender="c"), [0], 0),  # chunks of another leader
    ],
)
def test_a_second_snapshot_during_a_transfer(second, offsets, wanted):
    replica, host = new_replica(), Host()
    receive(replica, chunk(), host=host)
    sent = receive(replica, second, host=host)
    assert [one.offset for one in host.chunks] == offsets
    assert [one.offset for one in sent] == ([] if wanted is None else [wanted])


@pytest.mark.parametrize(
    "base",
    [
        r.SnapshotBase(),
        r.SnapshotBase(-5, 1, members_of()),
        r.SnapshotBase(9, 99, members_of()),
        r.SnapshotBase(9, 1, {}),
        r.SnapshotBase(1 << 70, 1),
    ],
)
def test_garbled_snapshots_are_dropped(base):
    replica, host = new_replica(), Host()
    assert receive(replica, chunk(last=True, base=base), host=host) == []
    assert (host.chunks, replica.counts) == ([], {"garbled": 1})


def make_lagging(net, at=300):
    """Cuts a follower off while `at` entries are committed and compacted. Returns its name."""
    late = next(name for name in net.members if name != net.run_until_leader().name)
    net.cut_off(late)
    for ticket in range(at):
        net.propose(("lag", ticket))
        if ticket % 50 == 49:
            net.run(lambda ticket=ticket: ("lag", ticket) in net.results)
    for member in net.members.values():
        if member.name != late:
            member.compact()
    return late


@pytest.mark.parametrize("lost, twice", [(0, 0), (0.2, 0.2), (0.3, 0)])
@pytest.mark.parametrize("seed", range(2))
def test_a_member_behind_the_log_gets_a_snapshot_in_chunks(seed, lost, twice):
    net = Net(seed=seed, keep=5)
    late = make_lagging(net)
    net.cuts, net.loss_rate, net.duplicate_rate, net.delay = set(), lost, twice, 30 * MS
    net.run(lambda: net[late].base.index >= 300)
    assert sum(type(one) is r.SnapshotChunk and one.to == late for one in net.log) >= 4
    net.loss_rate = 0
    net.run(net.all_applied)


@pytest.mark.parametrize("waits", [True, False])
def test_a_transfer_ends_under_load_if_newer_snapshots_wait(waits):
    """If newer snapshots do not wait, each restarts the transfer, which then ends only after the load."""
    net = Net(keep=5, delay=10 * MS)
    late = make_lagging(net)
    net.cuts = set()
    for at in range(40):
        net.propose(at)
        net.run_ms(5)
        if not (waits and net.run_until_leader().sends_snapshot()):
            net.members[net.run_until_leader().name].compact()
    bases = {one.base.index for one in net.log if type(one) is r.SnapshotChunk and one.to == late}
    assert len(bases) == 1 if waits else len(bases) > 3
    net.run(net.all_applied)
    assert net[late].base.index >= 300


def test_entries_that_a_responding_peer_lacks_are_kept_longer():
    replica, host, now = new_leader(keep=5)
    for at in range(60):
        replica.propose(now, 0, b"{}", at)
    host.decide_all(replica, now)
    for match in (62, 20):
        ack(replica, now, "b", match=match)
    ack(replica, now, "c", match=30)
    host.decide_all(replica, now)
    replica.compacted(now, r.SnapshotBase(60, 2, members_of()))
    assert replica.log.first == 31
    for at in range(40):
        replica.propose(now, 0, b"{}", 100 + at)
    host.decide_all(replica, now)
    ack(replica, now, "b")
    host.decide_all(replica, now)
    replica.compacted(now, r.SnapshotBase(100, 2, members_of()))
    assert replica.log.first == 100 - 8 * 5 + 1  # the number of entries kept is bounded


def test_a_new_member_gets_the_snapshot_and_then_its_vote():
    net = Net(keep=5)
    make_lagging(net)
    net.cuts = set()
    net.add("d")
    net.run_until_leader().change_members(net.now, members_of("abcd", "d"), "add")
    net.run(lambda: net["d"].role == r.FOLLOWER and net.all_applied())


# ---- clusters with faults


def test_a_reconnected_member_does_not_disturb_the_leader():
    net = Net()
    leader = net.run_until_leader()
    late = next(name for name in "abc" if name != leader.name)
    net.cut_off(late)
    net.run_ms(10_000)
    assert (net[late].role, net[late].term) == (r.CANDIDATE, leader.term)
    net.cuts = set()
    net.run(lambda: net[late].role == r.FOLLOWER)
    net.run_ms(3000)
    assert (net.run_until_leader(), leader.term) == (leader, net[late].term)


@pytest.mark.parametrize("names", ["abc", "abcde"])
def test_split_votes_are_resolved(names):
    """All members stand at the same time, until their random timeouts differ."""
    net = Net(names, seed=3)
    for member in net.members.values():
        member.replica.election_deadline = NOW + 5 * MS
    net.run(net.leader, within=10_000)
    assert sum(member.replica.counts.get("stood", 0) for member in net.members.values()) >= len(names)


def test_a_leader_that_can_not_send_is_replaced():
    net = Net()
    old = net.run_until_leader()
    net.cuts = {(old.name, other) for other in "abc"}
    net.run(lambda: net.leader() not in (None, old.name), within=5000)
    net.run(lambda: old.role != r.LEADER)


def test_a_member_with_a_newer_term_rejoins():
    net = Net()
    leader = net.run_until_leader()
    late = next(name for name in "abc" if name != leader.name)
    net.members[late].kill()
    net.members[late].disk.term += 5
    net.members[late].start()
    net.run(
        lambda: net.leader() and net.run_until_leader().term > leader.leader_state.term
        if leader.leader_state
        else True
    )
    net.run(lambda: net.leader() and net.all_applied())


@pytest.mark.parametrize("frozen", ["leader", "follower"])
def test_a_frozen_member_rejoins(frozen):
    net = Net()
    leader = net.run_until_leader()
    name = leader.name if frozen == "leader" else next(one for one in "abc" if one != leader.name)
    net.propose("before")
    net.members[name].frozen = True
    net.run_ms(4000)
    net.propose("after")
    net.run(lambda: "after" in net.results)
    term = net.run_until_leader().term
    net.members[name].frozen = False
    net.run(net.all_applied)
    assert net.run_until_leader().term == term
    assert "before" in net.results


@pytest.mark.parametrize("seed", range(12 * LONG))
def test_no_acknowledged_entry_is_lost_under_random_faults(seed):
    """Net checks that no two leaders share a term and that no index is committed twice."""
    names = "abcde" if seed % 3 == 0 else "abc"
    net = Net(names, seed=seed, keep=20)
    net.loss_rate, net.duplicate_rate, net.delay, net.disk_delay = 0.05, 0.05, 20 * MS, 30 * MS
    chance = net.rng
    for at in range(60):
        for _ in range(chance.randrange(5)):
            if leader := net.leader():
                net.propose((at, len(net.results), net.now, chance.random()), net[leader])
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
        net.run_ms(chance.randrange(20, 400))
        for other in net.members.values():
            if chance.random() < 0.5:
                other.frozen = False
                if not other.up:
                    other.start()
    net.cuts, net.loss_rate = set(), 0
    for other in net.members.values():
        other.frozen = False
        if not other.up:
            other.start()
    net.run_command("last")
    net.run(lambda: net.leader() and net.all_applied())
    data = {repr(ticket).encode(): how for ticket, how in net.results.items()}
    held = {one.data: index for index, one in net.history.items() if one.what == r.COMMAND}
    assert {one: how for one, how in data.items() if isinstance(how, int)}.items() <= held.items()
    assert not {one for one, how in data.items() if how == r.NOT_DONE} & held.keys()


# ---- garbled fields


far = st.sampled_from([1 << 31, (1 << 62) - 1, 1 << 62, 1 << 64, -(1 << 63)])
numbers = st.one_of(st.integers(-3, 12), far)
names = st.sampled_from(["a", "b", "c", "d", "z", ""])
bytes_ = st.one_of(st.binary(max_size=20), st.just(msgspec.json.encode(members_of("abcd", "d"))))
any_entry = st.builds(r.Entry, numbers, numbers, st.integers(-1, 3), numbers, numbers, bytes_)
bases = st.builds(
    r.SnapshotBase, numbers, numbers, st.sampled_from([{}, members_of(), members_of("bcd")]), numbers
)
some_entries = st.one_of(
    st.lists(any_entry, max_size=4),
    st.builds(lambda terms, start: entries(terms, start), st.lists(st.integers(1, 5), max_size=5), numbers),
)
terms = st.one_of(st.integers(0, 6), numbers)


def messages(kind, **fields):
    return st.builds(
        lambda sender, term, more: message(kind, sender, term=term, **more),
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
def test_no_message_raises_or_undoes_applied_entries(sent, leads, held):
    replica, host = new_replica(terms=sorted(held)), Host()
    now = elect(replica, host) if leads else NOW
    for at, one in enumerate(sent):
        before, term, voted = list(host.applied), replica.term, replica.voted
        replica.receive(now + at * MS, one)
        host.decide_all(replica, now + at * MS)
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
def test_the_log_knows_its_terms_after_truncating_and_discarding(held, cut, drop):
    log, base = Log(r.SnapshotBase(1, 1, members_of()), entries(held)), 1
    base = min(drop, log.last)
    log.discard_through(base, r.SnapshotBase(base, 1, members_of()))
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


def test_messages_survive_encoding():
    sent = append_entries(terms=[1, 1], committed=1, round=4)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=r.PeerMessage) == sent
