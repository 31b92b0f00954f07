"""The settings object that each host is given, read into what a balancer is told at start."""

import math

from . import interface as at

NS = 1_000_000  # nanoseconds in one of the settings' and the wire's milliseconds
EFFECTS = {"idempotent": at.HARMLESS, "deduplicated": at.STAMPED}


def in_ns(ms):
    return round(ms * NS) if math.isfinite(ms) else 0


def started(told, salt, now):
    """The settings as read, in our words; what is absent stays at the interface's default."""
    limits, rules, info = told.get("Limits", {}), told.get("Obligations", {}), told.get("FamilyInfo", {})
    lanes = [
        at.Lane(
            number=n, effect=EFFECTS.get(lane.get("Effect"), at.ONE_SHOT),
            goal_time=in_ns(lane.get("Slo", 0)), hard_stop=in_ns(lane.get("GiveUp", 0)),
            revenue=lane.get("Worth", 1.0), late_share=lane.get("LateWorth", 0.0),
            goal_stretch=lane.get("AimStretch", 0.0), group=lane.get("Group", "all"),
            memory=in_ns(lane.get("Window", 0)), streamed=bool(lane.get("Stream")),
        )
        for n, lane in enumerate(told.get("Lanes", []))
    ]
    release = at.Release(
        control=info.get("Control", "by_count"), on_needed=info.get("AyesNeeded", 1),
        back_needed=info.get("NoesNeeded", 1), bake=in_ns(info.get("Bake", 0)),
        vote_life=in_ns(info.get("BallotTtl", 0)), answer_time=in_ns(info.get("ApiTimeout", 0)),
        votes_per_s=info.get("VoteAllowance", 0.0), window=in_ns(info.get("ExposureWindow", 0)),
        free_sends=info.get("SpareTries", 0.0), per_lane=info.get("CapScope") == "each_class",
        guarded_stages=info.get("GuardedStages", 0), forward_only=bool(info.get("ForwardOnly")),
        caps=info.get("StageCap", []), steps=info.get("Steps", []),
        old_price=info.get("StaleBuildPrice", 0.0), harm_price=info.get("HarmFee", 0.0),
        replaces=info.get("Style") == "replace",
    )
    hold_off = in_ns(limits.get("MaxRetryAfter", 0)) if limits.get("RetryAfter") else 0
    return at.Start(
        now=now, seed=salt, me=told.get("Me", 0), balancers=told.get("Balancers", 1),
        zone=told.get("Az", 0), step=in_ns(told.get("Step", 0)), lanes=lanes, release=release,
        customer_shares=[customer.get("QuotaPerS", 0.0) for customer in told.get("Projects", [])],
        over_share_worth=told.get("OverShareWorth", 1.0), ask_for_list=told.get("Discovery") == "ask",
        sends_cap=limits.get("AttemptsCap", 1), may_withdraw=bool(limits.get("Cancel")),
        may_duplicate=bool(limits.get("MayDuplicate")), may_probe=bool(limits.get("Probes")),
        hold_off_cap=hold_off, connect_time=in_ns(limits.get("ConnectTimeout", 0)),
        idle_time=in_ns(limits.get("IdleClose", 0)),
        ask_within=in_ns(rules.get("AskWithin", 0)),
        drain_grace=in_ns(rules.get("DrainGrace", 0)), cold_time=in_ns(rules.get("Cold", 0)),
        cold_share=rules.get("ColdFrom", 1.0), cold_multiple=rules.get("OverloadFactor", 1.0),
        cold_window=in_ns(rules.get("Fall", 0)), report_fields=told.get("Report", {}).get("Fields", []),
        by_work=told.get("WorthBy") == "work", prices=told.get("Tariffs", {}),
    )
