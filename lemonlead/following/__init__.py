"""A gateway that follows a ledger: what the ledger has out gets no new send. Imported only where the
settings have `follow`.

`words.py` reads what a member answers; `merge.py` makes one list of discovery's and the ledger's word;
`course.py` decides whom to ask what, and when; `driver.py` is the thread that does it. Nothing here sends a
lookup, and the gateway's one balancer is told through the same call as by discovery (`Discovery.put`)."""
