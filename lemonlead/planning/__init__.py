"""The capacity planner: what breaks first, how many instances a goal needs, what the loss of a site does.

`fleet` reads a fleet from its file. `queues` has closed-form queueing formulas, and `steady` applies them to
a steady load. `world` simulates a fleet with the project's own balancers, so that predictions follow the
decisions of real gateways; `loopback` runs a small fleet with real gateways. `answers` answers questions with
`steady` and `world`.

A second set of modules sizes a planned fleet: `targets` reads what operators want, `slopes` reads measured
costs, `sizing` works out what each role needs, and `target_table` and `page` write the capacity page, with
figures formatted by `number_format`.

No gateway imports this package.
"""
