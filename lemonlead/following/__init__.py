"""A gateway that follows a ledger: what the ledger has out gets no new attempt. Imported only where the
settings have `follow`.

`words.py` reads what a member answers; `merge.py` makes one list of discovery's and the ledger's word;
`course.py` decides whom to ask what, and when; `driver.py` is the thread that does it. Where a service is
named, `sides.py` decides which side of its move takes requests, and `service.py` stands between discovery,
ledger and platform on one hand and the balancer on the other. Nothing here sends a request, and the
gateway's one balancer is told through the same call as by discovery (`Discovery.put`)."""
