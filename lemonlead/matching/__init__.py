"""Expressions over requests, and ordered sets of rules made of them.

An expression is parsed (`lexer`, `parser`), checked for its type and worst-case cost (`checker`, with
`kinds`, `request_fields` and `functions`) and compiled (`quick`, `exact`); `expression` combines these steps.
A rule (`rules`) has an expression as its condition and further ones for what it gives a request. `index`
finds the first rule that matches without evaluating all of them. `active_rules` holds the set in force and a
shadow set that is compared with it.

Only `load` reads files, and nothing here opens sockets, reads clocks or sends responses. A rule can give a
request a request class, a key, a tenant and labels; `rules` enforces what no rule may do. The gateway uses
this package through `lemonlead/gateway/request_rules.py`."""
